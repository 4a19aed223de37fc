package agent

import (
	"net"
	"sync"
)

// boundedListener keeps at most cap(slots) connections open. Without it, a
// peer that opens connections and sends nothing would use up the process's
// file descriptors, and with them every other listener.
type boundedListener struct {
	net.Listener
	slots chan struct{}
}

// Accept waits for a slot, then for a connection.
func (l *boundedListener) Accept() (net.Conn, error) {
	l.slots <- struct{}{}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &boundedConn{Conn: c, release: func() { <-l.slots }}, nil
}

// boundedConn gives its slot back once, when it is closed.
type boundedConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// Close closes the connection and gives the slot back.
func (c *boundedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}
