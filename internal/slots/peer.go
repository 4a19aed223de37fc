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
	// LendRequest is sent by a borrower to a lender.
	LendRequest = lending.Request
	// LendReply is the lender's reply.
	LendReply = lending.Reply
)

// Peer sends requests to the dispatchers of other entry VMs.
type Peer interface {
	// Lend sends a request to the lender, which may hold its reply until it has
	// slots.
	Lend(ctx context.Context, lender model.NodeID, r LendRequest) (LendReply, error)
}

// Transport sends an encoded request to another entry VM and returns its reply.
type Transport func(ctx context.Context, to model.NodeID, body []byte) ([]byte, error)

// NewPeer returns a Peer that uses a transport of opaque bytes.
func NewPeer(call Transport) Peer { return call }

// Lend implements Peer.
func (c Transport) Lend(ctx context.Context, lender model.NodeID, r LendRequest) (LendReply, error) {
	body, err := lending.EncodeRequest(r)
	if err != nil {
		return LendReply{}, err
	}
	reply, err := c(ctx, lender, body)
	if err != nil {
		return LendReply{}, err
	}
	return lending.DecodeReply(reply)
}

// ErrNotMember is returned when the borrower is not an entry VM of the settings.
var ErrNotMember = errors.New("slots: the borrower is not in the settings")

// callTimeout is how long a call to a lender may take, in addition to the time
// that the lender may hold the reply.
const callTimeout = time.Second

// Lend serves an encoded request of another entry VM.
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

// ServeLend serves a request of a borrower. It may wait until there are slots
// for the borrower, as long as the request allows. It is safe for concurrent
// use.
func (d *Dispatcher) ServeLend(ctx context.Context, r LendRequest) (LendReply, error) {
	if !d.isPeer(r.Borrower) {
		return LendReply{}, ErrNotMember
	}
	state := d.state(r.Service)
	if state == nil {
		return LendReply{}, nil // An unknown service has neither lent nor borrowed slots.
	}
	d.counters.lendCalls.Inc(1)
	switch {
	case r.Recover:
		return state.recoveryReply(r), nil
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

// recoveryReply serves a recovery request of an entry VM that restarted.
func (k *serviceState) recoveryReply(r lending.Request) lending.Reply {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.core.recoveryReply(r)
}

// serve holds a borrower's call until the core replies to it.
func (k *serviceState) serve(ctx context.Context, r lending.Request) (lending.Reply, error) {
	call := pendingCall{r.Incarnation, r.Number, make(chan lending.Reply, 1)}
	var err error
	k.step(func(now model.Instant) {
		if err = k.core.lender.CheckRequest(r); err != nil {
			return
		}
		if previous, ok := k.pending[r.Borrower]; ok {
			close(previous.reply)
		}
		k.pending[r.Borrower] = call
		err = k.core.receiveRequest(r, now)
	})
	if err != nil {
		return lending.Reply{}, err
	}
	select {
	case reply := <-call.reply:
		// The reply is empty when a later request has overtaken this one. The
		// borrower then ignores it, and it doesn't count as a failed call.
		return reply, nil
	case <-ctx.Done():
		k.dropPending(r)
		return lending.Reply{}, ctx.Err()
	}
}

// dropPending drops a call whose borrower no longer waits for the reply.
func (k *serviceState) dropPending(r lending.Request) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.core.lender.DropPending(r.Borrower, r.Number)
	waiting, ok := k.pending[r.Borrower]
	if ok && waiting.incarnation == r.Incarnation && waiting.number == r.Number {
		delete(k.pending, r.Borrower)
	}
}

// callPeer sends a request to another entry VM and processes the reply.
func (k *serviceState) callPeer(s peerCall) {
	d := k.dispatcher
	d.counters.borrowCalls.Inc(1)
	d.startCall(func() {
		ctx, cancel := context.WithTimeout(d.ctx, callTimeout+time.Duration(s.request.WaitMS)*time.Millisecond)
		defer cancel()
		reply, err := d.config.Peer.Lend(ctx, s.to, s.request)
		k.step(func(now model.Instant) {
			switch {
			case err != nil:
				d.counters.borrowFailed.Inc(1)
				k.core.requestFailed(s.to, s.request.Number, now)
			case len(s.request.Handover) > 0:
			case s.request.Recover:
				k.core.receiveRecovery(s.to, reply, now)
			default:
				k.core.receiveReply(s.to, s.request.Number, reply, now)
			}
		})
	})
}
