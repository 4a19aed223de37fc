package agent

import (
	"context"

	"github.com/comfreyloom/comfreyloom/internal/node"
	"github.com/comfreyloom/comfreyloom/internal/slots"
)

// staticCount counts the requests that are served while this VM is not ready.
// The balancer takes a VM that lost the quorum out after a few seconds; what
// still reaches it is served on the last state, and the operator sees how much.
type staticCount struct {
	slots.Broker
	heartbeats *node.Heartbeats
}

// Acquire implements slots.Broker.
func (c staticCount) Acquire(ctx context.Context, ask slots.SlotRequest) (*slots.Grant, error) {
	grant, err := c.Broker.Acquire(ctx, ask)
	if err == nil && !c.heartbeats.Ready() {
		c.heartbeats.CountServed()
	}
	return grant, err
}
