package node

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/node/nodepb"
)

// siteHeader names the sender's site; calls from another site are rejected.
const siteHeader = "Comfreyloom-Site"

const (
	// dialTimeout bounds the time to open a connection.
	dialTimeout = time.Second
	// pingAfter is how long nothing may arrive on a connection before it is
	// probed, and pingTimeout bounds the probe.
	pingAfter   = 2 * time.Second
	pingTimeout = time.Second
	// minRenewInterval is the least time between two new connections of a link,
	// and retireAfter how long an old one is kept for calls in progress.
	minRenewInterval = 500 * time.Millisecond
	retireAfter      = 3 * time.Second
	// writeTimeout is the time after which a connection that accepts no byte is
	// closed.
	writeTimeout = 2 * time.Second
	// idleTimeout is the time after which a connection without calls is closed.
	idleTimeout = 2 * time.Minute
	// maxCallBytes bounds the body of a call or reply: the largest command of
	// the control log, 8 MiB, and the fields around it.
	maxCallBytes = 10 << 20
)

// DialFunc opens a connection. Tests replace it, also to count bytes.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// link carries one kind of calls to one peer over one HTTP/2 connection, and for
// a short time over the previous one too.
type link struct {
	address     string
	credentials credentials
	dial        DialFunc
	probeAfter  time.Duration

	mu        sync.Mutex
	session   *session
	renewedAt time.Time
}

// session is one connection of a link, with its client.
type session struct {
	node      nodepb.Node
	client    *authorizedClient
	transport *http.Transport
}

func newLink(address string, c ClientConfig) *link {
	l := &link{
		address:     address,
		credentials: credentials{site: c.Site, token: c.Token},
		dial:        c.Dial,
		probeAfter:  c.ProbeAfter,
	}
	l.session = l.newSession()
	return l
}

// node returns the generated client for the next call.
func (l *link) node() nodepb.Node {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.session.node
}

// renew makes further calls use a new connection. It is called after a call got
// no reply: the connection may be the reason, and the probe detects this only
// later. Calls in progress continue; the old connection is closed soon after.
func (l *link) renew() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.renewedAt) < minRenewInterval {
		return
	}
	old := l.session.transport
	l.session, l.renewedAt = l.newSession(), time.Now()
	old.CloseIdleConnections()
	time.AfterFunc(retireAfter, old.CloseIdleConnections)
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.session.transport.CloseIdleConnections()
}

func (l *link) newSession() *session {
	transport := &http.Transport{
		Protocols:          unencryptedHTTP2(),
		DialContext:        l.dial,
		IdleConnTimeout:    idleTimeout,
		DisableCompression: true,
		// A connection can stop working for good while new ones work, because
		// a device between the two ends has lost its state. Without the probe
		// a call would wait for the whole long poll.
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:  l.probeAfter,
			PingTimeout:      pingTimeout,
			WriteByteTimeout: writeTimeout,
			// There is one connection a session; further calls wait for a stream.
			StrictMaxConcurrentRequests: true,
		},
	}
	client := &authorizedClient{credentials: l.credentials, client: &http.Client{Transport: transport}}
	return &session{
		node:      nodepb.NewNodeProtobufClient("http://"+l.address, client),
		client:    client,
		transport: transport,
	}
}

// unencryptedHTTP2 selects HTTP/2 from the first byte, without TLS.
func unencryptedHTTP2() *http.Protocols {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return protocols
}

// credentials are sent with every call.
type credentials struct {
	site  string
	token func() string
}

func (c credentials) sign(header http.Header) {
	header.Set(siteHeader, c.site)
	if token := c.token(); token != "" {
		header.Set("Authorization", "Bearer "+token)
	}
}

// authorizedClient adds the credentials to requests and bounds the replies.
type authorizedClient struct {
	credentials credentials
	client      *http.Client
}

// Do sends a request of the generated client, once.
//
// GetBody is removed, because the transport would otherwise resend a call whose
// connection the peer closed in the middle, as often as that happens, while the
// goroutine of the previous attempt still reads the body. Calls to a leaving peer
// then lasted until their deadline with the processor fully used, and the race
// detector reported it. Without GetBody the call ends with the first failure, and
// the code that made the call decides about a retry.
func (a *authorizedClient) Do(r *http.Request) (*http.Response, error) {
	r.GetBody = nil
	a.credentials.sign(r.Header)
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	response, err := a.client.Do(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil && !connected.Load() {
		return nil, &unsentError{cause: err}
	}
	if err != nil {
		return nil, err
	}
	response.Body = limitedBody{Reader: io.LimitReader(response.Body, maxCallBytes), Closer: response.Body}
	return response, nil
}

// limitedBody is a reply's body of at most maxCallBytes.
type limitedBody struct {
	io.Reader
	io.Closer
}

// unsentError is the failure of a call that ended before it had a connection.
//
// A peer without power does not respond to connection attempts, so the call ends
// at its own deadline, with the same error as one that was sent and got no reply.
// Requests then ended with an unknown outcome for as long as the peer was down,
// and their callers must not resend such requests. The transport reports when it
// has a connection for the call; before that, no byte can have been sent.
type unsentError struct{ cause error }

func (e *unsentError) Error() string { return "no connection: " + e.cause.Error() }
func (e *unsentError) Unwrap() error { return e.cause }

// neverSent reports whether the error proves that no byte of the call was sent.
func neverSent(err error) bool {
	var unsent *unsentError
	return errors.As(err, &unsent)
}

// unanswered reports whether a call failed without a reply of the peer, which
// may be the connection's fault. Errors that the peer sent wrap no other error. A
// call that was cancelled here is no sign of a faulty connection.
func unanswered(err error) bool {
	return errors.Unwrap(err) != nil && !neverSent(err) && !errors.Is(err, context.Canceled)
}

func defaultDial() DialFunc {
	return (&net.Dialer{Timeout: dialTimeout, KeepAlive: pingAfter}).DialContext
}
