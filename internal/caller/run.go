package caller

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/slots"
)

// tryHistory is what the tries of one request came to so far.
type tryHistory struct {
	tries int
	// last is the instance of the last try; empty before the first.
	last model.InstanceID
	// verdict is that over all tries.
	verdict model.Verdict
	// fallback is an answer with a server error that another try may better.
	fallback *answer
	// silent says that a try met silence: the next one goes out on a new
	// connection, since other used ones may be silent too.
	silent bool
}

// run tries a request until it is answered or given up. Its failure carries
// the verdict over all tries, not that of the last one.
func (s *Server) run(ctx context.Context, q *request) (*answer, *failure) {
	s.budgets.of(q.service.ID).pay()
	t := &tryHistory{}
	for {
		a, f := s.once(ctx, q, t)
		if f != nil && !s.mayRetry(ctx, q, f, t) {
			return s.giveUp(q, t, f)
		}
		if f == nil && !s.mayImprove(ctx, q, a, t) {
			t.dropFallback()
			return a, nil
		}
	}
}

// giveUp ends a request without a further try.
func (s *Server) giveUp(q *request, t *tryHistory, f *failure) (*answer, *failure) {
	if t.fallback != nil {
		return t.fallback, nil
	}
	s.checkVerdict(q, t, f)
	f.verdict = max(f.verdict, t.verdict)
	return nil, f
}

func (t *tryHistory) dropFallback() {
	if t.fallback != nil {
		t.fallback.done(true)
	}
}

// once makes one try. Its failure has no verdict over the earlier ones.
func (s *Server) once(ctx context.Context, q *request, t *tryHistory) (*answer, *failure) {
	grant, f := s.acquire(ctx, q, t.last)
	if f != nil {
		f.final = true
		return nil, f
	}
	if q.beforeSend != nil {
		if f := q.beforeSend(ctx); f != nil {
			grant.Release(slots.Abandoned)
			f.final = true
			return nil, f
		}
	}
	s.checkSingle(q, t)
	t.tries++
	t.last = grant.Upstream.Instance
	a, f := s.attempt(ctx, q, t, grant)
	if f != nil {
		t.verdict = max(t.verdict, f.verdict)
	}
	return a, f
}

// acquire waits for a slot. All its failures are not-run.
func (s *Server) acquire(ctx context.Context, q *request, avoid model.InstanceID) (*slots.Grant, *failure) {
	grant, err := s.Broker.Acquire(ctx, slots.Ask{
		Service:  q.service.ID,
		Team:     q.team,
		Priority: q.priority,
		Deadline: s.BrokerNow().Add(q.deadline.Sub(s.Now())),
		Avoid:    avoid,
	})
	if err != nil {
		return nil, notAcquired(err)
	}
	if avoid != "" && grant.Upstream.Instance == avoid {
		grant.Release(slots.Abandoned)
		return nil, overloaded("the only instance at hand has just failed", time.Second)
	}
	return grant, nil
}

func notAcquired(err error) *failure {
	var rejection *slots.Rejection
	switch {
	case errors.As(err, &rejection) && rejection.Unknown:
		return refuse(http.StatusNotFound, rejection.Reason)
	case errors.As(err, &rejection):
		return overloaded(rejection.Reason, rejection.RetryAfter)
	case errors.Is(err, context.Canceled):
		f := overloaded("the caller went away", 0)
		f.gone = true
		return f
	default:
		return overloaded("no slot became free in time", time.Second)
	}
}

// mayRetry decides whether a failed try may be followed by another: only if
// a second run does no harm, another instance may do better, and the caller
// still waits.
func (s *Server) mayRetry(ctx context.Context, q *request, f *failure, t *tryHistory) bool {
	harmless := q.idempotent || t.verdict == model.NotRun
	if f.final || f.gone || !harmless || !q.body.resendable() {
		return false
	}
	return s.mayTryAgain(ctx, q, t)
}

// mayImprove keeps a server error for the case that no other try does better,
// and reports whether to try. It does so once for a request.
func (s *Server) mayImprove(ctx context.Context, q *request, a *answer, t *tryHistory) bool {
	if !q.idempotent || a.stream != nil || t.fallback != nil || !serverError(a.status) {
		return false
	}
	if !q.body.resendable() || !s.mayTryAgain(ctx, q, t) {
		return false
	}
	t.fallback = a
	return true
}

func serverError(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	default:
		return false
	}
}

// mayTryAgain checks what bounds every retry and charges the budget.
func (s *Server) mayTryAgain(ctx context.Context, q *request, t *tryHistory) bool {
	if ctx.Err() != nil || t.tries >= s.limits.Attempts {
		return false
	}
	if q.prepaid.Swap(false) {
		return true
	}
	return s.chargeRetry(q)
}

func (s *Server) chargeRetry(q *request) bool {
	if !s.budgets.of(q.service.ID).take() {
		s.counters.noBudget.Inc(1)
		return false
	}
	s.counters.retries.Inc(1)
	return true
}
