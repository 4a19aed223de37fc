package node

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// network is loopback with one-way cuts. What a node writes to one that it is cut
// off from is dropped, whichever side opened the connection. A connection that
// lost bytes drops all further ones, as when a middlebox has lost its state.
type network struct {
	mu     sync.Mutex
	cuts   map[[2]model.NodeID]bool
	owners map[string]model.NodeID
	conns  map[*lossyConn]bool
	// bytes counts the bytes that each node wrote and read.
	bytes map[model.NodeID]*atomic.Int64
}

func newNetwork() *network {
	return &network{
		cuts:   map[[2]model.NodeID]bool{},
		owners: map[string]model.NodeID{},
		conns:  map[*lossyConn]bool{},
		bytes:  map[model.NodeID]*atomic.Int64{},
	}
}

// cut drops what one node writes to another, or ends that.
func (n *network) cut(from, to model.NodeID, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]model.NodeID{from, to}] = on
}

// isolate cuts a node off from others in both directions, or ends that.
func (n *network) isolate(node model.NodeID, others []model.NodeID, on bool) {
	for _, other := range others {
		n.cut(node, other, on)
		n.cut(other, node, on)
	}
}

// blackholeAll makes all open connections drop what is written; new ones work.
func (n *network) blackholeAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		c.blackholed.Store(true)
	}
}

func (n *network) wrap(c *lossyConn) net.Conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[c] = true
	return c
}

func (n *network) isCut(from, to model.NodeID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[[2]model.NodeID{from, to}]
}

func (n *network) owner(address string) model.NodeID {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.owners[address]
}

func (n *network) byteCounter(node model.NodeID) *atomic.Int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.bytes[node] == nil {
		n.bytes[node] = new(atomic.Int64)
	}
	return n.bytes[node]
}

// dial returns a node's function to open connections.
func (n *network) dial(from model.NodeID, names map[string]model.NodeID) DialFunc {
	dialer := defaultDial()
	return func(ctx context.Context, kind, address string) (net.Conn, error) {
		to := names[address]
		if n.isCut(from, to) || n.isCut(to, from) {
			<-ctx.Done()
			return nil, &net.OpError{Op: "dial", Err: ctx.Err()}
		}
		conn, err := dialer(ctx, kind, address)
		if err != nil {
			return nil, err
		}
		n.mu.Lock()
		n.owners[conn.LocalAddr().String()] = from
		n.mu.Unlock()
		return n.wrap(&lossyConn{Conn: conn, network: n, self: from, peer: func() model.NodeID { return to }}), nil
	}
}

// listener wraps the connections that a node accepts in lossyConn.
type listener struct {
	net.Listener
	network *network
	self    model.NodeID
}

func (l listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	remote := conn.RemoteAddr().String()
	return l.network.wrap(&lossyConn{Conn: conn, network: l.network, self: l.self,
		peer: func() model.NodeID { return l.network.owner(remote) }}), nil
}

// lossyConn drops what is written to it after a cut.
type lossyConn struct {
	net.Conn
	network    *network
	self       model.NodeID
	peer       func() model.NodeID
	blackholed atomic.Bool
}

func (c *lossyConn) Write(p []byte) (int, error) {
	if c.blackholed.Load() || c.network.isCut(c.self, c.peer()) {
		c.blackholed.Store(true)
		return len(p), nil
	}
	c.network.byteCounter(c.self).Add(int64(len(p)))
	return c.Conn.Write(p)
}

func (c *lossyConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.network.byteCounter(c.self).Add(int64(n))
	return n, err
}
