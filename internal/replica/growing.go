package replica

import (
	"maps"
	"slices"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/quorum"
)

const (
	// replaceAfter is how long a voter must be unresponsive before a node that
	// waits to vote replaces it: longer than a process takes to restart.
	replaceAfter = 3 * time.Second
	// removeAfter is how long a voter must be unresponsive before it is removed
	// although no node waits to vote. It is added again when it responds.
	removeAfter = 10 * time.Second
	// minVoters is the number of voters below which none is removed for being
	// unresponsive: two voters could not tolerate the loss of one more.
	minVoters = 3
)

// unresponsiveLimits holds replaceAfter and removeAfter in ticks.
type unresponsiveLimits struct{ replace, remove uint64 }

func (d *driver) unresponsiveLimits() unresponsiveLimits {
	return unresponsiveLimits{
		replace: uint64(replaceAfter / d.config.TickInterval),
		remove:  uint64(removeAfter / d.config.TickInterval),
	}
}

// nextDynamicVoters returns the next change of one member when nodes come and
// go and no list of them is configured, and the reason; noVoterChange when there
// is none.
//
// A voter that is lost for good must not stay a voter: with five voters, two of
// them replaced by new nodes, a quorum of seven would need four of the five
// that run. Removing an unresponsive voter is safe, since a quorum of the
// voters commits its removal, and it is added again once it responds.
func nextDynamicVoters(current quorum.Voters, self Identity, known identities, peers []quorum.PeerStatus, limits unresponsiveLimits) (quorum.Voters, voterChange) {
	for _, id := range current.Members {
		if hasNewDisk(id, self, known) {
			return current.Without(id), voterLostDisk
		}
	}
	unresponsive, ticks := longestUnresponsive(current, peers)
	for _, node := range slices.Sorted(maps.Keys(known)) {
		if hasNode(current, node) || !isReadyToVote(known[node], self) {
			continue
		}
		if ticks >= limits.replace && len(current.Members) >= minVoters {
			return current.Without(unresponsive), voterReplaced
		}
		return current.With(known[node].Voter()), voterJoins
	}
	if ticks >= limits.remove && len(current.Members) > minVoters {
		return current.Without(unresponsive), voterUnresponsive
	}
	return quorum.Voters{}, noVoterChange
}

// longestUnresponsive returns the voter that has not responded for the most
// ticks.
func longestUnresponsive(current quorum.Voters, peers []quorum.PeerStatus) (quorum.ID, uint64) {
	var id quorum.ID
	var ticks uint64
	for _, p := range peers {
		if current.Has(p.ID) && p.UnresponsiveTicks > ticks {
			id, ticks = p.ID, p.UnresponsiveTicks
		}
	}
	return id, ticks
}
