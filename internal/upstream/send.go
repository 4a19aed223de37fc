package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync"
	"time"

	"github.com/samber/oops"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// RequestIDHeader carries the id of a request; an upstream may echo it.
const RequestIDHeader = "Comfreyloom-Request-Id"

// maxStatus is the largest status that a response may have.
const maxStatus = 599

// maxStaleTries bounds how often Send tries to get a connection that isn't stale.
const maxStaleTries = 3

// Request is one request to an upstream.
type Request struct {
	// ID is compared with RequestIDHeader of the response, if it has one.
	ID     string
	Method string
	// URL has Path, RawPath and RawQuery set.
	URL url.URL
	// Host is the Host header.
	Host string
	// Header is read only; it must hold no hop-by-hop field.
	Header http.Header
	// Body returns the body for one try; nil means that there is none. It is
	// called again only when no byte of the earlier try was sent.
	Body func() io.Reader
	// Length is the length of the body, -1 when it is unknown.
	Length int64
	// SuspectAfter is how long the exchange may be inactive before the other
	// connections to the address are no longer reused; 0 means no limit, and
	// MayAbort is never called.
	SuspectAfter time.Duration
	// RequireFreshConn requires a connection that was made, or read from, since
	// Send began.
	RequireFreshConn bool
	// MayAbort is called after a longer inactivity and reports whether to abort
	// the request with ErrUnresponsive. When it returns false, it is called again
	// after the same time. It may be nil.
	MayAbort func() bool
	// AbortAfter is that inactivity on a new connection, AbortReusedAfter that on
	// one which was used before and may be dead.
	AbortAfter       time.Duration
	AbortReusedAfter time.Duration
}

// Send sends a request and returns the response once its header was read. The
// body returns an error when the response is truncated; it must be closed. ctx
// bounds the whole exchange, body included.
//
// With an error, the SentState reports whether the request may have reached
// the upstream. NotSent is final: no byte is sent after Send has returned.
func (t *Transport) Send(ctx context.Context, u model.Upstream, r *Request) (*http.Response, SentState, error) {
	p := t.acquirePool(u)
	if r.RequireFreshConn {
		p.invalidate()
	}
	for try := 1; ; try++ {
		p.dropStale()
		resp, sent, err := t.try(ctx, p, u, r)
		if err == nil {
			return resp, MaybeSent, nil
		}
		if sent == NotSent && errors.Is(err, ErrStale) && try < maxStaleTries {
			p.http.CloseIdleConnections()
			continue
		}
		p.inFlight.Add(-1)
		return nil, sent, err
	}
}

func (t *Transport) try(ctx context.Context, p *pool, u model.Upstream, r *Request) (*http.Response, SentState, error) {
	x := &exchange{}
	ctx, x.cancel = context.WithCancelCause(ctx)
	detector := startStallDetector(p, x, r)
	resp, err := p.http.RoundTrip(r.build(withTrace(ctx, x), u.Address))
	if err == nil {
		err = checkResponse(x, r, resp)
	}
	if err != nil {
		detector.stop()
		sent := x.end()
		err = t.classifyError(ctx, p, x, sent, err)
		x.cancel(err)
		if resp != nil {
			_ = resp.Body.Close()
		}
		return nil, sent, err
	}
	resp.Body = &responseBody{ReadCloser: resp.Body, pool: p, exchange: x, detector: detector, ctx: ctx}
	return resp, MaybeSent, nil
}

// build returns the request for net/http. GetBody stays nil, so that net/http
// can't rewind the body and send it again.
func (r *Request) build(ctx context.Context, address string) *http.Request {
	u := r.URL
	u.Scheme = "http"
	u.Host = address
	h := &http.Request{
		Method:        r.Method,
		URL:           &u,
		Host:          r.Host,
		Header:        r.Header,
		ContentLength: r.Length,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	if r.Body != nil {
		h.Body = io.NopCloser(r.Body())
	}
	return h.WithContext(ctx)
}

// withTrace binds the connection that net/http selects to the exchange.
func withTrace(ctx context.Context, x *exchange) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { info.Conn.(*conn).bind(x, info.Reused) },
	})
}

// checkResponse refuses a response that can't belong to the request, and one
// whose end can't be told from a truncation.
func checkResponse(x *exchange, r *Request, resp *http.Response) error {
	if !x.mayHaveSent() {
		return ErrMismatchedResponse
	}
	if echo := resp.Header.Get(RequestIDHeader); echo != "" && echo != r.ID {
		return ErrMismatchedResponse
	}
	if resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus {
		return ErrBadStatus
	}
	delimited := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody
	if !delimited {
		return ErrUndelimited
	}
	return nil
}

// classifyError returns the cause of a failed try, counts it, and invalidates
// the other connections to the address where the cause may affect them.
func (t *Transport) classifyError(ctx context.Context, p *pool, x *exchange, sent SentState, err error) error {
	switch {
	case errors.Is(err, ErrMismatchedResponse):
		t.mismatched.Inc(1)
		p.invalidate()
	case x.stale.Load() && sent == NotSent:
		err = ErrStale
	case errors.Is(err, errEndedUnsent) || errors.Is(err, errSecondSend):
		t.refused.Inc(1)
	case context.Cause(ctx) != nil:
		err = context.Cause(ctx)
		t.recordUnanswered(p, x, err)
	}
	return oops.In("upstream").Wrapf(err, "no response")
}

// recordUnanswered invalidates the address's connections after a request that
// was written and got no byte of a response before its deadline.
func (t *Transport) recordUnanswered(p *pool, x *exchange, err error) {
	if errors.Is(err, context.DeadlineExceeded) && x.mayHaveSent() && !x.responded.Load() {
		t.unanswered.Inc(1)
		p.invalidate()
	}
}

// responseBody is the body of a response. Closing it before its end closes the
// connection, so that late bytes are never read as part of another response.
type responseBody struct {
	io.ReadCloser
	pool     *pool
	exchange *exchange
	detector *stallDetector
	ctx      context.Context
	once     sync.Once
}

// Read fails with io.ErrUnexpectedEOF on a truncated response.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF && context.Cause(b.ctx) != nil {
		err = context.Cause(b.ctx)
	}
	return n, err
}

// Close ends the exchange.
func (b *responseBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() {
		b.detector.stop()
		b.exchange.cancel(context.Canceled)
		b.pool.inFlight.Add(-1)
	})
	return err
}
