package dispatch

import (
	"slices"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/workers"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// reconcileRun queues the orders that a committed run needs. It returns the
// reason why it is certain that the run neither runs nor will run, or "" while
// it is not certain. A withheld run does not start any more: its worker drains,
// the worker's capacity has shrunk, or its job is final.
func (l *link) reconcileRun(run workload.RunRef, stopping, withheld bool, now time.Duration) string {
	if l.hasListedEnd(run) {
		return ""
	}
	o := l.orderOf(run)
	if l.cannotRun(run, o, now) {
		o.abandoned = true
		if !o.start.sent && !l.inherited[run] {
			return releasedUnsent
		}
		return releasedLeaseExpired
	}
	_, listed := l.running[run]
	if listed {
		delete(l.inherited, run)
		// A listed run was ordered by this leader or an earlier one. From now on it
		// must never count as one that was not sent.
		o.start.sent, o.start.answered, o.refusal = true, true, workers.Accepted
		if stopping {
			l.orderStop(run, o, now)
		}
		return ""
	}
	if o.certainlyRefused() {
		return releasedRefused
	}
	if l.mayHaveUnlistedEnd(run, o) {
		return ""
	}
	if l.inherited[run] {
		if l.listedAt == 0 || l.unreadableRows > 0 {
			return ""
		}
		delete(l.inherited, run)
	}
	switch {
	case stopping || o.refusal != workers.Accepted && o.uncertain:
		l.orderStop(run, o, now)
		return l.unlistedSince(o.stop)
	case !o.start.answered && withheld:
		return l.withholdStart(run, o, now)
	case !o.start.answered:
		l.orderStart(run, o, now)
		return ""
	default:
		return l.unlistedSince(o.start)
	}
}

// isFinal reports whether a run belongs to a final job. Runs of such a job may
// continue, but none starts.
func isFinal(t *workload.Tables, run workload.RunRef) bool {
	job := t.Jobs[run.Task.Job]
	return job == nil || job.State.Final()
}

// withholdStart prevents a start that must not happen any more. It returns the
// reason why it is certain that the run will not start, or "" while it is not
// certain.
func (l *link) withholdStart(run workload.RunRef, o *order, now time.Duration) string {
	if !o.start.sent {
		o.abandoned = true
		return releasedWithheld
	}
	l.orderStop(run, o, now)
	return l.unlistedSince(o.stop)
}

// unlistedSince returns releasedUnlisted if a list was requested after the
// reply to a call. The caller has checked that the last list lacks the run. If a row
// of that list can't be read, it may hold the end that the list before it named.
func (l *link) unlistedSince(p callState) string {
	if p.answered && l.listedAt > p.answeredAt && l.unreadableRows == 0 {
		return releasedUnlisted
	}
	return ""
}

// cannotRun reports whether a run on an unresponsive worker can't run any more:
// it was never ordered, or every lease has expired. This remains true if the
// worker answers again before the release is committed, as the run is not
// ordered again. Only a list that names the run disproves it.
func (l *link) cannotRun(run workload.RunRef, o *order, now time.Duration) bool {
	if !l.unresponsive(now) {
		_, listed := l.running[run]
		return o.abandoned && !listed
	}
	if !o.start.sent && !l.inherited[run] {
		return true
	}
	return l.hasExpired(now)
}

// hasExpired reports whether nothing runs on the worker any more because every lease has
// expired. The worker may take as long to end an expired run as a stopped one.
func (l *link) hasExpired(now time.Duration) bool {
	return l.lease.expired(now - l.d.config.StopTime)
}

// hasListedEnd reports whether the worker listed an end of the run that is not
// committed yet.
func (l *link) hasListedEnd(run workload.RunRef) bool {
	return slices.ContainsFunc(l.ends, func(e workload.End) bool { return e.Run == run })
}

// mayHaveUnlistedEnd reports whether the end of a run may be one that the last list
// left out. If the run were taken for absent, a task that is done would be started
// again.
func (l *link) mayHaveUnlistedEnd(run workload.RunRef, o *order) bool {
	return l.moreEnds && (o.start.sent || l.inherited[run])
}

func (l *link) orderStart(run workload.RunRef, o *order, now time.Duration) {
	if !o.start.queued && !o.start.calling {
		o.start.queued, o.start.queuedAt = true, now
		l.enqueue(call{kind: callStart, run: run})
	}
}

// orderStop queues a stop, and queues it again if it was refused or answered
// without effect.
func (l *link) orderStop(run workload.RunRef, o *order, now time.Duration) {
	if o.stop.queued || o.stop.calling || o.stop.answered && now-o.stop.queuedAt < stopRetryInterval {
		return
	}
	if o.stop.refusedAt > 0 && now-o.stop.refusedAt < refusedStopRetryInterval {
		return
	}
	o.stop.queued, o.stop.queuedAt = true, now
	l.enqueue(call{kind: callStop, run: run})
}

// stopUnplannedRuns stops runs on the worker that are not committed there.
func (l *link) stopUnplannedRuns(runs map[workload.RunRef]bool, now time.Duration) {
	for run := range l.running {
		if runs[run] {
			continue
		}
		o := l.orderOf(run)
		if !o.unplanned {
			o.unplanned = true
			l.d.logUnplannedRun(l, run)
		}
		l.orderStop(run, o, now)
	}
}

// forgetOrders drops the records of runs that are neither committed nor listed.
func (l *link) forgetOrders(runs map[workload.RunRef]bool) {
	for run := range l.orders {
		if _, listed := l.running[run]; !listed && !runs[run] {
			delete(l.orders, run)
			delete(l.pacePercent, run)
			delete(l.paceUnconfirmed, run)
			delete(l.evicted, run)
		}
	}
}
