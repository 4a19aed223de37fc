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

// maxBusyRetryAfter bounds the Retry-After of an upstream's busy response.
const maxBusyRetryAfter = time.Minute

// sendAttempt sends the request to one instance and reads its response.
func (s *Server) sendAttempt(ctx context.Context, q *request, t *attemptHistory, grant *slots.Grant) (*response, *failure) {
	began := s.Now()
	httpResp, sent, err := s.Sender.Send(ctx, grant.Upstream, s.upstreamRequest(q, t))
	if err != nil {
		grant.Release(outcomeOfError(err))
		t.unresponsive = t.unresponsive || errors.Is(err, upstream.ErrUnresponsive)
		return nil, attemptFailure(err, sent)
	}
	if f := busyFailure(httpResp); f != nil {
		s.counters.busy.Inc(1)
		grant.Release(slots.Busy)
		return nil, f
	}
	resp, f := s.receiveResponse(q, httpResp)
	if f != nil {
		grant.Release(slots.Failed)
		return nil, f
	}
	s.latency.forService(q.service.ID).add(s.Now().Sub(began))
	s.releaseSlotOnEnd(resp, grant)
	return resp, nil
}

// releaseSlotOnEnd releases the slot as soon as the upstream is done: a caller
// that receives a buffered response slowly holds no slot.
func (s *Server) releaseSlotOnEnd(resp *response, grant *slots.Grant) {
	if resp.stream == nil {
		grant.Release(outcomeOfResponse(resp, true))
		return
	}
	release := resp.onEnd
	resp.onEnd = func(whole bool) {
		release(whole)
		grant.Release(outcomeOfResponse(resp, whole))
	}
}

func (s *Server) upstreamRequest(q *request, t *attemptHistory) *upstream.Request {
	l := s.latency.forService(q.service.ID)
	out := &upstream.Request{
		ID:           q.id,
		Method:       q.method,
		URL:          q.url,
		Host:         q.host,
		Header:       q.header,
		Length:       q.body.length,
		SuspectAfter: l.suspectTime(),
	}
	if q.body.length != 0 {
		out.Body = q.body.reader
	}
	out.RequireFreshConn = t.unresponsive
	if q.idempotent && q.body.fullyBuffered() && t.attempts < s.limits.Attempts {
		half := q.deadline.Sub(s.Now()) / 2
		out.AbortAfter = half
		out.AbortReusedAfter = l.abortTime(half)
		out.MayAbort = func() bool { return s.mayAbortUnresponsive(q) }
	}
	return out
}

// mayAbortUnresponsive reports whether an unresponsive attempt is to be aborted:
// only if the response is not yet being streamed to the caller and the budget
// allows a retry. It charges that retry.
func (s *Server) mayAbortUnresponsive(q *request) bool {
	if q.streaming.Load() || !s.chargeRetry(q) {
		return false
	}
	s.counters.unresponsive.Inc(1)
	q.retryPrepaid.Store(true)
	return true
}

// busyFailure recognises an upstream that refused for lack of capacity and
// guarantees that it did not run the request; it returns nil otherwise.
func busyFailure(httpResp *http.Response) *failure {
	if httpResp.StatusCode != http.StatusServiceUnavailable {
		return nil
	}
	v, ok := model.ParseVerdict(httpResp.Header.Get(model.VerdictHeader))
	if !ok || v != model.NotRun {
		return nil
	}
	seconds, _ := strconv.Atoi(httpResp.Header.Get("Retry-After"))
	_, _ = readUpTo(make([]byte, 0, minBufferBytes), httpResp.Body, minBufferBytes-1)
	_ = httpResp.Body.Close()
	return overloaded("the instance is busy", min(time.Duration(seconds)*time.Second, maxBusyRetryAfter))
}

// receiveResponse reads the beginning of a response, or all of it. If the
// buffers are exhausted, the response is streamed: the request has run, and
// refusing its response would lose it.
func (s *Server) receiveResponse(q *request, httpResp *http.Response) (*response, *failure) {
	limit := q.responseLimit
	if httpResp.ContentLength >= 0 {
		limit = min(limit, httpResp.ContentLength)
	}
	held := limit
	if !s.buffers.reserve(held) {
		limit, held = 0, 0
	}
	resp, err := readResponse(httpResp, limit)
	if err != nil {
		s.buffers.release(held)
		_ = httpResp.Body.Close()
		return nil, attemptFailure(err, upstream.MaybeSent)
	}
	q.streaming.Store(resp.stream != nil)
	resp.onEnd = func(bool) { s.buffers.release(held) }
	return resp, nil
}

// attemptFailure turns the error of an attempt into a failure with a verdict.
func attemptFailure(err error, sent upstream.SentState) *failure {
	f := &failure{status: http.StatusBadGateway, verdict: model.MayHaveRun, message: "no whole answer came from the instance"}
	if sent == upstream.NotSent {
		f = overloaded("the instance can't be reached", time.Second)
	}
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		f.status = http.StatusGatewayTimeout
		f.message = "no answer came in time"
	case errors.Is(err, context.Canceled):
		f.callerDisconnected = true
	}
	return f
}

func outcomeOfError(err error) slots.Outcome {
	if errors.Is(err, context.Canceled) {
		return slots.Abandoned
	}
	return slots.Failed
}

func outcomeOfResponse(resp *response, whole bool) slots.Outcome {
	switch {
	case resp.status >= http.StatusInternalServerError:
		return slots.Failed
	case !whole:
		return slots.Abandoned
	default:
		return slots.Answered
	}
}
