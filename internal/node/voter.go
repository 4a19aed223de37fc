package node

import (
	"context"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/quorum"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// Voter is this process's part in the control log, when it has a disk.
type Voter interface {
	// Step hands over quorum messages; it does not wait for their effect.
	Step(messages []quorum.Message)
	// Propose commits an encoded command at the leader and returns its
	// result. Errors wrap state.ErrNotProposed or state.ErrOutcomeUnknown;
	// any other error counts as the latter.
	Propose(ctx context.Context, command []byte) (state.Result, error)
	// ReadIndex returns an index that covers everything committed before the
	// call. It fails unless this voter leads and a quorum confirms it.
	ReadIndex(ctx context.Context) (uint64, error)
	// Committed returns committed entries from the index on, or the snapshot
	// that replaced them, waiting until there is something or ctx ends.
	Committed(ctx context.Context, from uint64, maxBytes int) (Feed, error)
	// Standing says how this voter sees the control log.
	Standing() Standing
}

// Feed is a part of the committed log.
type Feed struct {
	// Entries start at the index asked for and have no gap.
	Entries []quorum.Entry
	// Snapshot is set instead when the index asked for was compacted.
	Snapshot *quorum.Snapshot
	// Commit is the last index known to be committed.
	Commit uint64
}

// Standing is how a voter sees the control log.
type Standing struct {
	// Leader is empty when unknown.
	Leader model.NodeID
	Term   uint64
	Commit uint64
	// Leads says that this voter is the leader.
	Leads bool
	// Confirmed says that this voter leads and heard from a quorum within its lease.
	Confirmed bool
}

// Machine is the state machine as this package uses it; *state.Machine is one.
type Machine interface {
	Apply(index uint64, data []byte) state.Result
	Restore(data []byte) error
	Applied() uint64
	Wait(ctx context.Context, index uint64) error
	View() *state.View
	Claim(key model.RequestKey) *model.Claim
	Audit(from uint64, limit int) []model.AuditRecord
}
