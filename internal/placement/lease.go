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
	o = o.withDefaults()
	var actions []state.Action
	var renewed, lapsing []model.TaskID
	due := false
	for _, t := range ix.Snap.View.Tasks {
		switch {
		case ix.Now() > t.LeaseUntil.Add(o.DriftMargin):
			actions = append(actions, lapse(ix, t))
		case renewable(ix, t):
			renewed = append(renewed, t.ID)
			due = due || t.LeaseUntil.Sub(ix.Now()) < ix.Lease()/2
		default:
			lapsing = append(lapsing, t.ID)
		}
	}
	slices.SortFunc(actions, func(a, b state.Action) int { return cmp.Compare(a.EndTask.Task, b.EndTask.Task) })
	if due {
		actions = append(actions, renew(ix, renewed, lapsing))
	}
	ix.Plan(actions...)
	return actions
}

// renew extends all leases that are to go on to one instant. It names the
// tasks that lapse where they are fewer, which they are but for disasters, so
// that a renewal does not grow with the site.
func renew(ix *fleet.Index, renewed, lapsing []model.TaskID) state.Action {
	r := &state.RenewTasks{Tasks: renewed, LeaseUntil: ix.LeaseUntil()}
	if len(lapsing) < len(renewed) {
		r.Tasks, r.AllBut = lapsing, true
	}
	slices.Sort(r.Tasks)
	return state.Action{RenewTasks: r}
}

func lapse(ix *fleet.Index, t *model.Task) state.Action {
	late := ix.Now().Sub(t.LeaseUntil)
	return state.Action{
		Reason:  fmt.Sprintf("the lease lapsed %s ago without a word of VM %s", late, t.VM),
		EndTask: &state.EndTask{Task: t.ID, Outcome: state.OutcomeLapsed, Moved: true},
	}
}

// renewable reports whether a task is to go on. The others lapse: what was
// told to stop, what the platform does not run, what is on a VM that is gone.
//
// Nor is a lease renewed that ended already. Its worker stopped the task; a
// renewal would keep the record alive for ever, and nothing would run.
func renewable(ix *fleet.Index, t *model.Task) bool {
	if ix.Now() >= t.LeaseUntil || t.State == model.TaskStopping || ix.Snap.Gone[t.ID] || cancelled(ix, t) {
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
