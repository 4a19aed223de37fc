package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/workers"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// lostRun is a run that ended with its worker.
type lostRun struct {
	run workload.RunRef
	// minAge is for how long the run was known to run when the worker last
	// answered; negative when it is not known to have started.
	minAge time.Duration
	// maxAge is for how long it can have run when the worker was lost; negative
	// when that is not known.
	maxAge time.Duration
}

// lostRuns lists what may have been running on a worker that was lost, the
// youngest run first. It leaves out runs that certainly never started.
func (l *link) lostRuns(runs map[workload.RunRef]bool) []lostRun {
	var all []lostRun
	for run := range runs {
		if l.neverStarted(run) {
			continue
		}
		all = append(all, lostRun{run: run, minAge: l.minAge(run), maxAge: l.maxAge(run)})
	}
	slices.SortFunc(all, func(a, b lostRun) int {
		return cmp.Or(cmp.Compare(a.minAge, b.minAge), cmp.Compare(a.run.Task.String(), b.run.Task.String()))
	})
	return all
}

// neverStarted reports whether a committed run certainly never started on its
// worker.
func (l *link) neverStarted(run workload.RunRef) bool {
	o := l.orders[run]
	return !l.inherited[run] && (o == nil || !o.start.sent || o.certainlyRefused())
}

// neverStartedRuns lists the runs on a worker that certainly never started.
func (l *link) neverStartedRuns(runs map[workload.RunRef]bool) []workload.RunRef {
	var all []workload.RunRef
	for run := range runs {
		if l.neverStarted(run) {
			all = append(all, run)
		}
	}
	return all
}

// minAge returns for how long a run was known to be on its worker at the
// worker's last reply; negative when nothing shows that it started.
func (l *link) minAge(run workload.RunRef) time.Duration {
	startedAt := time.Duration(-1)
	if o := l.orders[run]; o != nil && o.start.answeredAt > 0 && o.refusal == workers.Accepted {
		startedAt = o.start.answeredAt
	}
	if seen := l.running[run]; seen != nil && (startedAt < 0 || seen.firstListed < startedAt) {
		startedAt = seen.firstListed
	}
	if startedAt < 0 {
		return -1
	}
	return max(l.lastReply-startedAt, 0)
}

// maxAge returns for how long a run can have been on its worker when the worker
// was lost, which is until the first call that got no reply. It is negative
// for a run that an earlier leader ordered, and when no call was in flight.
func (l *link) maxAge(run workload.RunRef) time.Duration {
	o := l.orders[run]
	if o == nil || o.start.sentAt == 0 || l.firstFailure < o.start.sentAt {
		return -1
	}
	return l.firstFailure - o.start.sentAt
}

// unfinishedTasks lists the tasks that were lost with a worker and belong to
// jobs that are not final.
func unfinishedTasks(t *workload.Tables, id workload.WorkerID, lost []lostRun) []workload.TaskRef {
	var all []workload.TaskRef
	add := func(task workload.TaskRef) {
		if job := t.Jobs[task.Job]; job != nil && !job.State.Final() {
			all = append(all, task)
		}
	}
	for i := range lost {
		add(lost[i].run.Task)
	}
	for i := range t.Losses[id] {
		add(t.Losses[id][i].Run.Task)
	}
	return all
}

// newLosses returns the losses to commit for the runs that were lost with a
// worker. When many workers are lost together, no single task is held
// responsible.
func newLosses(worker workload.WorkerID, lost []lostRun, together bool) []workload.Loss {
	losses := make([]workload.Loss, len(lost))
	for i := range lost {
		losses[i] = workload.Loss{
			Worker: worker, Run: lost[i].run, AgeMS: max(lost[i].minAge.Milliseconds(), 0), Isolated: !together && isSoleSuspect(lost, i),
		}
	}
	return losses
}

// trialPeriod is for how long after its start a run may be the cause of a crash
// of its worker.
const trialPeriod = workload.IsolationMS * time.Millisecond

// isSoleSuspect reports whether a worker was lost soon after the start of a
// run, when all other runs there had outlasted their trial period.
func isSoleSuspect(lost []lostRun, i int) bool {
	if lost[i].maxAge < 0 || lost[i].maxAge > trialPeriod {
		return false
	}
	for j := range lost {
		if j != i && lost[j].minAge < trialPeriod {
			return false
		}
	}
	return true
}

// expiredLosses returns the losses of the runs that are released because every
// lease of an unresponsive worker has expired. These are all its runs except
// those that never started.
func (l *link) expiredLosses(t *workload.Tables, runs map[workload.RunRef]bool, why *reasons) []workload.Loss {
	var losses []workload.Loss
	for _, loss := range newLosses(l.target.ID, l.lostRuns(runs), l.d.lostTogether(t, t.Workers[l.target.ID].Pool, l.lastContact)) {
		if why.released[loss.Run] == releasedLeaseExpired {
			losses = append(losses, loss)
		}
	}
	return losses
}
