package fleet

import (
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// Plan applies actions to the index that were decided in this round, so that
// later decisions neither repeat nor contradict them. Every decision of this
// package and of placement plans the actions that it returns; other packages
// may call Plan too.
func (ix *Index) Plan(actions ...state.Action) {
	for i := range actions {
		ix.plan(&actions[i])
	}
}

func (ix *Index) plan(a *state.Action) {
	switch {
	case a.BeginMove != nil:
		ix.guardMove(a.BeginMove)
		ix.planMove(a.BeginMove)
	case a.FinishMove != nil:
		ix.guardFinish(a.FinishMove.VM)
		ix.planFinish(a.FinishMove.VM)
	case a.ForgetVM != nil:
		ix.guardForget(a.ForgetVM.VM)
		ix.planForget(a.ForgetVM.VM)
	case a.GrantPermit != nil:
		ix.planGrant(a.GrantPermit)
	case a.StartTask != nil:
		ix.guardStart(&a.StartTask.Task, a.StartTask.Pool)
		ix.planStart(&a.StartTask.Task)
	case a.EndTask != nil:
		ix.planned.ended[a.EndTask.Task] = true
	case a.SetQuarantine != nil:
		ix.planQuarantine(a.SetQuarantine)
	case a.SetJob != nil:
		ix.planned.jobs[a.SetJob.Job] = a.SetJob.State != model.JobQueued
	}
}

// EndPlanned reports whether an action planned in this round ends the task.
func (ix *Index) EndPlanned(id model.TaskID) bool { return ix.planned.ended[id] }

func (ix *Index) planMove(m *state.BeginMove) {
	v := ix.vms[m.VM]
	if v == nil {
		return
	}
	if v.Owner == nil {
		ix.setOwner(v, &model.Ownership{VM: v.ID, Pool: m.Target, Generation: 1, Since: ix.Snap.Now})
		return
	}
	next := *v.Owner
	next.Moving, next.Target, next.Since = v.Owner.Pool != m.Target, m.Target, ix.Snap.Now
	next.Generation++
	ix.setOwner(v, &next)
}

func (ix *Index) planFinish(id model.VMID) {
	v := ix.vms[id]
	if v == nil || v.Owner == nil {
		return
	}
	next := model.Ownership{VM: id, Pool: v.Owner.Target, Generation: v.Owner.Generation + 1, Since: ix.Snap.Now}
	ix.setOwner(v, &next)
}

func (ix *Index) planForget(id model.VMID) {
	if v := ix.vms[id]; v != nil && v.Owner != nil {
		ix.setOwner(v, nil)
	}
}

func (ix *Index) setOwner(v *VM, owner *model.Ownership) {
	if v.Owner != nil {
		ix.leavePool(v)
	}
	v.Owner = owner
	if owner != nil {
		ix.joinPool(v)
	}
	v.Block = v.block()
}

func (ix *Index) planGrant(g *state.GrantPermit) {
	v := ix.vms[g.VM]
	if v == nil {
		return
	}
	v.Permit = &model.Permit{VM: g.VM, Wave: g.Wave, Pool: v.Pool(), Phase: model.PhaseGranted, Since: ix.Snap.Now}
	v.Block = v.block()
}

func (ix *Index) planStart(t *model.Task) {
	task := *t
	ix.planned.jobs[task.Job] = task.Job != ""
	if v := ix.vms[task.VM]; v != nil {
		v.plannedStarts++
	}
	ix.addTask(&task)
}

func (ix *Index) planQuarantine(q *state.SetQuarantine) {
	v := ix.workers[q.Quarantine.Worker]
	if v == nil {
		return
	}
	record := q.Quarantine
	v.Quarantine = &record
	if q.Release {
		v.Quarantine = nil
	}
	v.Block = v.block()
}

// PlannedStarts returns the number of tasks that actions planned in this round
// start on the VM.
func (v *VM) PlannedStarts() int { return v.plannedStarts }

// Members returns the VMs of the pool that are not moving out.
func (p *Pool) Members() []*VM {
	return slices.DeleteFunc(slices.Clone(p.VMs), (*VM).Moving)
}

// Size returns the number of VMs that are or will be in the pool, including
// those moving out and those moving in.
func (p *Pool) Size() int { return len(p.VMs) + len(p.Incoming) }
