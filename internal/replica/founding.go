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
// it. A disk becomes active once it has seen that every listed disk has adopted
// the founding, or that a disk is active under it. Each of these steps is one
// atomic replacement of the identity file, so after a crash the step is either
// done or not done, and the next round of queries decides again from the
// durable state.
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
//     identity, when it has first seen that a listed disk is lost or bound to
//     another founding, and has then queried every listed disk again and found
//     none active under the founding. Nothing was committed under it then: a
//     commit takes a quorum of active disks, and the lost disk can have let no
//     other disk become active before, nor can this one do so afterwards.
//
// One case is left to the operator: a disk is lost within the second in which
// the site is founded, while another disk becomes active alone, on a reply from
// before the loss. Nothing was accepted yet, but the other disks join that one
// and wait to be added as voters. Deleting its data folder lets them found the
// site anew.

// stepKind is the next action of a disk that enters the site.
type stepKind uint8

const (
	// stepWait: query again later.
	stepWait stepKind = iota
	// stepAdopt: bind the disk to a founding.
	stepAdopt
	// stepActivate: start to vote under the adopted founding.
	stepActivate
	// stepJoin: become active in an existing site.
	stepJoin
	// stepRenewDisk: abandon the founding and start over with a new disk
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
func nextStep(self Identity, members []model.NodeID, previous, current identities) step {
	switch self.Phase {
	case datafolder.PhaseEmpty:
		return nextStepEmpty(self, members, current)
	case datafolder.PhaseAdopted:
		return nextStepAdopted(self, previous, current)
	default:
		return step{}
	}
}

func nextStepEmpty(self Identity, members []model.NodeID, current identities) step {
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
	return foundSite(self, members, current)
}

// foundSite founds the site when this is the first voter and all disks are
// empty.
func foundSite(self Identity, members []model.NodeID, current identities) step {
	if len(members) == 0 || self.Node != slices.Min(members) {
		return step{}
	}
	voters := []quorum.ID{self.Voter()}
	for _, node := range members {
		if node == self.Node {
			continue
		}
		other, replied := current[node]
		if !replied || other.Phase != datafolder.PhaseEmpty {
			return step{}
		}
		voters = append(voters, other.Voter())
	}
	return step{kind: stepAdopt, founding: datafolder.NewFounding(voters)}
}

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

// lostVoters returns the voters of the founding that can no longer adopt it.
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
