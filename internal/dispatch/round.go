package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/schedule"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// round reconciles the replicated state with the workers. It commits what the
// workers listed and what is decided next, and queues the orders that follow
// from the committed state. It returns how long it took, without its commit.
func (d *Dispatcher) round(ctx context.Context, term uint64) time.Duration {
	began := time.Now()
	command := &workload.Command{Term: term}
	why := newReasons()
	d.mu.Lock()
	d.syncLinks(ctx)
	d.config.Machine.Read(func(t *workload.Tables) {
		held := 0
		d.recordLostContacts(t)
		d.stalled = d.stalled[:0]
		for _, l := range d.links {
			d.reconcile(t, l, command, why)
			held += min(len(t.Runs[l.target.ID]), 1)
		}
		d.heldWorkers.Store(int64(held))
		d.stopStalledRuns(t)
		d.schedule(t, command)
	})
	d.prune(command)
	d.mu.Unlock()
	work := time.Since(began)
	d.counters.roundTime.Update(work)
	d.delays.recordRound(work)
	d.logDelays(d.now())
	if !isEmpty(command) {
		sortEnds(command)
		proposedAt := d.now()
		if d.propose(ctx, command) == nil {
			d.delays.recordCommit(d.now() - proposedAt)
			d.logDecisions(command, why)
		}
	}
	return work
}

func isEmpty(c *workload.Command) bool {
	return len(c.Ends)+len(c.Releases)+len(c.EndedWorkers)+len(c.Due)+len(c.Starts)+len(c.Returned)+len(c.Cleared) == 0 && c.ForgetBeforeMS == 0
}

const (
	// endedJobRetention is how long requests about an ended job are answered. It
	// is five times what callers are promised, so that a delayed resend still
	// finds the job.
	endedJobRetention = 10 * time.Minute
	// pruneInterval is the time between two prunings of ended jobs.
	pruneInterval = 30 * time.Second
)

// prune drops jobs and incarnations that ended longer than endedJobRetention ago.
// Otherwise the state would grow with every job ever submitted.
func (d *Dispatcher) prune(c *workload.Command) {
	now := d.now()
	if now-d.prunedAt < pruneInterval {
		return
	}
	d.prunedAt = now
	c.ForgetBeforeMS = d.config.WallMS() - endedJobRetention.Milliseconds()
	d.config.Machine.Read(d.advice.prune)
	for id, at := range d.endedIncarnations {
		if now-at > endedJobRetention {
			delete(d.endedIncarnations, id)
		}
	}
}

// sortEnds sorts the ends of each worker by number, the only order in which
// they are accepted.
func sortEnds(c *workload.Command) {
	slices.SortStableFunc(c.Ends, func(a, b workload.End) int {
		if a.Worker != b.Worker {
			return 0
		}
		return int(int64(a.Number) - int64(b.Number))
	})
}

// syncLinks opens links for new workers and closes those of workers that were
// removed from the state.
func (d *Dispatcher) syncLinks(ctx context.Context) {
	d.config.Machine.Read(func(t *workload.Tables) {
		for id, w := range t.Workers {
			if d.links[id] == nil {
				d.openLink(ctx, w, func(*link) {})
			}
		}
		for id, l := range d.links {
			if t.Workers[id] == nil {
				l.cancel()
				delete(d.links, id)
				if !l.isForgotten() {
					d.endedIncarnations[id] = d.now()
				}
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
	l.draining = worker.Draining
	l.listsUnplanned = l.hasUnplannedRun(runs)
	l.dropAckedEnds(worker.Acked)
	if ended := l.endReason(worker, now); ended != "" {
		why.evidence[worker.ID] = l.evidenceAt(now)
		d.removeEnded(t, l, worker, c, why, ended)
		return
	}
	for _, e := range l.ends {
		if e.Number > worker.Acked {
			c.Ends = append(c.Ends, e)
			l.scoreEnd(t, e, now)
		}
	}
	expired := false
	withholds := worker.Draining || !t.Used[worker.ID].Fits(worker.Capacity)
	for run := range runs {
		_, stopping := t.Stopping[run]
		if reason := l.reconcileRun(run, stopping || l.evicted[run] || l.leaving && !l.neverStarted(run), withholds || isFinal(t, run), now); reason != "" {
			why.released[run] = reason
			why.evidence[worker.ID] = l.evidenceAt(now)
			expired = expired || reason == releasedLeaseExpired
			if impliesNeverStarted(reason) {
				c.NeverStarted = append(c.NeverStarted, run)
			}
			c.Releases = append(c.Releases, workload.Release{Worker: worker.ID, Run: run})
		}
	}
	if expired && !worker.Draining {
		c.Lost = append(c.Lost, l.expiredLosses(t, runs, why)...)
	}
	hasLosses := len(t.Losses[worker.ID]) > 0
	if hasLosses && l.failures == 0 && l.lastReply > 0 {
		c.Returned = append(c.Returned, worker.ID)
	}
	l.clearSuspects(t, c)
	l.stopUnplannedRuns(runs, now)
	l.forgetOrders(runs)
	l.detectStalls(t, now)
	l.adjustPace(t, now)
	l.setNeedsCalls(len(runs) > 0 || hasLosses && now-l.lastReport < maxContactAge)
	l.updateIdle(len(runs) == 0 && len(l.running) == 0, now)
	switch {
	case len(runs) > 0:
	case l.leaving:
		c.EndedWorkers = append(c.EndedWorkers, worker.ID)
		why.evidence[worker.ID] = l.evidenceAt(now)
		why.removed[worker.ID] = removalReason{why: removedLeft}
	case now-max(l.lastContact, l.openedAt) > forgetWorkerAfter:
		l.forgotten = true
		c.EndedWorkers = append(c.EndedWorkers, worker.ID)
		why.evidence[worker.ID] = l.evidenceAt(now)
		why.removed[worker.ID] = removalReason{why: removedUnresponsive}
	}
}

// removeEnded removes a worker that has certainly ended, with all its runs. A worker
// that announced its end, or that an order ended, did not crash.
func (d *Dispatcher) removeEnded(t *workload.Tables, l *link, worker *workload.Worker, c *workload.Command, why *reasons, ended string) {
	runs := t.Runs[worker.ID]
	lost := l.lostRuns(runs)
	c.EndedWorkers = append(c.EndedWorkers, worker.ID)
	c.NeverStarted = append(c.NeverStarted, l.neverStartedRuns(runs)...)
	why.removed[worker.ID] = removalReason{why: ended, lost: lost, tasks: unfinishedTasks(t, worker.ID, lost)}
	if !worker.Draining && ended != removedOrdered {
		c.Lost = append(c.Lost, newLosses(worker.ID, lost, d.lostTogether(t, worker.Pool, l.lastContact))...)
		c.Crashed = append(c.Crashed, worker.ID)
	}
}

// reconcileInterval is how often a worker without changes is reconciled, because
// some decisions depend on time alone.
const reconcileInterval = 150 * time.Millisecond

// isDue reports whether a worker must be reconciled in this round. In most rounds
// only a few of hundreds of workers must.
func (l *link) isDue(changes uint64, now time.Duration) bool {
	if !l.dirty && changes == l.reconciledChanges && now-l.reconciledAt < reconcileInterval {
		return false
	}
	l.dirty, l.reconciledChanges, l.reconciledAt = false, changes, now
	return true
}

// forgetWorkerAfter is how long a worker without runs may be out of contact
// before it is removed. Its next report adds it again.
const forgetWorkerAfter = 2 * time.Minute

// dropAckedEnds drops the ends that are committed and lets the next list be
// requested.
func (l *link) dropAckedEnds(acked uint64) {
	l.acked = acked
	before := len(l.ends)
	l.ends = slices.DeleteFunc(l.ends, func(e workload.End) bool { return e.Number <= acked })
	if before > 0 && len(l.ends) == 0 {
		notify(l.listDue)
	}
}

func (l *link) setNeedsCalls(wanted bool) {
	if wanted && !l.needsCalls {
		notify(l.listDue)
	}
	l.needsCalls = wanted
}

func (l *link) updateIdle(idle bool, now time.Duration) {
	if !idle {
		l.idleSince = 0
	} else if l.idleSince == 0 {
		l.idleSince = now
	}
}

// scoreEnd counts an end for or against the worker, once.
func (l *link) scoreEnd(t *workload.Tables, e workload.End, now time.Duration) {
	if l.scored >= e.Number {
		return
	}
	l.scored = e.Number
	switch e.Kind {
	case workload.EndFailed:
		l.suspicion.recordFailure(now)
	case workload.EndDone:
		l.suspicion.recordSuccess()
	}
}

// schedule adds the starts that are decided next.
func (d *Dispatcher) schedule(t *workload.Tables, c *workload.Command) {
	now := d.now()
	workers, unresponsive := d.workerStates(t, now)
	nowMS := d.config.WallMS()
	d.counters.measure(t, workers, unresponsive, now, nowMS)
	plan := schedule.Make(schedule.Input{
		Tables: t, Workers: workers, Freed: freedCapacity(t, c), Advice: d.advice.get, Overdue: d.overdueSuspects(now), NowMS: nowMS, MaxStarts: maxStarts,
		Room: d.config.Room,
	})
	d.counters.recordFirstStarts(t, plan.Starts, nowMS)
	c.Starts, c.Due = plan.Starts, plan.Due
	d.advice.setWaiting(plan.AdviceNeeded)
}

// workerStates returns what a plan has to know of the workers beyond the tables, and how
// many of them do not answer.
func (d *Dispatcher) workerStates(t *workload.Tables, now time.Duration) (states map[workload.WorkerID]schedule.Worker, unresponsive int) {
	states = make(map[workload.WorkerID]schedule.Worker, len(d.links))
	suspects := d.suspectsByWorker(t)
	for id, l := range d.links {
		l.mu.Lock()
		if l.unresponsive(now) {
			unresponsive++
		}
		w := schedule.Worker{
			Usable:          l.usable(now) && !l.listsUnplanned,
			Closing:         l.closing,
			Evacuating:      l.evacuating,
			MaintenanceSoon: l.maintenanceSoon,
			RecentFailures:  l.suspicion.level(now),
			RecentSuspects:  suspects[id].count,
			Isolating:       suspects[id].isolated,
		}
		if len(d.waitingSuspects) > 0 {
			w.RecentRuns = l.countOnTrial(t.Runs[id])
		}
		states[id] = w
		l.mu.Unlock()
	}
	return states, unresponsive
}

// hasUnplannedRun reports whether the worker lists a run that is not committed
// there and takes capacity that the state does not account for.
func (l *link) hasUnplannedRun(runs map[workload.RunRef]bool) bool {
	for run := range l.running {
		if !runs[run] {
			return true
		}
	}
	return false
}
