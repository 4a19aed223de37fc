package main

import (
	"context"
	"net"
	"sync"
	"time"
)

// gate is one direction of a network link. While it is shut, bytes in that direction are
// held up, as behind a partition, and new channels hang; the other direction works.
type gate struct {
	mu   sync.Mutex
	open chan struct{} // closed while the gate is open
}

func newGate() *gate {
	g := &gate{open: make(chan struct{})}
	close(g.open)
	return g
}

// shutFor shuts the gate for some time.
func (g *gate) shutFor(d time.Duration) {
	g.mu.Lock()
	opened := make(chan struct{})
	g.open = opened
	g.mu.Unlock()
	time.AfterFunc(d, func() { close(opened) })
}

func (g *gate) opened() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

// link is the network link of a minion: the direction from the system to the minion,
// and the other one.
type link struct{ in, out *gate }

func newLink() *link { return &link{in: newGate(), out: newGate()} }

// gatedConn is the minion's end of a channel.
type gatedConn struct {
	net.Conn
	link   *link
	once   sync.Once
	closed chan struct{}
}

func newGatedConn(c net.Conn, l *link) *gatedConn {
	return &gatedConn{Conn: c, link: l, closed: make(chan struct{})}
}

// Read returns what arrived while the direction to the minion was open.
func (c *gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	select {
	case <-c.link.in.opened():
		return n, err
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

// Write holds bytes up while the direction from the minion is shut.
func (c *gatedConn) Write(p []byte) (int, error) {
	select {
	case <-c.link.out.opened():
		return c.Conn.Write(p)
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

func (c *gatedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// dial opens a channel from the minion to the system, which takes both directions.
func (l *link) dial(ctx context.Context, network, address string) (net.Conn, error) {
	for _, g := range []*gate{l.in, l.out} {
		select {
		case <-g.opened():
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return newGatedConn(c, l), nil
}

// gatedListener accepts channels from the system to the minion.
type gatedListener struct {
	net.Listener
	link *link
}

func (l gatedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newGatedConn(c, l.link), nil
}
