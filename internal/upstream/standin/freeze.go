package standin

import (
	"net"
	"sync"
	"sync/atomic"
)

// silencer is a listener whose open connections can be made silent, as when
// something between the two ends has lost track of them.
type silencer struct {
	net.Listener

	mu   sync.Mutex
	open map[*silentConn]bool
}

// Accept returns a connection that Freeze can silence.
func (s *silencer) Accept() (net.Conn, error) {
	c, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	silent := &silentConn{Conn: c, owner: s, closed: make(chan struct{})}
	s.open[silent] = true
	return silent, nil
}

// Freeze silences the connections that are open now: what comes in is
// swallowed, and so is what goes out. New connections work.
func (u *Upstream) Freeze() {
	u.listener.mu.Lock()
	defer u.listener.mu.Unlock()
	for c := range u.listener.open {
		c.frozen.Store(true)
	}
}

// silentConn is a connection that may be frozen.
type silentConn struct {
	net.Conn
	owner  *silencer
	frozen atomic.Bool
	once   sync.Once
	closed chan struct{}
}

// Read yields nothing once the connection is frozen.
func (c *silentConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.frozen.Load() {
		return n, err
	}
	<-c.closed
	return 0, net.ErrClosed
}

// Write swallows once the connection is frozen.
func (c *silentConn) Write(p []byte) (int, error) {
	if c.frozen.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection.
func (c *silentConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.owner.mu.Lock()
		delete(c.owner.open, c)
		c.owner.mu.Unlock()
	})
	return c.Conn.Close()
}
