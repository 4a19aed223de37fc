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

// maxStatus is the largest status that an answer may have.
const maxStatus = 599

// staleTries bounds how often Send looks for a connection that is proved.
const staleTries = 3

// Request is one request to an upstream.
type Request struct {
	// ID is sent in RequestIDHeader and compared with the answer's, if any.
	ID     string
	Method string
	// URL has Path, RawPath and RawQuery set.
	URL url.URL
	// Host is the Host header.
	Host string
	// Header is read only; it must hold no hop-by-hop field.
	Header http.Header
	// Body returns the body for one try; nil means that there is none. It is
	// called again only when no byte of the earlier try left.
	Body func() io.Reader
	// Length is the length of the body, -1 when it is unknown.
	Length int64
	// SuspectAfter is how long an answer may keep still before the other
	// connections to the address are no longer trusted; 0 means never.
	SuspectAfter time.Duration
	// Fresh asks for a connection that is new, or was proved since Send began.
	Fresh bool
	// GiveUp is asked after a longer silence whether to end the request with
	// ErrSilent, and again after as much silence when it says no. It may be nil.
	GiveUp func() bool
	// GiveUpAfter is that silence on a new connection, GiveUpReused that on
	// one which was used before and may be dead.
	GiveUpAfter  time.Duration
	GiveUpReused time.Duration
}

// Send sends a request and returns the answer once its header was read. The
// answer's body fails on a cut answer; it must be closed. ctx bounds the whole
// exchange, body included.
//
// With an error, the state says whether the request may have reached the
// upstream. NotSent is final: no byte leaves after Send has returned.
func (t *Transport) Send(ctx context.Context, u model.Upstream, r *Request) (*http.Response, SentState, error) {
	p := t.enter(u)
	if r.Fresh {
		p.distrust()
	}
	for try := 1; ; try++ {
		p.dropStale()
		resp, sent, err := t.try(ctx, p, u, r)
		if err == nil {
			return resp, MaybeSent, nil
		}
		if sent == NotSent && errors.Is(err, ErrStale) && try < staleTries {
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
	w := startWatch(p, x, r)
	resp, err := p.http.RoundTrip(r.build(withTrace(ctx, x), u.Address))
	if err == nil {
		err = checkAnswer(x, r, resp)
	}
	if err != nil {
		w.stop()
		sent := x.seal()
		err = t.explain(ctx, p, x, sent, err)
		x.cancel(err)
		if resp != nil {
			_ = resp.Body.Close()
		}
		return nil, sent, err
	}
	resp.Body = &answerBody{ReadCloser: resp.Body, pool: p, exchange: x, watch: w, ctx: ctx}
	return resp, MaybeSent, nil
}

// build makes the request of net/http. GetBody stays nil: net/http can't
// rewind the body and send it again.
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

// withTrace binds whichever connection net/http picks to the exchange.
func withTrace(ctx context.Context, x *exchange) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { info.Conn.(*conn).bind(x, info.Reused) },
	})
}

// checkAnswer refuses an answer that can't be that of the request, and one
// whose end could not be told from a cut.
func checkAnswer(x *exchange, r *Request, resp *http.Response) error {
	if !x.begun() {
		return ErrForeign
	}
	if echo := resp.Header.Get(RequestIDHeader); echo != "" && echo != r.ID {
		return ErrForeign
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

// explain names the cause of a failed try and draws the conclusion for the
// other connections to the address.
func (t *Transport) explain(ctx context.Context, p *pool, x *exchange, sent SentState, err error) error {
	switch {
	case errors.Is(err, ErrForeign):
		t.foreign.Inc(1)
		p.distrust()
	case x.stale.Load() && sent == NotSent:
		err = ErrStale
	case errors.Is(err, errGivenUp) || errors.Is(err, errSecondSend):
		t.refused.Inc(1)
	case context.Cause(ctx) != nil:
		err = context.Cause(ctx)
		t.noteSilence(p, x, err)
	}
	return oops.In("upstream").Wrapf(err, "no answer")
}

// noteSilence distrusts the address's connections after a request that was
// written and met silence until its deadline.
func (t *Transport) noteSilence(p *pool, x *exchange, err error) {
	if errors.Is(err, context.DeadlineExceeded) && x.begun() && !x.answered.Load() {
		t.silent.Inc(1)
		p.distrust()
	}
}

// answerBody is the body of an answer. Closing it before its end closes the
// connection, so that what comes late is never read as another answer.
type answerBody struct {
	io.ReadCloser
	pool     *pool
	exchange *exchange
	watch    *watch
	ctx      context.Context
	once     sync.Once
}

// Read fails with io.ErrUnexpectedEOF on a cut answer.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF && context.Cause(b.ctx) != nil {
		err = context.Cause(b.ctx)
	}
	return n, err
}

// Close ends the exchange.
func (b *answerBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() {
		b.watch.stop()
		b.exchange.cancel(context.Canceled)
		b.pool.inFlight.Add(-1)
	})
	return err
}
