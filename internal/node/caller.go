package node

import (
	"net/http"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Caller is the way to another process for the services of other packages. It
// is comparable: it changes when a new connection has taken the place of one
// that did not answer.
type Caller struct {
	peer    *peer
	session *session
}

// Caller returns the way to a process by now.
func (c *Client) Caller(to model.NodeID) (Caller, error) {
	p, err := c.peer(to)
	if err != nil {
		return Caller{}, err
	}
	p.work.mu.Lock()
	defer p.work.mu.Unlock()
	return Caller{peer: p, session: p.work.session}, nil
}

// URL is the base of the calls.
func (c Caller) URL() string { return "http://" + c.peer.work.address }

// Do sends a request of a generated client.
func (c Caller) Do(r *http.Request) (*http.Response, error) { return c.session.caller.Do(r) }

// Failed notes that a call failed, so that the next one uses a new connection
// if this one did not answer.
func (c Caller) Failed(err error) { c.peer.failed(c.peer.work, err) }

// NeverSent reports whether the error proves that no byte of a call left.
func NeverSent(err error) bool { return neverSent(err) || refusedUnhandled(err) }
