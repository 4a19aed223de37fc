package intake

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// writeBytes is how much is written at once, in bytes; progress is seen after each.
	writeBytes = 32 << 10
	// receiveBuffer bounds what the kernel holds of a connection that isn't read, in
	// bytes.
	receiveBuffer = 32 << 10
	// lingerTime and lingerBytes bound what is still read after a refusal, so that the
	// peer gets to read it: closing a connection with unread bytes resets it.
	lingerTime  = 300 * time.Millisecond
	lingerBytes = 256 << 10
)

type listener struct {
	net.Listener
	gate   *Gate
	shared bool
}

// Accept returns the next connection for which there is room; others are closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: accepted, gate: l.gate}
		if !l.gate.open(c, l.shared) {
			_ = accepted.Close() // refused; a failure to close needs no handling
			continue
		}
		if tcp, ok := accepted.(*net.TCPConn); ok && !l.shared {
			_ = tcp.SetReadBuffer(receiveBuffer) // without it the kernel's default holds
		}
		return c, nil
	}
}

// conn is a connection with an account.
type conn struct {
	net.Conn
	gate    *Gate
	account *account
	// refused holds why the connection was shed, once it was.
	refused atomic.Pointer[error]
}

func (c *conn) bind(a *account) { c.account = a }

// interrupt ends the current read or write. A request whose body is arriving still gets
// a response, and so does one that has arrived since the connection was chosen.
func (c *conn) interrupt(reason error) {
	c.refused.Store(&reason)
	c.gate.mu.Lock()
	phase, leftIn, shared := c.account.phase, c.account.leftIn, c.account.shared
	c.gate.mu.Unlock()
	switch {
	case shared || phase == phaseIdle || phase == phaseHead || phase == phaseWriting && leftIn == phaseWriting:
		_ = c.Conn.Close() // the account is closed when net/http notices
	case phase == phaseBody:
		_ = c.SetReadDeadline(time.Unix(1, 0)) // the handler's read fails
	}
}

// refusal returns why the connection was shed, nil if it wasn't.
func (c *conn) refusal() error {
	if reason := c.refused.Load(); reason != nil {
		return *reason
	}
	return nil
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if c.refusal() != nil {
		return 0, c.endOfRequests()
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		if failure := c.gate.receive(c.account, p[:n]); failure != nil {
			return 0, c.refuse(failure)
		}
	}
	if err != nil && c.refusal() != nil {
		return 0, c.endOfRequests()
	}
	return n, err
}

// endOfRequests returns the error of a read after the connection was shed: the reason
// for a handler that reads a body, and an end for net/http between two requests.
func (c *conn) endOfRequests() error {
	if c.phase() == phaseBody {
		return c.refusal()
	}
	return io.EOF
}

func (c *conn) phase() phase {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	return c.account.phase
}

// refuse ends the current request with a response, if no handler has begun.
func (c *conn) refuse(failure error) error {
	c.refused.Store(&failure)
	if c.account.shared || c.phase() != phaseHead {
		return c.endOfRequests()
	}
	_ = c.Conn.SetDeadline(time.Now().Add(lingerTime))
	if _, err := io.WriteString(c.Conn, c.refusalOfHead(failure)); err != nil {
		return io.EOF
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes) // until the peer closes
	}
	return io.EOF
}

// refusalOfHead returns the response to a request whose head was not parsed.
func (c *conn) refusalOfHead(failure error) string {
	status := "431 Request Header Fields Too Large\r\n"
	if errors.Is(failure, ErrOverloaded) {
		status = "503 Service Unavailable\r\nRetry-After: 1\r\n"
	}
	header := ""
	if more := c.gate.config.RefusalHeader; more != nil {
		header = more()
	}
	return "HTTP/1.1 " + status + header + "Content-Length: 0\r\nConnection: close\r\n\r\n"
}

// NetConn returns the connection below.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if c.account.shared {
		return c.Conn.Write(p)
	}
	before := c.phase()
	defer c.gate.enter(c.account, before)
	written := 0
	for {
		c.gate.enter(c.account, phaseWriting)
		n, err := c.Conn.Write(p[written:min(len(p), written+writeBytes)])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.gate.close(c.account)
	return c.Conn.Close()
}

type connKey struct{}

// ConnContext is for http.Server: handlers find the account of their connection.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ConnState is for http.Server: it ends the account of a request.
func ConnState(c net.Conn, state http.ConnState) {
	if tracked, ok := c.(*conn); ok && state == http.StateIdle {
		tracked.gate.settle(tracked.account)
	}
}

func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}
