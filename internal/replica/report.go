package replica

import (
	"time"

	"github.com/comfreyloom/comfreyloom/internal/quorum"
)

// leaderlessInterval is the time between two lines of a voter that knows no
// leader. An election takes less.
const leaderlessInterval = 3 * time.Second

// report tracks what this voter last logged about the voters and the leader.
type report struct {
	// voters are the committed voters of the last line.
	voters quorum.Voters
	// leaderlessTicks counts the ticks since a leader was known or since the
	// last line that there is none.
	leaderlessTicks uint64
}

// logVotersAndLeader logs a change of the voters in force, and that no leader is known.
// Without these lines a site that can't elect a leader, because too few of its
// voters are left, looks like one that is starting.
func (d *driver) logVotersAndLeader(passedTicks uint64) {
	s := d.raft.Status()
	d.logVoters(s)
	if s.Leader != "" {
		d.report.leaderlessTicks = 0
		return
	}
	d.report.leaderlessTicks += passedTicks
	if d.report.leaderlessTicks < uint64(leaderlessInterval/d.config.TickInterval) {
		return
	}
	d.report.leaderlessTicks = 0
	d.config.Log.WithField("role", s.Role.String()).WithField("term", s.Term).WithField("voters", s.Voters.Members).
		WithField("quorum", s.Voters.Quorum()).WithField("granted", s.Granted).WithField("last", s.Last).Warn("no leader is known")
}

func (d *driver) logVoters(s quorum.Status) {
	if s.VotersPending || s.Voters.Equal(d.report.voters) {
		return
	}
	d.report.voters = s.Voters
	d.config.Log.WithField("voters", s.Voters.Members).WithField("quorum", s.Voters.Quorum()).
		WithField("term", s.Term).WithField("commit", s.Commit).Info("voters in force")
}
