package node

import (
	"context"

	"github.com/comfreyloom/comfreyloom/internal/membership"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/steady"
	"github.com/sourcegraph/conc"
)

// Standing says whether this process may take requests, and why not.
func (h *Heartbeats) Standing() membership.Status {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock()
	h.update(now)
	return h.core.Status(now)
}

// Ready reports whether this process may take requests. A request that comes
// nevertheless is served on the last state known here; see CountServed.
func (h *Heartbeats) Ready() bool { return h.Standing().Ready }

// CountServed counts a request that is served while this process is not
// ready, as "node.served_unconfirmed".
func (h *Heartbeats) CountServed() { h.static.Inc(1) }

// View returns the live members, which own the slots of services.
func (h *Heartbeats) View() membership.View {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.core.View()
}

// Incarnation is that of this process. It can grow, so read it for each use.
func (h *Heartbeats) Incarnation() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.core.Incarnation()
}

// Check returns the broken invariants of the membership, in words.
func (h *Heartbeats) Check() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.core.Violations(h.clock())
}

// InForce returns the processes that are not known to have applied the index.
func (h *Heartbeats) InForce(index uint64) (behind []model.NodeID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.update(h.clock())
	return h.core.Behind(index)
}

// WaitInForce asks the processes that are behind until all have applied the
// index or ctx ends, and returns those that have not. Only while somebody
// waits does this cost messages, so regular beats need not be frequent.
func (h *Heartbeats) WaitInForce(ctx context.Context, index uint64) (behind []model.NodeID) {
	var calls conc.WaitGroup
	defer calls.Wait()
	for {
		behind = h.InForce(index)
		if len(behind) == 0 || ctx.Err() != nil {
			return behind
		}
		h.askAll(ctx, &calls, behind)
		steady.Pause(ctx, inForcePoll)
	}
}

func (h *Heartbeats) askAll(ctx context.Context, calls *conc.WaitGroup, targets []model.NodeID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock()
	for _, target := range targets {
		if target != h.config.Self {
			h.start(ctx, calls, now, target)
		}
	}
}
