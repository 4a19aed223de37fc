package upstream

import (
	"net"
	"sync"
	"time"
)

// conn is a connection to an upstream that writes only what its exchange
// allows and reads only what a request asked for.
type conn struct {
	net.Conn
	pool *pool

	mu sync.Mutex
	// idle wakes a writer that waits for the reader.
	idle sync.Cond
	// current is the exchange that the connection serves, or served last.
	current *exchange
	// asked is set once a byte of current was written.
	asked bool
	// reading says that the reader waits in the socket: no byte of an
	// earlier answer is left in its buffer.
	reading bool
	closed  bool
	// proved is when the connection was made or last yielded bytes, on the
	// pool's clock.
	proved time.Duration
}

func newConn(c net.Conn, p *pool) *conn {
	g := &conn{Conn: c, pool: p, proved: p.now()}
	g.idle.L = &g.mu
	p.prove(g.proved)
	return g
}

// bind hands the connection to an exchange. It marks the exchange as stale
// when the connection has been silent for so long that it may be dead.
func (c *conn) bind(x *exchange, reused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = x
	c.asked = false
	x.reused.Store(reused)
	if reused && !c.pool.trusted(c.proved) {
		x.stale.Store(true)
	}
}

// Write sends bytes of the current exchange. The first write waits until the
// reader is in the socket. Were bytes left over from an earlier answer, the
// reader would take them for the answer to this request; it does so before a
// byte of the request was written then, and checkAnswer sees that.
func (c *conn) Write(p []byte) (int, error) {
	x, first, err := c.beginWrite()
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if first && n == 0 && err != nil {
		c.takeBack(x)
	}
	return n, err
}

func (c *conn) beginWrite() (x *exchange, first bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x = c.current
	if c.asked {
		return x, false, x.begin(c)
	}
	for !c.reading && !c.closed {
		c.idle.Wait()
	}
	if c.closed {
		return x, false, net.ErrClosed
	}
	if x.stale.Load() {
		return x, false, ErrStale
	}
	if err := x.begin(c); err != nil {
		return x, false, err
	}
	c.asked = true
	x.movedAt.Store(int64(c.pool.now()))
	return x, true, nil
}

func (c *conn) takeBack(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked = false
	x.unbegin(c)
}

// Read yields bytes only while a request is being answered.
func (c *conn) Read(p []byte) (int, error) {
	c.enterRead()
	n, err := c.Conn.Read(p)
	return c.leaveRead(n, err)
}

func (c *conn) enterRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = true
	c.idle.Signal()
}

func (c *conn) leaveRead(n int, err error) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if n > 0 && !c.asked {
		c.pool.foreign.Inc(1)
		return 0, errUnsolicited
	}
	if n > 0 {
		c.proved = c.pool.now()
		c.pool.prove(c.proved)
		c.current.answered.Store(true)
		c.current.movedAt.Store(int64(c.proved))
		return n, err
	}
	c.endUnanswered(err)
	return n, err
}

// endUnanswered ends the exchange when its connection ends before an answer
// began. net/http would otherwise try the request on the next kept
// connection; that one refuses the write and is lost as well.
func (c *conn) endUnanswered(err error) {
	if err != nil && c.asked && !c.current.answered.Load() {
		c.current.cancel(ErrLost)
	}
}

// Close closes the connection and wakes a waiting writer.
func (c *conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.idle.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}
