package quorum

import "fmt"

// Check returns the invariants that this voter's state violates, and the
// violations that received messages have revealed since New. The normal result
// is nil. It is cheap enough to run after every Ready.
func (r *Raft) Check() []string {
	l := r.log
	consistent := l.applied <= l.applying && l.applying <= l.commit && l.commit <= l.last() && l.stable <= l.last() &&
		l.lastTerm() <= r.hard.Term && (r.role != RoleLeader || r.leader == r.cfg.Self)
	if consistent && len(r.violations) == 0 {
		return nil
	}
	violations := append([]string(nil), r.violations...)
	if !consistent {
		violations = append(violations, fmt.Sprintf(
			"own state: applied %d, handed %d, commit %d, stored %d, last %d of term %d; %v %q of term %d under %q",
			l.applied, l.applying, l.commit, l.stable, l.last(), l.lastTerm(), r.role, r.cfg.Self, r.hard.Term, r.leader))
	}
	return violations
}
