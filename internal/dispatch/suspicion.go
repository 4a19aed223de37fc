package dispatch

import "time"

const (
	// suspicionFrom is the number of runs that must fail on a worker, with none
	// done in between, before it becomes the last choice: one failure is more
	// often the task's fault than the worker's.
	suspicionFrom = 2
	// suspicionLasts is how long a worker stays the last choice after its last
	// failure. Then it is tried again.
	suspicionLasts = 6 * time.Second
)

// suspicion judges a worker by how runs end there, not by what it reports: a
// worker can fail all that it starts and still report that it is well.
type suspicion struct {
	inRow int
	last  time.Duration
}

func (s *suspicion) failed(now time.Duration) {
	s.inRow++
	s.last = now
}

func (s *suspicion) done() { s.inRow = 0 }

// level is 0 for a worker without suspicion.
func (s *suspicion) level(now time.Duration) int {
	if s.inRow < suspicionFrom || now-s.last > suspicionLasts {
		return 0
	}
	return s.inRow
}
