package node

import (
	"net/http"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Caller is the connection to another process for the services of other
// packages. It is comparable: the value changes when a new connection has
// replaced one that did not respond.
type Caller struct {
	peer    *peer
	session *session
}

// Caller returns the current connection to a process.
func (c *Client) Caller(to model.NodeID) (Caller, error) {
	p, err := c.peer(to)
	if err != nil {
		return Caller{}, err
	}
	p.work.mu.Lock()
	defer p.work.mu.Unlock()
	return Caller{peer: p, session: p.work.session}, nil
}

// URL returns the base URL of the calls.
func (c Caller) URL() string { return "http://" + c.peer.work.address }

// Do sends a request of a generated client.
func (c Caller) Do(r *http.Request) (*http.Response, error) { return c.session.client.Do(r) }

// Failed records that a call failed, so that the next one uses a new connection
// if this one did not respond.
func (c Caller) Failed(err error) { c.peer.recordFailure(c.peer.work, err) }

// NeverSent reports whether the error proves that the peer did not handle a
// call: no byte of it was sent, or the peer rejected it unhandled.
func NeverSent(err error) bool { return neverSent(err) || rejectedUnhandled(err) }
