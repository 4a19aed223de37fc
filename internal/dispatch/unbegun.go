package dispatch

import (
	"github.com/comfreyloom/comfreyloom/internal/workers"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// Pending returns the number of live jobs of a queue of which nothing has started yet,
// not counting repeated jobs. A start has to be accepted or listed by its worker to
// count; a committed one may still be refused.
func (d *Dispatcher) Pending(queue workload.QueueID) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	d.config.Machine.Read(func(t *workload.Tables) {
		n = t.Pending(queue)
		for _, job := range t.Live[queue] {
			if job.State == workload.JobRunning && job.Spec.Repeat == nil && !d.hasBegun(job) {
				n++
			}
		}
	})
	return n
}

// hasBegun reports whether any run of a job has begun.
func (d *Dispatcher) hasBegun(job *workload.Job) bool {
	return job.HasProgress() || !job.EachRun(func(worker workload.WorkerID, run workload.RunRef) bool {
		l := d.links[worker]
		return l != nil && !l.hasBegun(run)
	})
}

// hasBegun reports whether the worker has accepted or listed a run, or an earlier
// leader committed it.
func (l *link) hasBegun(run workload.RunRef) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.orders[run]
	accepted := o != nil && o.start.answered && o.refusal == workers.Accepted
	return accepted || l.inherited[run] || l.running[run] != nil || l.hasListedEnd(run)
}
