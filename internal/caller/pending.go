package caller

import (
	"context"
	"sync"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// pendingOutcomes holds the keys of claims whose outcome is known to this
// process and not yet recorded.
//
// A caller gets its response before the outcome is recorded. If it looks the
// request up at once, the claim is still running, and the caller, who already
// has the response, would get may-have-run. The look-up waits until the outcome
// is recorded instead, which takes one commit.
type pendingOutcomes struct {
	mu   sync.Mutex
	keys map[model.RequestKey]chan struct{}
}

func (s *pendingOutcomes) begin(key model.RequestKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keys == nil {
		s.keys = map[model.RequestKey]chan struct{}{}
	}
	if s.keys[key] == nil {
		s.keys[key] = make(chan struct{})
	}
}

func (s *pendingOutcomes) end(key model.RequestKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if recorded := s.keys[key]; recorded != nil {
		close(recorded)
		delete(s.keys, key)
	}
}

// wait returns when the outcome of a key is recorded or ctx ends; at once if
// none is pending.
func (s *pendingOutcomes) wait(ctx context.Context, key model.RequestKey) {
	s.mu.Lock()
	recorded := s.keys[key]
	s.mu.Unlock()
	if recorded == nil {
		return
	}
	select {
	case <-recorded:
	case <-ctx.Done():
	}
}
