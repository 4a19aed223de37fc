package dispatch

import "time"

const (
	// suspicionThreshold is the number of runs that must fail on a worker, with
	// none done in between, before the worker becomes the last choice. A single
	// failure is more often the task's fault than the worker's.
	suspicionThreshold = 2
	// suspicionDuration is how long a worker stays the last choice after its last
	// failure. Then it is tried again.
	suspicionDuration = 6 * time.Second
)

// suspicion rates a worker by how its runs end, not by what it reports. A
// worker can fail everything it starts and still report that it is healthy.
type suspicion struct {
	consecutiveFailures int
	lastFailure         time.Duration
}

func (s *suspicion) recordFailure(now time.Duration) {
	s.consecutiveFailures++
	s.lastFailure = now
}

func (s *suspicion) recordSuccess() { s.consecutiveFailures = 0 }

// level returns the number of consecutive failures while the worker is the last
// choice, 0 otherwise.
func (s *suspicion) level(now time.Duration) int {
	if s.consecutiveFailures < suspicionThreshold || now-s.lastFailure > suspicionDuration {
		return 0
	}
	return s.consecutiveFailures
}
