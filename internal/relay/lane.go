package relay

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/codec"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/node"
	"github.com/comfreyloom/comfreyloom/internal/relay/relaypb"
	"github.com/comfreyloom/comfreyloom/internal/steady"
	"github.com/comfreyloom/comfreyloom/internal/workers"
)

const (
	// exchangeInterval is the least time between two exchanges in one direction.
	// Calls and replies within it share one exchange.
	exchangeInterval = 12 * time.Millisecond
	// collectWait is how long the relay waits for a first reply. It bounds how late
	// a relay that stopped is noticed.
	collectWait = 150 * time.Millisecond
	// exchangeTimeout bounds an exchange in addition to its wait.
	exchangeTimeout = 450 * time.Millisecond
)

// errRelayLost is the cause of calls that were in progress at a relay that does
// not answer.
var errRelayLost = errors.New("relay: the VM that makes the call does not answer")

// errWithdrawn is the cause of calls that ended before they were handed over.
var errWithdrawn = errors.New("relay: the call was not handed over in time")

// lane is the leader's side of one relay: one goroutine hands calls over, another
// fetches the replies.
type lane struct {
	relay   model.NodeID
	session uint64
	send    func(ctx context.Context, to model.NodeID, r *relaypb.ExchangeRequest) (*relaypb.ExchangeReply, error)
	now     func() time.Duration
	// lost is called when the relay does not answer.
	lost func(relay model.NodeID, err error)
	// queued and expecting hold one token when a call is queued, or when a reply is
	// expected.
	queued, expecting chan struct{}

	mu     sync.Mutex
	nextID uint64
	// answeredAt is when the relay last answered an exchange, 0 before the first.
	answeredAt time.Duration
	queue      []call
	// waiting holds the calls without a reply, also those in the queue.
	waiting map[uint64]chan reply
}

// do makes a call and returns the worker's reply. The error is a
// *workers.CallError.
func (l *lane) do(ctx context.Context, c call) (workers.List, error) {
	c.TimeoutMS = maxCallTime.Milliseconds()
	if deadline, ok := ctx.Deadline(); ok {
		c.TimeoutMS = time.Until(deadline).Milliseconds()
	}
	done := l.enqueue(&c)
	select {
	case r := <-done:
		return r.list()
	case <-ctx.Done():
		return workers.List{}, l.abandon(c.ID, ctx.Err())
	}
}

func (l *lane) enqueue(c *call) chan reply {
	done := make(chan reply, 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextID++
	c.ID = l.nextID
	l.queue = append(l.queue, *c)
	l.waiting[c.ID] = done
	notify(l.queued)
	return done
}

// abandon ends a call whose caller stops waiting. A call that is still queued is
// never made.
func (l *lane) abandon(id uint64, cause error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, id)
	at := slices.IndexFunc(l.queue, func(c call) bool { return c.ID == id })
	if at < 0 {
		return &workers.CallError{Verdict: model.MayHaveRun, Err: cause}
	}
	l.queue = slices.Delete(l.queue, at, at+1)
	return &workers.CallError{Verdict: model.NotRun, Err: errors.Join(errWithdrawn, cause)}
}

// handOver sends the queued calls until ctx ends.
func (l *lane) handOver(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.queued:
		}
		batch := l.takeQueue()
		if len(batch) == 0 {
			continue
		}
		began := steady.Now()
		l.exchange(ctx, batch, 0)
		steady.Pause(ctx, exchangeInterval-(steady.Now()-began))
	}
}

func (l *lane) takeQueue() []call {
	l.mu.Lock()
	defer l.mu.Unlock()
	batch := l.queue
	l.queue = nil
	notify(l.expecting)
	return batch
}

// collect fetches replies until ctx ends.
func (l *lane) collect(ctx context.Context) {
	for {
		if !l.expectsReply() {
			select {
			case <-ctx.Done():
				return
			case <-l.expecting:
				continue
			}
		}
		if ctx.Err() != nil {
			return
		}
		began := steady.Now()
		l.exchange(ctx, nil, collectWait)
		steady.Pause(ctx, exchangeInterval-(steady.Now()-began))
	}
}

func (l *lane) expectsReply() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting) > len(l.queue)
}

// exchange hands calls over and takes the replies that are there. If it fails, all
// calls at the relay end.
func (l *lane) exchange(ctx context.Context, calls []call, wait time.Duration) {
	request := &relaypb.ExchangeRequest{Session: l.session, WaitMs: uint32(wait.Milliseconds())}
	var err error
	if len(calls) > 0 {
		if request.Calls, err = codec.Marshal(calls); err != nil {
			l.fail(calls, model.NotRun, err)
			return
		}
	}
	limited, cancel := context.WithTimeout(ctx, wait+exchangeTimeout)
	defer cancel()
	result, err := l.send(limited, l.relay, request)
	if err != nil {
		verdict := model.MayHaveRun
		if node.NeverSent(err) {
			verdict = model.NotRun
		}
		l.fail(calls, verdict, err)
		return
	}
	l.recordAnswer()
	if err := l.takeReplies(result.Replies); err != nil {
		l.fail(nil, model.MayHaveRun, err)
	}
}

func (l *lane) recordAnswer() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answeredAt = l.now()
}

// answeredSince reports whether the relay has answered an exchange since a time.
func (l *lane) answeredSince(at time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.answeredAt > 0 && l.answeredAt >= at
}

// fail ends the calls of a failed exchange with a verdict, and all others that the
// relay has with MayHaveRun.
func (l *lane) fail(calls []call, verdict model.Verdict, cause error) {
	l.mu.Lock()
	queued := map[uint64]bool{}
	for i := range l.queue {
		queued[l.queue[i].ID] = true
	}
	failed := reply{Error: errors.Join(errRelayLost, cause).Error(), Verdict: verdict}
	for i := range calls {
		l.complete(calls[i].ID, failed)
	}
	failed.Verdict = model.MayHaveRun
	for id := range l.waiting {
		if !queued[id] {
			l.complete(id, failed)
		}
	}
	l.mu.Unlock()
	l.lost(l.relay, cause)
}

// complete ends a call; the caller holds the lock.
func (l *lane) complete(id uint64, r reply) {
	if done := l.waiting[id]; done != nil {
		delete(l.waiting, id)
		done <- r
	}
}

func (l *lane) takeReplies(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	var replies []reply
	if err := codec.Unmarshal(data, &replies); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range replies {
		l.complete(replies[i].ID, replies[i])
	}
	return nil
}

// notify puts a token into a channel that holds one.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
