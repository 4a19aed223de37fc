package node

import (
	"context"

	"github.com/comfreyloom/comfreyloom/internal/membership"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/steady"
	"github.com/sourcegraph/conc"
)

// Status returns whether this process may take requests, and why not. It passes
// the current state of the control log to the membership core first.
func (h *Heartbeats) Status() membership.Status {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock()
	h.updateLocal(now)
	return h.core.Status(now)
}

// Ready reports whether this process may take requests. A request that arrives
// while it may not is served on the last known state; see CountServedUnready.
func (h *Heartbeats) Ready() bool { return h.Status().Ready }

// CountServedUnready counts a request that is served while this process is not
// ready, as "node.served_unconfirmed".
func (h *Heartbeats) CountServedUnready() { h.servedUnready.Inc(1) }

// View returns the live members. They own the slots of services.
func (h *Heartbeats) View() membership.View {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.core.View()
}

// Incarnation returns this process's incarnation. It can increase, so it must be
// read for each use.
func (h *Heartbeats) Incarnation() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.core.Incarnation()
}

// Violations returns the violations of invariants that the membership core
// recorded or finds now.
func (h *Heartbeats) Violations() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.core.Violations(h.clock())
}

// Behind returns the processes that are not known to have applied the index, as
// membership.Core.Behind does, with the current applied index of this process.
func (h *Heartbeats) Behind(index uint64) (behind []model.NodeID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.updateLocal(h.clock())
	return h.core.Behind(index)
}

// WaitInForce sends beats to the processes that are behind until all have applied
// the index or ctx ends, and returns those that have not. These beats are sent
// only while somebody waits, so that regular beats need not be frequent.
func (h *Heartbeats) WaitInForce(ctx context.Context, index uint64) (behind []model.NodeID) {
	var calls conc.WaitGroup
	defer calls.Wait()
	for {
		behind = h.Behind(index)
		if len(behind) == 0 || ctx.Err() != nil {
			return behind
		}
		h.callAll(ctx, &calls, behind)
		steady.Pause(ctx, inForcePollInterval)
	}
}

// callAll sends a beat to each target.
func (h *Heartbeats) callAll(ctx context.Context, calls *conc.WaitGroup, targets []model.NodeID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock()
	for _, target := range targets {
		if target != h.config.Self {
			h.startCall(ctx, calls, now, target)
		}
	}
}
