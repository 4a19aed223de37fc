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
	// unresponsive, whatever the site tolerates: two voters could not tolerate
	// the loss of one more.
	minVoters = 3
)

// voterLimits are the limits of changes of the voters.
type voterLimits struct {
	// replace and remove are replaceAfter and removeAfter in ticks.
	replace, remove uint64
	// required is the number of voters below which none is removed for being
	// unresponsive.
	required int
}

func (d *driver) voterLimits() voterLimits {
	return voterLimits{
		replace:  uint64(replaceAfter / d.config.TickInterval),
		remove:   uint64(removeAfter / d.config.TickInterval),
		required: max(minVoters, votersToTolerate(d.config.LostDisks)),
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
//
// An unresponsive voter may hold the only other copy of what the rest lose with
// their disks, so none is removed while fewer than the required voters would be
// left: a node that waits to vote is then added first. A replaced disk is removed
// in any case, as it is lost, but only one of them before a node that waits is
// added.
func nextDynamicVoters(current quorum.Voters, self Identity, known identities, peers []quorum.PeerStatus, limits voterLimits) (quorum.Voters, voterChange) {
	waiting, waits := firstWaiting(current, self, known)
	if waits && len(current.Members) < limits.required {
		return current.With(waiting), voterJoins
	}
	for _, id := range current.Members {
		if hasNewDisk(id, self, known) {
			return current.Without(id), voterLostDisk
		}
	}
	unresponsive, ticks := longestUnresponsive(current, peers)
	removable := len(current.Members) > limits.required
	switch {
	case waits && removable && ticks >= limits.replace:
		return current.Without(unresponsive), voterReplaced
	case waits:
		return current.With(waiting), voterJoins
	case removable && ticks >= limits.remove:
		return current.Without(unresponsive), voterUnresponsive
	}
	return quorum.Voters{}, noVoterChange
}

// firstWaiting returns the first node, by name, that waits to vote.
func firstWaiting(current quorum.Voters, self Identity, known identities) (quorum.ID, bool) {
	for _, node := range slices.Sorted(maps.Keys(known)) {
		if !hasNode(current, node) && isReadyToVote(known[node], self) {
			return known[node].Voter(), true
		}
	}
	return "", false
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
