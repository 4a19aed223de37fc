package dispatch

import (
	"strconv"
	"strings"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// Reasons for log lines: why a worker was removed, and why a run was released.
// Package explain prints them.
const (
	removedReplaced     = "another incarnation answers"
	removedUnresponsive = "silent with nothing on it"
	removedLeft         = "it left"
	removedOrdered      = "an order for its VM was carried out"

	releasedLeaseExpired = "its leases have passed"
	releasedUnsent       = "it was never ordered"
	releasedRefused      = "its start was refused"
	releasedWithheld     = "it may not begin any more"
	releasedUnlisted     = "a later list does not hold it"
)

// impliesNeverStarted reports whether a run that was released for a reason
// certainly never started.
func impliesNeverStarted(reason string) bool {
	return reason == releasedUnsent || reason == releasedRefused || reason == releasedWithheld
}

// reasons holds, for log lines, why a round decided what it commits.
type reasons struct {
	released map[workload.RunRef]string
	removed  map[workload.WorkerID]removalReason
	evidence map[workload.WorkerID]evidence
}

// evidence is what the leader knew of a worker when it decided that runs there are over.
type evidence struct {
	// replyAge is the time since the worker last replied, listAge since its last complete
	// lists were requested; negative if that never happened.
	replyAge, listAge time.Duration
	// leaseLeft is how long the worker may still hold a lease, negative if it holds none.
	leaseLeft time.Duration
	// failures is the number of calls without a reply since then, notListening whether
	// the last of them was refused by the worker's host.
	failures          int
	notListening      bool
	draining, leaving bool
}

// evidenceAt returns what is known of the worker at a time.
func (l *link) evidenceAt(now time.Duration) evidence {
	return evidence{
		replyAge: ageOf(l.lastReply, now), listAge: ageOf(l.listedAt, now), leaseLeft: max(l.lease.expiresAt-now, -time.Millisecond),
		failures: l.failures, notListening: l.notListening, draining: l.draining, leaving: l.leaving,
	}
}

// ageOf returns the age of an event, -1 ms for one that never happened.
func ageOf(at, now time.Duration) time.Duration {
	if at == 0 {
		return -time.Millisecond
	}
	return now - at
}

// removalReason holds why a worker was removed and what was lost with it.
type removalReason struct {
	why  string
	lost []lostRun
	// tasks lists what was lost with the worker, now or while it was unresponsive,
	// of jobs that were not final.
	tasks []workload.TaskRef
}

func newReasons() *reasons {
	return &reasons{released: map[workload.RunRef]string{}, removed: map[workload.WorkerID]removalReason{}, evidence: map[workload.WorkerID]evidence{}}
}

// maxLostLogged bounds the runs that one line names.
const maxLostLogged = 24

// formatLost formats runs as task#attempt:age in milliseconds.
func formatLost(all []lostRun) string {
	var text strings.Builder
	for i, lost := range all[:min(len(all), maxLostLogged)] {
		if i > 0 {
			text.WriteByte(' ')
		}
		age := lost.minAge.Milliseconds()
		if lost.minAge < 0 {
			age = -1
		}
		text.WriteString(lost.run.Task.String() + "#" + strconv.Itoa(lost.run.Attempt) + ":" + strconv.FormatInt(age, 10))
	}
	return text.String()
}
