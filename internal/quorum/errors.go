package quorum

import "errors"

var (
	// ErrNotLeader means that this voter is not the leader; nothing was appended.
	ErrNotLeader = errors.New("quorum: not leader")
	// ErrBusy means that too many proposals are uncommitted or too many reads
	// are pending; nothing was appended.
	ErrBusy = errors.New("quorum: too much is pending")
	// ErrTransferring means that a leadership transfer is in progress; nothing
	// was appended.
	ErrTransferring = errors.New("quorum: leadership is being transferred")
	// ErrVotersPending means that the previous voter change is not committed yet.
	ErrVotersPending = errors.New("quorum: a voter change is pending")
	// ErrInvalidVoterChange means that the new set is invalid or does not differ in
	// exactly one member.
	ErrInvalidVoterChange = errors.New("quorum: exactly one voter may be added or removed at a time")
	// ErrNoCommitInTerm means that the leader has not committed an entry of its own
	// term yet.
	ErrNoCommitInTerm = errors.New("quorum: no entry of this term is committed yet")
	// ErrNewVotersUnresponsive means that no quorum of the new set answers the leader.
	ErrNewVotersUnresponsive = errors.New("quorum: no quorum of the new voters answers")
	// ErrUnknownVoter means that an ID is not in the set of voters.
	ErrUnknownVoter = errors.New("quorum: not a voter")
	// ErrWrongAddressee means that a message is for another ID, such as the ID
	// that this VM had before it lost its disk.
	ErrWrongAddressee = errors.New("quorum: message is for another voter")
	// ErrBadMessage means that a message violates the protocol and was dropped.
	ErrBadMessage = errors.New("quorum: message is not valid")
	// ErrCorrupt means that the stored state is inconsistent.
	ErrCorrupt = errors.New("quorum: stored state is not consistent")
	// ErrDiverged means that a message contradicts a locally committed entry.
	// The caller must stop this voter: its log or the leader's is damaged.
	ErrDiverged = errors.New("quorum: message contradicts a committed entry")
	// ErrUnknownIndex means that an index is compacted or not reached yet.
	ErrUnknownIndex = errors.New("quorum: index is compacted or not reached")
)
