package member

import "time"

const (
	// patience is how long a request is tried at one core VM after another.
	// What is not run by then is refused at once, with a time to come back: the
	// caller can use the rest of its deadline.
	patience = 1200 * time.Millisecond
	// patienceShare of the caller's deadline is used at most.
	patienceShare = 0.35
	// retryAfter is when a caller whose request was not run should come back.
	retryAfter = time.Second
	// operatorPatience is a little less than the second after which operators
	// and workers turn to another VM.
	operatorPatience = 950 * time.Millisecond
)

// Patience returns how long a caller's request may be tried.
func (m *Member) Patience(deadline time.Duration) time.Duration {
	return min(patience, time.Duration(patienceShare*float64(deadline)))
}

// RetryAfter is when a caller whose request was not run should come back.
func (m *Member) RetryAfter() time.Duration { return retryAfter }

// OperatorPatience is how long an order of an operator is tried.
func (m *Member) OperatorPatience() time.Duration { return operatorPatience }
