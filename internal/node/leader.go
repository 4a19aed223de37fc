package node

import (
	"sync"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// LeaderHint is the last known leader of the control log. It may be outdated. It
// is safe for concurrent use; the zero value holds no leader.
type LeaderHint struct {
	mu     sync.Mutex
	leader model.NodeID
	term   uint64
}

// Update records the leader that another process reported. A leader of an earlier
// term is ignored: it was replaced, whatever its messages claim.
func (h *LeaderHint) Update(leader model.NodeID, term uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if leader == "" || term < h.term {
		return
	}
	h.leader, h.term = leader, term
}

// Invalidate removes a leader that did not reply or replied that it does not
// lead. The term stays, so that only a leader of the same or a later term is
// recorded again.
func (h *LeaderHint) Invalidate(leader model.NodeID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leader == leader {
		h.leader = ""
	}
}

// Get returns the leader, empty when unknown, and the highest known term.
func (h *LeaderHint) Get() (model.NodeID, uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leader, h.term
}
