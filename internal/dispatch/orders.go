package dispatch

import (
	"context"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/schedule"
	"github.com/comfreyloom/comfreyloom/internal/steady"
	"github.com/comfreyloom/comfreyloom/internal/workers"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

const (
	// orderTimeout bounds the first call about a run; a worker answers within a
	// few milliseconds. Each further call may take twice as long, up to
	// maxOrderTimeout, so that a slow worker is not flooded.
	orderTimeout    = 300 * time.Millisecond
	maxOrderTimeout = 1200 * time.Millisecond
	// orderRetryPause is the pause after a call without a reply.
	orderRetryPause = 30 * time.Millisecond
)

// sendOrders starts and stops runs, one call after another.
func (l *link) sendOrders(ctx context.Context) {
	for l.d.awaitLeadership(ctx, l.fence) {
		c, ok := l.nextCall()
		if !ok {
			select {
			case <-l.orderReady:
				continue
			case <-ctx.Done():
				return
			}
		}
		if !l.perform(ctx, c) {
			steady.Pause(ctx, orderRetryPause)
		}
	}
}

func (l *link) nextCall() (call, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queue) == 0 || l.fenced || l.replaced {
		return call{}, false
	}
	c := l.queue[0]
	l.queue = l.queue[1:]
	if len(l.queue) > 0 {
		notify(l.orderReady) // another sender takes the next
	}
	return c, true
}

// perform makes one call. It returns false if it got no reply.
func (l *link) perform(ctx context.Context, c call) bool {
	ctx, cancel := context.WithTimeout(ctx, l.callTimeout(c.run))
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

// callTimeout returns the timeout of the next call about a run.
func (l *link) callTimeout(run workload.RunRef) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.orderOf(run)
	limit := min(orderTimeout<<min(o.tries, 4), maxOrderTimeout)
	o.tries++
	return limit
}

func (l *link) performStart(ctx context.Context, run workload.RunRef) bool {
	sentAt := l.d.now()
	// The lease of the order counts from before this check. If the process stands still
	// after it, the worker refuses the start as late.
	if !l.d.leads(l.fence) {
		l.dequeueStart(run)
		return true
	}
	o, record, wanted := l.beginStart(run, sentAt)
	if !wanted {
		return true
	}
	reply, err := l.d.config.Workers.Start(ctx, l.target, o)
	l.mu.Lock()
	defer l.mu.Unlock()
	record.start.calling = false
	if err != nil {
		l.recordFailure(err)
		if workers.NotSent(err) && !record.uncertain {
			record.start.answered, record.start.answeredAt, record.refusal = true, l.d.now(), workers.RefusedBusy
			l.refusedUntil = l.d.now() + refusalBackoff
		} else if !workers.NotSent(err) {
			if !record.uncertain {
				l.d.logUncertainStart(l.target, run, err)
			}
			record.uncertain = true
		}
		l.d.wakeUp()
		return false
	}
	l.recordReply(reply, sentAt)
	l.d.delays.recordStart(sentAt-record.start.queuedAt, l.d.now()-sentAt)
	record.start.answered, record.start.answeredAt, record.refusal = true, l.d.now(), reply.Refusal
	record.uncertain = record.uncertain || reply.Refusal == workers.OutcomeUnclear
	if reply.Refusal == workers.RefusedTicket {
		l.d.advice.reject(stepOf(run), l.target.ID, o.Ticket)
	}
	if reply.Refusal != workers.Accepted {
		l.d.logRefusal(l.target, run, reply)
		notify(l.listDue)
		l.d.wakeUp()
	}
	return true
}

// dequeueStart has the next round queue a start again that was not sent.
func (l *link) dequeueStart(run workload.RunRef) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.orderOf(run).start.queued = false
}

// beginStart marks the start of a run as sent and returns the order and the record of the
// run. It returns false if the run must not be started. No round may come between the
// reading of the state and the mark: it would release the run as one that was never sent.
func (l *link) beginStart(run workload.RunRef, sentAt time.Duration) (o workers.StartOrder, record *order, wanted bool) {
	ticket := l.d.advice.ticket(stepOf(run), l.target.ID)
	l.d.config.Machine.Read(func(t *workload.Tables) {
		l.mu.Lock()
		defer l.mu.Unlock()
		record = l.orderOf(run)
		record.start.queued = false
		if !l.lease.clockKnown || record.abandoned || !isWanted(t, l.target.ID, run) {
			return
		}
		job, _, task := t.Task(run.Task)
		o = workers.StartOrder{
			Run: run, Payload: job.Spec.Payload, Checkpoint: task.Checkpoint, Ticket: ticket,
			LeaseUntilMS: l.grantLease(sentAt), Fence: l.fence,
		}
		if !record.start.sent {
			record.start.sentAt = sentAt
		}
		record.start.sent, record.start.calling = true, true
		wanted = true
	})
	return o, record, wanted
}

func stepOf(run workload.RunRef) schedule.StepRef {
	return schedule.StepRef{Job: run.Task.Job, Occurrence: run.Task.Occurrence, Step: run.Task.Step}
}

// isWanted reports whether a run is still to be started on a worker. It is not if the
// worker drains, or its capacity has shrunk below what is committed there; the next round
// withholds it.
func isWanted(t *workload.Tables, worker workload.WorkerID, run workload.RunRef) bool {
	if _, stopping := t.Stopping[run]; stopping || !t.HasRun(worker, run) {
		return false
	}
	if w := t.Workers[worker]; w == nil || w.Draining || !t.Used[worker].Fits(w.Capacity) {
		return false
	}
	job, _, task := t.Task(run.Task)
	return task != nil && !job.State.Final()
}

// grantLease returns the end of the lease that a call grants, 0 for none. While
// the worker does not answer, nothing is granted beyond what it may already
// hold. Otherwise its leases would never certainly expire.
func (l *link) grantLease(now time.Duration) int64 {
	if !l.lease.clockKnown {
		return 0
	}
	if l.unresponsive(now) {
		return l.lease.grantedMS
	}
	return l.lease.extend(now, l.leaseLength())
}

// leaseLength returns the length of a lease that is granted now.
func (l *link) leaseLength() time.Duration {
	if l.draining {
		return min(l.d.config.Lease, drainingLease)
	}
	return l.d.config.Lease
}

func (l *link) performStop(ctx context.Context, run workload.RunRef) bool {
	sentAt := l.d.now()
	l.mu.Lock()
	record := l.orderOf(run)
	record.stop.queued, record.stop.calling = false, true
	l.mu.Unlock()
	reply, err := l.d.config.Workers.Stop(ctx, l.target, run, l.fence)
	l.mu.Lock()
	defer l.mu.Unlock()
	record.stop.calling = false
	if err != nil {
		l.recordFailure(err)
		l.d.wakeUp()
		return false
	}
	l.recordReply(reply, sentAt)
	if reply.Refusal != workers.Accepted {
		// The worker may still carry out a start of the run.
		l.d.logStopRefusal(l.target, run, reply)
		record.stop.refusedAt = l.d.now()
		return true
	}
	record.stop.answered, record.stop.answeredAt = true, l.d.now()
	notify(l.listDue)
	return true
}

func (l *link) performPace(ctx context.Context, c call) bool {
	sentAt := l.d.now()
	reply, err := l.d.config.Workers.Pace(ctx, l.target, c.run, c.percent, l.fence)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.paceUnconfirmed[c.run] = true
		l.recordFailure(err)
		return false
	}
	l.recordReply(reply, sentAt)
	if reply.Refusal != workers.Accepted {
		l.paceUnconfirmed[c.run] = true
	} else if l.pacePercent[c.run] == c.percent {
		delete(l.paceUnconfirmed, c.run)
	}
	return true
}

// recordFailure records a call without a reply. A call that was never sent
// shows nothing about the worker's leases, only that it does not take work now.
func (l *link) recordFailure(err error) {
	if context.Cause(l.d.leading) != nil {
		return
	}
	if l.failures == 0 {
		l.firstFailure = l.d.now()
	}
	l.failures++
	l.notListening = workers.NotListening(err)
	l.dirty = true
	l.d.counters.callsFailed.Inc(1)
	l.d.logUnresponsive(l, err)
}
