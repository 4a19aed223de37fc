package node

import (
	"context"

	"github.com/comfreyloom/comfreyloom/internal/replica"
)

var (
	_ replica.Transport    = (*Client)(nil)
	_ replica.Bootstrapper = (*Client)(nil)
)

// replicaVoter adapts a replica to Voter.
type replicaVoter struct{ *replica.Replica }

// FromReplica returns a replica as a Voter.
func FromReplica(r *replica.Replica) Voter { return replicaVoter{r} }

// Committed implements Voter.
func (v replicaVoter) Committed(ctx context.Context, from uint64, maxBytes int) (Feed, error) {
	feed, err := v.Replica.Committed(ctx, from, maxBytes)
	return Feed(feed), err
}

// Status returns the replica's view of the control log.
func (v replicaVoter) Status() VoterStatus { return VoterStatus(v.Replica.Leadership()) }
