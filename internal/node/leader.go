package node

import (
	"sync"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// LeaderHint is who leads the control log as far as this process has heard.
// It is safe for concurrent use; the zero value knows nobody.
type LeaderHint struct {
	mu     sync.Mutex
	leader model.NodeID
	term   uint64
}

// Learn takes in what another process said. A leader of an earlier term is
// ignored: it was replaced, whatever its messages say.
func (h *LeaderHint) Learn(leader model.NodeID, term uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if leader == "" || term < h.term {
		return
	}
	h.leader, h.term = leader, term
}

// Doubt forgets a leader that did not answer or said it does not lead. The
// term stays, so that only the same or a later term can name a leader again.
func (h *LeaderHint) Doubt(leader model.NodeID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leader == leader {
		h.leader = ""
	}
}

// Get returns the leader, empty when unknown, and the highest term heard.
func (h *LeaderHint) Get() (model.NodeID, uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leader, h.term
}
