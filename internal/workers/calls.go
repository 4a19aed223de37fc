// Package workers defines the calls to workers: orders, replies, refusals and
// lists of runs.
package workers

import (
	"context"
	"errors"
	"fmt"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// Target is the incarnation of a worker to which a call is addressed.
type Target struct {
	ID      workload.WorkerID
	Address string
}

// Refusal is the reason why a worker did not carry out an order.
type Refusal uint8

// The refusals of a worker.
const (
	// Accepted: the order was carried out.
	Accepted Refusal = iota
	// RefusedFence: the worker has seen the fence of a later leader.
	RefusedFence
	// RefusedStale: this attempt, or a later one, was stopped or ended on the worker.
	RefusedStale
	// RefusedLate: the lease of the order had expired.
	RefusedLate
	// RefusedCapacity: the worker has too little free capacity.
	RefusedCapacity
	// RefusedTicket: the ticket of the order is no longer valid.
	RefusedTicket
	// RefusedBusy: the worker is not able to carry out orders and did nothing.
	RefusedBusy
	// RefusedMalformed: the worker does not understand the order.
	RefusedMalformed
	// RefusedIncarnation: another incarnation replies at the address; the one
	// that was addressed has ended.
	RefusedIncarnation
	// OutcomeUnclear: the worker replied with an error that does not say whether the
	// order was, or will be, carried out.
	OutcomeUnclear
)

// String returns the name of the refusal for log lines.
func (r Refusal) String() string {
	names := [...]string{"accepted", "fence", "old", "late", "room", "ticket", "busy", "form", "incarnation", "unclear"}
	if int(r) < len(names) {
		return names[r]
	}
	return fmt.Sprintf("refusal %d", uint8(r))
}

// Reply is a worker's reply to an order.
type Reply struct {
	Refusal Refusal
	// ClockMS is the reading of the worker's steady clock; 0 when the reply has
	// none.
	ClockMS int64
}

// StartOrder starts a run.
type StartOrder struct {
	Run        workload.RunRef
	Payload    string
	Checkpoint string
	Ticket     string
	// LeaseUntilMS is the end of the lease by the worker's clock.
	LeaseUntilMS int64
	Fence        uint64
}

// HoldOrder renews the lease of all runs on a worker and requests its lists.
type HoldOrder struct {
	// LeaseUntilMS is the end of the lease by the worker's clock; 0 renews
	// nothing.
	LeaseUntilMS int64
	Fence        uint64
	// Acked is the number of the last end that is committed.
	Acked uint64
	// WaitMS is how long the worker may wait for an end before it replies.
	WaitMS int64
}

// RunStatus is a run as listed by its worker.
type RunStatus struct {
	Run        workload.RunRef
	Checkpoint string
	// Percent is the progress; a long-running task is at 100 once it is working.
	Percent int
	// Load is the tail latency in milliseconds for a task that serves users,
	// and the processor time in use, in thousandths of a core, for any other.
	Load int64
}

// List holds the runs and ends that a worker lists.
type List struct {
	Reply
	Running []RunStatus
	Ends    []workload.End
	// MoreEnds: the worker may have ends beyond the listed ones, which it lists once
	// these are acknowledged. A run that is in neither list may be one of them.
	MoreEnds bool
	// EndsAfterGap is how many of the last Ends were listed after an end that
	// could not be read.
	EndsAfterGap int
	// UnreadableRows counts the rows that could not be read. If there are any,
	// a run that is not listed may still be running.
	UnreadableRows int
}

// Client makes calls to workers. Every error is a *CallError.
type Client interface {
	Start(ctx context.Context, to Target, o StartOrder) (Reply, error)
	Stop(ctx context.Context, to Target, run workload.RunRef, fence uint64) (Reply, error)
	Hold(ctx context.Context, to Target, o HoldOrder) (List, error)
	Pace(ctx context.Context, to Target, run workload.RunRef, percent int, fence uint64) (Reply, error)
}

// CallError is the error of a call that got no reply.
type CallError struct {
	// Verdict is whether the call was, or may have been, carried out.
	Verdict model.Verdict
	// NotListening: the worker's host refused the connection, so no process listens
	// at the address.
	NotListening bool
	Err          error
}

// Error returns the verdict and the cause.
func (e *CallError) Error() string { return fmt.Sprintf("%s: %v", e.Verdict, e.Err) }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// NotSent reports whether the call is certain not to have reached the worker.
func NotSent(err error) bool {
	var call *CallError
	return errors.As(err, &call) && call.Verdict == model.NotRun
}

// NotListening reports whether a call failed because no process listens at the
// worker's address.
func NotListening(err error) bool {
	var call *CallError
	return errors.As(err, &call) && call.NotListening
}
