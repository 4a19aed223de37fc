package node

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/node/nodepb"
)

// siteHeader names the site of the caller; a process of another site is refused.
const siteHeader = "Comfreyloom-Site"

const (
	// dialTimeout bounds how long a connection takes to open.
	dialTimeout = time.Second
	// pingAfter is how long a connection may be silent before it is probed,
	// pingTimeout how long the probe may take.
	pingAfter   = 2 * time.Second
	pingTimeout = time.Second
	// writeTimeout closes a connection that takes no byte for so long.
	writeTimeout = 2 * time.Second
	// idleTimeout closes a connection that carries no call.
	idleTimeout = 2 * time.Minute
	// maxCallBytes bounds the body of a call or reply: the largest command of
	// the control log, 8 MiB, with room for what goes with it.
	maxCallBytes = 10 << 20
)

// DialFunc opens a connection; tests and meters replace it.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// link is one HTTP/2 connection pool to one peer.
type link struct {
	node      nodepb.Node
	transport *http.Transport
}

func newLink(address string, credentials credentials, dial DialFunc) *link {
	transport := &http.Transport{
		Protocols:          unencryptedHTTP2(),
		DialContext:        dial,
		IdleConnTimeout:    idleTimeout,
		DisableCompression: true,
		// A connection can go silent for good while new ones work, because
		// something between the two ends lost track of it. Without the
		// probe a call would wait for the whole long poll.
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:  pingAfter,
			PingTimeout:      pingTimeout,
			WriteByteTimeout: writeTimeout,
			// One connection a link: further calls wait for a stream.
			StrictMaxConcurrentRequests: true,
		},
	}
	caller := &authorizedCaller{credentials: credentials, client: &http.Client{Transport: transport}}
	return &link{node: nodepb.NewNodeProtobufClient("http://"+address, caller), transport: transport}
}

// unencryptedHTTP2 makes peers speak HTTP/2 from the first byte.
func unencryptedHTTP2() *http.Protocols {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return protocols
}

// renew makes the next call open a new connection. It is used after a call
// timed out: the connection may be the reason, and the probe notices later.
func (l *link) renew() { l.transport.CloseIdleConnections() }

// credentials are what every call carries.
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

// authorizedCaller signs requests and bounds replies.
type authorizedCaller struct {
	credentials credentials
	client      *http.Client
}

// Do sends a request of the generated client.
func (a *authorizedCaller) Do(r *http.Request) (*http.Response, error) {
	a.credentials.sign(r.Header)
	response, err := a.client.Do(r)
	if err != nil {
		return nil, err
	}
	response.Body = limitedBody{Reader: io.LimitReader(response.Body, maxCallBytes), Closer: response.Body}
	return response, nil
}

type limitedBody struct {
	io.Reader
	io.Closer
}

// neverSent reports whether the error proves that no byte of the call left.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func defaultDial() DialFunc {
	return (&net.Dialer{Timeout: dialTimeout, KeepAlive: pingAfter}).DialContext
}
