package standin

import (
	"net"
	"sync"
	"sync/atomic"
)

// freezableListener is a listener whose open connections can be frozen, as when
// a firewall between the two ends loses their state.
type freezableListener struct {
	net.Listener

	mu   sync.Mutex
	open map[*freezableConn]bool
}

// Accept returns a connection that Freeze can freeze.
func (s *freezableListener) Accept() (net.Conn, error) {
	c, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	accepted := &freezableConn{Conn: c, listener: s, closed: make(chan struct{})}
	s.open[accepted] = true
	return accepted, nil
}

// Freeze freezes the connections that are open now: they stay open, and bytes
// in both directions are dropped. New connections work.
func (u *Upstream) Freeze() {
	u.listener.mu.Lock()
	defer u.listener.mu.Unlock()
	for c := range u.listener.open {
		c.frozen.Store(true)
	}
}

// freezableConn is a connection that can be frozen.
type freezableConn struct {
	net.Conn
	listener *freezableListener
	frozen   atomic.Bool
	once     sync.Once
	closed   chan struct{}
}

// Read blocks until Close once the connection is frozen.
func (c *freezableConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.frozen.Load() {
		return n, err
	}
	<-c.closed
	return 0, net.ErrClosed
}

// Write drops the bytes once the connection is frozen.
func (c *freezableConn) Write(p []byte) (int, error) {
	if c.frozen.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection.
func (c *freezableConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.listener.mu.Lock()
		delete(c.listener.open, c)
		c.listener.mu.Unlock()
	})
	return c.Conn.Close()
}
