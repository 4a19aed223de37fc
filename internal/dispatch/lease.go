package dispatch

import "time"

const (
	// slowestClockRate is the slowest rate at which a worker's clock may run
	// relative to this VM's clock.
	slowestClockRate = 0.98
	// expiryMargin is added to the end of a lease before it counts as expired, as
	// the worker kills expired runs by a timer of its own.
	expiryMargin = 300 * time.Millisecond
	// drainingLease is the length of the leases of a worker that drains. Once it has
	// ended, nothing shows that but the end of its lease, and its tasks wait for it.
	drainingLease = 2 * time.Second
)

// lease is what the leader knows of a worker's clock and leases. The worker
// measures leases on its own steady clock, which the leader can only estimate:
// the worker read it at some instant between the sending of the call and the
// reply.
type lease struct {
	clockKnown bool
	// clockMS is the worker's clock as read between sentAt and receivedAt.
	clockMS            int64
	sentAt, receivedAt time.Duration
	// grantedMS is the end of the longest lease granted, on the worker's clock.
	grantedMS int64
	// expiresAt is when every lease that the worker can hold has certainly
	// expired.
	expiresAt time.Duration
}

// recordClock records a reading of the worker's clock.
func (l *lease) recordClock(clockMS int64, sentAt, receivedAt time.Duration) {
	if clockMS <= 0 || clockMS < l.clockMS {
		return
	}
	l.clockKnown, l.clockMS, l.sentAt, l.receivedAt = true, clockMS, sentAt, receivedAt
}

// extend returns the end of a lease of the given length from now on, on the
// worker's clock, and records it as granted. It counts from the latest instant
// at which the worker can have read its clock, so the lease exceeds the
// requested length at most by the drift since.
func (l *lease) extend(now, length time.Duration) int64 {
	until := l.clockMS + (now - l.receivedAt + length).Milliseconds()
	left := time.Duration(until-l.clockMS) * time.Millisecond
	expires := l.receivedAt + time.Duration(float64(left)/slowestClockRate) + expiryMargin
	l.expiresAt = max(l.expiresAt, expires)
	l.grantedMS = max(l.grantedMS, until)
	return until
}

// expired reports whether every lease has certainly expired.
func (l *lease) expired(now time.Duration) bool { return now >= l.expiresAt }
