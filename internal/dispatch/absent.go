package dispatch

import (
	"slices"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/workers"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// absent orders what a committed run needs, and returns why it is certain that
// the run neither runs nor will; empty when it is not. A run that is withheld, as
// its worker's room has shrunk or its job is final, does not begin any more.
func (l *link) absent(run workload.RunRef, stopping, withheld bool, now time.Duration) string {
	if l.isEnding(run) {
		return ""
	}
	o := l.orderOf(run)
	if l.surelyOver(run, o, now) {
		o.dropped = true
		if !o.start.sent && !l.inherited[run] {
			return releasedUnsent
		}
		return releasedLapsed
	}
	_, listed := l.running[run]
	if listed {
		delete(l.inherited, run)
		// Whoever ordered it, it was ordered: a run that was once listed must
		// never count as one that was not sent.
		o.start.sent, o.start.answered, o.refusal = true, true, workers.Accepted
		if stopping {
			l.orderStop(run, o, now)
		}
		return ""
	}
	if o.surelyNot() {
		return releasedRefused
	}
	if l.inherited[run] {
		if l.listedAt == 0 {
			return ""
		}
		delete(l.inherited, run)
	}
	switch {
	case stopping || o.refusal != workers.Accepted && o.uncertain:
		l.orderStop(run, o, now)
		return l.unlistedSince(o.stop)
	case !o.start.answered && withheld:
		return l.withhold(run, o, now)
	case !o.start.answered:
		l.orderStart(run, o, now)
		return ""
	default:
		return l.unlistedSince(o.start)
	}
}

// isFinal says whether a run belongs to a job that is final: some work on, but
// none begins.
func isFinal(t *workload.Tables, run workload.RunRef) bool {
	job := t.Jobs[run.Task.Job]
	return job == nil || job.State.Final()
}

// withhold keeps a start back that may not happen any more, and returns why it is
// certain that it will not; empty when it is not yet.
func (l *link) withhold(run workload.RunRef, o *order, now time.Duration) string {
	if !o.start.sent {
		o.dropped = true
		return releasedWithheld
	}
	l.orderStop(run, o, now)
	return l.unlistedSince(o.stop)
}

// unlistedSince returns releasedUnlisted when a list was asked for after the
// answer to a call; the caller has seen that it lacks the run.
func (l *link) unlistedSince(p progress) string {
	if p.answered && l.listedAt > p.answeredAt {
		return releasedUnlisted
	}
	return ""
}

// surelyOver says whether a run on a worker that does not answer can't run any
// more: it was never ordered, or every lease has passed. That stands when the
// worker answers again before the release is committed, as the run is not
// ordered any more; only a list that names the run speaks against it.
func (l *link) surelyOver(run workload.RunRef, o *order, now time.Duration) bool {
	if !l.silent(now) {
		_, listed := l.running[run]
		return o.dropped && !listed
	}
	if !o.start.sent && !l.inherited[run] {
		return true
	}
	return l.lease.passed(now)
}

// isEnding says whether the worker listed an end of the run that is not
// committed yet.
func (l *link) isEnding(run workload.RunRef) bool {
	return slices.ContainsFunc(l.ends, func(e workload.End) bool { return e.Run == run })
}

func (l *link) orderStart(run workload.RunRef, o *order, now time.Duration) {
	if !o.start.queued && !o.start.calling {
		o.start.queued, o.start.queuedAt = true, now
		l.enqueue(call{kind: callStart, run: run})
	}
}

// orderStop orders a stop, and once more when it was answered without effect.
func (l *link) orderStop(run workload.RunRef, o *order, now time.Duration) {
	if o.stop.queued || o.stop.calling || o.stop.answered && now-o.stop.queuedAt < stopAgain {
		return
	}
	o.stop.queued, o.stop.queuedAt = true, now
	l.enqueue(call{kind: callStop, run: run})
}

// stopForeign stops what runs on the worker and is not committed there.
func (l *link) stopForeign(runs map[workload.RunRef]bool, now time.Duration) {
	for run := range l.running {
		if !runs[run] {
			l.orderStop(run, l.orderOf(run), now)
		}
	}
}

// forgetOrders drops what is known of runs that are neither committed nor listed.
func (l *link) forgetOrders(runs map[workload.RunRef]bool) {
	for run := range l.orders {
		if _, listed := l.running[run]; !listed && !runs[run] {
			delete(l.orders, run)
			delete(l.paced, run)
			delete(l.evicted, run)
		}
	}
}
