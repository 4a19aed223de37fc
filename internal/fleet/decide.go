package fleet

import (
	"fmt"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// Decide returns the actions that assign VMs to pools, move them between pools
// or drop their entries. VMs move only when a pool is short: it takes new VMs
// first, then shared spares, then surplus VMs of other pools. The actions are
// planned in ix.
func Decide(ix *Index, o Options) []state.Action {
	if len(ix.Pools) == 0 {
		return nil
	}
	d := &decider{ix: ix, o: o.withDefaults()}
	d.finishMoves()
	d.forgetVMs()
	d.demands = Demands(ix, d.o)
	d.evictDisallowed()
	d.fillPools()
	d.addSpares()
	return d.actions
}

// decider collects the actions of one round of decisions.
type decider struct {
	ix      *Index
	o       Options
	demands []*Demand
	actions []state.Action
	// busyMoves counts the moving VMs that still have tasks.
	busyMoves int
}

func (d *decider) add(a state.Action) {
	d.ix.Plan(a)
	d.actions = append(d.actions, a)
}

// move begins the move of a VM and, when the VM is idle, finishes it in the
// same plan.
func (d *decider) move(v *VM, target model.PoolID, reason string) {
	generation, idle := v.Generation(), v.Idle()
	isNew := v.Owner == nil
	d.add(state.Action{Reason: reason, BeginMove: &state.BeginMove{VM: v.ID, Target: target, Generation: generation}})
	switch {
	case isNew:
	case idle:
		d.add(state.Action{Reason: reason, FinishMove: &state.FinishMove{VM: v.ID, Generation: generation + 1}})
	default:
		d.busyMoves++
	}
}

// finishMoves completes the moves of VMs on which no task is left.
func (d *decider) finishMoves() {
	for _, v := range d.ix.VMs {
		if !v.Moving() {
			continue
		}
		d.redirectToSpares(v)
		if !v.Moving() {
			continue
		}
		if !d.canFinishMove(v) {
			d.busyMoves++
			continue
		}
		reason := fmt.Sprintf("nothing is left on the VM; it joins %s", describePool(v.Owner.Target))
		d.add(state.Action{Reason: reason, FinishMove: &state.FinishMove{VM: v.ID, Generation: v.Owner.Generation}})
	}
}

// redirectToSpares moves a VM to the shared spares when the manifest dropped
// its target pool during the move. The move could never finish otherwise.
func (d *decider) redirectToSpares(v *VM) {
	target := v.Owner.Target
	if target == "" || d.ix.Pool(target) != nil || v.Permit != nil {
		return
	}
	reason := fmt.Sprintf("the manifest has no pool %s any more", target)
	d.add(state.Action{Reason: reason, BeginMove: &state.BeginMove{VM: v.ID, Generation: v.Generation()}})
}

// canFinishMove reports whether nothing on the VM holds up its move any more.
func (d *decider) canFinishMove(v *VM) bool {
	return v.Permit == nil && (v.Idle() || d.o.Rules.SkipIdle)
}

// forgetVMs drops the entries of VMs that the platform no longer lists.
//
// After an empty or partial reply of the platform, dropping all missing entries
// would lose which pool each VM serves and move every VM. Many entries missing
// at once is the sign of such a reply: then none is dropped. Otherwise a few
// are dropped in each round, and only after a long absence.
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
		expired := known && v.Listed == nil && v.Owner != nil && d.ix.Snap.Now.Sub(since) >= d.o.ForgetAfter
		if !expired || !v.Idle() || v.Permit != nil {
			continue
		}
		reason := fmt.Sprintf("the platform has not listed the VM for %s", d.o.ForgetAfter)
		d.add(state.Action{Reason: reason, ForgetVM: &state.ForgetVM{VM: v.ID, Generation: v.Owner.Generation}})
		allowed--
	}
}

// addSpares makes the healthy VMs that have no entry and that no pool needs
// shared spares.
func (d *decider) addSpares() {
	for _, v := range d.ix.VMs {
		if v.Owner == nil && v.Healthy() {
			d.move(v, "", "no pool needs the VM; it is a shared spare")
		}
	}
}

// canLeavePool reports whether a VM may leave its pool now: an idle VM always
// may, one with tasks only while few such VMs are moving. A VM that may not is
// not planned as moving, so that it keeps taking work and other VMs can be tried.
func (d *decider) canLeavePool(v *VM) bool {
	if v.Idle() {
		return true
	}
	few := d.busyMoves < max(1, int(float64(len(d.ix.VMs))*d.o.MaxMoving))
	return few && (d.o.MayMove == nil || d.o.MayMove(v))
}

// Eligible reports whether the pool's shape and availability zones allow the VM.
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

// describePool names a pool, or the shared spares, in reasons.
func describePool(id model.PoolID) string {
	if id == "" {
		return "the shared spares"
	}
	return "pool " + string(id)
}
