package node

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/comfreyloom/comfreyloom/internal/membership"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/node/nodepb"
	"github.com/comfreyloom/comfreyloom/internal/steady"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"github.com/twitchtv/twirp"
)

const (
	// inForcePoll is the time between two questions to a process that has not
	// yet applied a change somebody waits for.
	inForcePoll = 25 * time.Millisecond
	// stuckAfter is how long a process may know of an index that it has not
	// applied before its feed counts as stuck. It leaves the time to get the
	// index elsewhere before membership.ConfirmLimit is over.
	stuckAfter = time.Second
	// urgentPause is the least time between two rounds.
	urgentPause = 20 * time.Millisecond
)

// HeartbeatsConfig sets up Heartbeats.
type HeartbeatsConfig struct {
	Self model.NodeID
	// Members are all processes of the site, Voters those that vote.
	Members, Voters []model.NodeID
	// Interval is 0 in the product.
	Interval time.Duration
	Machine  Machine
	Client   *Client
	Leader   *LeaderHint
	// Spreader is nil in a process that keeps no registry.
	Spreader *Spreader
	// Unconfirmed is called again and again while this process is not ready
	// though it was, or has been behind for stuckAfter; it may be nil.
	Unconfirmed func()
	Metrics     metrics.Registry
	Logger      log.Interface
	// Incarnation and Clock are zero in the product.
	Incarnation uint64
	Clock       func() model.Instant
}

// Heartbeats drives the membership of this process. It is safe for
// concurrent use; Run is its duty.
type Heartbeats struct {
	config HeartbeatsConfig
	clock  func() model.Instant
	nudge  chan struct{}

	mu       sync.Mutex
	core     *membership.Core
	voter    Voter
	leaving  bool
	inFlight map[model.NodeID]bool
	// wasReady and lastView are what was logged last.
	wasReady bool
	lastView membership.View

	sent, failed, static, unready, brokenCount metrics.Counter
	readyGauge, ageGauge, liveGauge            metrics.Gauge
}

// NewHeartbeats returns the membership of a process that has heard nobody.
func NewHeartbeats(c HeartbeatsConfig) *Heartbeats {
	if c.Logger == nil {
		c.Logger = log.Log
	}
	if c.Clock == nil {
		c.Clock = steadyClock()
	}
	if c.Incarnation == 0 {
		c.Incarnation = uint64(time.Now().UnixMilli())
	}
	core := membership.New(membership.Config{
		Self: c.Self, Members: c.Members, Voters: c.Voters, Interval: c.Interval,
	}, c.Incarnation)
	return &Heartbeats{
		config:      c,
		clock:       c.Clock,
		nudge:       make(chan struct{}, 1),
		core:        core,
		inFlight:    map[model.NodeID]bool{},
		sent:        metrics.GetOrRegisterCounter("node.heartbeat.sent", c.Metrics),
		failed:      metrics.GetOrRegisterCounter("node.heartbeat.failed", c.Metrics),
		static:      metrics.GetOrRegisterCounter("node.served_unconfirmed", c.Metrics),
		unready:     metrics.GetOrRegisterCounter("node.unready", c.Metrics),
		brokenCount: metrics.GetOrRegisterCounter("membership.broken", c.Metrics),
		readyGauge:  metrics.GetOrRegisterGauge("node.ready", c.Metrics),
		ageGauge:    metrics.GetOrRegisterGauge("node.confirmed_age_ms", c.Metrics),
		liveGauge:   metrics.GetOrRegisterGauge("node.live_members", c.Metrics),
	}
}

// steadyClock starts at the wall clock and then only follows elapsed time, so
// that a step of the wall clock makes nobody look silent.
func steadyClock() func() model.Instant {
	start := time.Now()
	return func() model.Instant { return model.InstantOf(start).Add(time.Since(start)) }
}

// SetVoter lets the voter's standing count from now on.
func (h *Heartbeats) SetVoter(v Voter) {
	h.mu.Lock()
	h.voter = v
	h.mu.Unlock()
	h.wake()
}

// Leave makes this process unready and tells the leader at once, as the first
// step of a graceful stop.
func (h *Heartbeats) Leave() {
	h.mu.Lock()
	h.leaving = true
	h.mu.Unlock()
	h.wake()
}

// Run sends beats until ctx ends.
func (h *Heartbeats) Run(ctx context.Context) error {
	var calls conc.WaitGroup
	defer calls.Wait()
	for ctx.Err() == nil {
		next := h.round(ctx, &calls)
		h.sleep(ctx, next)
	}
	return ctx.Err()
}

// round sends one beat to each target that has none on its way.
func (h *Heartbeats) round(ctx context.Context, calls *conc.WaitGroup) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock()
	h.update(now)
	round := h.core.Round(now)
	for _, target := range round.Targets {
		h.start(ctx, calls, now, target)
	}
	h.report(now)
	return round.Next
}

func (h *Heartbeats) start(ctx context.Context, calls *conc.WaitGroup, now model.Instant, target model.NodeID) {
	if h.inFlight[target] {
		return
	}
	h.inFlight[target] = true
	beat := h.core.Beat(now, target)
	calls.Go(func() { h.call(ctx, target, now, beat) })
}

func (h *Heartbeats) call(ctx context.Context, target model.NodeID, sent model.Instant, beat membership.Beat) {
	err := h.ask(ctx, target, sent, beat)
	h.mu.Lock()
	delete(h.inFlight, target)
	h.mu.Unlock()
	if err != nil && ctx.Err() == nil {
		h.failed.Inc(1)
	}
}

// ask sends a beat and takes in the answer.
func (h *Heartbeats) ask(ctx context.Context, target model.NodeID, sent model.Instant, beat membership.Beat) error {
	p, err := h.config.Client.peer(target)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, smallCallTimeout)
	defer cancel()
	h.sent.Inc(1)
	reply, err := p.small.node().Heartbeat(ctx, h.toWire(beat))
	if err != nil {
		p.failed(p.small, err)
		return err
	}
	answer, err := fromWire(reply)
	if err != nil {
		return err
	}
	h.answered(sent, answer)
	if h.config.Spreader != nil {
		h.config.Spreader.compare(target, reply.RegistryDigest)
	}
	return nil
}

func (h *Heartbeats) answered(sent model.Instant, b membership.Beat) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock()
	h.update(now)
	h.core.ReceiveReply(now, sent, b)
	h.after(now)
}

// receive answers the beat of another process.
func (h *Heartbeats) receive(request *nodepb.Beat) (*nodepb.Beat, error) {
	b, err := fromWire(request)
	if err != nil {
		return nil, twirp.InvalidArgumentError("beat", err.Error())
	}
	h.mu.Lock()
	now := h.clock()
	h.update(now)
	answer := h.core.Receive(now, b)
	h.after(now)
	h.mu.Unlock()
	return h.toWire(answer), nil
}

// after passes on what a message taught, under the lock.
func (h *Heartbeats) after(now model.Instant) {
	h.config.Leader.Learn(h.core.Leader())
	h.report(now)
	if h.core.NeedsImmediateRound() {
		h.wake()
	}
}

// update tells the core what this process's own log says, under the lock.
func (h *Heartbeats) update(now model.Instant) {
	local := membership.Local{Leaving: h.leaving}
	if h.voter != nil {
		s := h.voter.Standing()
		local.Leader, local.Term, local.Commit = s.Leader, s.Term, s.Commit
		local.Leads, local.Confirmed = s.Leads, s.Confirmed
	} else {
		local.Leader, local.Term = h.config.Leader.Get()
	}
	// Read last: what is applied by now covers the commit index read before.
	local.Applied = h.config.Machine.Applied()
	h.core.Update(now, local)
}

// wake starts a round without waiting for its time.
func (h *Heartbeats) wake() {
	select {
	case h.nudge <- struct{}{}:
	default:
	}
}

// sleep waits until the next round is due or wanted.
func (h *Heartbeats) sleep(ctx context.Context, next time.Duration) {
	steady.Pause(ctx, min(urgentPause, next))
	timer := time.NewTimer(max(next-urgentPause, 0))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-h.nudge:
	case <-ctx.Done():
	}
}
