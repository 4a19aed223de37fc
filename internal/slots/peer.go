package slots

import (
	"context"
	"errors"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/slots/lending"
)

// LendRequest and LendReply are the messages between entry VMs about slots.
type (
	// LendRequest is what a borrower says to a lender.
	LendRequest = lending.Request
	// LendReply is what the lender answers.
	LendReply = lending.Reply
)

// Peer reaches the dispatchers of other entry VMs.
type Peer interface {
	// Lend asks the lender; its answer may take a while, until there are slots.
	Lend(ctx context.Context, lender model.NodeID, r LendRequest) (LendReply, error)
}

// Caller carries an encoded request to another entry VM and returns its reply.
type Caller func(ctx context.Context, to model.NodeID, body []byte) ([]byte, error)

// NewPeer returns a peer over a transport of opaque bytes.
func NewPeer(call Caller) Peer { return call }

// Lend implements Peer.
func (c Caller) Lend(ctx context.Context, lender model.NodeID, r LendRequest) (LendReply, error) {
	body, err := lending.EncodeRequest(r)
	if err != nil {
		return LendReply{}, err
	}
	answer, err := c(ctx, lender, body)
	if err != nil {
		return LendReply{}, err
	}
	return lending.DecodeReply(answer)
}

// ErrNotMember says that the borrower is no entry VM of the settings.
var ErrNotMember = errors.New("slots: the borrower is not in the settings")

// callTimeout bounds a call to a lender beyond the time that it may hold the reply.
const callTimeout = time.Second

// Lend answers an encoded request of another entry VM.
func (d *Dispatcher) Lend(ctx context.Context, from model.NodeID, body []byte) ([]byte, error) {
	r, err := lending.DecodeRequest(body)
	if err != nil {
		return nil, err
	}
	if r.Borrower != from {
		return nil, ErrNotMember
	}
	reply, err := d.ServeLend(ctx, r)
	if err != nil {
		return nil, err
	}
	return lending.EncodeReply(reply)
}

// ServeLend answers a borrower. It waits until there are slots for it, or the
// borrower's patience is over. It is safe for concurrent use.
func (d *Dispatcher) ServeLend(ctx context.Context, r LendRequest) (LendReply, error) {
	if !d.isPeer(r.Borrower) {
		return LendReply{}, ErrNotMember
	}
	state := d.state(r.Service)
	if state == nil {
		return LendReply{}, nil // A service that is unknown here has nothing lent either way.
	}
	d.counters.lendCalls.Inc(1)
	switch {
	case r.Recover:
		return state.holding(r), nil
	case len(r.Handover) > 0:
		state.step(func(now model.Instant) { state.core.receiveHandover(r, now) })
		return LendReply{}, nil
	default:
		return state.serve(ctx, r)
	}
}

func (d *Dispatcher) isPeer(n model.NodeID) bool {
	for _, known := range d.config.Nodes {
		if known == n && n != d.config.Self {
			return true
		}
	}
	return false
}

func (k *serviceState) holding(r lending.Request) lending.Reply {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.core.holding(r)
}

// serve holds the call of a borrower until the core answers it.
func (k *serviceState) serve(ctx context.Context, r lending.Request) (lending.Reply, error) {
	call := pendingCall{r.Incarnation, r.Number, make(chan lending.Reply, 1)}
	var err error
	k.step(func(now model.Instant) {
		if err = k.core.ledger.Check(r); err != nil {
			return
		}
		if before, ok := k.pending[r.Borrower]; ok {
			close(before.reply)
		}
		k.pending[r.Borrower] = call
		err = k.core.receive(r, now)
	})
	if err != nil {
		return lending.Reply{}, err
	}
	select {
	case reply := <-call.reply:
		// Empty when a later request overtook this one; the borrower ignores
		// the reply then, and it is no failure of the link.
		return reply, nil
	case <-ctx.Done():
		k.dropPending(r)
		return lending.Reply{}, ctx.Err()
	}
}

func (k *serviceState) dropPending(r lending.Request) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.core.ledger.DropPending(r.Borrower, r.Number)
	waiting, ok := k.pending[r.Borrower]
	if ok && waiting.incarnation == r.Incarnation && waiting.number == r.Number {
		delete(k.pending, r.Borrower)
	}
}

// call sends a request to a lender and takes in the reply.
func (k *serviceState) call(s send) {
	d := k.dispatcher
	d.counters.borrowCalls.Inc(1)
	d.start(func() {
		ctx, cancel := context.WithTimeout(d.ctx, callTimeout+time.Duration(s.request.WaitMS)*time.Millisecond)
		defer cancel()
		reply, err := d.config.Peer.Lend(ctx, s.to, s.request)
		k.step(func(now model.Instant) {
			switch {
			case err != nil:
				d.counters.borrowFailed.Inc(1)
				k.core.failed(s.to, s.request.Number, now)
			case len(s.request.Handover) > 0:
			case s.request.Recover:
				k.core.recovered(s.to, reply, now)
			default:
				k.core.applied(s.to, s.request.Number, reply, now)
			}
		})
	})
}
