package replica

import (
	"maps"
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/datafolder"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/quorum"
)

// This file decides how a disk enters the site. The rules guarantee that no
// crash or lost disk on the way splits one site into two or lets a lost disk
// vote again.
//
// A disk has a random identity and a phase: empty, adopted, active. Only an
// active disk takes part in the quorum. The first of the configured voters (by
// name) creates a founding, which lists the disks of all configured voters, but
// only when every one of them has replied that its disk is empty. By this it
// adopts the founding itself. Another empty disk adopts a founding that lists
// it, unless a disk that replied is active already: it joins that one's site
// then. An adopted disk becomes active once every other listed disk replied that
// it has adopted the founding, or one disk replied that it is active under it.
// Each of these steps is one atomic replacement of the identity file, so after a
// crash the step is either done or not done, and the next round of queries
// decides again from the durable state.
//
// Where voters are discovered at run time, the seeds stand for the configured
// voters. Each disk records them at its first start. The first seed that still
// has this record creates the founding, so that the site is founded although
// another seed restarts or loses its disk before. Where the seeds are too few to
// lose as many disks as the site tolerates, the founding also lists empty disks
// of other nodes; without enough of them it is not created.
//
//   - A disk adopts at most one founding in its life, and a founding becomes
//     active only after every disk it lists has adopted it. Two foundings that
//     share a disk can therefore not both become active. Two that share none
//     require every configured voter to have lost its disk in between.
//   - A lost disk never votes again: quorum identities contain the disk, and
//     messages for another identity are refused. The voter returns with an
//     empty disk, finds an active disk, and joins. It has no vote until a
//     leader has added its new identity to the voters; voters change one
//     member at a time, by a command that a quorum commits.
//   - A founder that loses its disk after others adopted its founding cannot
//     complete it. An adopted disk abandons the founding, by taking a new disk
//     identity, when two rounds of queries in a row show this: in the first, the
//     node of a listed disk replied with another disk or with another founding;
//     in the second, the nodes of all other listed disks replied, and none is
//     active under the founding. A node that does not reply is not taken for
//     lost. Nothing is committed under the founding at that time, since a commit
//     takes a quorum of active disks. Later a disk can become active under it
//     only on earlier replies: one of the lost disk from before its loss and one
//     of this disk from before it abandoned the founding.
//
// One case is left to the operator: a disk is lost within the second in which
// the site is founded, while another disk becomes active alone, on a reply from
// before the loss. It has no quorum, so nothing is committed, but the other disks
// join it, become active and wait in vain to be added as voters. The site can be
// founded anew once the data folders of all of them are deleted: as long as one
// disk is active, an empty one joins it.

// stepKind is the next action of a disk that enters the site.
type stepKind uint8

const (
	// stepWait queries again later.
	stepWait stepKind = iota
	// stepAdopt binds the disk to a founding.
	stepAdopt
	// stepActivate makes the disk vote under the adopted founding.
	stepActivate
	// stepJoin makes the disk active in an existing site, without a vote yet.
	stepJoin
	// stepRenewDisk abandons the founding and starts over with a new disk
	// identity.
	stepRenewDisk
)

type step struct {
	kind     stepKind
	founding datafolder.Founding
}

// identities holds the identities that other voters returned in one round of
// queries.
type identities map[model.NodeID]Identity

// nextStep returns the next step of this disk. All queries of current were sent
// after the replies of previous had arrived.
func nextStep(self Identity, by founders, previous, current identities) step {
	switch self.Phase {
	case datafolder.PhaseEmpty:
		return nextStepEmpty(self, by, current)
	case datafolder.PhaseAdopted:
		return nextStepAdopted(self, previous, current)
	default:
		return step{}
	}
}

// nextStepEmpty returns the step of a disk that belongs to no founding. It waits
// while the replies show disks that are active under two foundings. Otherwise it
// joins the site of an active disk, or adopts a founding that lists this disk, or
// founds the site, in this order.
func nextStepEmpty(self Identity, by founders, current identities) step {
	if len(conflictingFoundings(current)) > 0 {
		return step{}
	}
	for _, node := range slices.Sorted(maps.Keys(current)) {
		if other := current[node]; other.Phase == datafolder.PhaseActive {
			return step{kind: stepJoin, founding: datafolder.Founding{ID: other.Founding.ID}}
		}
	}
	for _, node := range slices.Sorted(maps.Keys(current)) {
		if other := current[node]; other.Phase == datafolder.PhaseAdopted && other.Founding.Voters.Has(self.Voter()) {
			return step{kind: stepAdopt, founding: other.Founding}
		}
	}
	return foundSite(self, by, current)
}

// votersToTolerate returns the smallest number of voters that can lose as many
// disks: a quorum of them survives, and of each quorum at least one voter does.
func votersToTolerate(lostDisks int) int { return 2*lostDisks + 1 }

// founders are the nodes that may found a site.
type founders struct {
	// configured are founders in any case. The first of them by name creates the
	// founding; nobody does when there are none.
	configured []model.NodeID
	// count is the least number of founders.
	count int
	// recorded is set when only those of configured may create the founding whose
	// disks recorded the founders.
	recorded bool
}

// creator returns the node that creates the founding, given the identities of all
// configured founders; false when none may.
func (f founders) creator(self Identity, current identities) (model.NodeID, bool) {
	for _, node := range slices.Sorted(slices.Values(f.configured)) {
		identity := current[node]
		if node == self.Node {
			identity = self
		}
		if !f.recorded || len(identity.Founders) > 0 {
			return node, true
		}
	}
	return "", false
}

// foundSite founds the site when this node creates the founding, the disks of all
// configured founders are empty, and there are enough of other nodes.
func foundSite(self Identity, by founders, current identities) step {
	if creator, ok := by.creator(self, current); !ok || self.Node != creator {
		return step{}
	}
	voters := []quorum.ID{self.Voter()}
	for _, node := range by.configured {
		if node == self.Node {
			continue
		}
		other, replied := current[node]
		if !replied || other.Phase != datafolder.PhaseEmpty {
			return step{}
		}
		voters = append(voters, other.Voter())
	}
	for _, node := range slices.Sorted(maps.Keys(current)) {
		isFree := current[node].Phase == datafolder.PhaseEmpty && !slices.Contains(by.configured, node)
		if isFree && len(voters) < by.count {
			voters = append(voters, current[node].Voter())
		}
	}
	if len(voters) < by.count {
		return step{}
	}
	return step{kind: stepAdopt, founding: datafolder.NewFounding(voters)}
}

// nextStepAdopted returns the step of a disk that adopted a founding. It becomes
// active if a disk is active under that founding or all others have adopted it.
// It takes a new identity if the previous round showed a lost voter and all
// voters of the founding replied in the current one.
func nextStepAdopted(self Identity, previous, current identities) step {
	for _, other := range current {
		if other.Phase == datafolder.PhaseActive && other.Founding.ID == self.Founding.ID {
			return step{kind: stepActivate, founding: self.Founding}
		}
	}
	if allAdopted(self, current) {
		return step{kind: stepActivate, founding: self.Founding}
	}
	if len(lostVoters(self, previous)) > 0 && allReplied(self, current) {
		return step{kind: stepRenewDisk}
	}
	return step{}
}

// allAdopted reports whether every listed disk has adopted the founding.
func allAdopted(self Identity, current identities) bool {
	for _, id := range self.Founding.Voters.Members {
		if id == self.Voter() {
			continue
		}
		other, replied := current[datafolder.NodeOf(id)]
		if !replied || other.Voter() != id || !isBoundTo(other, self.Founding.ID) {
			return false
		}
	}
	return true
}

// lostVoters returns the voters of the founding that can no longer adopt it,
// because their nodes replied with another disk or with another founding.
func lostVoters(self Identity, received identities) []quorum.ID {
	var lost []quorum.ID
	for _, id := range self.Founding.Voters.Members {
		other, replied := received[datafolder.NodeOf(id)]
		if !replied || id == self.Voter() {
			continue
		}
		bound := other.Phase != datafolder.PhaseEmpty && !isBoundTo(other, self.Founding.ID)
		if other.Voter() != id || bound {
			lost = append(lost, id)
		}
	}
	return lost
}

// allReplied reports whether the nodes of all other voters of the founding
// replied.
func allReplied(self Identity, current identities) bool {
	for _, node := range foundingPeers(self) {
		if _, replied := current[node]; !replied {
			return false
		}
	}
	return true
}

// foundingPeers returns the other voters of the founding that a disk adopted.
func foundingPeers(self Identity) []model.NodeID {
	var nodes []model.NodeID
	for _, id := range self.Founding.Voters.Members {
		if id != self.Voter() {
			nodes = append(nodes, datafolder.NodeOf(id))
		}
	}
	return nodes
}

func isBoundTo(other Identity, founding string) bool {
	return other.Phase != datafolder.PhaseEmpty && other.Founding.ID == founding
}

// conflictingFoundings checks the invariant "one founding a site": it returns
// the foundings under which voters are active when there is more than one.
func conflictingFoundings(received identities) []string {
	var active []string
	for _, other := range received {
		if other.Phase == datafolder.PhaseActive {
			active = append(active, other.Founding.ID)
		}
	}
	slices.Sort(active)
	active = slices.Compact(active)
	if len(active) < 2 {
		return nil
	}
	return active
}
