package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/node"
	"github.com/comfreyloom/comfreyloom/internal/relay/relaypb"
	"github.com/comfreyloom/comfreyloom/internal/ring"
	"github.com/comfreyloom/comfreyloom/internal/workers"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

const (
	// reviewInterval is the time between two choices of the relays.
	reviewInterval = 500 * time.Millisecond
	// relayPenalty is how long a relay that did not answer is left out.
	relayPenalty = 5 * time.Second
	// relayFreshness is how long a relay counts as available after it answered.
	relayFreshness = time.Second
	// directPeriod is how long the leader calls a worker itself after a relay got no
	// reply from it: the path between the two may be cut.
	directPeriod = 3 * time.Second
	// directListsPerSecond and relayedListsPerSecond are the intended maximum rates
	// of list requests without a relay and for each relay, see Client.ListRate.
	directListsPerSecond  = 600
	relayedListsPerSecond = 400
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// Direct makes calls from this VM.
	Direct workers.Client
	Nodes  *node.Client
	// Available returns the other core VMs that are in contact, sorted.
	Available func() []model.NodeID
	// KnownWorkers returns the number of workers.
	KnownWorkers func() int
	// WorkersPerRelay is how many workers one VM calls for the leader.
	WorkersPerRelay int
	Now             func() time.Duration
	Logger          log.Interface
	Metrics         metrics.Registry
}

// Client makes calls to workers through relays. It is safe for concurrent use.
type Client struct {
	config  ClientConfig
	session uint64
	relayed metrics.Counter
	lost    metrics.Counter
	// opened passes new lanes to Run.
	opened *ring.Ring[*lane]

	mu         sync.Mutex
	reviewedAt time.Duration
	relays     []model.NodeID
	lanes      map[model.NodeID]*lane
	// penalizedUntil holds until when a relay is left out, directUntil until when a
	// worker is called from here.
	penalizedUntil map[model.NodeID]time.Duration
	directUntil    map[workload.WorkerID]time.Duration
	stubs          map[model.NodeID]stub
}

// stub is the generated client over one connection.
type stub struct {
	connection node.Connection
	client     relaypb.Relay
}

var _ workers.Client = (*Client)(nil)

// maxLanes bounds the lanes that wait for Run, one for each core VM that was ever a
// relay.
const maxLanes = 64

// NewClient returns a client. Without Run all calls are made from this VM.
func NewClient(c ClientConfig) *Client {
	return &Client{
		config: c, session: rand.Uint64(), opened: ring.New[*lane](maxLanes),
		relayed:    metrics.GetOrRegisterCounter("relay.calls", c.Metrics),
		lost:       metrics.GetOrRegisterCounter("relay.lost", c.Metrics),
		lanes:      map[model.NodeID]*lane{},
		reviewedAt: -reviewInterval, penalizedUntil: map[model.NodeID]time.Duration{},
		directUntil: map[workload.WorkerID]time.Duration{}, stubs: map[model.NodeID]stub{},
	}
}

// Run exchanges calls and replies with the relays until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	var group conc.WaitGroup
	defer group.Wait()
	for {
		l, err := c.opened.Get(ctx)
		if err != nil {
			return err
		}
		group.Go(func() { l.handOver(ctx) })
		group.Go(func() { l.collect(ctx) })
	}
}

// ListRate returns the intended maximum number of list requests per second.
func (c *Client) ListRate() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return directListsPerSecond + relayedListsPerSecond*len(c.relays)
}

// Start makes a call that starts a run.
func (c *Client) Start(ctx context.Context, to workers.Target, o workers.StartOrder) (workers.Reply, error) {
	list, err := c.do(ctx, to, call{
		Kind: callStart, Run: o.Run, Payload: o.Payload, Checkpoint: o.Checkpoint, Ticket: o.Ticket,
		LeaseUntilMS: o.LeaseUntilMS, Fence: o.Fence,
	})
	return list.Reply, err
}

// Stop makes a call that stops a run.
func (c *Client) Stop(ctx context.Context, to workers.Target, run workload.RunRef, fence uint64) (workers.Reply, error) {
	list, err := c.do(ctx, to, call{Kind: callStop, Run: run, Fence: fence})
	return list.Reply, err
}

// Pace makes a call that paces a run.
func (c *Client) Pace(ctx context.Context, to workers.Target, run workload.RunRef, percent int, fence uint64) (workers.Reply, error) {
	list, err := c.do(ctx, to, call{Kind: callPace, Run: run, Percent: percent, Fence: fence})
	return list.Reply, err
}

// Hold makes a call that renews leases and returns the lists.
func (c *Client) Hold(ctx context.Context, to workers.Target, o workers.HoldOrder) (workers.List, error) {
	return c.do(ctx, to, call{Kind: callHold, LeaseUntilMS: o.LeaseUntilMS, Fence: o.Fence, Acked: o.Acked, WaitMS: o.WaitMS})
}

// do makes a call through the worker's relay, or from here if it has none.
func (c *Client) do(ctx context.Context, to workers.Target, what call) (workers.List, error) {
	what.Worker, what.Address = to.ID, to.Address
	l := c.laneFor(to.ID)
	if l == nil {
		return perform(ctx, c.config.Direct, &what)
	}
	c.relayed.Inc(1)
	list, err := l.do(ctx, what)
	if err != nil && !errors.Is(err, context.Canceled) {
		c.callDirectly(to.ID)
	}
	return list, err
}

// callDirectly has the leader call a worker itself for a while.
func (c *Client) callDirectly(worker workload.WorkerID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.directUntil[worker] = c.config.Now() + directPeriod
}

// laneFor returns the lane for a worker, nil if it is called from here.
func (c *Client) laneFor(worker workload.WorkerID) *lane {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.config.Now()
	if now-c.reviewedAt >= reviewInterval {
		c.review(now)
	}
	if len(c.relays) == 0 || now < c.directUntil[worker] {
		return nil
	}
	return c.lanes[relayFor(worker, c.relays)]
}

// review chooses the relays; the caller holds the lock.
func (c *Client) review(now time.Duration) {
	c.reviewedAt = now
	for worker, until := range c.directUntil {
		if now >= until {
			delete(c.directUntil, worker)
		}
	}
	available := c.available(now)
	chosen := choose(available, c.config.KnownWorkers(), c.config.WorkersPerRelay, len(c.relays))
	chosen = slices.DeleteFunc(slices.Clone(chosen), func(n model.NodeID) bool { return !c.openLane(n) })
	if !slices.Equal(chosen, c.relays) {
		c.config.Logger.WithField("vms", chosen).WithField("available", len(available)).Info("calls to workers are made by")
		c.relays = chosen
	}
}

// available returns the VMs that can be relays, sorted. A relay in use stays available
// while it answers, whatever the control log knows of it: a leader without processor
// time takes its voters for unresponsive, and would lose its relays when it needs them
// most. The caller holds the lock.
func (c *Client) available(now time.Duration) []model.NodeID {
	all := c.config.Available()
	for _, relay := range c.relays {
		if !slices.Contains(all, relay) && c.lanes[relay].answeredSince(now-relayFreshness) {
			all = append(all, relay)
		}
	}
	slices.Sort(all)
	return slices.DeleteFunc(all, func(n model.NodeID) bool { return now < c.penalizedUntil[n] })
}

// openLane opens a lane to a relay unless there is one, and reports whether there is
// one now. The caller holds the lock.
func (c *Client) openLane(relay model.NodeID) bool {
	if c.lanes[relay] != nil {
		return true
	}
	l := &lane{
		relay: relay, session: c.session, send: c.send, now: c.config.Now, lost: c.recordLoss,
		queued: make(chan struct{}, 1), expecting: make(chan struct{}, 1), waiting: map[uint64]chan reply{},
	}
	if c.opened.TryPut(l) != nil {
		return false
	}
	c.lanes[relay] = l
	return true
}

// recordLoss leaves a relay out for a while.
func (c *Client) recordLoss(relay model.NodeID, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.config.Now()
	if now < c.penalizedUntil[relay] {
		return
	}
	c.lost.Inc(1)
	c.penalizedUntil[relay] = now + relayPenalty
	c.config.Logger.WithField("vm", string(relay)).WithError(err).Warn("the VM that calls workers does not answer; it is left out for a while")
	c.review(now)
}

// send makes one exchange with a relay.
func (c *Client) send(ctx context.Context, to model.NodeID, r *relaypb.ExchangeRequest) (*relaypb.ExchangeReply, error) {
	s, err := c.stubOf(to)
	if err != nil {
		return nil, err
	}
	result, err := s.client.Exchange(ctx, r)
	if err != nil {
		s.connection.RecordFailure(err)
	}
	return result, err
}

// stubOf returns the generated client over the current connection to a VM.
func (c *Client) stubOf(to model.NodeID) (stub, error) {
	connection, err := c.config.Nodes.Connection(to)
	if err != nil {
		return stub{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, ok := c.stubs[to]; ok && s.connection == connection {
		return s, nil
	}
	s := stub{connection: connection, client: relaypb.NewRelayProtobufClient(connection.URL(), connection)}
	c.stubs[to] = s
	return s, nil
}

// perform makes a call from this VM.
func perform(ctx context.Context, client workers.Client, c *call) (workers.List, error) {
	var list workers.List
	var err error
	switch c.Kind {
	case callStart:
		list.Reply, err = client.Start(ctx, c.target(), c.startOrder())
	case callStop:
		list.Reply, err = client.Stop(ctx, c.target(), c.Run, c.Fence)
	case callPace:
		list.Reply, err = client.Pace(ctx, c.target(), c.Run, c.Percent, c.Fence)
	case callHold:
		list, err = client.Hold(ctx, c.target(), c.holdOrder())
	default:
		err = &workers.CallError{Verdict: model.NotRun, Err: errors.New("relay: unknown kind of call")}
	}
	return list, err
}
