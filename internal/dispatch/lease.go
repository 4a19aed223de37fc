package dispatch

import "time"

const (
	// slowClock is the slowest that a worker's clock may run against ours.
	slowClock = 0.98
	// lapseMargin is added to the end of a lease before it counts as passed:
	// the worker kills what lapsed by a timer of its own.
	lapseMargin = 300 * time.Millisecond
)

// lease is what the leader knows of a worker's clock and leases. The worker
// measures leases on its own steady clock, which ours only estimates: the
// worker read it at some instant between sending the call and the answer.
type lease struct {
	known bool
	// clockMS is the worker's clock as read between sentAt and heardAt.
	clockMS         int64
	sentAt, heardAt time.Duration
	// grantedMS is the end of the longest lease granted, on the worker's clock.
	grantedMS int64
	// lapsedAt is when every lease that the worker can have has surely passed.
	lapsedAt time.Duration
}

// hear takes in a reading of the worker's clock.
func (l *lease) hear(clockMS int64, sentAt, heardAt time.Duration) {
	if clockMS <= 0 || clockMS < l.clockMS {
		return
	}
	l.known, l.clockMS, l.sentAt, l.heardAt = true, clockMS, sentAt, heardAt
}

// until returns the end of a lease of the given length from now on, on the
// worker's clock, and notes it as granted. It is counted from the latest
// instant at which the worker can have read its clock, so it is never longer
// than asked for by more than the drift since.
func (l *lease) until(now, length time.Duration) int64 {
	until := l.clockMS + (now - l.heardAt + length).Milliseconds()
	left := time.Duration(until-l.clockMS) * time.Millisecond
	lapsed := l.heardAt + time.Duration(float64(left)/slowClock) + lapseMargin
	l.lapsedAt = max(l.lapsedAt, lapsed)
	l.grantedMS = max(l.grantedMS, until)
	return until
}

// passed says whether every lease has surely passed.
func (l *lease) passed(now time.Duration) bool { return now >= l.lapsedAt }
