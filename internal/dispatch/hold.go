package dispatch

import (
	"context"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/steady"
	"github.com/comfreyloom/comfreyloom/internal/workers"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

const (
	// holdWait is how long a worker may wait for an end before it answers. It
	// bounds the age of the known progress of its tasks, and must leave several
	// tries within a lease.
	holdWait = 1000 * time.Millisecond
	// shortHoldWait is the wait after a call without a reply. Each lost call
	// delays the ends of the worker's tasks by its wait.
	shortHoldWait = 250 * time.Millisecond
	// drainingHoldWait is the wait at a worker that drains. It leaves several tries within
	// drainingLease.
	drainingHoldWait = 500 * time.Millisecond
	// shortHoldPeriod is how long waits stay short after a call without a reply.
	shortHoldPeriod = 5 * time.Second
	// holdSlack is the time allowed for the call in addition to the wait.
	holdSlack = 300 * time.Millisecond
	// holdRetryPause is the pause after a call without a reply.
	holdRetryPause    = 150 * time.Millisecond
	maxHoldRetryPause = 900 * time.Millisecond
	// refusedHoldPause takes the place of holdRetryPause after a refused call.
	refusedHoldPause = 50 * time.Millisecond
	// leavingRetryPause takes the place of holdRetryPause for a worker whose notice waits
	// for its runs to end.
	leavingRetryPause = 20 * time.Millisecond
	// commitWait is how long the next call waits for the listed ends to be
	// committed. Until then the worker would list them again at once.
	commitWait = 400 * time.Millisecond
)

// holdLeases renews leases and requests the lists, while anything runs on the
// worker or its state must be known.
func (l *link) holdLeases(ctx context.Context) {
	for l.d.awaitLeadership(ctx, l.fence) {
		if !l.mustHold() {
			select {
			case <-l.listDue:
				continue
			case <-ctx.Done():
				return
			}
		}
		if !l.hold(ctx) {
			steady.Pause(ctx, l.retryPause())
			continue
		}
		l.awaitCommit(ctx)
		steady.Pause(ctx, l.holdPause())
	}
}

// defaultListRate is the intended maximum number of list requests per second of a
// leader that makes them itself. At a peak, when it also sends many starts, more of
// them would take most of its processor and delay every reply.
const defaultListRate = 600

// unpacedWorkers is how many workers are called without a pause. A site of that
// size leaves the leader most of its processor, and each pause delays the next
// task of a full worker.
const unpacedWorkers = 60

// holdPause returns the pause between two calls to one worker that keeps all
// calls within the rate of list requests.
func (d *Dispatcher) holdPause() time.Duration {
	rate := defaultListRate
	if d.config.ListRate != nil {
		rate = d.config.ListRate()
	}
	return time.Duration(max(d.heldWorkers.Load()-unpacedWorkers, 0)) * time.Second / time.Duration(rate)
}

// holdPause returns the pause before the next call, none while the notice of the worker
// waits for its runs to end.
func (l *link) holdPause() time.Duration {
	l.mu.Lock()
	leaving := l.leaving
	l.mu.Unlock()
	if leaving {
		return 0
	}
	return l.d.holdPause()
}

func (l *link) mustHold() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	unconfirmed := l.isUnconfirmed() && l.d.now()-l.lastReport < maxContactAge
	return !l.replaced && !l.fenced && (l.needsCalls || l.checkIncarnation || len(l.running) > 0 || unconfirmed || l.lacksFirstList())
}

// isUnconfirmed reports whether the last call got no reply or was refused its lists. The
// worker is not used before another one succeeds.
func (l *link) isUnconfirmed() bool { return l.failures > 0 || l.listsRefusedAt > 0 }

// retryPause grows with the number of consecutive calls without a reply.
func (l *link) retryPause() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	pause := holdRetryPause
	switch {
	case l.failures == 0:
		return refusedHoldPause
	case l.leaving:
		pause = leavingRetryPause
	}
	return min(time.Duration(l.failures)*pause, maxHoldRetryPause)
}

// hold makes one call. It returns false if it got no lists.
func (l *link) hold(ctx context.Context) bool {
	sentAt := l.d.now()
	// The lease counts from before this check, as for starts: the next leader counts the
	// leases of this one from the start of its term.
	if !l.d.leads(l.fence) {
		return false
	}
	o := l.holdOrder(sentAt)
	limit := time.Duration(o.WaitMS)*time.Millisecond + holdSlack
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	list, err := l.d.config.Workers.Hold(ctx, l.target, o)
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.d.wakeUp()
	if err != nil {
		l.recordFailure(err)
		l.lastHoldFailure = l.d.now()
		return false
	}
	// The worker read its clock when it wrote the reply, after its wait.
	l.recordReply(list.Reply, l.d.now()-time.Millisecond)
	if list.Refusal != workers.Accepted {
		if l.listsRefusedAt == 0 {
			l.listsRefusedAt = sentAt
		}
		return false
	}
	l.listsRefusedAt = 0
	if len(list.Ends) > 0 && l.lastListAt > 0 {
		l.d.delays.recordListGap(sentAt - l.lastListAt)
	}
	l.lastListAt = l.d.now()
	l.recordList(list, sentAt)
	return true
}

func (l *link) holdOrder(now time.Duration) workers.HoldOrder {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := workers.HoldOrder{Fence: l.fence, Acked: l.acked, LeaseUntilMS: l.grantLease(now)}
	if l.unreadableRows > 0 {
		o.WaitMS = shortHoldWait.Milliseconds()
	} else if l.listedAt > 0 && !l.unresponsive(now) && !l.awaitsList() {
		o.WaitMS = l.currentHoldWait(now).Milliseconds()
	}
	return o
}

func (l *link) currentHoldWait(now time.Duration) time.Duration {
	if l.lastHoldFailure > 0 && now-l.lastHoldFailure < shortHoldPeriod {
		return shortHoldWait
	}
	if l.draining {
		return drainingHoldWait
	}
	return holdWait
}

// awaitsList reports whether an answered order still needs a newer list.
func (l *link) awaitsList() bool {
	for _, o := range l.orders {
		if o.start.answered && o.refusal != workers.Accepted && o.start.answeredAt >= l.listedAt {
			return true
		}
		if o.stop.answered && o.stop.answeredAt >= l.listedAt {
			return true
		}
	}
	return false
}

// recordList takes over both lists of a reply.
//
// A list with an unreadable row shows what runs, but not what does not run: a
// run that it lacks may be the one in that row. If the run were taken for
// absent, it would be released and started elsewhere while it continues, and so
// run twice at the same time. Therefore runs that were listed before are kept
// unless their end is listed, and listedAt, which decides whether committed
// runs count as absent, stays as it was. The worker gets no new work until its
// lists can be read again.
//
// A list that may leave out ends shows all that runs, but a run that it lacks may
// have ended, see mayHaveUnlistedEnd.
func (l *link) recordList(list workers.List, sentAt time.Duration) {
	now := l.d.now()
	before := l.running
	if list.UnreadableRows > 0 && l.unreadableRows == 0 {
		l.d.logUnread(l, list.UnreadableRows)
	}
	if list.MoreEnds && !l.moreEnds {
		l.d.logMoreEnds(l, len(list.Ends))
	}
	l.unreadableRows, l.moreEnds = list.UnreadableRows, list.MoreEnds
	if l.firstListMS == 0 {
		l.firstListMS = list.ClockMS
	}
	l.running = make(map[workload.RunRef]*observedRun, len(list.Running))
	for _, r := range list.Running {
		seen := &observedRun{RunStatus: r, firstListed: now, progressSinceMS: list.ClockMS, listedMS: list.ClockMS}
		if old := before[r.Run]; old != nil {
			seen.firstListed = old.firstListed
			if old.Percent == r.Percent {
				seen.progressSinceMS = old.progressSinceMS
			}
		}
		l.running[r.Run] = seen
	}
	// The worker drops all ends up to the last acknowledged one, including one
	// that could not be read. So the ends after the unreadable row are left for a
	// later list.
	l.ends = list.Ends[:len(list.Ends)-list.EndsAfterGap]
	if l.unreadableRows > 0 {
		l.keepUnendedRuns(before)
		return
	}
	if !l.moreEnds {
		l.listedAt = sentAt
	}
}

// keepUnendedRuns adds the runs that were listed before and have not ended.
func (l *link) keepUnendedRuns(before map[workload.RunRef]*observedRun) {
	for run, seen := range before {
		if l.running[run] == nil && !l.hasListedEnd(run) {
			l.running[run] = seen
		}
	}
}

// awaitCommit waits until the ends that the worker listed are committed.
func (l *link) awaitCommit(ctx context.Context) {
	deadline := l.d.now() + commitWait
	for l.hasEnds() && l.d.now() < deadline && ctx.Err() == nil {
		select {
		case <-l.listDue:
		case <-time.After(commitWait):
		case <-ctx.Done():
		}
	}
}

func (l *link) hasEnds() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.ends) > 0
}
