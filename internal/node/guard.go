package node

import (
	"context"
	"crypto/subtle"
	"net"
	"net/http"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/intake"
	"github.com/comfreyloom/comfreyloom/internal/security"
	"github.com/rcrowley/go-metrics"
	"github.com/twitchtv/twirp"
)

const (
	// maxCalls bounds the calls in progress on all connections.
	maxCalls = 4096
	// maxStreams bounds the calls in progress on one connection.
	maxStreams = 256
	// maxHeaderBytes bounds the headers of a call.
	maxHeaderBytes = 8 << 10
	// callReadTimeout bounds the time until a call's body has arrived.
	callReadTimeout = 10 * time.Second
	// callWriteTimeout bounds a call including its long poll and its reply.
	callWriteTimeout = maxFollowWait + 15*time.Second
	// serverIdleTimeout is the time after which a connection without calls is
	// closed.
	serverIdleTimeout = 5 * time.Minute
)

// guard rejects calls with a wrong site, token or form before their body is read.
type guard struct {
	site       string
	authorizer *security.Authorizer
	next       http.Handler
	wrongSite  metrics.Counter
	malformed  metrics.Counter
}

func newGuard(c ServerConfig, next http.Handler) http.Handler {
	return &guard{
		site:       c.Site,
		authorizer: c.Authorizer,
		next:       next,
		wrongSite:  metrics.GetOrRegisterCounter("node.refused.site", c.Metrics),
		malformed:  metrics.GetOrRegisterCounter("node.refused.form", c.Metrics),
	}
}

// ServeHTTP checks a call and passes it on.
func (g *guard) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if err := g.check(r); err != nil {
		_ = twirp.WriteError(w, err) // this fails only if the peer closed the connection
		return
	}
	intake.MarkServed(r)
	r.Body = http.MaxBytesReader(w, r.Body, maxCallBytes)
	g.next.ServeHTTP(w, withEnvelope(r))
}

// check returns why a call is rejected, nil when it is not.
func (g *guard) check(r *http.Request) error {
	if g.authorizer != nil {
		if _, err := g.authorizer.Authorize(r); err != nil {
			return twirp.NewError(twirp.Unauthenticated, err.Error())
		}
	}
	// A process with the settings of another site must not join this one: its
	// log and its upstreams belong to the other site.
	if subtle.ConstantTimeCompare([]byte(r.Header.Get(siteHeader)), []byte(g.site)) != 1 {
		g.wrongSite.Inc(1)
		return twirp.NewError(twirp.PermissionDenied, "this process belongs to another site")
	}
	if r.Header.Get("Content-Type") != "application/protobuf" || r.ContentLength > maxCallBytes {
		g.malformed.Inc(1)
		return twirp.NewError(twirp.Malformed, "calls are protobuf of at most 10 MiB")
	}
	return nil
}

// NewHTTPServer returns the HTTP server for the listener of node calls, which an Intake
// bounds. Its long polls end with ctx, so that a graceful stop does not wait for them.
func NewHTTPServer(ctx context.Context, handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		Protocols:         unencryptedHTTP2(),
		BaseContext:       func(net.Listener) context.Context { return ctx },
		ConnContext:       intake.ConnContext,
		ReadHeaderTimeout: callReadTimeout,
		ReadTimeout:       callReadTimeout,
		WriteTimeout:      callWriteTimeout,
		IdleTimeout:       serverIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxStreams,

			MaxReceiveBufferPerConnection: receiveWindow,
			MaxReceiveBufferPerStream:     receiveWindow,

			SendPingTimeout:  serverIdleTimeout / 10,
			PingTimeout:      callReadTimeout,
			WriteByteTimeout: callReadTimeout,
		},
	}
}
