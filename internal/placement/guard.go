package placement

import (
	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Names of the invariants that guardPlanned checks.
const (
	// InvariantNoUrgentPreemption: the task of an urgent job is stopped only
	// when the job was cancelled.
	InvariantNoUrgentPreemption = "urgent-yields-last"
	// InvariantNoLostRun: a job that can't run again is stopped only when it
	// was cancelled.
	InvariantNoLostRun = "stop-only-what-can-run-again"
	// InvariantStopBudget: stopping instances never brings a service below its
	// budget.
	InvariantStopBudget = "stops-keep-budget"
)

// guardPlanned records the planned actions that break an invariant. It reads
// only the tables, not the decisions that led to the actions.
func guardPlanned(ix *fleet.Index, planned []PlannedAction) {
	stopped := make(map[model.ServiceID]int)
	for _, a := range planned {
		if a.Kind != Stop && a.Kind != Checkpoint {
			continue
		}
		if a.Task.Job == "" {
			stopped[a.Task.Service] += countsForBudget(ix, a.Task)
			continue
		}
		job := ix.Job(a.Task.Job)
		ix.Guard(a.Cause == ForCancel || a.Task.Priority != model.Urgent, InvariantNoUrgentPreemption, "%s", &a)
		ix.Guard(a.Cause == ForCancel || job != nil && job.Spec.Idempotent, InvariantNoLostRun, "%s", &a)
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

// countsForBudget returns 1 for an instance that counts towards its service's
// budget, else 0.
func countsForBudget(ix *fleet.Index, t *model.Task) int {
	s := ix.Service(t.Service)
	if s == nil || t.Ordinal >= s.Spec.Instances || !ix.InstanceAvailable(t) {
		return 0
	}
	return 1
}
