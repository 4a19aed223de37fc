// Package slots hands out the slots of upstream instances to requests, so
// that all entry VMs together never knowingly exceed an instance's limits.
package slots

import (
	"context"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/balance"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Ask is what a request needs before it may be sent.
type Ask struct {
	Service  model.ServiceID
	Team     model.TeamID
	Priority model.Priority
	// Deadline is when the caller gives up; the ask is dropped unrun then.
	Deadline model.Instant
	// Avoid is the instance that failed the attempt before; empty for none.
	Avoid model.InstanceID
}

// Outcome says how an attempt at an instance ended, for outlier ejection.
type Outcome = balance.Outcome

// The outcomes of an attempt; see package balance.
const (
	Answered  = balance.Answered
	Busy      = balance.Busy
	Failed    = balance.Failed
	Abandoned = balance.Abandoned
)

// Grant is one slot at one instance. It must be released exactly once.
type Grant struct {
	Upstream model.Upstream
	release  func(Outcome)
}

// NewGrant returns a grant that calls release when it is released.
func NewGrant(u model.Upstream, release func(Outcome)) *Grant {
	return &Grant{Upstream: u, release: release}
}

// Release gives the slot back.
func (g *Grant) Release(o Outcome) { g.release(o) }

// Rejection is the error of an ask that gets no slot. The request was not run.
type Rejection struct {
	// Reason is for the caller, in words.
	Reason string
	// RetryAfter says when to come back.
	RetryAfter time.Duration
	// Unknown says that the service does not exist.
	Unknown bool
}

// Error returns the reason.
func (r *Rejection) Error() string { return r.Reason }

// Broker hands out slots. Acquire answers at once when the ask can't be met
// by its deadline; otherwise it waits in the service's queue. Its error is a
// *Rejection, or ctx's error when the caller went away.
type Broker interface {
	Acquire(ctx context.Context, ask Ask) (*Grant, error)
}
