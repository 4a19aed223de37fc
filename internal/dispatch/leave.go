package dispatch

import (
	"context"
	"fmt"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/state"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

const (
	// noticeTimeout bounds how long a notice waits for the runs of its worker to end.
	// Workers send a notice again after a second.
	noticeTimeout = 750 * time.Millisecond
	// noticeAttempt bounds the wait of one call of Leave, with what it commits. It is less
	// than control allows for an attempt; the caller tries again.
	noticeAttempt      = 200 * time.Millisecond
	noticePollInterval = 10 * time.Millisecond
)

// errRunsLeft is returned while the runs of a worker that leaves are being stopped. Sending
// the notice again is safe, so that control does as if nothing had been proposed.
var errRunsLeft = fmt.Errorf("dispatch: the runs of the worker are being stopped: %w", state.ErrNotProposed)

// Leave handles a worker's notice that it ends. It returns nil once no leader starts
// anything on the worker any more and its runs have been stopped, as far as it answers in
// time. The worker runs on until it has the acknowledgement, or for some seconds without
// one, so a run whose end it has not listed stays committed until the end of the worker is
// certain (see link.endReason).
func (d *Dispatcher) Leave(ctx context.Context, id workload.WorkerID) error {
	attemptEnd := d.now() + noticeAttempt
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
	return d.awaitStops(ctx, id, attemptEnd)
}

// awaitStops waits until a worker that leaves has no runs; the round removes it then. It
// returns errRunsLeft at the end of the attempt if the time since the first notice allows
// waiting for longer.
func (d *Dispatcher) awaitStops(ctx context.Context, id workload.WorkerID, attemptEnd time.Duration) error {
	for ctx.Err() == nil {
		if _, known := d.workerByID(id); !known {
			return nil
		}
		due, leads := d.stopsDue(id)
		switch now := d.now(); {
		case !leads:
			return state.ErrNotProposed
		case now >= due:
			return nil
		case now >= attemptEnd:
			return errRunsLeft
		}
		d.pause(ctx, noticePollInterval)
	}
	return ctx.Err()
}

// stopsDue returns until when the notice of a worker waits for its runs to end, 0 if it takes
// no orders any more. It returns false if this VM no longer leads.
func (d *Dispatcher) stopsDue(id workload.WorkerID) (due time.Duration, leads bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.links[id]
	if l == nil {
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.leaving {
		return 0, false // it leads again, and has not had the notice since
	}
	if l.notListening {
		return 0, true
	}
	return l.leavingSince + noticeTimeout, true
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

// recordLeaving marks the link of a worker that has sent the notice and has runs. The next
// round stops them.
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
		l.leavingSince = d.now()
	}
	l.leaving, l.draining, l.dirty = true, true, true
	notify(l.listDue)
	d.wakeUp()
}

// endReason returns why it is certain that the worker has ended, "" while it is not. A
// notice is no proof, as the worker runs on until it has the acknowledgement. Neither is a
// refused connection, nor the answer of another incarnation at the address of a worker that
// drains: a server that shuts down stops listening before its runs end. A worker that
// doesn't drain listens as long as it runs.
func (l *link) endReason(worker *workload.Worker, now time.Duration) string {
	switch {
	case l.endedByOrder:
		return removedOrdered
	case l.replaced && (!worker.Draining || l.hasExpired(now)):
		return removedReplaced
	default:
		return ""
	}
}
