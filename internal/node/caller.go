package node

import (
	"net/http"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Connection is the connection to another process for the services of other
// packages. It is comparable: the value changes when a new connection has
// replaced one that did not respond.
type Connection struct {
	peer    *peer
	session *session
}

// Connection returns the current connection to a process.
func (c *Client) Connection(to model.NodeID) (Connection, error) {
	p, err := c.peer(to)
	if err != nil {
		return Connection{}, err
	}
	p.work.mu.Lock()
	defer p.work.mu.Unlock()
	return Connection{peer: p, session: p.work.session}, nil
}

// URL returns the base URL of the calls.
func (c Connection) URL() string { return "http://" + c.peer.work.address }

// Do sends a request of a generated client.
func (c Connection) Do(r *http.Request) (*http.Response, error) { return c.session.client.Do(r) }

// RecordFailure records that a call failed, so that the next one uses a new
// connection if this one did not respond.
func (c Connection) RecordFailure(err error) { c.peer.recordFailure(c.peer.work, err) }

// NeverSent reports whether the error proves that the peer did not handle a
// call: no byte of it was sent, or the peer rejected it unhandled.
func NeverSent(err error) bool { return neverSent(err) || rejectedUnhandled(err) }
