package node

import (
	"context"
	"sync"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/quorum"
)

// replySlot passes messages for a peer into the reply of a call from that
// peer, which saves the separate call that would carry them otherwise.
type replySlot struct {
	mu sync.Mutex
	// waiting is the channel of the waiting call, nil when there is none. It
	// holds one item, so put never blocks.
	waiting chan []quorum.Message
}

// open opens the slot and returns the channel to which the next put goes.
func (s *replySlot) open() chan []quorum.Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = make(chan []quorum.Message, 1)
	return s.waiting
}

// put hands messages to the waiting call and reports whether there is one.
func (s *replySlot) put(messages []quorum.Message) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting == nil {
		return false
	}
	s.waiting <- messages
	s.waiting = nil
	return true
}

// wait returns what is put into the channel before the limit, else nil.
func (s *replySlot) wait(ctx context.Context, replies chan []quorum.Message, limit time.Duration) []quorum.Message {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case messages := <-replies:
		return messages
	case <-timer.C:
	case <-ctx.Done():
	}
	return s.close(replies)
}

// close closes the slot, unless a later call has opened it again, and returns
// what was put into the channel in the meantime.
func (s *replySlot) close(replies chan []quorum.Message) []quorum.Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting == replies {
		s.waiting = nil
	}
	select {
	case messages := <-replies:
		return messages
	default:
		return nil
	}
}
