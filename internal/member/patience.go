package member

import "time"

const (
	// maxRequestTimeout bounds the time for which a request is sent to one core VM
	// after another. A request that has not run by then is refused with a time to
	// retry, so that the caller can use the rest of its deadline.
	maxRequestTimeout = 1200 * time.Millisecond
	// requestTimeoutShare is the largest share of the caller's deadline to use.
	requestTimeoutShare = 0.35
	// retryAfter is the time after which a caller should retry a request that was
	// not run.
	retryAfter = time.Second
	// operatorTimeout is slightly less than the second after which operators and
	// workers try another VM.
	operatorTimeout = 950 * time.Millisecond
)

// RequestTimeout returns the timeout for the request of a caller with the given
// deadline.
func (m *Member) RequestTimeout(deadline time.Duration) time.Duration {
	return min(maxRequestTimeout, time.Duration(requestTimeoutShare*float64(deadline)))
}

// RetryAfter returns the time after which a caller should retry a request that
// was not run.
func (m *Member) RetryAfter() time.Duration { return retryAfter }

// OperatorTimeout returns the timeout for the request of an operator or worker.
func (m *Member) OperatorTimeout() time.Duration { return operatorTimeout }
