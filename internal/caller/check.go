package caller

import (
	"fmt"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// The invariants of this package, checked at run time:
//
//   - InvariantSentOnce: a non-idempotent request is not sent to an upstream
//     after an attempt that may have run;
//   - InvariantVerdict: not-run is reported only if no attempt may have run;
//   - InvariantReservations: what requests reserve is released exactly once.
const (
	InvariantSentOnce     = "non-idempotent request is sent at most once"
	InvariantVerdict      = "not-run is true"
	InvariantReservations = "reservations balance"
)

// maxViolations bounds the stored violations.
const maxViolations = 64

// Violations returns the violations of invariants since the start, at most
// maxViolations of them. It is empty unless the program has a bug.
func (s *Server) Violations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	violations := append([]string(nil), s.violations...)
	if s.buffers.used.Load() < 0 || s.active.Load() < 0 {
		violations = append(violations, InvariantReservations)
	}
	return violations
}

// reportViolation counts, logs and stores a violated invariant.
func (s *Server) reportViolation(invariant string, q *request) {
	s.counters.violations.Inc(1)
	s.Logger.Errorf("callers: invariant broken: %s: request %s", invariant, q.id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.violations) < maxViolations {
		s.violations = append(s.violations, fmt.Sprintf("%s: request %s", invariant, q.id))
	}
}

func (s *Server) checkSentOnce(q *request, t *attemptHistory) {
	if !q.idempotent && t.verdict != model.NotRun {
		s.reportViolation(InvariantSentOnce, q)
	}
}

// checkVerdict is called before finalResult widens the verdict of the last
// failure to that of all attempts. A not-run failure after an attempt that may
// have run means that a non-idempotent request was retried against the rules.
func (s *Server) checkVerdict(q *request, t *attemptHistory, f *failure) {
	if f.verdict == model.NotRun && t.verdict != model.NotRun && !q.idempotent {
		s.reportViolation(InvariantVerdict, q)
	}
}
