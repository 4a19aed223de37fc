package node

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/datafolder"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/node/nodepb"
	"github.com/comfreyloom/comfreyloom/internal/quorum"
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
	Metrics   metrics.Registry
	// Dial and ProbeAfter, the time after which a silent connection is probed,
	// are zero in the product.
	Dial       DialFunc
	ProbeAfter time.Duration
}

// Client calls the other processes of the site. It is safe for concurrent use.
type Client struct {
	self  model.NodeID
	peers map[model.NodeID]*peer
}

// NewClient returns a client; it connects when it is first used.
func NewClient(c ClientConfig) *Client {
	client := &Client{self: c.Self, peers: make(map[model.NodeID]*peer, len(c.Addresses))}
	if c.Dial == nil {
		c.Dial = defaultDial()
	}
	if c.ProbeAfter == 0 {
		c.ProbeAfter = pingAfter
	}
	if c.Token == nil {
		c.Token = func() string { return "" }
	}
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
	for _, p := range c.peers {
		duties.Go(func() { p.run(ctx) })
	}
	duties.Wait()
	return ctx.Err()
}

// Send queues quorum messages for a peer and returns at once. Messages are
// dropped, and counted, when the peer's queue is full: the quorum protocol
// sends again what matters.
func (c *Client) Send(to model.NodeID, messages []quorum.Message) {
	if p := c.peers[to]; p != nil && len(messages) > 0 {
		p.send(messages)
	}
}

// SetReceiver hands over the function that takes quorum messages which come
// back in replies. It is called once, before Run.
func (c *Client) SetReceiver(step func([]quorum.Message)) {
	for _, p := range c.peers {
		p.receive = step
	}
}

// Peers returns the names of all peers, sorted.
func (c *Client) Peers() []model.NodeID {
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
	reply, err := p.small.node().Identify(ctx, &nodepb.IdentifyRequest{Node: string(c.self)})
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
	reply, err := p.work.node().Lend(ctx, &nodepb.LendRequest{Node: string(c.self), Body: body})
	if err != nil {
		p.failed(p.work, err)
		return nil, oops.In("node").With("peer", owner).Wrapf(err, "lend")
	}
	return reply.Body, nil
}

// Close closes idle connections.
func (c *Client) Close() {
	for _, p := range c.peers {
		p.small.close()
		p.work.close()
		p.bulk.close()
	}
}

func (c *Client) peer(name model.NodeID) (*peer, error) {
	if p := c.peers[name]; p != nil {
		return p, nil
	}
	return nil, oops.In("node").With("peer", name).Wrap(ErrUnknownPeer)
}
