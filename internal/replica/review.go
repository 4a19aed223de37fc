package replica

import (
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/datafolder"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/quorum"
)

// nextVoters returns the next change of one member that brings the voters
// towards the configured nodes with the disks they have now; false when there
// is none. Members are the configured voters, known what each said about
// itself, self the leader.
//
// A voter that came back with another disk is first removed and then added
// anew. Replacing it in one step would be unsafe: a quorum that holds the old
// disk and one that holds the new need not share a voter, so a leader cut off
// earlier could commit beside its successor. Adding before removing would be
// safe but makes a quorum depend on the newcomer: of four voters, one of them
// gone, all three others would have to answer. Removing first costs nothing,
// as the old disk can't answer any more, and the loss of another voter right
// after the addition is survived even before the newcomer has caught up.
//
// A voter that left the settings goes last, once every configured node votes:
// a misspelt name in the settings of the leader then changes nothing.
func nextVoters(current quorum.Voters, self Identity, members []model.NodeID, known answers) (quorum.Voters, bool) {
	for _, id := range current.Members {
		if hasNewDisk(id, self, known) {
			return current.Without(id), true
		}
	}
	all := true
	for _, node := range slices.Sorted(slices.Values(members)) {
		if hasNode(current, node) {
			continue
		}
		if identity, ok := known[node]; ok && mayVote(identity, self) {
			return current.With(identity.Voter()), true
		}
		all = false
	}
	for _, id := range current.Members {
		if all && !slices.Contains(members, datafolder.NodeOf(id)) {
			return current.Without(id), true
		}
	}
	return quorum.Voters{}, false
}

// hasNewDisk says whether the node of a voter came back with another disk.
func hasNewDisk(id quorum.ID, self Identity, known answers) bool {
	identity, ok := known[datafolder.NodeOf(id)]
	return ok && mayVote(identity, self) && identity.Voter() != id
}

// mayVote says whether a disk is ready to vote in the site of self.
func mayVote(identity, self Identity) bool {
	return identity.Phase == datafolder.PhaseActive && identity.Founding.ID == self.Founding.ID
}

func hasNode(voters quorum.Voters, node model.NodeID) bool {
	return slices.ContainsFunc(voters.Members, func(id quorum.ID) bool { return datafolder.NodeOf(id) == node })
}
