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

// Leases ends the tasks whose lease lapsed with the drift margin, and renews
// the others in one action.
//
// The worker stops a task by itself when its lease ends. Were the task ended
// here before that, by a clock that runs ahead of the worker's, a second
// attempt would run beside the first; the margin is for that.
func Leases(ix *fleet.Index, o Options) []state.Action {
	o = o.withDefaults()
	l := &leases{ix: ix, margin: o.DriftMargin}
	for _, v := range ix.VMs {
		for i := range v.Running {
			l.look(v, &v.Running[i])
		}
	}
	for _, t := range ix.Strays {
		l.look(nil, &fleet.Running{Task: t})
	}
	slices.SortFunc(l.actions, func(a, b state.Action) int { return cmp.Compare(a.EndTask.Task, b.EndTask.Task) })
	if l.due {
		l.actions = append(l.actions, l.renew())
	}
	ix.Plan(l.actions...)
	return l.actions
}

// leases sorts the tasks of one round by what becomes of their leases.
type leases struct {
	ix      *fleet.Index
	margin  time.Duration
	actions []state.Action
	renewed []model.TaskID
	lapsing []model.TaskID
	// due says that a lease to be renewed is in its second half.
	due bool
}

func (l *leases) look(v *fleet.VM, r *fleet.Running) {
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

// renew extends all leases that are to go on to one instant. It names the
// tasks that lapse where they are fewer, which they are but for disasters, so
// that a renewal does not grow with the site.
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

// renewable reports whether a task is to go on. The others lapse: what was
// told to stop, what the platform does not run, what is on a VM that is gone.
//
// Nor is a lease renewed that ended already. Its worker stopped the task; a
// renewal would keep the record alive for ever, and nothing would run.
func renewable(ix *fleet.Index, v *fleet.VM, r *fleet.Running) bool {
	t := r.Task
	if ix.Now() >= t.LeaseUntil || t.State == model.TaskStopping || r.Cancelled() || ix.Snap.Gone[t.ID] {
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
