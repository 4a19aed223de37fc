package quorum

import "errors"

var (
	// ErrNotLeader says that this voter is not the leader; nothing was appended.
	ErrNotLeader = errors.New("quorum: not leader")
	// ErrBusy says that too much is uncommitted or waiting; nothing was appended.
	ErrBusy = errors.New("quorum: too much is pending")
	// ErrTransferring says that leadership is being handed over; nothing was appended.
	ErrTransferring = errors.New("quorum: leadership is being transferred")
	// ErrVotersPending says that the voter change before is not committed yet.
	ErrVotersPending = errors.New("quorum: a voter change is pending")
	// ErrVotersDiffer says that not exactly one member differs, or that the set is not valid.
	ErrVotersDiffer = errors.New("quorum: exactly one voter may be added or removed at a time")
	// ErrNoOwnTerm says that the leader has not committed an entry of its own term yet.
	ErrNoOwnTerm = errors.New("quorum: no entry of this term is committed yet")
	// ErrVotersSilent says that too few voters of the new set answer the leader.
	ErrVotersSilent = errors.New("quorum: no quorum of the new voters answers")
	// ErrUnknownVoter says that an ID is not in the set of voters.
	ErrUnknownVoter = errors.New("quorum: not a voter")
	// ErrWrongAddressee says that a message is for another ID, such as the one
	// this VM had before it lost its disk.
	ErrWrongAddressee = errors.New("quorum: message is for another voter")
	// ErrBadMessage says that a message breaks the protocol and was dropped.
	ErrBadMessage = errors.New("quorum: message is not valid")
	// ErrCorrupt says that the stored state contradicts itself.
	ErrCorrupt = errors.New("quorum: stored state is not consistent")
	// ErrDiverged says that a message contradicts what is committed here. The
	// caller must stop this voter: its log or the leader's is damaged.
	ErrDiverged = errors.New("quorum: message contradicts a committed entry")
	// ErrUnknownIndex says that an index is compacted or not reached yet.
	ErrUnknownIndex = errors.New("quorum: index is compacted or not reached")
)
