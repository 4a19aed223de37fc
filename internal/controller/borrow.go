package controller

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// decideBorrow lets shared spares join pools of which a wave could not drain a
// VM otherwise. A spare carries nothing, so the move relocates no work; fleet
// gives it back when the pool has more than it needs.
func (c *Controller) decideBorrow(d *decided) {
	if !c.config.Wave.Ideas.LargestSet {
		return
	}
	spares := readySpares(d.ix)
	for _, p := range d.ix.Pools {
		if p.Size() >= p.Spec.MaxVMs || len(p.Incoming) > 0 {
			continue
		}
		i := slices.IndexFunc(spares, func(v *fleet.VM) bool { return d.wants(p, v) })
		if i < 0 {
			continue
		}
		d.lend(spares[i], p)
		delete(d.unhelped, p.Spec.ID)
		spares = slices.Delete(spares, i, i+1)
	}
}

// wants reports whether a spare in the pool would let its wave go on: any one
// where the pool has too few VMs, one in a failure domain where another
// instance helps where it has them in the wrong places.
func (d *decided) wants(p *fleet.Pool, spare *fleet.VM) bool {
	if !fleet.Eligible(p.Spec, spare.Listed) {
		return false
	}
	if d.wave.Borrow[p.Spec.ID] {
		return true
	}
	need, some := d.unhelped[p.Spec.ID]
	target := d.ix.VM(need.Target)
	return some && target != nil && d.ledger.Helps(need.Service, target, spare)
}

// readySpares lists the spares that can join a pool now, those that are done
// with the wave first.
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

func (d *decided) lend(v *fleet.VM, p *fleet.Pool) {
	reason := fmt.Sprintf("spare for pool %s while a wave drains its VMs", p.Spec.ID)
	generation := v.Generation()
	begin := state.Action{Reason: reason, BeginMove: &state.BeginMove{VM: v.ID, Target: p.Spec.ID, Generation: generation}}
	finish := state.Action{Reason: reason, FinishMove: &state.FinishMove{VM: v.ID, Generation: generation + 1}}
	d.ix.Plan(begin, finish)
	d.add(begin, finish)
}
