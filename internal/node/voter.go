package node

import (
	"context"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/quorum"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// Voter is this process's replica of the control log; only processes with a data
// folder have one.
type Voter interface {
	// Step passes quorum messages to the voter and does not wait for their effect.
	Step(messages []quorum.Message)
	// Propose commits an encoded command at the leader and returns its
	// result. Errors wrap state.ErrNotProposed or state.ErrOutcomeUnknown;
	// any other error counts as the latter.
	Propose(ctx context.Context, command []byte) (state.Result, error)
	// ReadIndex returns an index that covers everything committed before the
	// call. It fails unless this voter leads and a quorum confirms it.
	ReadIndex(ctx context.Context) (uint64, error)
	// Committed returns committed entries from the index on, or the snapshot
	// that replaced them. It waits until there is one or ctx ends.
	Committed(ctx context.Context, from uint64, maxBytes int) (Feed, error)
	// Status returns this voter's view of the control log.
	Status() VoterStatus
}

// Feed is a part of the committed log.
type Feed struct {
	// Entries start at the requested index and have no gap.
	Entries []quorum.Entry
	// Snapshot is set instead when the requested index was compacted.
	Snapshot *quorum.Snapshot
	// Commit is the last known commit index.
	Commit uint64
}

// VoterStatus is a voter's view of the control log.
type VoterStatus struct {
	// Leader is empty when unknown.
	Leader model.NodeID
	Term   uint64
	Commit uint64
	// Leads is set when this voter is the leader.
	Leads bool
	// Confirmed is set when this voter leads and had contact with a quorum
	// within its lease.
	Confirmed bool
}

// Machine is the part of the state machine that this package uses. *state.Machine
// implements it.
type Machine interface {
	Apply(index uint64, data []byte) state.Result
	Restore(data []byte) error
	Applied() uint64
	Wait(ctx context.Context, index uint64) error
	View() *state.View
	Claim(key model.RequestKey) *model.Claim
	Audit(from uint64, limit int) []model.AuditRecord
}
