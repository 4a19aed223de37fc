package agent

import (
	"net"
	"sync"
)

// boundedListener keeps at most cap(semaphore) connections open. Without it, a
// peer that opens connections and sends nothing would exhaust the process's file
// descriptors, and all other listeners would fail, too.
type boundedListener struct {
	net.Listener
	semaphore chan struct{}
}

// Accept waits until a connection is allowed, then for a connection.
func (l *boundedListener) Accept() (net.Conn, error) {
	l.semaphore <- struct{}{}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.semaphore
		return nil, err
	}
	return &boundedConn{Conn: c, release: func() { <-l.semaphore }}, nil
}

// boundedConn releases the semaphore once, when it is closed.
type boundedConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// Close closes the connection and releases the semaphore.
func (c *boundedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}
