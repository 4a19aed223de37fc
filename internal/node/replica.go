package node

import (
	"context"

	"github.com/comfreyloom/comfreyloom/internal/replica"
)

var (
	_ replica.Transport    = (*Client)(nil)
	_ replica.Bootstrapper = (*Client)(nil)
)

// replicaVoter is a replica in the terms of this package.
type replicaVoter struct{ *replica.Replica }

// FromReplica returns the voter that a replica is.
func FromReplica(r *replica.Replica) Voter { return replicaVoter{r} }

// Committed returns a part of the committed log.
func (v replicaVoter) Committed(ctx context.Context, from uint64, maxBytes int) (Feed, error) {
	feed, err := v.Replica.Committed(ctx, from, maxBytes)
	return Feed(feed), err
}

// Standing says how the replica sees the control log.
func (v replicaVoter) Standing() Standing { return Standing(v.Replica.Leadership()) }
