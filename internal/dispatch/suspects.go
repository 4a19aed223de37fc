package dispatch

import (
	"time"

	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// proveSuspects lists the suspects whose runs have lasted long enough.
func (l *link) proveSuspects(t *workload.Tables, c *workload.Command) {
	if len(t.Suspects) == 0 {
		return
	}
	for run := range l.running {
		if t.Suspects[run.Task] != nil && l.ageOf(run).Milliseconds() >= workload.ProvenMS {
			c.Proven = append(c.Proven, run.Task)
		}
	}
}

// doubt is what the runs on a worker say of the next one there.
type doubt struct {
	// suspects counts those that began lately and whose task lost a worker before.
	suspects int
	// isolated: one of them is to be alone until it has outlasted its trial.
	isolated bool
}

// doubts finds the workers with suspects on their trial, and notes since when the
// others wait for a start.
func (d *Dispatcher) doubts(t *workload.Tables) map[workload.WorkerID]doubt {
	on := map[workload.WorkerID]doubt{}
	before := d.waiting
	d.waiting = map[workload.TaskRef]time.Duration{}
	t.EachSuspicion(func(ref workload.TaskRef, lost int) {
		_, _, task := t.Task(ref)
		if task == nil || task.Done {
			return
		}
		if len(task.Runs) == 0 {
			d.waiting[ref] = d.now()
			if since, waited := before[ref]; waited {
				d.waiting[ref] = since
			}
		}
		for _, run := range task.Runs {
			l := d.links[run.Worker]
			if l == nil || !l.onTrial(workload.RunRef{Task: ref, Attempt: run.Attempt}) {
				continue
			}
			at := on[run.Worker]
			at.suspects++
			at.isolated = at.isolated || lost >= workload.IsolateFrom
			on[run.Worker] = at
		}
	})
	return on
}

// suspectPatience is how long a suspect waits for a worker of its own.
const suspectPatience = 2 * time.Second

// overdue lists the suspects that have waited for that long.
func (d *Dispatcher) overdue(now time.Duration) map[workload.TaskRef]bool {
	all := map[workload.TaskRef]bool{}
	for ref, since := range d.waiting {
		if now-since >= suspectPatience {
			all[ref] = true
		}
	}
	return all
}

// onTrial says whether a run may yet crash its worker soon after its start.
func (l *link) onTrial(run workload.RunRef) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ageOf(run) < trial
}

// unproven counts the runs on the worker that are on trial.
func (l *link) unproven(runs map[workload.RunRef]bool) int {
	n := 0
	for run := range runs {
		if l.ageOf(run) < trial {
			n++
		}
	}
	return n
}
