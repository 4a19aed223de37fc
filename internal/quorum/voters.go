package quorum

import (
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// foundingIndex and foundingTerm are the position of the snapshot from which a
// site starts.
const (
	foundingIndex = 1
	foundingTerm  = 1
)

// FoundingMeta returns the metadata of the snapshot at which the log of a new
// site begins. The founder saves a snapshot of the empty state machine with it;
// the other voters receive that snapshot and with it the set of voters.
func FoundingMeta(v Voters) SnapshotMeta {
	return SnapshotMeta{Index: foundingIndex, Term: foundingTerm, Voters: v.sorted()}
}

// Has reports whether the ID is in the set.
func (v Voters) Has(id ID) bool {
	return slices.Contains(v.Members, id)
}

// With returns the set with one more member.
func (v Voters) With(id ID) Voters {
	return Voters{Members: append(slices.Clone(v.Members), id)}.sorted()
}

// Without returns the set without the member.
func (v Voters) Without(id ID) Voters {
	isID := func(m ID) bool { return m == id }
	return Voters{Members: slices.DeleteFunc(slices.Clone(v.Members), isID)}
}

// Equal reports whether both sets have the same members.
func (v Voters) Equal(o Voters) bool {
	return slices.Equal(v.Members, o.Members)
}

// Quorum returns the size of a majority: any two majorities share a voter.
func (v Voters) Quorum() int {
	return len(v.Members)/2 + 1
}

// sorted returns a copy of the set with its members in ascending order.
func (v Voters) sorted() Voters {
	members := slices.Clone(v.Members)
	slices.Sort(members)
	return Voters{Members: members}
}

func (v Voters) valid() bool {
	sorted := v.sorted().Members
	return len(sorted) > 0 && sorted[0] != "" && len(slices.Compact(sorted)) == len(v.Members)
}

// difference returns the number of members that are in only one of the sets.
func (v Voters) difference(w Voters) int {
	n := 0
	for _, id := range v.Members {
		if !w.Has(id) {
			n++
		}
	}
	for _, id := range w.Members {
		if !v.Has(id) {
			n++
		}
	}
	return n
}

func encodeVoters(v Voters) ([]byte, error) {
	return cbor.Marshal(v)
}

// DecodeVoters reads the data of an EntryVoters.
func DecodeVoters(data []byte) (Voters, error) {
	var v Voters
	if err := cbor.Unmarshal(data, &v); err != nil {
		return Voters{}, fmt.Errorf("%w: voters: %w", ErrBadMessage, err)
	}
	if !v.valid() {
		return Voters{}, fmt.Errorf("%w: voters %v", ErrBadMessage, v.Members)
	}
	return v, nil
}

// ProposeVoters appends a change of the set of voters. Exactly one member is
// added or removed, so that any quorum of the old set and any quorum of the new
// set share a voter. A replacement is a removal followed by an addition: since
// the old disk is lost, removing it first costs no availability. The new set
// is in force once it is appended.
//
// Errors: ErrNotLeader, ErrTransferring, ErrInvalidVoterChange, ErrVotersPending,
// ErrNoCommitInTerm, ErrNewVotersUnresponsive.
func (r *Raft) ProposeVoters(v Voters) (index, term uint64, err error) {
	if r.role != RoleLeader {
		return 0, 0, ErrNotLeader
	}
	if r.transfer.to != "" {
		return 0, 0, ErrTransferring
	}
	if err := r.checkVoterChange(v); err != nil {
		return 0, 0, err
	}
	data, err := encodeVoters(v.sorted())
	if err != nil {
		return 0, 0, err
	}
	return r.appendAsLeader(EntryVoters, data)
}

func (r *Raft) checkVoterChange(v Voters) error {
	difference := v.difference(r.log.voters())
	if !v.valid() || difference == 0 || difference > 1 && !r.cfg.Faults.ReplaceVoters {
		return ErrInvalidVoterChange
	}
	if r.voterChangePending() && !r.cfg.Faults.AllowTwoPendingVoters {
		return ErrVotersPending
	}
	// Otherwise two leaders of successive terms could each append a change to
	// the same set, and quorums of the two new sets need not overlap. A
	// committed entry of this term rules out the other change.
	if !r.ownTermCommitted() && !r.cfg.Faults.VotersBeforeOwnTerm {
		return ErrNoCommitInTerm
	}
	if !r.quorumResponsive(v) && !r.cfg.Faults.SkipNewQuorumCheck {
		return ErrNewVotersUnresponsive
	}
	return nil
}

// quorumResponsive reports whether a quorum of a new set answers. A member to be
// added counts, since the caller has just received a reply from it. Without
// this rule a healthy voter could be removed while another one is lost, and
// the site would permanently lose its quorum once one voter stores the removal.
func (r *Raft) quorumResponsive(v Voters) bool {
	n := 0
	for _, id := range v.Members {
		p := r.peers[id]
		if p == nil || p.ackedTick+uint64(r.cfg.ElectionTicks) > r.now {
			n++
		}
	}
	return n >= v.Quorum()
}

// voterChangePending reports whether the set in force is not committed yet.
func (r *Raft) voterChangePending() bool {
	return r.log.votersIndex() > r.log.commit
}

// updatePeers adjusts the leader's peers to the set in force after it changed
// by an append, a truncation or a snapshot.
func (r *Raft) updatePeers() {
	if r.role != RoleLeader {
		return
	}
	members := r.log.voters()
	for id := range r.peers {
		if !members.Has(id) {
			delete(r.peers, id)
		}
	}
	for _, id := range members.Members {
		if id != r.cfg.Self && r.peers[id] == nil {
			r.peers[id] = newProgress(r.log.last(), r.now)
		}
	}
	r.appendDue = true
}

// quorumValue returns the greatest value that a quorum of voters has reached.
func (r *Raft) quorumValue(value func(id ID) uint64) uint64 {
	members := r.log.voters().Members
	if len(members) == 0 {
		return 0
	}
	r.scratch = r.scratch[:0]
	for _, id := range members {
		r.scratch = append(r.scratch, value(id))
	}
	slices.Sort(r.scratch)
	return r.scratch[len(r.scratch)-r.log.voters().Quorum()]
}
