package quorum

import "fmt"

// Check returns what is broken in this voter's own state, and what messages
// showed to be broken, since New. An empty result is the normal case.
func (r *Raft) Check() []string {
	broken := append([]string(nil), r.broken...)
	add := func(ok bool, format string, args ...any) {
		if !ok {
			broken = append(broken, fmt.Sprintf(format, args...))
		}
	}
	l := r.log
	add(l.applied <= l.commit, "applied only committed: applied %d, commit %d", l.applied, l.commit)
	add(l.handed <= l.commit, "applied only committed: handed %d, commit %d", l.handed, l.commit)
	add(l.commit <= l.last(), "commit within log: commit %d, last %d", l.commit, l.last())
	add(l.stable <= l.last(), "stored within log: stable %d, last %d", l.stable, l.last())
	add(l.lastTerm() <= r.hard.Term, "term covers log: last entry %d, term %d", l.lastTerm(), r.hard.Term)
	add(r.role != RoleLeader || r.leader == r.cfg.Self, "leader knows itself: %q", r.leader)
	return broken
}
