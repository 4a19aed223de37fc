package intake

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Calls accounts for each request of connections that carry many at once. The accounts
// are those of calls: a gate for them accepts no connections.
func (g *Gate) Calls(next http.Handler, refuse func(http.ResponseWriter, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := &call{controller: http.NewResponseController(w)}
		if !g.open(c, false) {
			refuse(w, ErrOverloaded)
			return
		}
		defer func() {
			c.end()
			g.close(c.account)
		}()
		if err := g.charge(c.account, headCost(r)); err != nil {
			refuse(w, err)
			return
		}
		g.enter(c.account, phaseHandling)
		if r.ContentLength != 0 {
			g.enter(c.account, phaseBody)
			r.Body = &callBody{ReadCloser: r.Body, gate: g, call: c}
		}
		next.ServeHTTP(w, r)
	})
}

// MarkServed records that the connection of a request is that of a known peer: it is
// shed after those of which that isn't known.
func MarkServed(r *http.Request) {
	if c := connOf(r); c != nil {
		c.gate.mu.Lock()
		defer c.gate.mu.Unlock()
		c.account.served = true
	}
}

// call is one request of a shared connection.
type call struct {
	account *account
	refused atomic.Pointer[error]

	mu sync.Mutex
	// controller is nil once the handler has returned: net/http panics if it is used
	// after that.
	controller *http.ResponseController
}

func (c *call) bind(a *account) { c.account = a }

// interrupt ends the current read of the body.
func (c *call) interrupt(reason error) {
	c.refused.Store(&reason)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.controller != nil {
		_ = c.controller.SetReadDeadline(time.Unix(1, 0)) // the body's reader sees the reason
	}
}

// end is called when the handler returns.
func (c *call) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.controller = nil
}

// callBody is the body of a call.
type callBody struct {
	io.ReadCloser
	gate *Gate
	call *call
}

// Read implements io.Reader. The error is ErrOverloaded, ErrTooSlow or ErrTooLarge if
// the call was given up.
func (b *callBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		if failure := b.gate.receive(b.call.account, p[:n]); failure != nil {
			return 0, failure
		}
	}
	if err == io.EOF {
		b.gate.enter(b.call.account, phaseHandling)
	} else if reason := b.call.refused.Load(); err != nil && reason != nil {
		return n, *reason
	}
	return n, err
}
