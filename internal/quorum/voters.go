package quorum

import (
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// foundingIndex and foundingTerm place the snapshot that a site starts from.
const (
	foundingIndex = 1
	foundingTerm  = 1
)

// FoundingMeta is where the log of a new site begins: the founder saves a
// snapshot of the empty state machine under it, the other voters get it as a
// snapshot and so learn who the voters are.
func FoundingMeta(v Voters) SnapshotMeta {
	return SnapshotMeta{Index: foundingIndex, Term: foundingTerm, Voters: v.normal()}
}

// Has says whether the ID is a voter.
func (v Voters) Has(id ID) bool {
	return slices.Contains(v.Members, id)
}

// With returns the set with one more member.
func (v Voters) With(id ID) Voters {
	return Voters{Members: append(slices.Clone(v.Members), id)}.normal()
}

// Without returns the set without the member.
func (v Voters) Without(id ID) Voters {
	isID := func(m ID) bool { return m == id }
	return Voters{Members: slices.DeleteFunc(slices.Clone(v.Members), isID)}
}

// Quorum is the least number of voters of which two sets always share one.
func (v Voters) Quorum() int {
	return len(v.Members)/2 + 1
}

func (v Voters) normal() Voters {
	members := slices.Clone(v.Members)
	slices.Sort(members)
	return Voters{Members: members}
}

func (v Voters) valid() bool {
	sorted := v.normal().Members
	return len(sorted) > 0 && sorted[0] != "" && len(slices.Compact(sorted)) == len(v.Members)
}

// difference counts the members that are in one set only.
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
// added or removed, so that a quorum of the set before and one of the set
// after always share a voter; a replacement is a removal and then an addition
// (with the old disk gone, the removal first costs no availability). The new
// set is in force once it is appended.
//
// Errors: ErrNotLeader, ErrTransferring, ErrVotersDiffer, ErrVotersPending,
// ErrNoOwnTerm, ErrVotersSilent.
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
	data, err := encodeVoters(v.normal())
	if err != nil {
		return 0, 0, err
	}
	return r.appendOwn(EntryVoters, data)
}

func (r *Raft) checkVoterChange(v Voters) error {
	difference := v.difference(r.log.voters())
	if !v.valid() || difference == 0 || difference > 1 && !r.cfg.Rules.ReplaceVoters {
		return ErrVotersDiffer
	}
	if r.votersPending() && !r.cfg.Rules.AllowTwoPendingVoters {
		return ErrVotersPending
	}
	// Two leaders of successive terms could otherwise each append a change to
	// the same set, and their new sets need not overlap. An entry of the own
	// term that is committed rules out the other change.
	if !r.ownTermCommitted() && !r.cfg.Rules.VotersBeforeOwnTerm {
		return ErrNoOwnTerm
	}
	if !r.answers(v) && !r.cfg.Rules.SkipVotersAnswer {
		return ErrVotersSilent
	}
	return nil
}

// answers says whether a quorum of a new set is at work; a member to be added
// counts, as the caller has just heard from it. Without this rule a healthy
// voter could be removed while another one is lost, and the site would stay
// without a quorum for good once the removal is stored at one voter.
func (r *Raft) answers(v Voters) bool {
	n := 0
	for _, id := range v.Members {
		p := r.peers[id]
		if p == nil || p.heard+uint64(r.cfg.ElectionTicks) > r.now {
			n++
		}
	}
	return n >= v.Quorum()
}

func (r *Raft) votersPending() bool {
	return r.log.votersIndex() > r.log.commit
}

// votersChanged follows a change of the set in force: by an append, a
// truncation or a snapshot.
func (r *Raft) votersChanged() {
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
	r.sendDue = true
}

// quorumValue returns the greatest value that a quorum of voters reaches.
func (r *Raft) quorumValue(value func(id ID) uint64) uint64 {
	members := r.log.voters().Members
	if len(members) == 0 {
		return 0
	}
	r.values = r.values[:0]
	for _, id := range members {
		r.values = append(r.values, value(id))
	}
	slices.Sort(r.values)
	return r.values[len(r.values)-r.log.voters().Quorum()]
}
