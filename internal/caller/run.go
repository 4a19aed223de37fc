package caller

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/slots"
)

// attemptHistory records the attempts of a request so far.
type attemptHistory struct {
	attempts int
	// lastInstance is the instance of the last attempt; empty before the first.
	lastInstance model.InstanceID
	// verdict is the verdict over all attempts.
	verdict model.Verdict
	// fallback is a response with a server error, used if the retry is no
	// better.
	fallback *response
	// unresponsive reports that an attempt met an unresponsive connection: the
	// next one uses a new connection, since other used ones may be unresponsive
	// too.
	unresponsive bool
}

// run attempts a request until it gets a response or no retry is allowed. The
// failure carries the verdict over all attempts, not that of the last one.
func (s *Server) run(ctx context.Context, q *request) (*response, *failure) {
	s.budgets.forService(q.service.ID).deposit()
	t := &attemptHistory{}
	for {
		resp, f := s.attemptOnce(ctx, q, t)
		if f != nil && !s.shouldRetryFailure(ctx, q, f, t) {
			return s.finalResult(q, t, f)
		}
		if f == nil && !s.shouldRetryServerError(ctx, q, resp, t) {
			t.dropFallback()
			return resp, nil
		}
	}
}

// finalResult returns the result of a request without a further attempt.
func (s *Server) finalResult(q *request, t *attemptHistory, f *failure) (*response, *failure) {
	if t.fallback != nil {
		return t.fallback, nil
	}
	s.checkVerdict(q, t, f)
	f.verdict = max(f.verdict, t.verdict)
	return nil, f
}

func (t *attemptHistory) dropFallback() {
	if t.fallback != nil {
		t.fallback.onEnd(true)
	}
}

// attemptOnce makes one attempt. The verdict of its failure does not cover the
// earlier attempts.
func (s *Server) attemptOnce(ctx context.Context, q *request, t *attemptHistory) (*response, *failure) {
	grant, f := s.acquire(ctx, q, t.lastInstance)
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
	s.checkSentOnce(q, t)
	t.attempts++
	t.lastInstance = grant.Upstream.Instance
	resp, f := s.sendAttempt(ctx, q, t, grant)
	if f != nil {
		t.verdict = max(t.verdict, f.verdict)
	}
	return resp, f
}

// acquire waits for a slot. All its failures are not-run.
func (s *Server) acquire(ctx context.Context, q *request, avoid model.InstanceID) (*slots.Grant, *failure) {
	grant, err := s.Broker.Acquire(ctx, slots.SlotRequest{
		Service:  q.service.ID,
		Team:     q.team,
		Priority: q.priority,
		Deadline: s.BrokerNow().Add(q.deadline.Sub(s.Now())),
		Avoid:    avoid,
	})
	if err != nil {
		return nil, acquireFailure(err)
	}
	if avoid != "" && grant.Upstream.Instance == avoid {
		grant.Release(slots.Abandoned)
		return nil, overloaded("the only instance at hand has just failed", time.Second)
	}
	return grant, nil
}

func acquireFailure(err error) *failure {
	var rejection *slots.Rejection
	switch {
	case errors.As(err, &rejection) && rejection.UnknownService:
		return refuse(http.StatusNotFound, rejection.Reason)
	case errors.As(err, &rejection):
		return overloaded(rejection.Reason, rejection.RetryAfter)
	case errors.Is(err, context.Canceled):
		f := overloaded("the caller went away", 0)
		f.callerDisconnected = true
		return f
	default:
		return overloaded("no slot became free in time", time.Second)
	}
}

// shouldRetryFailure reports whether a failed attempt is to be retried: only if
// a second run does no harm, another instance may succeed, and the caller still
// waits. It charges the retry to the budget.
func (s *Server) shouldRetryFailure(ctx context.Context, q *request, f *failure, t *attemptHistory) bool {
	harmless := q.idempotent || t.verdict == model.NotRun
	if f.final || f.callerDisconnected || !harmless || !q.body.resendable() {
		return false
	}
	return s.reserveRetry(ctx, q, t)
}

// shouldRetryServerError reports whether to retry after a response with a server
// error, which it keeps as the fallback. It does so once per request, and
// charges the retry to the budget.
func (s *Server) shouldRetryServerError(ctx context.Context, q *request, resp *response, t *attemptHistory) bool {
	if !q.idempotent || resp.stream != nil || t.fallback != nil || !isServerError(resp.status) {
		return false
	}
	if !q.body.resendable() || !s.reserveRetry(ctx, q, t) {
		return false
	}
	t.fallback = resp
	return true
}

func isServerError(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	default:
		return false
	}
}

// reserveRetry checks the bounds that apply to every retry and charges the
// budget, unless the retry is prepaid.
func (s *Server) reserveRetry(ctx context.Context, q *request, t *attemptHistory) bool {
	if ctx.Err() != nil || t.attempts >= s.limits.Attempts {
		return false
	}
	if q.retryPrepaid.Swap(false) {
		return true
	}
	return s.chargeRetry(q)
}

func (s *Server) chargeRetry(q *request) bool {
	if !s.budgets.forService(q.service.ID).tryWithdraw() {
		s.counters.retriesOverBudget.Inc(1)
		return false
	}
	s.counters.retries.Inc(1)
	return true
}
