package dispatch

import (
	"context"
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/control"
	"github.com/comfreyloom/comfreyloom/internal/state"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

var _ control.Reporter = (*Dispatcher)(nil)

// Report takes a report of a worker. It returns once what is new in it is
// committed: from then on no leader starts anything on a draining worker.
func (d *Dispatcher) Report(ctx context.Context, r control.Report) error {
	d.mu.Lock()
	if d.term == 0 {
		d.mu.Unlock()
		return state.ErrNotProposed
	}
	if _, over := d.over[r.Worker.ID]; over {
		d.mu.Unlock()
		return nil
	}
	if d.leftItsPool(r.Worker) {
		d.mu.Unlock()
		return nil
	}
	if l := d.links[r.Worker.ID]; l != nil && !l.takeReport(r) {
		d.mu.Unlock()
		return nil
	}
	d.askSuccessors(r)
	d.mu.Unlock()
	if !d.isNews(r) {
		return nil
	}
	if err := d.config.Log.Propose(ctx, &workload.Command{Workers: []workload.Worker{r.Worker}, Sequences: []uint64{r.Sequence}}); err != nil {
		return err
	}
	d.logWorker(r)
	d.firstReport(r)
	return nil
}

// takeReport notes a report; false when a newer one came before.
func (l *link) takeReport(r control.Report) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Sequence < l.sequence {
		return false
	}
	now := l.d.now()
	l.sequence, l.reported = r.Sequence, now
	l.contact = now
	l.lease.hear(r.ClockMS, now, now)
	return true
}

// firstReport hands the clock of a new worker to its link.
func (d *Dispatcher) firstReport(r control.Report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.term == 0 {
		return
	}
	if d.links[r.Worker.ID] == nil {
		w := r.Worker
		d.open(d.leading, &w, func(*link) {})
	}
	d.links[r.Worker.ID].takeReport(r)
	d.wakeUp()
}

// askSuccessors has a worker asked at whose address another incarnation
// reports: if it is over, the answer says so at once.
func (d *Dispatcher) askSuccessors(r control.Report) {
	for id, l := range d.links {
		if id == r.Worker.ID || l.target.Address != r.Worker.Address {
			continue
		}
		l.mu.Lock()
		l.asked = true
		l.mu.Unlock()
		poke(l.listen)
	}
}

// leftItsPool says whether a worker that is known claims a pool that the
// configuration does not name. An incarnation stays in its pool, so the report
// is not its own; taken for news it would take the worker, and what
// runs on it, from its pool.
func (d *Dispatcher) leftItsPool(w workload.Worker) bool {
	left := false
	d.config.Machine.Read(func(t *workload.Tables) {
		old := t.Workers[w.ID]
		left = old != nil && old.Pool != w.Pool && !t.HasPool(w.Pool)
	})
	if left {
		d.config.Logger.WithField("worker", string(w.ID)).WithField("pool", w.Pool).
			Warn("report left aside: the worker is known in another pool and this one is not configured")
	}
	return left
}

// isNews says whether the tables lack what a worker announced.
func (d *Dispatcher) isNews(r control.Report) bool {
	news, w := true, r.Worker
	d.config.Machine.Read(func(t *workload.Tables) {
		old := t.Workers[w.ID]
		if r.Sequence < t.Sequences[w.ID] {
			w.Capacity = old.Capacity // it was overtaken
		}
		news = old == nil || old.Pool != w.Pool || old.Address != w.Address || old.Capacity != w.Capacity ||
			old.Kind != w.Kind || old.Rack != w.Rack || w.Draining && !old.Draining
	})
	return news
}

// Leave takes note that an incarnation is over.
func (d *Dispatcher) Leave(ctx context.Context, id workload.WorkerID) error {
	d.mu.Lock()
	leads := d.term != 0
	if leads {
		d.over[id] = d.now()
	}
	d.mu.Unlock()
	if !leads {
		return state.ErrNotProposed
	}
	known := false
	d.config.Machine.Read(func(t *workload.Tables) { known = t.Workers[id] != nil })
	if !known {
		return nil
	}
	if err := d.config.Log.Propose(ctx, &workload.Command{Gone: []workload.WorkerID{id}}); err != nil {
		return err
	}
	d.logGone(0, id, goneReason{why: goneLeft})
	return nil
}

// poolOf lists the workers of a pool in order.
func poolOf(t *workload.Tables, pool string) []workload.WorkerID {
	var ids []workload.WorkerID
	for id, w := range t.Workers {
		if w.Pool == pool {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
