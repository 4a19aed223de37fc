package upstream

import (
	"context"
	"errors"
	"sync/atomic"
)

// SentState says how far a request got.
type SentState uint8

const (
	// NotSent promises that no byte of the request has reached the upstream,
	// nor will.
	NotSent SentState = iota
	// MaybeSent says that bytes may have reached the upstream.
	MaybeSent
)

var (
	// ErrStale says that every connection at hand was silent for too long.
	ErrStale = errors.New("upstream: connection was not proved lately")
	// ErrLost says that the connection ended before an answer began.
	ErrLost = errors.New("upstream: connection ended without an answer")
	// ErrForeign says that an answer was not that of the request.
	ErrForeign = errors.New("upstream: answer belongs to another request")
	// ErrSilent says that the request was given up after a long silence.
	ErrSilent = errors.New("upstream: connection went silent")
	// ErrBadStatus says that an answer's status is not a final one.
	ErrBadStatus = errors.New("upstream: answer has no final status")
	// ErrUndelimited says that an answer's end can't be told from a cut.
	ErrUndelimited = errors.New("upstream: answer has neither a length nor chunks")

	errGivenUp     = errors.New("upstream: request was given up before it was sent")
	errSecondSend  = errors.New("upstream: request went out on another connection before")
	errUnsolicited = errors.New("upstream: bytes that no request asked for")
)

// exchange is one request on its way. It owns the answer to the question
// whether a byte may have left: each connection asks it before it writes.
//
// What goes wrong without it: net/http sends a request again by itself when
// it looks idempotent and a kept connection ends before the answer, and it
// may still write the request after it returned an error to us. The first
// runs a request twice, the second runs one that we reported as not run.
type exchange struct {
	// owner is the connection that took the first byte, nil before that, and
	// sealed when the request was given up unsent.
	owner atomic.Pointer[conn]
	// stale is set when a connection was refused for being unproved.
	stale atomic.Bool
	// answered is set when the first byte of the answer was read.
	answered atomic.Bool
	// reused says that the connection carried an exchange before.
	reused atomic.Bool
	// movedAt is when a byte was first written or last read, on the pool's clock.
	movedAt atomic.Int64
	cancel  context.CancelCauseFunc
}

// sealed stands in for the owner of an exchange that must not be written.
var sealed = &conn{}

// begin lets c write bytes of the exchange, or says why it must not.
func (x *exchange) begin(c *conn) error {
	if x.owner.CompareAndSwap(nil, c) {
		return nil
	}
	switch x.owner.Load() {
	case c:
		return nil
	case sealed:
		return errGivenUp
	default:
		return errSecondSend
	}
}

// unbegin takes begin back after a write that handed no byte to the kernel.
func (x *exchange) unbegin(c *conn) { x.owner.CompareAndSwap(c, nil) }

// seal ends the exchange and reports how far it got. After NotSent no
// connection will write a byte of it, however late its writer wakes up.
func (x *exchange) seal() SentState {
	if x.owner.CompareAndSwap(nil, sealed) || x.owner.Load() == sealed {
		return NotSent
	}
	return MaybeSent
}

// begun reports whether a byte may have left.
func (x *exchange) begun() bool {
	o := x.owner.Load()
	return o != nil && o != sealed
}
