package state

import (
	"context"
	"errors"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// ErrNotProposed says that the command is not in the log and never will be by
// this call; it had no effect.
var ErrNotProposed = errors.New("state: command was not proposed")

// ErrOutcomeUnknown says that the command may or may not take effect. Sending
// it again under the same ID is safe.
var ErrOutcomeUnknown = errors.New("state: outcome of command is unknown")

// Log is the control log as every other package sees it, on voters and
// learners alike: proposals go to the leader wherever it is, reads are local.
type Log interface {
	// Propose commits a command and returns its result once this VM applied
	// it. Errors wrap ErrNotProposed or ErrOutcomeUnknown.
	Propose(ctx context.Context, c Command) (Result, error)
	// View returns the tables as of the last index applied here.
	View() *View
	// Claim returns the claim of a key, nil when there is none.
	Claim(key model.RequestKey) *model.Claim
	// Audit returns at most limit audit records with a sequence of at least from.
	Audit(from uint64, limit int) []model.AuditRecord
	// Confirm waits until this VM has applied everything that was committed
	// when Confirm was called, as a quorum confirms. It returns the index.
	Confirm(ctx context.Context) (uint64, error)
	// WaitApplied waits until this VM has applied the index.
	WaitApplied(ctx context.Context, index uint64) error
	// Leader returns the leader and its term as last heard; empty when unknown.
	Leader() (leader model.NodeID, term uint64)
}
