package replica

import "github.com/comfreyloom/comfreyloom/internal/quorum"

// trackRole detects that leadership was gained, lost or moved.
func (d *driver) trackRole() {
	s := d.raft.Status()
	if s.Role == d.role && s.Term == d.term && s.Leader == d.leader {
		return
	}
	isLeader := s.Role == quorum.RoleLeader
	if isLeader && (d.role != quorum.RoleLeader || d.term != s.Term) {
		d.counters.leaderships.Inc(1)
	}
	if !isLeader || d.term != s.Term {
		d.leadershipLost(s.Term)
	}
	if s.Leader != d.leader {
		d.config.Log.WithField("leader", string(s.Leader)).WithField("term", s.Term).Info("leader changed")
	}
	d.role, d.term, d.leader = s.Role, s.Term, s.Leader
	d.notify.signal()
}

// leadershipLost fails reads at once, as the core dropped them. Proposals get
// some time to be committed or overwritten by the successor: after an orderly
// handover the outcome of nearly all of them is known by then.
func (d *driver) leadershipLost(term uint64) {
	d.reads.failAll(d.notLeaderError())
	for _, w := range d.waiters {
		if w.deadline == 0 && w.term < term || d.raft.Status().Role != quorum.RoleLeader && w.deadline == 0 {
			w.deadline = d.ticks + uint64(2*d.config.ElectionTicks)
		}
	}
}

// expireWaiters reports an unknown outcome to proposals whose deadline has passed.
func (d *driver) expireWaiters() {
	n := d.waiters.unknown("leadership was lost before a quorum confirmed the command", func(_ uint64, w *waiter) bool {
		return w.deadline != 0 && d.ticks >= w.deadline
	})
	d.counters.unknown.Inc(n)
}

func (d *driver) publishStatus() {
	d.status.Store(&publishedStatus{status: d.raft.Status(), at: d.lastTick})
}
