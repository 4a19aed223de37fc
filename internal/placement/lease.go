package placement

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// unknownGrace is how many lease lengths a VM's heartbeat may be late before
// its leases are no longer renewed.
const unknownGrace = 2

// Leases ends the tasks whose lease expired more than the drift margin ago, and
// renews the others in one action.
//
// The worker stops a task by itself when its lease ends. If this clock runs
// ahead of the worker's, ending the task without the margin would let a second
// attempt run beside the first.
func Leases(ix *fleet.Index, o Options) []state.Action {
	o = o.withDefaults()
	l := &leases{ix: ix, margin: o.DriftMargin}
	for _, v := range ix.VMs {
		for i := range v.Running {
			l.classify(v, &v.Running[i])
		}
	}
	for _, t := range ix.UnknownVMTasks {
		l.classify(nil, &fleet.RunningTask{Task: t})
	}
	slices.SortFunc(l.actions, func(a, b state.Action) int { return cmp.Compare(a.EndTask.Task, b.EndTask.Task) })
	if l.due {
		l.actions = append(l.actions, l.renew())
	}
	ix.Plan(l.actions...)
	return l.actions
}

// leases sorts the tasks of one round by what happens to their leases.
type leases struct {
	ix      *fleet.Index
	margin  time.Duration
	actions []state.Action
	renewed []model.TaskID
	lapsing []model.TaskID
	// due is set when a lease to be renewed is in its second half.
	due bool
}

func (l *leases) classify(v *fleet.VM, r *fleet.RunningTask) {
	t := r.Task
	switch {
	case l.ix.Now() > t.LeaseUntil.Add(l.margin):
		l.actions = append(l.actions, lapse(l.ix, t))
	case renewable(l.ix, v, r):
		l.renewed = append(l.renewed, t.ID)
		l.due = l.due || t.LeaseUntil.Sub(l.ix.Now()) < l.ix.Lease()/2
	default:
		l.lapsing = append(l.lapsing, t.ID)
	}
}

// renew extends all leases that continue to the same instant. It lists the
// tasks whose leases lapse if they are fewer, as they are except after large
// failures, so that a renewal does not grow with the size of the site.
func (l *leases) renew() state.Action {
	r := &state.RenewTasks{Tasks: l.renewed, LeaseUntil: l.ix.LeaseUntil()}
	if len(l.lapsing) < len(l.renewed) {
		r.Tasks, r.AllExcept = l.lapsing, true
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

// renewable reports whether a task continues to run. The leases of the others
// lapse: tasks that were told to stop, tasks that the platform does not run,
// and tasks on a VM that is lost.
//
// A lease that has already ended is not renewed either: its worker stopped the
// task, so a renewal would keep the record forever while nothing runs.
func renewable(ix *fleet.Index, v *fleet.VM, r *fleet.RunningTask) bool {
	t := r.Task
	if ix.Now() >= t.LeaseUntil || t.State == model.TaskStopping || r.Cancelled() || ix.Snap.NotRunning[t.ID] {
		return false
	}
	if v == nil || v.Listed == nil {
		return false
	}
	if v.Listed.Health == model.VMUnknown {
		return ix.Now().Sub(v.Listed.HealthSince) <= unknownGrace*ix.Lease()
	}
	return v.Listed.Health == model.VMUp
}
