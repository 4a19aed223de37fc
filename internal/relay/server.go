package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
	"github.com/twitchtv/twirp"

	"github.com/comfreyloom/comfreyloom/internal/codec"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/relay/relaypb"
	"github.com/comfreyloom/comfreyloom/internal/steady"
	"github.com/comfreyloom/comfreyloom/internal/workers"
)

const (
	// gatherTime is how long further replies are awaited after the first.
	gatherTime = 10 * time.Millisecond
	// maxWait bounds the wait for a first reply that a sender may ask for, and
	// maxCallTime the time that one call may take.
	maxWait     = 2 * time.Second
	maxCallTime = 10 * time.Second
	// maxCalls bounds the calls in progress at one VM; further ones are not made.
	maxCalls = 4096
	// forgetSessionAfter is how long the replies of a session are kept without an
	// exchange. Its leader has ended by then, or counts its calls as lost.
	forgetSessionAfter = 10 * time.Second
)

// errTooManyCalls is the error of a call that was not made.
var errTooManyCalls = errors.New("relay: too many calls in progress")

// Server makes calls to workers for the leader. It is safe for concurrent use.
type Server struct {
	client workers.Client
	now    func() time.Duration
	// calling holds the goroutines of the calls. Nothing waits for them: a process
	// that stops ends its calls, which then count as ones that may have run.
	calling conc.WaitGroup

	mu       sync.Mutex
	stopped  bool
	calls    int
	sessions map[uint64]*session
}

// session holds the replies for one process that was the leader.
type session struct {
	lastExchange time.Duration
	replies      []reply
	// arrived holds one token when there are replies.
	arrived chan struct{}
}

var _ relaypb.Relay = (*Server)(nil)

// NewServer returns a server that makes calls with a client.
func NewServer(client workers.Client, now func() time.Duration) *Server {
	return &Server{client: client, now: now, sessions: map[uint64]*session{}}
}

// Stop refuses exchanges from now on, so that the leader uses other VMs.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
}

// Exchange takes calls over and returns replies, after a wait for the first.
func (s *Server) Exchange(ctx context.Context, r *relaypb.ExchangeRequest) (*relaypb.ExchangeReply, error) {
	var calls []call
	if len(r.Calls) > 0 {
		if err := codec.Unmarshal(r.Calls, &calls); err != nil {
			return nil, twirp.InvalidArgumentError("calls", err.Error())
		}
	}
	from, err := s.open(r.Session)
	if err != nil {
		return nil, err
	}
	for i := range calls {
		s.begin(from, &calls[i])
	}
	if r.WaitMs > 0 {
		s.awaitReplies(ctx, from, min(time.Duration(r.WaitMs)*time.Millisecond, maxWait))
	}
	replies := s.take(from)
	if len(replies) == 0 {
		return &relaypb.ExchangeReply{}, nil
	}
	data, err := codec.Marshal(replies)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &relaypb.ExchangeReply{Replies: data}, nil
}

// open returns a session and drops the replies of those that ended.
func (s *Server) open(id uint64) (*session, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return nil, twirp.NewError(twirp.Unavailable, "this VM is stopping")
	}
	now := s.now()
	for other, old := range s.sessions {
		if other != id && now-old.lastExchange > forgetSessionAfter {
			delete(s.sessions, other)
		}
	}
	opened := s.sessions[id]
	if opened == nil {
		opened = &session{arrived: make(chan struct{}, 1)}
		s.sessions[id] = opened
	}
	opened.lastExchange = now
	return opened, nil
}

// begin makes a call in the background.
func (s *Server) begin(from *session, c *call) {
	if !s.admit() {
		s.deliver(from, newReply(c.ID, workers.List{}, &workers.CallError{Verdict: model.NotRun, Err: errTooManyCalls}))
		return
	}
	s.calling.Go(func() {
		defer s.release()
		s.deliver(from, s.carryOut(c))
	})
}

func (s *Server) admit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls >= maxCalls {
		return false
	}
	s.calls++
	return true
}

func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls--
}

// carryOut makes a call. It outlives the exchange that brought the call.
func (s *Server) carryOut(c *call) reply {
	limit := min(time.Duration(c.TimeoutMS)*time.Millisecond, maxCallTime)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var list workers.List
	var err error
	if recovered := panics.Try(func() { list, err = perform(ctx, s.client, c) }); recovered != nil {
		err = &workers.CallError{Verdict: model.MayHaveRun, Err: recovered.AsError()}
	}
	return newReply(c.ID, list, err)
}

func (s *Server) deliver(to *session, r reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	to.replies = append(to.replies, r)
	notify(to.arrived)
}

// awaitReplies waits for a first reply, and then for others that follow shortly.
func (s *Server) awaitReplies(ctx context.Context, from *session, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-from.arrived:
		steady.Pause(ctx, gatherTime)
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (s *Server) take(from *session) []reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	replies := from.replies
	from.replies = nil
	return replies
}
