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

// maxBusyWait bounds what an upstream may ask callers to wait.
const maxBusyWait = time.Minute

// attempt sends the request to one instance and reads its answer.
func (s *Server) attempt(ctx context.Context, q *request, t *tryHistory, grant *slots.Grant) (*answer, *failure) {
	began := s.Now()
	resp, sent, err := s.Sender.Send(ctx, grant.Upstream, s.outgoing(q, t))
	if err != nil {
		grant.Release(outcomeOf(err))
		t.silent = t.silent || errors.Is(err, upstream.ErrSilent)
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

func (s *Server) outgoing(q *request, t *tryHistory) *upstream.Request {
	l := s.latency.of(q.service.ID)
	out := &upstream.Request{
		ID:           q.id,
		Method:       q.method,
		URL:          q.url,
		Host:         q.host,
		Header:       q.header,
		Length:       q.body.length,
		SuspectAfter: l.suspect(),
	}
	if q.body.length != 0 {
		out.Body = q.body.reader
	}
	out.Fresh = t.silent
	if q.idempotent && q.body.whole() && t.tries < s.limits.Attempts {
		half := q.deadline.Sub(s.Now()) / 2
		out.GiveUpAfter = half
		out.GiveUpReused = l.giveUp(half)
		out.GiveUp = func() bool { return s.giveUpSilent(q) }
	}
	return out
}

// giveUpSilent ends a silent try only when the next one is paid for and the
// answer has not begun to pass on to the caller.
func (s *Server) giveUpSilent(q *request) bool {
	if q.streaming.Load() || !s.chargeRetry(q) {
		return false
	}
	s.counters.silent.Inc(1)
	q.prepaid.Store(true)
	return true
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
	return overloaded("the instance is busy", min(time.Duration(seconds)*time.Second, maxBusyWait))
}

// receive reads the beginning of an answer, or all of it. Without room for
// it, the answer is streamed: it has run, and refusing it would lose it.
func (s *Server) receive(q *request, resp *http.Response) (*answer, *failure) {
	limit := q.answerLimit
	if resp.ContentLength >= 0 {
		limit = min(limit, resp.ContentLength)
	}
	held := limit
	if !s.buffers.take(held) {
		limit, held = 0, 0
	}
	a, err := readAnswer(resp, limit)
	if err != nil {
		s.buffers.give(held)
		_ = resp.Body.Close()
		return nil, failureOf(err, upstream.MaybeSent)
	}
	q.streaming.Store(a.stream != nil)
	a.done = func(bool) { s.buffers.give(held) }
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
