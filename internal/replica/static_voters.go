package replica

import (
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/datafolder"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/quorum"
)

// nextStaticVoters returns the next change of one member that brings the voters
// closer to the configured nodes with their current disks, and the reason;
// noVoterChange when there is none. Members are the configured voters, known the
// identities they reported, self the leader.
//
// A voter that returned with a new disk is first removed and then added again.
// Replacing it in one step would be unsafe: a quorum with the old disk and one
// with the new disk need not share a voter, so a partitioned former leader
// could commit beside its successor. Adding before removing would be safe but
// makes a quorum depend on the new disk: of four voters, one of them lost, all
// three others would have to respond. Removing first costs nothing, as the old
// disk cannot respond any more, and the loss of another voter right after the
// addition is tolerated even before the new disk has caught up.
//
// A voter that is no longer configured is removed last, once every configured
// node votes: a misspelt name in the settings of the leader then changes
// nothing.
func nextStaticVoters(current quorum.Voters, self Identity, members []model.NodeID, known identities) (quorum.Voters, voterChange) {
	for _, id := range current.Members {
		if hasNewDisk(id, self, known) {
			return current.Without(id), voterLostDisk
		}
	}
	all := true
	for _, node := range slices.Sorted(slices.Values(members)) {
		if hasNode(current, node) {
			continue
		}
		if identity, ok := known[node]; ok && isReadyToVote(identity, self) {
			return current.With(identity.Voter()), voterJoins
		}
		all = false
	}
	for _, id := range current.Members {
		if all && !slices.Contains(members, datafolder.NodeOf(id)) {
			return current.Without(id), voterNotConfigured
		}
	}
	return quorum.Voters{}, noVoterChange
}

// hasNewDisk reports whether the node of a voter returned with another disk.
func hasNewDisk(id quorum.ID, self Identity, known identities) bool {
	identity, ok := known[datafolder.NodeOf(id)]
	return ok && isReadyToVote(identity, self) && identity.Voter() != id
}

// isReadyToVote reports whether a disk is active in the site of self.
func isReadyToVote(identity, self Identity) bool {
	return identity.Phase == datafolder.PhaseActive && identity.Founding.ID == self.Founding.ID
}

func hasNode(voters quorum.Voters, node model.NodeID) bool {
	return slices.ContainsFunc(voters.Members, func(id quorum.ID) bool { return datafolder.NodeOf(id) == node })
}
