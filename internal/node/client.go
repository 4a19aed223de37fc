package node

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/datafolder"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/node/nodepb"
	"github.com/comfreyloom/comfreyloom/internal/quorum"
	"github.com/comfreyloom/comfreyloom/internal/ring"
	"github.com/rcrowley/go-metrics"
	"github.com/samber/oops"
	"github.com/sourcegraph/conc"
)

// smallCallTimeout bounds a call that neither waits at the peer nor carries much.
const smallCallTimeout = time.Second

// ErrUnknownPeer reports that the settings name no such process.
var ErrUnknownPeer = errors.New("node: no such peer in the settings")

// ClientConfig sets up a Client.
type ClientConfig struct {
	Self model.NodeID
	Site string
	// Token returns the bearer token to send; none is sent when it is empty.
	Token func() string
	// Addresses holds IP:port of every process of the site; Self is skipped.
	Addresses map[model.NodeID]string
	// NamedByAddress is set when nodes are named by IP:port and discovered
	// while running; Addresses is then empty.
	NamedByAddress bool
	Metrics        metrics.Registry
	// Dial and ProbeAfter, the time after which an inactive connection is
	// probed, are only set in tests.
	Dial       DialFunc
	ProbeAfter time.Duration
}

// Client calls the other processes of the site. It is safe for concurrent use.
type Client struct {
	config  ClientConfig
	receive func([]quorum.Message)
	// newPeers passes discovered peers to Run, which starts a sender for each.
	newPeers *ring.Ring[*peer]

	mu    sync.RWMutex
	peers map[model.NodeID]*peer
}

// maxNewPeers bounds the discovered peers that wait for Run; a site has far fewer
// processes. Further ones are unknown peers.
const maxNewPeers = 256

// NewClient returns a client. It connects when it is first used.
func NewClient(c ClientConfig) *Client {
	if c.Dial == nil {
		c.Dial = defaultDial()
	}
	if c.ProbeAfter == 0 {
		c.ProbeAfter = pingAfter
	}
	if c.Token == nil {
		c.Token = func() string { return "" }
	}
	client := &Client{config: c, newPeers: ring.New[*peer](maxNewPeers), peers: make(map[model.NodeID]*peer, len(c.Addresses))}
	client.receive = func([]quorum.Message) {}
	for name, address := range c.Addresses {
		if name != c.Self {
			client.peers[name] = newPeer(name, address, c)
		}
	}
	return client
}

// Run sends the queued messages until ctx ends. Each peer has its own sender, so
// that a slow peer delays no other.
func (c *Client) Run(ctx context.Context) error {
	var senders conc.WaitGroup
	for _, name := range c.Peers() {
		p := c.lookup(name)
		senders.Go(func() { p.run(ctx) })
	}
	for ctx.Err() == nil {
		p, err := c.newPeers.Get(ctx)
		if err != nil {
			break
		}
		senders.Go(func() { p.run(ctx) })
	}
	senders.Wait()
	return ctx.Err()
}

// lookup returns a peer, or nil when there is none by that name. Where nodes are
// named by their addresses, a peer is added when it is first looked up.
func (c *Client) lookup(name model.NodeID) *peer {
	c.mu.RLock()
	p := c.peers[name]
	c.mu.RUnlock()
	if p != nil || !c.config.NamedByAddress || name == c.config.Self {
		return p
	}
	return c.addPeer(name)
}

// addPeer adds a peer that is named by its address. It returns nil when the name
// is no address or too many new peers wait for Run.
func (c *Client) addPeer(name model.NodeID) *peer {
	if _, err := netip.ParseAddrPort(string(name)); err != nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.peers[name]; p != nil {
		return p
	}
	p := newPeer(name, string(name), c.config)
	p.receive = c.receive
	if c.newPeers.TryPut(p) != nil {
		return nil
	}
	c.peers[name] = p
	return p
}

// Send queues quorum messages for a peer and returns at once. When the peer's
// queue is full, messages are dropped and counted: the quorum protocol resends
// what matters.
func (c *Client) Send(to model.NodeID, messages []quorum.Message) {
	if p := c.lookup(to); p != nil && len(messages) > 0 {
		p.send(messages)
	}
}

// SetReceiver sets the function that receives the quorum messages in replies. It
// is called once, before Run.
func (c *Client) SetReceiver(step func([]quorum.Message)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receive = step
	for _, p := range c.peers {
		p.receive = step
	}
}

// Peers returns the names of all peers, sorted.
func (c *Client) Peers() []model.NodeID {
	c.mu.RLock()
	defer c.mu.RUnlock()
	names := make([]model.NodeID, 0, len(c.peers))
	for name := range c.peers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Identify asks a voter for the identity of its data folder.
func (c *Client) Identify(ctx context.Context, to model.NodeID) (datafolder.Identity, error) {
	p, err := c.peer(to)
	if err != nil {
		return datafolder.Identity{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, smallCallTimeout)
	defer cancel()
	reply, err := p.small.node().Identify(ctx, &nodepb.IdentifyRequest{Node: string(c.config.Self)})
	if err != nil {
		p.recordFailure(p.small, err)
		return datafolder.Identity{}, oops.In("node").With("peer", to).Wrapf(err, "identify")
	}
	identity, err := datafolder.DecodeIdentity(reply.Identity)
	return identity, oops.In("node").With("peer", to).Wrapf(err, "decode identity")
}

// Lend sends a request for slots to another process and returns the reply, which
// may take a while. Both are opaque to this package.
func (c *Client) Lend(ctx context.Context, owner model.NodeID, body []byte) ([]byte, error) {
	p, err := c.peer(owner)
	if err != nil {
		return nil, err
	}
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	reply, err := p.work.node().Lend(ctx, &nodepb.LendRequest{Node: string(c.config.Self), Body: body})
	if err != nil {
		p.recordFailure(p.work, err)
		return nil, oops.In("node").With("peer", owner).Wrapf(err, "lend")
	}
	return reply.Body, nil
}

// Close closes idle connections.
func (c *Client) Close() {
	c.mu.RLock()
	defer c.mu.RUnlock()
	for _, p := range c.peers {
		p.small.close()
		p.work.close()
		p.bulk.close()
	}
}

// peer returns a peer, or ErrUnknownPeer.
func (c *Client) peer(name model.NodeID) (*peer, error) {
	if p := c.lookup(name); p != nil {
		return p, nil
	}
	return nil, oops.In("node").With("peer", name).Wrap(ErrUnknownPeer)
}
