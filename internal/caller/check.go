package caller

import (
	"fmt"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// The invariants that this package guards, checked while it runs:
//
//   - InvariantSingle: a non-idempotent request is not handed to an upstream
//     after a try that may have run;
//   - InvariantVerdict: not-run is reported only if no try may have run;
//   - InvariantHeld: what requests reserve is given back, and not twice.
const (
	InvariantSingle  = "non-idempotent request is sent at most once"
	InvariantVerdict = "not-run is true"
	InvariantHeld    = "reservations balance"
)

// maxBroken bounds the broken invariants remembered.
const maxBroken = 64

// Broken returns the invariants that were broken since the start, at most
// maxBroken of them. It is empty unless the program has a fault.
func (s *Server) Broken() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	broken := append([]string(nil), s.broken...)
	if s.buffers.used.Load() < 0 || s.active.Load() < 0 {
		broken = append(broken, InvariantHeld)
	}
	return broken
}

// report counts and logs a broken invariant.
func (s *Server) report(invariant string, q *request) {
	s.counters.broken.Inc(1)
	s.Logger.Errorf("callers: invariant broken: %s: request %s", invariant, q.id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.broken) < maxBroken {
		s.broken = append(s.broken, fmt.Sprintf("%s: request %s", invariant, q.id))
	}
}

func (s *Server) checkSingle(q *request, t *tryHistory) {
	if !q.idempotent && t.verdict != model.NotRun {
		s.report(InvariantSingle, q)
	}
}

// checkVerdict compares the failure with the tries: one that says not-run
// after a try which may have run must have been widened by giveUp.
func (s *Server) checkVerdict(q *request, t *tryHistory, f *failure) {
	if f.verdict == model.NotRun && t.verdict != model.NotRun && !q.idempotent {
		s.report(InvariantVerdict, q)
	}
}
