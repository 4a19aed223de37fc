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
	// bounds how old the progress of its tasks is, and must leave several
	// tries within a lease.
	holdWait = 1000 * time.Millisecond
	// shortWait is the wait after a call got no answer: each lost one costs its
	// wait before the ends of the worker's tasks are known.
	shortWait = 250 * time.Millisecond
	// shortFor is how long waits stay short after that.
	shortFor = 5 * time.Second
	// holdSlack is the time for the call besides the wait.
	holdSlack = 300 * time.Millisecond
	// holdRetry is the pause after a call without an answer.
	holdRetry    = 150 * time.Millisecond
	maxHoldRetry = 900 * time.Millisecond
	// commitWait is how long the next call waits for the listed ends to be
	// committed; until then the worker would list them again at once.
	commitWait = 400 * time.Millisecond
)

// holdLeases is the duty that renews leases and asks for the lists, while
// anything runs on the worker or must be known of it.
func (l *link) holdLeases(ctx context.Context) {
	for ctx.Err() == nil {
		if !l.d.leads(l.fence) {
			return
		}
		if !l.mustHold() {
			select {
			case <-l.listen:
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
		steady.Pause(ctx, l.d.holdPause())
	}
}

// holdsPerSecond is what all calls for lists of a leader together should not
// exceed: beside the starts of a peak they would otherwise take most of its
// processor, and every answer would come late.
const holdsPerSecond = 600

// freelyHeld is how many workers are called without a pause: a site as small as
// that leaves the leader most of its processor, and each pause delays the next
// task of a full worker.
const freelyHeld = 60

// holdPause is the pause between two calls to one worker that keeps all within
// that rate.
func (d *Dispatcher) holdPause() time.Duration {
	return time.Duration(max(d.held.Load()-freelyHeld, 0)) * time.Second / holdsPerSecond
}

func (l *link) mustHold() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	doubted := l.failures > 0 && l.d.now()-l.reported < freshContact
	return !l.gone && !l.outranked && (l.wanted || l.asked || len(l.running) > 0 || doubted)
}

// retryPause grows with the calls in a row that got no answer.
func (l *link) retryPause() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return min(time.Duration(max(l.failures, 1))*holdRetry, maxHoldRetry)
}

// hold makes one call; false when it got no answer.
func (l *link) hold(ctx context.Context) bool {
	sentAt := l.d.now()
	o := l.holdOrder(sentAt)
	limit := time.Duration(o.WaitMS)*time.Millisecond + holdSlack
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	list, err := l.d.config.Workers.Hold(ctx, l.target, o)
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.d.wakeUp()
	if err != nil {
		l.failed(err)
		l.lostHoldAt = l.d.now()
		return false
	}
	// The clock was read when the answer was written; the wait lies before it.
	l.heard(list.Answer, l.d.now()-time.Millisecond)
	if list.Refusal != workers.Accepted {
		return true
	}
	l.takeList(list, sentAt)
	return true
}

func (l *link) holdOrder(now time.Duration) workers.HoldOrder {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := workers.HoldOrder{Fence: l.fence, Acked: l.acked, LeaseUntilMS: l.grant(now)}
	if l.unread > 0 {
		o.WaitMS = shortWait.Milliseconds()
	} else if l.listedAt > 0 && !l.silent(now) && !l.awaitsList() {
		o.WaitMS = l.waitNow(now).Milliseconds()
	}
	return o
}

func (l *link) waitNow(now time.Duration) time.Duration {
	if l.lostHoldAt > 0 && now-l.lostHoldAt < shortFor {
		return shortWait
	}
	return holdWait
}

// awaitsList says whether an answered order waits for a newer list.
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

// takeList takes in both lists of an answer.
//
// A list with a row that can't be read says what runs, not what doesn't: a run
// that it lacks may be the one in that row. Taken for absent the run would be
// released and started elsewhere while it goes on, twice at one time. So what
// was listed before stays, unless its end is listed, and listedAt, by which
// committed runs count as absent, stays as it was. The worker gets no new work
// until it can be read again.
func (l *link) takeList(list workers.List, sentAt time.Duration) {
	now := l.d.now()
	before := l.running
	if list.Unread > 0 && l.unread == 0 {
		l.d.logUnread(l, list.Unread)
	}
	l.unread = list.Unread
	l.running = make(map[workload.RunRef]*observed, len(list.Running))
	for _, r := range list.Running {
		seen := &observed{Running: r, first: now, sinceMS: list.ClockMS, listedMS: list.ClockMS}
		if old := before[r.Run]; old != nil {
			seen.first = old.first
			if old.Percent == r.Percent {
				seen.sinceMS = old.sinceMS
			}
		}
		l.running[r.Run] = seen
	}
	// The worker forgets all ends up to the last one that is acknowledged, also one
	// that could not be read: later ones wait.
	l.ends = list.Ends[:len(list.Ends)-list.EndsAfterGap]
	if l.unread > 0 {
		l.keepListed(before)
		return
	}
	l.listedAt = sentAt
}

// keepListed adds the runs that were listed before and have not ended.
func (l *link) keepListed(before map[workload.RunRef]*observed) {
	for run, seen := range before {
		if l.running[run] == nil && !l.isEnding(run) {
			l.running[run] = seen
		}
	}
}

// awaitCommit waits until the ends that the worker listed are committed.
func (l *link) awaitCommit(ctx context.Context) {
	deadline := l.d.now() + commitWait
	for l.hasEnds() && l.d.now() < deadline && ctx.Err() == nil {
		select {
		case <-l.listen:
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
