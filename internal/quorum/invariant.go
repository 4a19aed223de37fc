package quorum

import "fmt"

// Check returns what is broken in this voter's own state, and what messages
// showed to be broken, since New. The normal result is nil. It is cheap
// enough to run after every Ready.
func (r *Raft) Check() []string {
	l := r.log
	sound := l.applied <= l.handed && l.handed <= l.commit && l.commit <= l.last() && l.stable <= l.last() &&
		l.lastTerm() <= r.hard.Term && (r.role != RoleLeader || r.leader == r.cfg.Self)
	if sound && len(r.broken) == 0 {
		return nil
	}
	broken := append([]string(nil), r.broken...)
	if !sound {
		broken = append(broken, fmt.Sprintf(
			"own state: applied %d, handed %d, commit %d, stored %d, last %d of term %d; %v %q of term %d under %q",
			l.applied, l.handed, l.commit, l.stable, l.last(), l.lastTerm(), r.role, r.cfg.Self, r.hard.Term, r.leader))
	}
	return broken
}
