package dispatch

import (
	"time"

	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// clearSuspects lists the suspects whose runs have lasted long enough.
func (l *link) clearSuspects(t *workload.Tables, c *workload.Command) {
	if len(t.Suspects) == 0 {
		return
	}
	for run := range l.running {
		if t.Suspects[run.Task] != nil && l.minAge(run).Milliseconds() >= workload.ClearAfterMS {
			c.Cleared = append(c.Cleared, run.Task)
		}
	}
}

// workerSuspects describes the suspects on a worker.
type workerSuspects struct {
	// count is the number of runs on trial whose task lost a worker before.
	count int
	// isolated: one of them must run alone until its trial period has passed.
	isolated bool
}

// suspectsByWorker finds the workers with suspects on trial, and records since
// when the other suspects wait for a start.
func (d *Dispatcher) suspectsByWorker(t *workload.Tables) map[workload.WorkerID]workerSuspects {
	byWorker := map[workload.WorkerID]workerSuspects{}
	previous := d.waitingSuspects
	d.waitingSuspects = map[workload.TaskRef]time.Duration{}
	t.EachSuspect(func(ref workload.TaskRef, lost int) {
		_, _, task := t.Task(ref)
		if task == nil || task.Done {
			return
		}
		if len(task.Runs) == 0 {
			d.waitingSuspects[ref] = d.now()
			if since, waited := previous[ref]; waited {
				d.waitingSuspects[ref] = since
			}
		}
		for _, run := range task.Runs {
			l := d.links[run.Worker]
			if l == nil || !l.onTrial(workload.RunRef{Task: ref, Attempt: run.Attempt}) {
				continue
			}
			at := byWorker[run.Worker]
			at.count++
			at.isolated = at.isolated || lost >= workload.IsolationThreshold
			byWorker[run.Worker] = at
		}
	})
	return byWorker
}

// maxSuspectWait is how long a suspect waits for a worker of its own.
const maxSuspectWait = 2 * time.Second

// overdueSuspects lists the suspects that have waited for maxSuspectWait.
func (d *Dispatcher) overdueSuspects(now time.Duration) map[workload.TaskRef]bool {
	all := map[workload.TaskRef]bool{}
	for ref, since := range d.waitingSuspects {
		if now-since >= maxSuspectWait {
			all[ref] = true
		}
	}
	return all
}

// onTrial reports whether a run is in its trial period, in which it may still
// crash its worker.
func (l *link) onTrial(run workload.RunRef) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.minAge(run) < trialPeriod
}

// countOnTrial counts the runs on the worker that are on trial.
func (l *link) countOnTrial(runs map[workload.RunRef]bool) int {
	n := 0
	for run := range runs {
		if l.minAge(run) < trialPeriod {
			n++
		}
	}
	return n
}
