package upstream

import (
	"net"
	"sync"
	"time"
)

// conn is a connection to an upstream. It writes only bytes of an exchange that
// it has claimed, and refuses bytes that arrive before the exchange was written.
type conn struct {
	net.Conn
	pool *pool

	mu sync.Mutex
	// readerReady wakes a writer that waits for the reader.
	readerReady sync.Cond
	// current is the exchange that the connection serves, or served last.
	current *exchange
	// writeStarted is set before the first byte of current is written.
	writeStarted bool
	// reading is set while the reader is in a read of the socket: its buffer
	// holds no byte of an earlier response then.
	reading bool
	closed  bool
	// lastActiveAt is when the connection was made or last read from, on the
	// pool's clock.
	lastActiveAt time.Duration
}

func newConn(c net.Conn, p *pool) *conn {
	opened := &conn{Conn: c, pool: p, lastActiveAt: p.now()}
	opened.readerReady.L = &opened.mu
	p.recordActivity(opened.lastActiveAt)
	return opened
}

// bind assigns the connection to an exchange. It marks the exchange as stale
// when the connection is reused but must not be, since it may be dead.
func (c *conn) bind(x *exchange, reused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = x
	c.writeStarted = false
	x.reused.Store(reused)
	if reused && !c.pool.isReusable(c.lastActiveAt) {
		x.stale.Store(true)
	}
}

// Write sends bytes of the current exchange. The first write waits until the
// reader is in a read of the socket. If bytes of an earlier response are left,
// the reader takes them for the response to this request, but before a byte of
// the request was written, which checkResponse detects.
func (c *conn) Write(p []byte) (int, error) {
	x, first, err := c.beginWrite()
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if first && n == 0 && err != nil {
		c.releaseClaim(x)
	}
	return n, err
}

func (c *conn) beginWrite() (x *exchange, first bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x = c.current
	if c.writeStarted {
		return x, false, x.claim(c)
	}
	for !c.reading && !c.closed {
		c.readerReady.Wait()
	}
	if c.closed {
		return x, false, net.ErrClosed
	}
	if x.stale.Load() {
		return x, false, ErrStale
	}
	if err := x.claim(c); err != nil {
		return x, false, err
	}
	c.writeStarted = true
	x.lastByteAt.Store(int64(c.pool.now()))
	return x, true, nil
}

func (c *conn) releaseClaim(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeStarted = false
	x.release(c)
}

// Read refuses bytes that arrive before a byte of the current exchange was
// written: they belong to no response to it.
func (c *conn) Read(p []byte) (int, error) {
	c.enterRead()
	n, err := c.Conn.Read(p)
	return c.leaveRead(n, err)
}

func (c *conn) enterRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = true
	c.readerReady.Signal()
}

func (c *conn) leaveRead(n int, err error) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if n > 0 && !c.writeStarted {
		c.pool.mismatched.Inc(1)
		return 0, errUnsolicited
	}
	if n > 0 {
		c.lastActiveAt = c.pool.now()
		c.pool.recordActivity(c.lastActiveAt)
		c.current.responded.Store(true)
		c.current.lastByteAt.Store(int64(c.lastActiveAt))
		return n, err
	}
	c.cancelUnanswered(err)
	return n, err
}

// cancelUnanswered cancels the exchange when its connection ends before a
// response began. net/http would otherwise retry the request on the next idle
// connection, which refuses the write and is closed as well.
func (c *conn) cancelUnanswered(err error) {
	if err != nil && c.writeStarted && !c.current.responded.Load() {
		c.current.cancel(ErrConnectionLost)
	}
}

// Close closes the connection and wakes a waiting writer.
func (c *conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.readerReady.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}
