package node

import (
	"context"
	"sync"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/quorum"
)

// answerSlot passes messages for a peer into the reply of a call from that
// peer, which saves the call that would carry them otherwise.
type answerSlot struct {
	mu sync.Mutex
	// waiting is the channel of the call that waits, nil when none does. It
	// holds one item, so put never blocks.
	waiting chan []quorum.Message
}

// open makes the next put go to the returned channel.
func (s *answerSlot) open() chan []quorum.Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = make(chan []quorum.Message, 1)
	return s.waiting
}

// put hands messages to the waiting call, if there is one.
func (s *answerSlot) put(messages []quorum.Message) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting == nil {
		return false
	}
	s.waiting <- messages
	s.waiting = nil
	return true
}

// wait returns what was put into the channel within the time, else nil.
func (s *answerSlot) wait(ctx context.Context, answers chan []quorum.Message, limit time.Duration) []quorum.Message {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case messages := <-answers:
		return messages
	case <-timer.C:
	case <-ctx.Done():
	}
	return s.close(answers)
}

// close gives the channel up. What was put in the meantime is returned.
func (s *answerSlot) close(answers chan []quorum.Message) []quorum.Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting == answers {
		s.waiting = nil
	}
	select {
	case messages := <-answers:
		return messages
	default:
		return nil
	}
}
