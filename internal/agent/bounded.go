package agent

import (
	"net"
	"sync"
)

// boundedListener keeps at most cap(semaphore) connections open. Without it, a
// peer that opens connections and sends nothing would use up the process's
// file descriptors, and with them every other listener.
type boundedListener struct {
	net.Listener
	semaphore chan struct{}
}

// Accept waits for room, then for a connection.
func (l *boundedListener) Accept() (net.Conn, error) {
	l.semaphore <- struct{}{}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.semaphore
		return nil, err
	}
	return &boundedConn{Conn: c, release: func() { <-l.semaphore }}, nil
}

// boundedConn gives its place back once, when it is closed.
type boundedConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// Close closes the connection and gives the place back.
func (c *boundedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}
