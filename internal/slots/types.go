// Package slots grants the slots of upstream instances to requests. It ensures
// that all entry VMs together never knowingly exceed an instance's limits.
package slots

import (
	"context"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/balance"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// SlotRequest describes a request that needs a slot before it may be sent.
type SlotRequest struct {
	Service  model.ServiceID
	Team     model.TeamID
	Priority model.Priority
	// Deadline is when the caller gives up. A request that has no slot by then is
	// dropped without being run.
	Deadline model.Instant
	// Avoid is the instance at which the previous attempt failed; empty for none.
	Avoid model.InstanceID
}

// Outcome is how an attempt at an instance ended; it is used for outlier
// ejection.
type Outcome = balance.Outcome

// The outcomes of an attempt; see package balance.
const (
	Answered  = balance.Answered
	Busy      = balance.Busy
	Failed    = balance.Failed
	Abandoned = balance.Abandoned
)

// Grant is a slot at one instance. It must be released exactly once.
type Grant struct {
	Upstream model.Upstream
	release  func(Outcome)
}

// NewGrant returns a grant that calls release when it is released.
func NewGrant(u model.Upstream, release func(Outcome)) *Grant {
	return &Grant{Upstream: u, release: release}
}

// Release returns the slot.
func (g *Grant) Release(o Outcome) { g.release(o) }

// Rejection is the error of a request that gets no slot. The request was not
// run.
type Rejection struct {
	// Reason is a text for the caller.
	Reason string
	// RetryAfter is how long the caller should wait before it retries.
	RetryAfter time.Duration
	// UnknownService is true if the service does not exist.
	UnknownService bool
}

// Error returns the reason.
func (r *Rejection) Error() string { return r.Reason }

// Broker grants slots. Acquire returns a slot or a rejection at once if it can;
// otherwise it waits in the service's queue. A request whose deadline can't be
// met is rejected at once. The error is a *Rejection, or ctx's error when ctx
// ends first.
type Broker interface {
	Acquire(ctx context.Context, request SlotRequest) (*Grant, error)
}
