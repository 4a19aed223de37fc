package dispatch

import (
	"time"

	"github.com/comfreyloom/comfreyloom/internal/workload"
)

const (
	// stallTimeout is how long a run may show no progress before it is stopped and
	// started elsewhere. A task of many seconds advances by one percent several
	// times in this period.
	stallTimeout = 2 * time.Second
	// availablePercent is the progress at which a long-running task is available.
	availablePercent = 100
)

// stalledRun is a long-running run that shows no progress.
type stalledRun struct {
	link *link
	run  workload.RunRef
	seen *observedRun
}

// detectStalls finds the runs that are stalled. A worker can hold a task
// forever, renew its lease and report that it is healthy. Stalled runs of tasks
// that are not long-running are stopped.
func (l *link) detectStalls(t *workload.Tables, now time.Duration) {
	if l.unresponsive(now) {
		return
	}
	for run, seen := range l.running {
		if seen.stalledFor() < stallTimeout {
			continue
		}
		job, _, task := t.Task(run.Task)
		if task == nil || !t.HasRun(l.target.ID, run) {
			continue
		}
		spec := &job.Spec.Steps[run.Task.Step]
		if spec.Gang || spec.BestEffort || spec.LongRunning && seen.Percent >= availablePercent {
			continue
		}
		if spec.LongRunning {
			l.d.stalled = append(l.d.stalled, stalledRun{link: l, run: run, seen: seen})
			continue
		}
		l.recordStall(run, seen, now, nil)
		l.orderStop(run, l.orderOf(run), now)
	}
}

// recordStall counts a stall against the worker, once per run.
func (l *link) recordStall(run workload.RunRef, seen *observedRun, now time.Duration, waitsFor *workload.TaskRef) {
	o := l.orderOf(run)
	if o.stallRecorded {
		return
	}
	o.stallRecorded = true
	l.suspicion.consecutiveFailures += suspicionThreshold
	l.suspicion.lastFailure = now
	l.d.counters.stalls.Inc(1)
	l.d.logStall(l, run, seen, waitsFor)
}

// stopStalledRuns stops the stalled long-running runs, as far as the budgets of
// their steps allow.
func (d *Dispatcher) stopStalledRuns(t *workload.Tables) {
	for _, s := range d.stalled {
		job, step, task := t.Task(s.run.Task)
		if task == nil || s.link.isEvicted(s.run) {
			continue
		}
		blocker := d.stallBudgetBlocker(s.run, &job.Spec.Steps[s.run.Task.Step], step)
		s.link.mu.Lock()
		s.link.recordStall(s.run, s.seen, d.now(), blocker)
		s.link.mu.Unlock()
		if blocker == nil {
			s.link.evictRun(s.run, evictedStalled)
		}
	}
}
