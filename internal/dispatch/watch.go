package dispatch

import (
	"time"

	"github.com/comfreyloom/comfreyloom/internal/workload"
)

const (
	// standstill is how long a run may show no progress before it is stopped
	// and started elsewhere. A task of many seconds moves by one in a hundred
	// several times in this time.
	standstill = 2 * time.Second
	// atWork is the progress at which a lasting task is at work.
	atWork = 100
)

// standingRun is a lasting run that shows no progress.
type standingRun struct {
	link *link
	run  workload.RunRef
	seen *observed
}

// watch finds the runs that stand still: a worker can hold a task for ever,
// renew its lease and report that it is well. Those that end are stopped.
func (l *link) watch(t *workload.Tables, now time.Duration) {
	if l.silent(now) {
		return
	}
	for run, seen := range l.running {
		if seen.still() < standstill {
			continue
		}
		job, _, task := t.Task(run.Task)
		if task == nil || !t.HasRun(l.target.ID, run) {
			continue
		}
		spec := &job.Spec.Steps[run.Task.Step]
		if spec.Gang || spec.Fills || spec.Lasting && seen.Percent >= atWork {
			continue
		}
		if spec.Lasting {
			l.d.standing = append(l.d.standing, standingRun{link: l, run: run, seen: seen})
			continue
		}
		l.noteStandstill(run, seen, now, nil)
		l.orderStop(run, l.orderOf(run), now)
	}
}

// noteStandstill counts a standstill against the worker, once a run.
func (l *link) noteStandstill(run workload.RunRef, seen *observed, now time.Duration, waitsFor *workload.TaskRef) {
	o := l.orderOf(run)
	if o.standing {
		return
	}
	o.standing = true
	l.suspicion.inRow += suspicionFrom
	l.suspicion.last = now
	l.d.counters.standstills.Inc(1)
	l.d.logStandstill(l, run, seen, waitsFor)
}

// stopStanding stops the lasting runs that stand still, as far as the budgets of
// their steps allow.
func (d *Dispatcher) stopStanding(t *workload.Tables) {
	for _, s := range d.standing {
		job, step, task := t.Task(s.run.Task)
		if task == nil || s.link.evicts(s.run) {
			continue
		}
		away := d.awayButStanding(s.run, &job.Spec.Steps[s.run.Task.Step], step)
		s.link.mu.Lock()
		s.link.noteStandstill(s.run, s.seen, d.now(), away)
		s.link.mu.Unlock()
		if away == nil {
			s.link.evictRun(s.run)
		}
	}
}
