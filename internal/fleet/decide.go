package fleet

import (
	"fmt"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// Decide says which VMs enter, change or leave pools now. Moves happen only
// at need: a pool that lacks VMs takes new ones first, then shared spares,
// then what other pools have to spare. The actions are planned in ix.
func Decide(ix *Index, o Options) []state.Action {
	if len(ix.Pools) == 0 {
		return nil
	}
	d := &decider{ix: ix, o: o.withDefaults()}
	d.finishMoves()
	d.forgetVMs()
	d.demands = Demands(ix, d.o)
	d.evictMisfits()
	d.fillPools()
	d.enterSpares()
	return d.actions
}

// decider collects the actions of one round.
type decider struct {
	ix      *Index
	o       Options
	demands []*Demand
	actions []state.Action
	// busyMoves counts the VMs with tasks that are moving.
	busyMoves int
}

func (d *decider) add(a state.Action) {
	d.ix.Plan(a)
	d.actions = append(d.actions, a)
}

// move begins the move of a VM and, when nothing is left to wait for,
// finishes it in the same plan.
func (d *decider) move(v *VM, target model.PoolID, reason string) {
	generation, idle := v.Generation(), v.Idle()
	entered := v.Owner == nil
	d.add(state.Action{Reason: reason, BeginMove: &state.BeginMove{VM: v.ID, Target: target, Generation: generation}})
	switch {
	case entered:
	case idle:
		d.add(state.Action{Reason: reason, FinishMove: &state.FinishMove{VM: v.ID, Generation: generation + 1}})
	default:
		d.busyMoves++
	}
}

// finishMoves commits the new pool of VMs on which nothing is left.
func (d *decider) finishMoves() {
	for _, v := range d.ix.VMs {
		if !v.Moving() {
			continue
		}
		d.redirect(v)
		if !v.Moving() {
			continue
		}
		if !d.free(v) {
			d.busyMoves++
			continue
		}
		reason := fmt.Sprintf("nothing is left on the VM; it joins %s", poolWords(v.Owner.Target))
		d.add(state.Action{Reason: reason, FinishMove: &state.FinishMove{VM: v.ID, Generation: v.Owner.Generation}})
	}
}

// redirect sends a VM to the shared spares whose target the manifest dropped
// while the VM was on its way: the move could never end.
func (d *decider) redirect(v *VM) {
	target := v.Owner.Target
	if target == "" || d.ix.Pool(target) != nil || v.Permit != nil {
		return
	}
	reason := fmt.Sprintf("the manifest has no pool %s any more", target)
	d.add(state.Action{Reason: reason, BeginMove: &state.BeginMove{VM: v.ID, Generation: v.Generation()}})
}

func (d *decider) free(v *VM) bool {
	return v.Permit == nil && (v.Idle() || d.o.Rules.SkipIdle)
}

// forgetVMs drops entries of VMs that the platform dropped.
//
// An empty or partial answer of the platform would otherwise make the fleet
// forget which pool each VM serves, and move everything. One notices by many
// entries missing at once; so none is dropped then, few are in one round, and
// only after a long absence.
func (d *decider) forgetVMs() {
	entries, absent := len(d.ix.Snap.View.Owners), len(d.ix.Snap.Absent)
	partial := float64(absent) > max(1, float64(entries)*d.o.AbsentLimit)
	allowed := max(1, int(float64(entries)*d.o.ForgetShare))
	if d.o.Rules.SkipAbsence {
		partial, allowed, d.o.ForgetAfter = false, entries, 0
	}
	if partial {
		return
	}
	for _, v := range d.ix.VMs {
		if allowed == 0 {
			return
		}
		since, known := d.ix.Snap.Absent[v.ID]
		gone := known && v.Listed == nil && v.Owner != nil && d.ix.Snap.Now.Sub(since) >= d.o.ForgetAfter
		if !gone || !v.Idle() || v.Permit != nil {
			continue
		}
		reason := fmt.Sprintf("the platform has not listed the VM for %s", d.o.ForgetAfter)
		d.add(state.Action{Reason: reason, ForgetVM: &state.ForgetVM{VM: v.ID, Generation: v.Owner.Generation}})
		allowed--
	}
}

// enterSpares enters the healthy VMs that no pool needs as shared spares.
func (d *decider) enterSpares() {
	for _, v := range d.ix.VMs {
		if v.Owner == nil && v.Healthy() {
			d.move(v, "", "no pool needs the VM; it is a shared spare")
		}
	}
}

// mayLeave reports whether a VM may leave its pool now: one that is idle, or
// one with tasks while few such VMs move. A VM that may not is not planned as
// moving, so that it takes work on and other VMs can be tried.
func (d *decider) mayLeave(v *VM) bool {
	if v.Idle() {
		return true
	}
	few := d.busyMoves < max(1, int(float64(len(d.ix.VMs))*d.o.MaxMoving))
	return few && (d.o.MayMove == nil || d.o.MayMove(v))
}

// Eligible reports whether the pool's shape and availability zones allow a VM.
func Eligible(p *model.Pool, vm *model.VM) bool {
	return vm != nil && p.Shape.Fits(vm.Capacity) && ZoneAllowed(p, vm.Zone)
}

// ZoneAllowed reports whether VMs of the availability zone may be in the pool.
func ZoneAllowed(p *model.Pool, zone model.ZoneID) bool {
	for _, z := range p.Zones {
		if z == zone {
			return true
		}
	}
	return len(p.Zones) == 0
}

func poolWords(id model.PoolID) string {
	if id == "" {
		return "the shared spares"
	}
	return "pool " + string(id)
}
