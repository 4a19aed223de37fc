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

// smallCallTimeout bounds a call that neither waits nor carries much.
const smallCallTimeout = time.Second

// ErrUnknownPeer says that the settings name no such process.
var ErrUnknownPeer = errors.New("node: no such peer in the settings")

// ClientConfig sets up a Client.
type ClientConfig struct {
	Self model.NodeID
	Site string
	// Token returns the bearer token to send; empty sends none.
	Token func() string
	// Addresses holds IP:port of every process of the site; Self is skipped.
	Addresses map[model.NodeID]string
	// NamedByAddress says that nodes are named by IP:port and found while
	// running; Addresses is then empty.
	NamedByAddress bool
	Metrics        metrics.Registry
	// Dial and ProbeAfter, the time after which a silent connection is probed,
	// are zero in the product.
	Dial       DialFunc
	ProbeAfter time.Duration
}

// Client calls the other processes of the site. It is safe for concurrent use.
type Client struct {
	config  ClientConfig
	receive func([]quorum.Message)
	// found takes new peers to Run, which starts a duty for each.
	found *ring.Ring[*peer]

	mu    sync.RWMutex
	peers map[model.NodeID]*peer
}

// maxFound bounds the peers of one process that finds them while running; a
// site sets aside far fewer processes. Further ones are unknown peers.
const maxFound = 256

// NewClient returns a client; it connects when it is first used.
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
	client := &Client{config: c, found: ring.New[*peer](maxFound), peers: make(map[model.NodeID]*peer, len(c.Addresses))}
	client.receive = func([]quorum.Message) {}
	for name, address := range c.Addresses {
		if name != c.Self {
			client.peers[name] = newPeer(name, address, c)
		}
	}
	return client
}

// Run sends what Send queued until ctx ends; one duty a peer, so that a slow
// peer delays nobody else.
func (c *Client) Run(ctx context.Context) error {
	var duties conc.WaitGroup
	for _, name := range c.Peers() {
		p := c.lookup(name)
		duties.Go(func() { p.run(ctx) })
	}
	for ctx.Err() == nil {
		p, err := c.found.Get(ctx)
		if err != nil {
			break
		}
		duties.Go(func() { p.run(ctx) })
	}
	duties.Wait()
	return ctx.Err()
}

// lookup returns a peer, nil when there is none by that name. Where nodes are
// named by their addresses it is made when first asked for.
func (c *Client) lookup(name model.NodeID) *peer {
	c.mu.RLock()
	p := c.peers[name]
	c.mu.RUnlock()
	if p != nil || !c.config.NamedByAddress || name == c.config.Self {
		return p
	}
	return c.find(name)
}

func (c *Client) find(name model.NodeID) *peer {
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
	if c.found.TryPut(p) != nil {
		return nil
	}
	c.peers[name] = p
	return p
}

// Send queues quorum messages for a peer and returns at once. Messages are
// dropped, and counted, when the peer's queue is full: the quorum protocol
// sends again what matters.
func (c *Client) Send(to model.NodeID, messages []quorum.Message) {
	if p := c.lookup(to); p != nil && len(messages) > 0 {
		p.send(messages)
	}
}

// SetReceiver hands over the function that takes quorum messages which come
// back in replies. It is called once, before Run.
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
		p.failed(p.small, err)
		return datafolder.Identity{}, oops.In("node").With("peer", to).Wrapf(err, "identify")
	}
	identity, err := datafolder.DecodeIdentity(reply.Identity)
	return identity, oops.In("node").With("peer", to).Wrapf(err, "decode identity")
}

// Lend sends a request for slots to another process and returns its answer,
// which may take a while. Both are opaque to this package.
func (c *Client) Lend(ctx context.Context, owner model.NodeID, body []byte) ([]byte, error) {
	p, err := c.peer(owner)
	if err != nil {
		return nil, err
	}
	ctx, cancel := limited(ctx)
	defer cancel()
	reply, err := p.work.node().Lend(ctx, &nodepb.LendRequest{Node: string(c.config.Self), Body: body})
	if err != nil {
		p.failed(p.work, err)
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

func (c *Client) peer(name model.NodeID) (*peer, error) {
	if p := c.lookup(name); p != nil {
		return p, nil
	}
	return nil, oops.In("node").With("peer", name).Wrap(ErrUnknownPeer)
}
