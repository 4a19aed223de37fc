package controller

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// decideBorrow moves shared spares into pools where the wave could not drain a
// VM otherwise. A spare runs nothing, so the move relocates no work; package
// fleet returns it when the pool has more VMs than it needs.
func (c *Controller) decideBorrow(d *roundDecision) {
	if !c.config.Wave.Features.LargestSet {
		return
	}
	spares := readySpares(d.ix)
	for _, p := range d.ix.Pools {
		if p.Size() >= p.Spec.MaxVMs || len(p.Incoming) > 0 {
			continue
		}
		i := slices.IndexFunc(spares, func(v *fleet.VM) bool { return d.spareHelps(p, v) })
		if i < 0 {
			continue
		}
		d.lendSpare(spares[i], p)
		delete(d.unmetSurges, p.Spec.ID)
		spares = slices.Delete(spares, i, i+1)
	}
}

// spareHelps reports whether a spare in the pool would let its wave continue.
// If the pool has too few VMs, any spare does; if its VMs are in the wrong
// failure domains, the spare must be in one where another instance helps.
func (d *roundDecision) spareHelps(p *fleet.Pool, spare *fleet.VM) bool {
	if !fleet.Eligible(p.Spec, spare.Listed) {
		return false
	}
	if d.wave.Borrow[p.Spec.ID] {
		return true
	}
	need, found := d.unmetSurges[p.Spec.ID]
	target := d.ix.VM(need.Target)
	return found && target != nil && d.ledger.ImprovesBudget(need.Service, target, spare)
}

// readySpares returns the spares that can join a pool now, those maintained
// most recently first.
func readySpares(ix *fleet.Index) []*fleet.VM {
	spares := slices.DeleteFunc(slices.Clone(ix.Spares), func(v *fleet.VM) bool { return !fleet.SpareReady(v) })
	slices.SortStableFunc(spares, func(a, b *fleet.VM) int {
		return cmp.Compare(maintainedAt(ix, b), maintainedAt(ix, a))
	})
	return spares
}

func maintainedAt(ix *fleet.Index, v *fleet.VM) model.Instant {
	if m := ix.Snap.View.Maintained[v.ID]; m != nil {
		return m.At
	}
	return 0
}

func (d *roundDecision) lendSpare(v *fleet.VM, p *fleet.Pool) {
	reason := fmt.Sprintf("spare for pool %s while a wave drains its VMs", p.Spec.ID)
	generation := v.Generation()
	begin := state.Action{Reason: reason, BeginMove: &state.BeginMove{VM: v.ID, Target: p.Spec.ID, Generation: generation}}
	finish := state.Action{Reason: reason, FinishMove: &state.FinishMove{VM: v.ID, Generation: generation + 1}}
	d.ix.Plan(begin, finish)
	d.add(begin, finish)
}
