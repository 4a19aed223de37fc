package dispatch

import (
	"context"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/steady"
	"github.com/comfreyloom/comfreyloom/internal/workers"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

const (
	// orderTimeout bounds the first call about a run; a worker answers within a
	// few milliseconds. Each further one may take twice as long, up to
	// maxOrderTimeout, so that a slow worker is not flooded.
	orderTimeout    = 300 * time.Millisecond
	maxOrderTimeout = 1200 * time.Millisecond
	// orderPause is the pause after a call without an answer.
	orderPause = 30 * time.Millisecond
)

// sendOrders is the duty that starts and stops runs, one call after another.
func (l *link) sendOrders(ctx context.Context) {
	for ctx.Err() == nil {
		if !l.d.leads(l.fence) {
			return
		}
		c, ok := l.nextCall()
		if !ok {
			select {
			case <-l.woken:
				continue
			case <-ctx.Done():
				return
			}
		}
		if !l.perform(ctx, c) {
			steady.Pause(ctx, orderPause)
		}
	}
}

func (l *link) nextCall() (call, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queue) == 0 || l.outranked || l.gone {
		return call{}, false
	}
	c := l.queue[0]
	l.queue = l.queue[1:]
	if len(l.queue) > 0 {
		poke(l.woken) // another sender takes the next
	}
	return c, true
}

// perform makes one call; false when it got no answer.
func (l *link) perform(ctx context.Context, c call) bool {
	ctx, cancel := context.WithTimeout(ctx, l.orderLimit(c.run))
	defer cancel()
	switch c.kind {
	case callStart:
		return l.performStart(ctx, c.run)
	case callStop:
		return l.performStop(ctx, c.run)
	default:
		return l.performPace(ctx, c)
	}
}

// orderLimit bounds the next call about a run.
func (l *link) orderLimit(run workload.RunRef) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.orderOf(run)
	limit := min(orderTimeout<<min(o.tries, 4), maxOrderTimeout)
	o.tries++
	return limit
}

func (l *link) performStart(ctx context.Context, run workload.RunRef) bool {
	o, wanted := l.d.startOrder(l.target.ID, run)
	sentAt := l.d.now()
	l.mu.Lock()
	record := l.orderOf(run)
	record.start.queued = false
	if !wanted || !l.lease.known || record.dropped {
		l.mu.Unlock()
		return true
	}
	o.LeaseUntilMS = l.grant(sentAt)
	o.Fence = l.fence
	if !record.start.sent {
		record.start.sentAt = sentAt
	}
	record.start.sent, record.start.calling = true, true
	l.mu.Unlock()
	answer, err := l.d.config.Workers.Start(ctx, l.target, o)
	l.mu.Lock()
	defer l.mu.Unlock()
	record.start.calling = false
	if err != nil {
		l.failed(err)
		if workers.NotSent(err) && !record.uncertain {
			record.start.answered, record.start.answeredAt, record.refusal = true, l.d.now(), workers.RefusedBusy
			l.refusedUntil = l.d.now() + refusedPause
		} else if !workers.NotSent(err) {
			record.uncertain = true
		}
		l.d.wakeUp()
		return false
	}
	l.heard(answer, sentAt)
	record.start.answered, record.start.answeredAt, record.refusal = true, l.d.now(), answer.Refusal
	if answer.Refusal != workers.Accepted {
		l.d.logRefusal(l.target, run, answer)
		poke(l.listen)
		l.d.wakeUp()
	}
	return true
}

// grant returns the end of the lease that goes with a call, 0 for none. While
// the worker does not answer nothing is granted beyond what it may have
// already: its leases would otherwise never surely pass.
func (l *link) grant(now time.Duration) int64 {
	if !l.lease.known {
		return 0
	}
	if l.silent(now) {
		return l.lease.grantedMS
	}
	return l.lease.until(now, l.d.config.Lease)
}

func (l *link) performStop(ctx context.Context, run workload.RunRef) bool {
	sentAt := l.d.now()
	l.mu.Lock()
	record := l.orderOf(run)
	record.stop.queued, record.stop.calling = false, true
	l.mu.Unlock()
	answer, err := l.d.config.Workers.Stop(ctx, l.target, run, l.fence)
	l.mu.Lock()
	defer l.mu.Unlock()
	record.stop.calling = false
	if err != nil {
		l.failed(err)
		l.d.wakeUp()
		return false
	}
	l.heard(answer, sentAt)
	record.stop.answered, record.stop.answeredAt = true, l.d.now()
	poke(l.listen)
	return true
}

func (l *link) performPace(ctx context.Context, c call) bool {
	sentAt := l.d.now()
	answer, err := l.d.config.Workers.Pace(ctx, l.target, c.run, c.percent, l.fence)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		delete(l.paced, c.run)
		l.failed(err)
		return false
	}
	l.heard(answer, sentAt)
	return true
}

// failed notes a call without an answer. One that never left says nothing
// about the worker's leases, but that it does not take work now.
func (l *link) failed(err error) {
	if context.Cause(l.d.leading) != nil {
		return
	}
	if l.failures == 0 {
		l.brokeAt = l.d.now()
	}
	l.failures++
	l.dirty = true
	l.d.counters.callsFailed.Inc(1)
	l.d.logSilent(l, err)
}
