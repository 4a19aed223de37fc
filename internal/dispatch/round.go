package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/schedule"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// round brings the tables and the workers together: it commits what the
// workers listed and what is decided next, and queues the orders that follow
// from what is committed.
func (d *Dispatcher) round(ctx context.Context, term uint64) time.Duration {
	began := time.Now()
	command := &workload.Command{Term: term}
	why := newReasons()
	d.mu.Lock()
	d.syncLinks(ctx)
	d.config.Machine.Read(func(t *workload.Tables) {
		held := 0
		d.noteSilences(t)
		d.standing = d.standing[:0]
		for _, l := range d.links {
			d.reconcile(t, l, command, why)
			held += min(len(t.Runs[l.target.ID]), 1)
		}
		d.held.Store(int64(held))
		d.stopStanding(t)
		d.schedule(t, command)
	})
	d.forget(command)
	d.mu.Unlock()
	work := time.Since(began)
	d.counters.roundTime.Update(work)
	if !isEmpty(command) {
		sortCommand(command)
		if d.propose(ctx, command) == nil {
			d.logDecisions(command, why)
		}
	}
	return work
}

func isEmpty(c *workload.Command) bool {
	return len(c.Ends)+len(c.Releases)+len(c.Gone)+len(c.Due)+len(c.Starts)+len(c.Returned)+len(c.Proven) == 0 && c.ForgetBeforeMS == 0
}

const (
	// keepJobs is how long a job that ended is answered for: five times what
	// callers are promised, so that a resend that was held up finds it.
	keepJobs = 10 * time.Minute
	// forgetEvery is the time between two looks for jobs to forget.
	forgetEvery = 30 * time.Second
)

// forget drops what nobody asks for any more: the state would otherwise grow
// with every job that ever was.
func (d *Dispatcher) forget(c *workload.Command) {
	now := d.now()
	if now-d.forgotAt < forgetEvery {
		return
	}
	d.forgotAt = now
	c.ForgetBeforeMS = d.config.WallMS() - keepJobs.Milliseconds()
	for id, at := range d.over {
		if now-at > keepJobs {
			delete(d.over, id)
		}
	}
}

// sortCommand puts the ends of each worker in the order of their numbers,
// which is the only one in which they are taken.
func sortCommand(c *workload.Command) {
	slices.SortStableFunc(c.Ends, func(a, b workload.End) int {
		if a.Worker != b.Worker {
			return 0
		}
		return int(int64(a.Number) - int64(b.Number))
	})
}

// syncLinks opens links for workers that are new and closes those of workers
// that are gone from the tables.
func (d *Dispatcher) syncLinks(ctx context.Context) {
	d.config.Machine.Read(func(t *workload.Tables) {
		for id, w := range t.Workers {
			if d.links[id] == nil {
				d.open(ctx, w, func(*link) {})
			}
		}
		for id, l := range d.links {
			if t.Workers[id] == nil {
				l.cancel()
				delete(d.links, id)
				d.over[id] = d.now()
			}
		}
	})
}

// reconcile compares what is committed on a worker with what it listed.
func (d *Dispatcher) reconcile(t *workload.Tables, l *link, c *workload.Command, why *reasons) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := d.now()
	worker := t.Workers[l.target.ID]
	if worker == nil {
		return
	}
	if !l.isDue(t.Changes[worker.ID], now) {
		return
	}
	runs := t.Runs[worker.ID]
	l.foreign = l.holdsForeign(runs)
	l.takeAcked(worker.Acked)
	if l.gone {
		lost := l.lostRuns(runs)
		c.Gone = append(c.Gone, worker.ID)
		c.Lost = append(c.Lost, lossesOf(worker.ID, lost, d.lostTogether(t, worker.Pool, l.contact))...)
		c.Crashed = append(c.Crashed, worker.ID)
		c.Void = append(c.Void, l.voidRuns(runs)...)
		why.gone[worker.ID] = goneReason{why: goneReplaced, lost: lost, tasks: liveTasks(t, worker.ID, lost)}
		return
	}
	for _, e := range l.ends {
		if e.Number > worker.Acked {
			c.Ends = append(c.Ends, e)
			l.judge(t, e, now)
		}
	}
	lapsed := false
	over := !t.Used[worker.ID].Fits(worker.Capacity)
	for run := range runs {
		_, stopping := t.Stopping[run]
		if reason := l.absent(run, stopping || l.evicted[run], over || isFinal(t, run), now); reason != "" {
			why.released[run] = reason
			lapsed = lapsed || reason == releasedLapsed
			if isVoid(reason) {
				c.Void = append(c.Void, run)
			}
			c.Releases = append(c.Releases, workload.Release{Worker: worker.ID, Run: run})
		}
	}
	if lapsed {
		c.Lost = append(c.Lost, l.lapsedLosses(t, runs, why)...)
	}
	hasLosses := len(t.Losses[worker.ID]) > 0
	if hasLosses && l.failures == 0 && l.answered > 0 {
		c.Returned = append(c.Returned, worker.ID)
	}
	l.proveSuspects(t, c)
	l.stopForeign(runs, now)
	l.forgetOrders(runs)
	l.watch(t, now)
	l.steerPace(t, now)
	l.want(len(runs) > 0 || hasLosses && now-l.reported < freshContact)
	l.noteIdle(len(runs) == 0 && len(l.running) == 0, now)
	if len(runs) == 0 && now-l.contact > forgetWorker && l.contact > 0 {
		c.Gone = append(c.Gone, worker.ID)
		why.gone[worker.ID] = goneReason{why: goneSilent}
	}
}

// reconcileEvery is how often a worker is looked at about which nothing is new:
// for what passes with time alone.
const reconcileEvery = 150 * time.Millisecond

// isDue says whether a worker must be looked at in this round. Most rounds
// concern few of hundreds of workers.
func (l *link) isDue(changes uint64, now time.Duration) bool {
	if !l.dirty && changes == l.changes && now-l.reconciledAt < reconcileEvery {
		return false
	}
	l.dirty, l.changes, l.reconciledAt = false, changes, now
	return true
}

// forgetWorker is how long a worker may be silent, with nothing on it, before
// it is dropped. It comes back with its next report.
const forgetWorker = 2 * time.Minute

// takeAcked drops the ends that are committed and lets the next list be asked for.
func (l *link) takeAcked(acked uint64) {
	l.acked = acked
	before := len(l.ends)
	l.ends = slices.DeleteFunc(l.ends, func(e workload.End) bool { return e.Number <= acked })
	if before > 0 && len(l.ends) == 0 {
		poke(l.listen)
	}
}

func (l *link) want(wanted bool) {
	if wanted && !l.wanted {
		poke(l.listen)
	}
	l.wanted = wanted
}

func (l *link) noteIdle(idle bool, now time.Duration) {
	if !idle {
		l.idleSince = 0
	} else if l.idleSince == 0 {
		l.idleSince = now
	}
}

// judge counts an end for or against the worker, once.
func (l *link) judge(t *workload.Tables, e workload.End, now time.Duration) {
	if l.judged >= e.Number {
		return
	}
	l.judged = e.Number
	switch e.Kind {
	case workload.EndFailed:
		l.suspicion.failed(now)
	case workload.EndDone:
		l.suspicion.done()
	}
}

// schedule adds what is decided next.
func (d *Dispatcher) schedule(t *workload.Tables, c *workload.Command) {
	now := d.now()
	workers := make(map[workload.WorkerID]schedule.Worker, len(d.links))
	silent := 0
	doubts := d.doubts(t)
	overdue := d.overdue(now)
	for id, l := range d.links {
		l.mu.Lock()
		if l.silent(now) {
			silent++
		}
		w := schedule.Worker{
			Usable:    l.usable(now) && !l.foreign,
			Closing:   l.closing,
			Doomed:    l.doomed,
			Suspicion: l.suspicion.level(now),
			Suspects:  doubts[id].suspects,
			Trial:     doubts[id].isolated,
		}
		if len(d.waiting) > 0 {
			w.Unproven = l.unproven(t.Runs[id])
		}
		workers[id] = w
		l.mu.Unlock()
	}
	nowMS := d.config.WallMS()
	d.counters.measure(t, workers, silent, now, nowMS)
	plan := schedule.Make(schedule.Input{
		Tables: t, Workers: workers, Freed: freed(t, c), Advice: d.advice.get, Overdue: overdue, NowMS: nowMS, MaxStarts: maxStarts,
	})
	d.counters.waited(t, plan.Starts, nowMS)
	c.Starts, c.Due = plan.Starts, plan.Due
	d.advice.ask(plan.Ask)
}

// holdsForeign says whether something takes room that the tables don't know.
func (l *link) holdsForeign(runs map[workload.RunRef]bool) bool {
	for run := range l.running {
		if !runs[run] {
			return true
		}
	}
	return false
}
