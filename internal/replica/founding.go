package replica

import (
	"maps"
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/datafolder"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/quorum"
)

// How a disk comes into the site, and why no crash or lost disk in between
// makes two sites out of one or lets a lost disk vote again.
//
// A disk has a random identity and a phase: empty, adopted, active. Only an
// active disk takes part in the quorum. The first of the configured voters (by
// name) writes a founding, which lists the disks of all configured voters, but
// only when every one of them has answered that its disk is empty. It thereby
// adopts the founding. Another empty disk adopts a founding that lists it. A
// disk becomes active once it has seen that every listed disk has adopted the
// founding, or that somebody is active under it. Each of these steps is one
// atomic replace of the identity file, so a crash leaves the step done or not
// done, and the next round of questions decides again from what is durable.
//
//   - A disk adopts at most one founding in its life, and a founding becomes
//     active only after every disk it lists has adopted it. Two foundings that
//     share a disk can therefore not both become active. Two that share none
//     need every configured voter to have lost its disk in between.
//   - A lost disk never votes again: quorum identities contain the disk, and
//     messages for another identity are refused. The voter comes back empty,
//     finds an active disk, and joins. It has no say until a leader has added
//     its new identity to the voters, as a change of one member at a time that
//     a quorum commits.
//   - A founder that loses its disk after others adopted cannot complete the
//     founding. An adopted disk gives the founding up, by taking a new disk
//     identity, when it has first seen that a listed disk is gone or bound to
//     another founding and has asked everybody afterwards and found nobody
//     active under the founding. Nothing was committed under it then: that
//     takes a quorum of active disks, and the one that is gone cannot have
//     been joined by another in the past, nor this one in the future.
//
// Left to the operator: a disk that is lost within the second of the founding,
// while another disk, on an answer from before the loss, becomes active alone.
// Nothing was accepted yet, but the others wait for that one to be voted on;
// deleting its data folder lets them found anew.

// stepKind says what a disk does next on its way into the site.
type stepKind uint8

const (
	// stepWait: ask again later.
	stepWait stepKind = iota
	// stepAdopt: bind the disk to a founding.
	stepAdopt
	// stepActivate: begin to take part in the founding that was adopted.
	stepActivate
	// stepJoin: begin to take part in a site that exists already.
	stepJoin
	// stepRenew: give the founding up and start over as another disk.
	stepRenew
)

type step struct {
	kind     stepKind
	founding datafolder.Founding
}

// answers holds what the other voters said about themselves in one round.
type answers map[model.NodeID]Identity

// decide says what comes next. All questions of now were asked after those of
// before were answered.
func decide(self Identity, members []model.NodeID, before, now answers) step {
	switch self.Phase {
	case datafolder.PhaseEmpty:
		return decideEmpty(self, members, now)
	case datafolder.PhaseAdopted:
		return decideAdopted(self, before, now)
	default:
		return step{}
	}
}

func decideEmpty(self Identity, members []model.NodeID, now answers) step {
	if len(twoFoundings(now)) > 0 {
		return step{}
	}
	for _, node := range slices.Sorted(maps.Keys(now)) {
		if other := now[node]; other.Phase == datafolder.PhaseActive {
			return step{kind: stepJoin, founding: datafolder.Founding{ID: other.Founding.ID}}
		}
	}
	for _, node := range slices.Sorted(maps.Keys(now)) {
		if other := now[node]; other.Phase == datafolder.PhaseAdopted && other.Founding.Voters.Has(self.Voter()) {
			return step{kind: stepAdopt, founding: other.Founding}
		}
	}
	return decideFound(self, members, now)
}

// decideFound founds the site when this is the first voter and all are empty.
func decideFound(self Identity, members []model.NodeID, now answers) step {
	if len(members) == 0 || self.Node != slices.Min(members) {
		return step{}
	}
	voters := []quorum.ID{self.Voter()}
	for _, node := range members {
		if node == self.Node {
			continue
		}
		other, answered := now[node]
		if !answered || other.Phase != datafolder.PhaseEmpty {
			return step{}
		}
		voters = append(voters, other.Voter())
	}
	return step{kind: stepAdopt, founding: datafolder.NewFounding(voters)}
}

func decideAdopted(self Identity, before, now answers) step {
	for _, other := range now {
		if other.Phase == datafolder.PhaseActive && other.Founding.ID == self.Founding.ID {
			return step{kind: stepActivate, founding: self.Founding}
		}
	}
	if allAdopted(self, now) {
		return step{kind: stepActivate, founding: self.Founding}
	}
	if len(lostFrom(self, before)) > 0 && allAnswered(self, now) {
		return step{kind: stepRenew}
	}
	return step{}
}

// allAdopted says whether every listed disk has adopted the founding.
func allAdopted(self Identity, now answers) bool {
	for _, id := range self.Founding.Voters.Members {
		if id == self.Voter() {
			continue
		}
		other, answered := now[datafolder.NodeOf(id)]
		if !answered || other.Voter() != id || !boundTo(other, self.Founding.ID) {
			return false
		}
	}
	return true
}

// lostFrom lists the voters of the founding that can no longer adopt it.
func lostFrom(self Identity, round answers) []quorum.ID {
	var lost []quorum.ID
	for _, id := range self.Founding.Voters.Members {
		other, answered := round[datafolder.NodeOf(id)]
		if !answered || id == self.Voter() {
			continue
		}
		bound := other.Phase != datafolder.PhaseEmpty && !boundTo(other, self.Founding.ID)
		if other.Voter() != id || bound {
			lost = append(lost, id)
		}
	}
	return lost
}

func allAnswered(self Identity, now answers) bool {
	for _, node := range foundingNodes(self) {
		if _, answered := now[node]; !answered {
			return false
		}
	}
	return true
}

// foundingNodes lists the other voters of the founding that a disk adopted.
func foundingNodes(self Identity) []model.NodeID {
	var nodes []model.NodeID
	for _, id := range self.Founding.Voters.Members {
		if id != self.Voter() {
			nodes = append(nodes, datafolder.NodeOf(id))
		}
	}
	return nodes
}

func boundTo(other Identity, founding string) bool {
	return other.Phase != datafolder.PhaseEmpty && other.Founding.ID == founding
}

// twoFoundings is the check "one founding a site": it returns the foundings
// under which voters are active when there is more than one.
func twoFoundings(round answers) []string {
	var active []string
	for _, other := range round {
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
