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

// watch stops the runs that stand still: a worker can hold a task for ever,
// renew its lease and report that it is well.
func (l *link) watch(t *workload.Tables, now time.Duration) {
	for run, seen := range l.running {
		if l.silent(now) || seen.still() < standstill {
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
		if o := l.orderOf(run); !o.standing {
			o.standing = true
			l.suspicion.inRow += suspicionFrom
			l.suspicion.last = now
			l.d.counters.standstills.Inc(1)
			l.d.logStandstill(l, run, seen, now)
		}
		l.orderStop(run, l.orderOf(run), now)
	}
}
