package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/control"
	"github.com/comfreyloom/comfreyloom/internal/state"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

var _ control.Dispatcher = (*Dispatcher)(nil)

// Report handles a report of a worker. It returns once any change in it is
// committed: from then on no leader starts anything on a draining worker.
func (d *Dispatcher) Report(ctx context.Context, r control.Report) error {
	d.mu.Lock()
	if d.term == 0 {
		d.mu.Unlock()
		return state.ErrNotProposed
	}
	if _, ended := d.endedIncarnations[r.Worker.ID]; ended {
		d.mu.Unlock()
		return nil
	}
	if d.contradictsKnownWorker(r.Worker) {
		d.mu.Unlock()
		return nil
	}
	if l := d.links[r.Worker.ID]; l != nil && !l.recordReport(r) {
		d.mu.Unlock()
		return nil
	}
	d.checkPredecessors(r)
	d.mu.Unlock()
	if !d.changesWorker(r) {
		return nil
	}
	if err := d.config.Log.Propose(ctx, &workload.Command{Workers: []workload.Worker{r.Worker}, Sequences: []uint64{r.Sequence}}); err != nil {
		return err
	}
	d.logWorker(r)
	d.recordFirstReport(r)
	return nil
}

// recordReport records a report. It returns false if a newer one arrived
// before.
func (l *link) recordReport(r control.Report) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Sequence < l.sequence {
		return false
	}
	now := l.d.now()
	l.sequence, l.lastReport = r.Sequence, now
	l.lastContact, l.forgotten = now, false
	l.lease.recordClock(r.ClockMS, now, now)
	if l.isUnconfirmed() {
		notify(l.listDue)
	}
	return true
}

// recordFirstReport passes the clock of a new worker to its link.
func (d *Dispatcher) recordFirstReport(r control.Report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.term == 0 {
		return
	}
	if d.links[r.Worker.ID] == nil {
		w := r.Worker
		d.openLink(d.leading, &w, func(*link) {})
	}
	d.links[r.Worker.ID].recordReport(r)
	d.wakeUp()
}

// checkPredecessors requests a list from a worker at whose address another
// incarnation reports. If the worker has ended, the reply shows it at once.
func (d *Dispatcher) checkPredecessors(r control.Report) {
	for id, l := range d.links {
		if id == r.Worker.ID || l.target.Address != r.Worker.Address {
			continue
		}
		l.mu.Lock()
		l.checkIncarnation = true
		l.mu.Unlock()
		notify(l.listDue)
	}
}

// contradictionInterval is the time between two log lines about reports that contradict
// one worker. Each of them is counted.
const contradictionInterval = time.Minute

// contradictsKnownWorker reports whether a report names another address than the
// worker with its ID, or a pool that is not configured. An incarnation keeps both, so
// the report is not from that worker. If it were accepted, the worker and its runs
// would be taken out of their pool, or be called where they are not.
func (d *Dispatcher) contradictsKnownWorker(w workload.Worker) bool {
	unknownPool, otherAddress := false, false
	d.config.Machine.Read(func(t *workload.Tables) {
		old := t.Workers[w.ID]
		unknownPool = old != nil && old.Pool != w.Pool && !t.HasPool(w.Pool)
		otherAddress = old != nil && old.Address != w.Address
	})
	if !unknownPool && !otherAddress {
		return false
	}
	d.counters.contradictions.Inc(1)
	if !d.contradictions.Allow(string(w.ID), d.now()) {
		return true
	}
	line := d.config.Logger.WithField("worker", string(w.ID)).WithField("pool", w.Pool).WithField("address", w.Address)
	if unknownPool {
		line.Warn("report left aside: the worker is known in another pool and this one is not configured")
	} else {
		line.Warn("report left aside: the worker is known at another address")
	}
	return true
}

// changesWorker reports whether a report holds anything that the state lacks.
func (d *Dispatcher) changesWorker(r control.Report) bool {
	changed, w := true, r.Worker
	d.config.Machine.Read(func(t *workload.Tables) {
		old := t.Workers[w.ID]
		if r.Sequence < t.Sequences[w.ID] {
			w.Capacity = old.Capacity // a newer report arrived before
		}
		changed = old == nil || old.Pool != w.Pool || old.Address != w.Address || old.Capacity != w.Capacity ||
			old.Kind != w.Kind || old.Rack != w.Rack || w.Draining && !old.Draining
	})
	return changed
}

// workersOfPool lists the workers of a pool, sorted by ID.
func workersOfPool(t *workload.Tables, pool string) []workload.WorkerID {
	var ids []workload.WorkerID
	for id, w := range t.Workers {
		if w.Pool == pool {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
