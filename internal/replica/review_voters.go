package replica

import (
	"context"

	"github.com/comfreyloom/comfreyloom/internal/quorum"
)

// reviewVoters is the background task that queries the candidates for their
// disks whenever the leader requests a review.
func (d *driver) reviewVoters(ctx context.Context) error {
	for {
		if _, err := d.reviews.Get(ctx); err != nil {
			return err
		}
		known := d.identifyPeers(ctx, d.config.Candidates())
		known[d.config.Self] = d.Identity()
		if err := d.control(ctx, func(d *driver) { d.changeVoters(known) }); err != nil {
			return err
		}
	}
}

// voterChange is the reason for a change of the voters.
type voterChange string

const (
	noVoterChange      voterChange = ""
	voterLostDisk      voterChange = "its disk was replaced"
	voterUnresponsive  voterChange = "it does not respond"
	voterReplaced      voterChange = "it does not respond and another node waits to vote"
	voterJoins         voterChange = "it waits to vote"
	voterNotConfigured voterChange = "it is not configured any more"
)

// changeVoters proposes one change, if one is due, and schedules the next
// review soon: replacing a lost disk takes a removal and an addition.
func (d *driver) changeVoters(known identities) {
	s := d.raft.Status()
	if s.Role != quorum.RoleLeader || !s.Ready || !s.Confirmed || s.VotersPending {
		return
	}
	next, reason := d.nextVoters(s.Voters, known)
	if reason == noVoterChange {
		return
	}
	if _, _, err := d.raft.ProposeVoters(next); err != nil {
		return // the next review tries again
	}
	d.ticksToReview = 1
	d.counters.voterChanges.Inc(1)
	d.config.Log.WithField("from", s.Voters.Members).WithField("to", next.Members).
		WithField("why", string(reason)).Info("changing the voters")
}

// nextVoters applies the rule for configured voters or that for voters
// discovered at run time.
func (d *driver) nextVoters(current quorum.Voters, known identities) (quorum.Voters, voterChange) {
	if !d.config.dynamicVoters {
		return nextStaticVoters(current, d.Identity(), d.config.Members, known)
	}
	return nextDynamicVoters(current, d.Identity(), known, d.raft.Peers(), d.voterLimits())
}
