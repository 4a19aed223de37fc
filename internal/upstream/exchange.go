package upstream

import (
	"context"
	"errors"
	"sync/atomic"
)

// SentState is whether bytes of a request may have reached the upstream.
type SentState uint8

const (
	// NotSent guarantees that no byte of the request has reached or will reach
	// the upstream.
	NotSent SentState = iota
	// MaybeSent means that bytes may have reached the upstream.
	MaybeSent
)

var (
	// ErrStale is returned when only connections were available that had been
	// idle for too long or were invalidated.
	ErrStale = errors.New("upstream: connection is too old or suspect to be reused")
	// ErrConnectionLost is returned when the connection ended before a response began.
	ErrConnectionLost = errors.New("upstream: connection ended without a response")
	// ErrMismatchedResponse is returned when a response doesn't belong to the
	// request.
	ErrMismatchedResponse = errors.New("upstream: response belongs to another request")
	// ErrUnresponsive is returned when the request was aborted after a long
	// inactivity.
	ErrUnresponsive = errors.New("upstream: connection is unresponsive")
	// ErrBadStatus is returned when a response's status is not a final one.
	ErrBadStatus = errors.New("upstream: response has no final status")
	// ErrUndelimited is returned when the end of a response can't be told from a
	// truncation.
	ErrUndelimited = errors.New("upstream: response has neither a length nor chunks")

	errEndedUnsent = errors.New("upstream: request ended before it was sent")
	errSecondSend  = errors.New("upstream: request was already sent on another connection")
	errUnsolicited = errors.New("upstream: unsolicited bytes on the connection")
)

// exchange is one in-flight request. It records whether a byte of the request
// may have been sent: each connection must claim it before writing.
//
// This guards against two behaviours of net/http. It resends a request by
// itself when the request looks idempotent and a reused connection ends before
// the response, which would run a request twice. And it may still write a
// request after it returned an error, which would run a request that was
// reported as not run.
type exchange struct {
	// owner is the connection that claimed the exchange, nil before that, and
	// endedUnsent when the request ended before a byte was sent.
	owner atomic.Pointer[conn]
	// stale is set when a connection was refused as not reusable.
	stale atomic.Bool
	// responded is set when the first byte of the response was read.
	responded atomic.Bool
	// reused is set when the connection carried an exchange before.
	reused atomic.Bool
	// lastByteAt is when a byte was first written or last read, on the pool's
	// clock.
	lastByteAt atomic.Int64
	cancel     context.CancelCauseFunc
}

// endedUnsent is the owner of an exchange that must no longer be written.
var endedUnsent = &conn{}

// claim lets c write bytes of the exchange, or returns why it must not.
func (x *exchange) claim(c *conn) error {
	if x.owner.CompareAndSwap(nil, c) {
		return nil
	}
	switch x.owner.Load() {
	case c:
		return nil
	case endedUnsent:
		return errEndedUnsent
	default:
		return errSecondSend
	}
}

// release undoes claim after a write that handed no byte to the kernel.
func (x *exchange) release(c *conn) { x.owner.CompareAndSwap(c, nil) }

// end ends the exchange and reports whether a byte may have been sent. After
// NotSent no connection will write a byte of it, however late its writer wakes
// up.
func (x *exchange) end() SentState {
	if x.owner.CompareAndSwap(nil, endedUnsent) || x.owner.Load() == endedUnsent {
		return NotSent
	}
	return MaybeSent
}

// mayHaveSent reports whether a byte may have been sent.
func (x *exchange) mayHaveSent() bool {
	o := x.owner.Load()
	return o != nil && o != endedUnsent
}
