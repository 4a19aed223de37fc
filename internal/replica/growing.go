package replica

import (
	"maps"
	"slices"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/quorum"
)

const (
	// replaceSilence is how long a voter is silent before a node that waits
	// to vote takes its place: longer than a restart of a process takes.
	replaceSilence = 3 * time.Second
	// removeSilence is how long a voter is silent before it is removed though
	// nobody waits. It comes back by itself when it answers again.
	removeSilence = 10 * time.Second
	// leastVoters is the number of voters below which none is removed for its
	// silence: two could not lose one more.
	leastVoters = 3
)

// silenceLimits are replaceSilence and removeSilence in ticks.
type silenceLimits struct{ replace, remove uint64 }

func (d *driver) silenceLimits() silenceLimits {
	return silenceLimits{
		replace: uint64(replaceSilence / d.config.TickEvery),
		remove:  uint64(removeSilence / d.config.TickEvery),
	}
}

// nextGrowing returns the next change of one member where nodes come and go
// and no list of them exists; false when there is none.
//
// A voter that is gone for good must not stay: with five voters, two of them
// replaced by newcomers, a quorum of seven would need four of the five that
// run. A silent voter costs no safety when it goes, since a quorum of the
// voters commits its removal, and it is let in again once it answers.
func nextGrowing(current quorum.Voters, self Identity, known answers, peers []quorum.PeerStatus, limits silenceLimits) (quorum.Voters, bool) {
	for _, id := range current.Members {
		if hasNewDisk(id, self, known) {
			return current.Without(id), true
		}
	}
	silent, ticks := mostSilent(current, peers)
	for _, node := range slices.Sorted(maps.Keys(known)) {
		if hasNode(current, node) || !mayVote(known[node], self) {
			continue
		}
		if ticks >= limits.replace && len(current.Members) >= leastVoters {
			return current.Without(silent), true
		}
		return current.With(known[node].Voter()), true
	}
	if ticks >= limits.remove && len(current.Members) > leastVoters {
		return current.Without(silent), true
	}
	return quorum.Voters{}, false
}

// mostSilent returns the voter that has not answered for the most ticks.
func mostSilent(current quorum.Voters, peers []quorum.PeerStatus) (quorum.ID, uint64) {
	var id quorum.ID
	var ticks uint64
	for _, p := range peers {
		if current.Has(p.ID) && p.UnresponsiveTicks > ticks {
			id, ticks = p.ID, p.UnresponsiveTicks
		}
	}
	return id, ticks
}
