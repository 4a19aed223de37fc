package placement

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// unknownGrace is how many lease lengths a VM's heartbeat may be late before
// its leases are no longer renewed.
const unknownGrace = 2

// Leases ends the tasks whose lease lapsed with the drift margin, and renews
// the others in one action.
//
// The worker stops a task by itself when its lease ends. Were the task ended
// here before that, by a clock that runs ahead of the worker's, a second
// attempt would run beside the first; the margin is for that.
func Leases(ix *fleet.Index, o Options) []state.Action {
	o = o.withDefaults(ix)
	var actions []state.Action
	var renewed []model.TaskID
	for _, t := range sortedTasks(ix) {
		switch {
		case ix.Now() > t.LeaseUntil.Add(o.DriftMargin):
			actions = append(actions, lapse(ix, t))
		case t.LeaseUntil.Sub(ix.Now()) < ix.Lease()/2 && renewable(ix, t):
			renewed = append(renewed, t.ID)
		}
	}
	if len(renewed) > 0 {
		actions = append(actions, state.Action{RenewTasks: &state.RenewTasks{Tasks: renewed, LeaseUntil: ix.LeaseUntil()}})
	}
	ix.Plan(actions...)
	return actions
}

// sortedTasks lists the tasks whose lease is in its second half, by ID.
func sortedTasks(ix *fleet.Index) []*model.Task {
	var due []*model.Task
	for _, t := range ix.Snap.View.Tasks {
		if t.LeaseUntil.Sub(ix.Now()) < ix.Lease()/2 {
			due = append(due, t)
		}
	}
	slices.SortFunc(due, func(a, b *model.Task) int { return cmp.Compare(a.ID, b.ID) })
	return due
}

func lapse(ix *fleet.Index, t *model.Task) state.Action {
	late := ix.Now().Sub(t.LeaseUntil)
	return state.Action{
		Reason:  fmt.Sprintf("the lease lapsed %s ago without a word of VM %s", late, t.VM),
		EndTask: &state.EndTask{Task: t.ID, Outcome: state.OutcomeLapsed, Moved: true},
	}
}

// renewable reports whether a task is to go on: not one that was told to
// stop, nor one on a VM that is gone. Their leases lapse.
func renewable(ix *fleet.Index, t *model.Task) bool {
	if t.State == model.TaskStopping || cancelled(ix, t) {
		return false
	}
	v := ix.VM(t.VM)
	if v == nil || v.Listed == nil {
		return false
	}
	if v.Listed.Health == model.VMUnknown {
		return ix.Now().Sub(v.Listed.HealthSince) <= unknownGrace*ix.Lease()
	}
	return v.Listed.Health == model.VMUp
}

func cancelled(ix *fleet.Index, t *model.Task) bool {
	job := ix.Job(t.Job)
	return job != nil && job.Cancelled
}
