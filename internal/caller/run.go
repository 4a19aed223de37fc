package caller

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/slots"
	"github.com/comfreyloom/comfreyloom/internal/upstream"
)

// run tries a request until it is answered or given up. Its failure carries
// the verdict over all tries, not that of the last one.
func (s *Server) run(ctx context.Context, q *request) (*answer, *failure) {
	s.budgets.of(q.service.ID).pay()
	verdict := model.NotRun
	var avoid model.InstanceID
	for try := 1; ; try++ {
		a, instance, f := s.once(ctx, q, avoid)
		if f == nil {
			return a, nil
		}
		verdict = max(verdict, f.verdict)
		if instance == "" || !s.mayRetry(ctx, q, f, try) {
			f.verdict = verdict
			return nil, f
		}
		avoid = instance
	}
}

// once makes one try. The instance is empty when none was tried.
func (s *Server) once(ctx context.Context, q *request, avoid model.InstanceID) (*answer, model.InstanceID, *failure) {
	grant, f := s.acquire(ctx, q, avoid)
	if f != nil {
		return nil, "", f
	}
	if q.beforeSend != nil {
		if f := q.beforeSend(ctx); f != nil {
			grant.Release(slots.Abandoned)
			return nil, "", f
		}
	}
	a, f := s.attempt(ctx, q, grant)
	return a, grant.Upstream.Instance, f
}

// acquire waits for a slot. All its failures are not-run.
func (s *Server) acquire(ctx context.Context, q *request, avoid model.InstanceID) (*slots.Grant, *failure) {
	grant, err := s.Broker.Acquire(ctx, slots.Ask{
		Service:  q.service.ID,
		Team:     q.team,
		Priority: q.priority,
		Deadline: model.InstantOf(q.deadline),
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

// attempt sends the request to one instance and reads its answer.
func (s *Server) attempt(ctx context.Context, q *request, grant *slots.Grant) (*answer, *failure) {
	began := s.Now()
	resp, sent, err := s.Sender.Send(ctx, grant.Upstream, s.outgoing(q))
	if err != nil {
		grant.Release(outcomeOf(err))
		return nil, failureOf(err, sent)
	}
	if f := busy(resp); f != nil {
		s.counters.busy.Inc(1)
		grant.Release(slots.Busy)
		return nil, f
	}
	a, f := s.receive(q, resp)
	if f != nil {
		grant.Release(slots.Failed)
		return nil, f
	}
	s.latency.of(q.service.ID).add(s.Now().Sub(began))
	s.releaseWith(a, grant)
	return a, nil
}

// releaseWith gives the slot back as soon as the upstream is done: a caller
// that is slow to take a whole answer holds no slot.
func (s *Server) releaseWith(a *answer, grant *slots.Grant) {
	if a.stream == nil {
		grant.Release(outcomeOfAnswer(a, true))
		return
	}
	release := a.done
	a.done = func(whole bool) {
		release(whole)
		grant.Release(outcomeOfAnswer(a, whole))
	}
}

func (s *Server) outgoing(q *request) *upstream.Request {
	out := &upstream.Request{
		ID:           q.id,
		Method:       q.method,
		URL:          q.url,
		Host:         q.host,
		Header:       q.header,
		Length:       q.body.length,
		SuspectAfter: s.latency.of(q.service.ID).suspect(),
	}
	if q.body.length != 0 {
		out.Body = q.body.reader
	}
	return out
}

// busy recognises an upstream that refused for lack of capacity and promises
// that it did not run the request.
func busy(resp *http.Response) *failure {
	if resp.StatusCode != http.StatusServiceUnavailable {
		return nil
	}
	v, ok := model.ParseVerdict(resp.Header.Get(model.VerdictHeader))
	if !ok || v != model.NotRun {
		return nil
	}
	seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
	_, _ = readUpTo(make([]byte, 0, smallBuffer), resp.Body, smallBuffer-1)
	_ = resp.Body.Close()
	return overloaded("the instance is busy", time.Duration(seconds)*time.Second)
}

// receive reads the beginning of an answer, or all of it.
func (s *Server) receive(q *request, resp *http.Response) (*answer, *failure) {
	limit := q.answerLimit
	if resp.ContentLength >= 0 {
		limit = min(limit, resp.ContentLength)
	}
	if !s.buffers.take(limit) {
		_ = resp.Body.Close()
		return nil, failureOf(errNoRoom, upstream.MaybeSent)
	}
	a, err := readAnswer(resp, q.answerLimit)
	if err != nil {
		s.buffers.give(limit)
		_ = resp.Body.Close()
		return nil, failureOf(err, upstream.MaybeSent)
	}
	a.done = func(bool) { s.buffers.give(limit) }
	return a, nil
}

// failureOf turns the error of a try into a verdict.
func failureOf(err error, sent upstream.SentState) *failure {
	f := &failure{status: http.StatusBadGateway, verdict: model.MayHaveRun, message: "no whole answer came from the instance"}
	if sent == upstream.NotSent {
		f = overloaded("the instance can't be reached", time.Second)
	}
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		f.status = http.StatusGatewayTimeout
		f.message = "no answer came in time"
	case errors.Is(err, context.Canceled):
		f.gone = true
	}
	return f
}

func outcomeOf(err error) slots.Outcome {
	if errors.Is(err, context.Canceled) {
		return slots.Abandoned
	}
	return slots.Failed
}

func outcomeOfAnswer(a *answer, whole bool) slots.Outcome {
	switch {
	case a.status >= http.StatusInternalServerError:
		return slots.Failed
	case !whole:
		return slots.Abandoned
	default:
		return slots.Answered
	}
}

// mayRetry decides whether a failed try may be followed by another.
func (s *Server) mayRetry(ctx context.Context, q *request, f *failure, try int) bool {
	harmless := q.idempotent || f.verdict == model.NotRun
	if !harmless || !q.body.resendable() || f.gone || ctx.Err() != nil {
		return false
	}
	if try >= s.limits.Attempts {
		return false
	}
	if !s.budgets.of(q.service.ID).take() {
		s.counters.noBudget.Inc(1)
		return false
	}
	s.counters.retries.Inc(1)
	return true
}
