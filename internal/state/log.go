package state

import (
	"context"
	"errors"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// ErrNotProposed means that this call did not and will not add the command to the
// log; it had no effect.
var ErrNotProposed = errors.New("state: command was not proposed")

// ErrOutcomeUnknown means that the command may or may not take effect. Resending
// it under the same ID is safe.
var ErrOutcomeUnknown = errors.New("state: outcome of command is unknown")

// Log is the interface of the control log to all other packages, on voters and
// learners alike: proposals are forwarded to the leader, reads are local.
type Log interface {
	// Propose commits a command and returns its result once this VM has applied
	// it. Errors wrap ErrNotProposed or ErrOutcomeUnknown.
	Propose(ctx context.Context, c Command) (Result, error)
	// View returns the tables as of the last index applied here.
	View() *View
	// Claim returns the claim of a key, nil if there is none.
	Claim(key model.RequestKey) *model.Claim
	// Audit returns at most limit audit records with a sequence of at least from.
	Audit(from uint64, limit int) []model.AuditRecord
	// Confirm waits until this VM has applied everything that was committed
	// when Confirm was called, as confirmed by a quorum. It returns the index.
	Confirm(ctx context.Context) (uint64, error)
	// WaitApplied waits until this VM has applied the index.
	WaitApplied(ctx context.Context, index uint64) error
	// Leader returns the last known leader and its term; empty if unknown.
	Leader() (leader model.NodeID, term uint64)
}
