package placement

import (
	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Names of the invariants that guardWishes checks.
const (
	// InvariantUrgentLast: urgent jobs and instances never yield to others.
	InvariantUrgentLast = "urgent-yields-last"
	// InvariantNoLostRun: a job that can't run again is stopped only when it
	// was cancelled.
	InvariantNoLostRun = "stop-only-what-can-run-again"
	// InvariantStopBudget: no stop of instances brings a service below its budget.
	InvariantStopBudget = "stops-keep-budget"
)

// guardWishes notes the wishes that break an invariant, from the tables alone.
func guardWishes(ix *fleet.Index, wishes []Wish) {
	stopped := make(map[model.ServiceID]int)
	for _, w := range wishes {
		if w.Kind != Stop && w.Kind != Checkpoint {
			continue
		}
		if w.Task.Job == "" {
			stopped[w.Task.Service] += counted(ix, w.Task)
			continue
		}
		job := ix.Job(w.Task.Job)
		ix.Guard(w.Cause == ForCancel || w.Task.Priority != model.Urgent, InvariantUrgentLast, "%s", &w)
		ix.Guard(w.Cause == ForCancel || job != nil && job.Spec.Idempotent, InvariantNoLostRun, "%s", &w)
	}
	for id, n := range stopped {
		if n == 0 {
			continue
		}
		s := ix.Service(id)
		ix.Guard(s.Available-n >= s.Spec.MinAvailable, InvariantStopBudget,
			"%d of %d available instances of service %s are stopped; %d must stay", n, s.Available, id, s.Spec.MinAvailable)
	}
}

// counted is 1 for an instance that counts for its service's budget.
func counted(ix *fleet.Index, t *model.Task) int {
	s := ix.Service(t.Service)
	if s == nil || t.Ordinal >= s.Spec.Instances || !ix.InstanceAvailable(t) {
		return 0
	}
	return 1
}
