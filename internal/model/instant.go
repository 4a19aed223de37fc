package model

import "time"

// Instant is a point in time in milliseconds since the Unix epoch. The replicated
// state and the code that decides on it get the time as an argument of this type
// instead of reading a clock; it encodes the same on every VM.
type Instant int64

// InstantOf converts a time and truncates it to milliseconds.
func InstantOf(t time.Time) Instant { return Instant(t.UnixMilli()) }

// Time converts back to a time in UTC.
func (i Instant) Time() time.Time { return time.UnixMilli(int64(i)).UTC() }

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d.Milliseconds()) }

// Sub returns the duration from other to i.
func (i Instant) Sub(other Instant) time.Duration {
	return time.Duration(i-other) * time.Millisecond
}
