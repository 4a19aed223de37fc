package dispatch

import (
	"context"

	"github.com/comfreyloom/comfreyloom/internal/state"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// Leave handles a worker's notice that it ends. It returns once no leader starts
// anything on the worker any more. The worker runs on until it has the
// acknowledgement, or for some seconds without one, so its runs stay committed until
// its end is certain (see link.endReason).
func (d *Dispatcher) Leave(ctx context.Context, id workload.WorkerID) error {
	d.mu.Lock()
	leads := d.term != 0
	d.mu.Unlock()
	if !leads {
		return state.ErrNotProposed
	}
	worker, known := d.workerByID(id)
	if !known {
		d.recordEnded(id)
		return nil
	}
	if !worker.Draining {
		worker.Draining = true
		if err := d.config.Log.Propose(ctx, &workload.Command{Workers: []workload.Worker{worker}}); err != nil {
			return err
		}
	}
	if d.hasNoRuns(id) {
		return d.removeLeaving(ctx, id)
	}
	d.recordLeaving(&worker)
	return nil
}

// workerByID returns a copy of a worker in the replicated state.
func (d *Dispatcher) workerByID(id workload.WorkerID) (worker workload.Worker, known bool) {
	d.config.Machine.Read(func(t *workload.Tables) {
		if w := t.Workers[id]; w != nil {
			worker, known = *w, true
		}
	})
	return worker, known
}

// recordEnded has late reports of an incarnation ignored.
func (d *Dispatcher) recordEnded(id workload.WorkerID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.endedIncarnations[id] = d.now()
}

// removeLeaving removes a worker that drains and has no runs: nothing depends on when
// it ends.
func (d *Dispatcher) removeLeaving(ctx context.Context, id workload.WorkerID) error {
	d.recordEnded(id)
	if err := d.config.Log.Propose(ctx, &workload.Command{EndedWorkers: []workload.WorkerID{id}}); err != nil {
		return err
	}
	d.logRemoved(0, id, removalReason{why: removedLeft}, d.evidenceOf(id))
	return nil
}

// evidenceOf returns what is known of a worker now, the zero value without a link.
func (d *Dispatcher) evidenceOf(id workload.WorkerID) evidence {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.links[id]
	if l == nil {
		return evidence{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.evidenceAt(d.now())
}

// recordLeaving marks the link of a worker that has sent the notice and has runs.
func (d *Dispatcher) recordLeaving(worker *workload.Worker) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.term == 0 {
		return
	}
	if d.links[worker.ID] == nil {
		d.openLink(d.leading, worker, func(*link) {})
	}
	l := d.links[worker.ID]
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.leaving {
		d.logLeaving(l)
	}
	l.leaving, l.draining, l.dirty = true, true, true
	notify(l.listDue)
}

// endReason returns why it is certain that the worker has ended, "" while it is not.
// A notice is no proof, as the worker runs on until it has the acknowledgement. A
// refused connection is one if the worker has announced its end: the report named the
// address, and a worker listens there as long as it runs.
func (l *link) endReason(worker *workload.Worker) string {
	switch {
	case l.endedByOrder:
		return removedOrdered
	case l.replaced:
		return removedReplaced
	case worker.Draining && l.notListening:
		return removedLeft
	default:
		return ""
	}
}
