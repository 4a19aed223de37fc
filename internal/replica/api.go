package replica

import (
	"context"
	"fmt"

	"github.com/comfreyloom/comfreyloom/internal/datafolder"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/quorum"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// Machine is the state machine that the replica feeds.
type Machine interface {
	// Apply applies the command at index. Entries that hold no command of the
	// state machine come with nil data and only advance Applied.
	Apply(index uint64, data []byte) state.Result
	// Snapshot encodes the whole state as of Applied.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state by an encoded one.
	Restore(data []byte) error
	// Applied is the index of the last entry applied.
	Applied() uint64
}

var _ Machine = (*state.Machine)(nil)

// Transport carries messages to other voters. It may lose, double and reorder
// them, and never blocks: a message to a slow node is dropped.
type Transport interface {
	Send(to model.NodeID, messages []quorum.Message)
}

// Identity says who a voter is and how far its disk has come. It is passed
// whole (Encode, datafolder.DecodeIdentity) between voters.
type Identity = datafolder.Identity

// Bootstrapper asks other voters who they are.
type Bootstrapper interface {
	// Identify returns the identity of a voter, from the voter itself.
	Identify(ctx context.Context, node model.NodeID) (Identity, error)
}

// Feed is a piece of the committed log for a follower: either Entries, which
// start at the index asked for, or a Snapshot when that index was compacted.
type Feed struct {
	Entries  []quorum.Entry
	Snapshot *quorum.Snapshot
	// Commit is the index up to which the voter has applied the log.
	Commit uint64
}

// ErrNotLeader says that the voter does not lead; it wraps state.ErrNotProposed.
type ErrNotLeader struct {
	// Leader is who leads as far as this voter knows; empty when unknown.
	Leader model.NodeID
}

// Error names the leader.
func (e ErrNotLeader) Error() string {
	if e.Leader == "" {
		return "replica: not the leader, and no leader is known"
	}
	return fmt.Sprintf("replica: not the leader, which is %s", e.Leader)
}

// Unwrap returns state.ErrNotProposed: nothing was entered in the log.
func (e ErrNotLeader) Unwrap() error { return state.ErrNotProposed }
