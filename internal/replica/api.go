package replica

import (
	"context"
	"fmt"

	"github.com/comfreyloom/comfreyloom/internal/datafolder"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/quorum"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// StateMachine is the state machine to which the replica applies committed
// entries.
type StateMachine interface {
	// Apply applies the command at index. Entries that hold no command for the
	// state machine have nil data and only advance Applied.
	Apply(index uint64, data []byte) state.Result
	// Snapshot encodes the whole state as of Applied.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state by an encoded one.
	Restore(data []byte) error
	// Applied returns the index of the last entry that was applied.
	Applied() uint64
}

var _ StateMachine = (*state.Machine)(nil)

// Transport carries messages to other voters. It may lose, duplicate and
// reorder them, and it never blocks: a message to a slow node is dropped.
type Transport interface {
	Send(to model.NodeID, messages []quorum.Message)
}

// Identity identifies a voter and the phase of its disk. Voters send it to each
// other as a whole (Encode, datafolder.DecodeIdentity).
type Identity = datafolder.Identity

// Bootstrapper queries other voters for their identity.
type Bootstrapper interface {
	// Identify returns the identity of a voter as that voter reports it.
	Identify(ctx context.Context, node model.NodeID) (Identity, error)
}

// LogChunk is a part of the committed log for a follower: either Entries that
// start at the requested index, or a Snapshot when that index was compacted.
type LogChunk struct {
	Entries  []quorum.Entry
	Snapshot *quorum.Snapshot
	// Commit is the index up to which the voter has applied the log.
	Commit uint64
}

// ErrNotLeader is returned when this voter is not the leader. It wraps
// state.ErrNotProposed.
type ErrNotLeader struct {
	// Leader is the leader as far as this voter knows; empty when unknown.
	Leader model.NodeID
}

// Error returns a message that names the leader.
func (e ErrNotLeader) Error() string {
	if e.Leader == "" {
		return "replica: not the leader, and no leader is known"
	}
	return fmt.Sprintf("replica: not the leader, which is %s", e.Leader)
}

// Unwrap returns state.ErrNotProposed: nothing was appended to the log.
func (e ErrNotLeader) Unwrap() error { return state.ErrNotProposed }
