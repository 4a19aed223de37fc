package replica

import (
	"context"

	"github.com/comfreyloom/comfreyloom/internal/quorum"
)

// reviewVoters is the duty that asks the configured voters for their disks
// whenever the leader wants to know.
func (d *driver) reviewVoters(ctx context.Context) error {
	for {
		if _, err := d.reviews.Get(ctx); err != nil {
			return err
		}
		known := d.askOthers(ctx, d.config.Candidates())
		known[d.config.Self] = d.Identity()
		if err := d.control(ctx, func(d *driver) { d.changeVoters(known) }); err != nil {
			return err
		}
	}
}

// changeVoters proposes one change, if one is due, and asks again soon: a
// lost disk takes a removal and an addition.
func (d *driver) changeVoters(known answers) {
	s := d.raft.Status()
	if s.Role != quorum.RoleLeader || !s.Ready || !s.Confirmed || s.VotersPending {
		return
	}
	next, ok := d.nextVoters(s.Voters, known)
	if !ok {
		return
	}
	if _, _, err := d.raft.ProposeVoters(next); err != nil {
		return // the next review tries again
	}
	d.reviewIn = 1
	d.counters.voterChanges.Inc(1)
	d.config.Log.WithField("from", s.Voters.Members).WithField("to", next.Members).Info("changing the voters")
}

// nextVoters picks the rule: voters by the settings, or found while running.
func (d *driver) nextVoters(current quorum.Voters, known answers) (quorum.Voters, bool) {
	if !d.config.growing {
		return nextVoters(current, d.Identity(), d.config.Members, known)
	}
	return nextGrowing(current, d.Identity(), known, d.raft.Peers(), d.silenceLimits())
}
