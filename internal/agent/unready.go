package agent

import (
	"context"

	"github.com/comfreyloom/comfreyloom/internal/node"
	"github.com/comfreyloom/comfreyloom/internal/slots"
)

// unreadyCounter counts the requests that are served while this VM is not ready.
// The balancer removes a VM that lost the quorum after a few seconds. Requests
// that still arrive are served with the state last applied here, and the count
// shows operators how many.
type unreadyCounter struct {
	slots.Broker
	heartbeats *node.Heartbeats
}

// Acquire implements slots.Broker.
func (c unreadyCounter) Acquire(ctx context.Context, request slots.SlotRequest) (*slots.Grant, error) {
	grant, err := c.Broker.Acquire(ctx, request)
	if err == nil && !c.heartbeats.Ready() {
		c.heartbeats.CountServedUnready()
	}
	return grant, err
}
