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
	// inForcePollInterval is the time between two beats to a process that has
	// not yet applied a change for which somebody waits.
	inForcePollInterval = 25 * time.Millisecond
	// feedStalledAfter is how long a process may lag behind a known commit
	// index before its feed counts as stalled. It leaves enough time to get the
	// index from another voter before membership.ConfirmLimit has passed.
	feedStalledAfter = time.Second
	// minRoundPause is the least time between two rounds.
	minRoundPause = 20 * time.Millisecond
)

// HeartbeatsConfig sets up Heartbeats.
type HeartbeatsConfig struct {
	Self model.NodeID
	// Members holds all processes of the site, Voters those that vote.
	Members, Voters []model.NodeID
	// Interval is only set in tests.
	Interval time.Duration
	Machine  Machine
	Client   *Client
	Leader   *LeaderHint
	// RegistrySync is nil in a process that keeps no registry.
	RegistrySync *RegistrySync
	// OnUnconfirmed is called repeatedly while this process was ready and no
	// longer is, or has been behind for feedStalledAfter. It may be nil.
	OnUnconfirmed func()
	Metrics       metrics.Registry
	Logger        log.Interface
	// Incarnation and Clock are only set in tests.
	Incarnation uint64
	Clock       func() model.Instant
}

// Heartbeats drives the membership of this process. It is safe for concurrent
// use; Run is its background task.
type Heartbeats struct {
	config HeartbeatsConfig
	clock  func() model.Instant
	wakeup chan struct{}

	mu       sync.Mutex
	core     *membership.Core
	voter    Voter
	leaving  bool
	inFlight map[model.NodeID]bool
	// wasReady and lastView hold what was last logged.
	wasReady bool
	lastView membership.View

	sent, failed, servedUnready, unready, violations metrics.Counter
	readyGauge, ageGauge, liveGauge                  metrics.Gauge
}

// NewHeartbeats returns the membership of a process without any contact yet.
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
		config:        c,
		clock:         c.Clock,
		wakeup:        make(chan struct{}, 1),
		core:          core,
		inFlight:      map[model.NodeID]bool{},
		sent:          metrics.GetOrRegisterCounter("node.heartbeat.sent", c.Metrics),
		failed:        metrics.GetOrRegisterCounter("node.heartbeat.failed", c.Metrics),
		servedUnready: metrics.GetOrRegisterCounter("node.served_unconfirmed", c.Metrics),
		unready:       metrics.GetOrRegisterCounter("node.unready", c.Metrics),
		violations:    metrics.GetOrRegisterCounter("membership.broken", c.Metrics),
		readyGauge:    metrics.GetOrRegisterGauge("node.ready", c.Metrics),
		ageGauge:      metrics.GetOrRegisterGauge("node.confirmed_age_ms", c.Metrics),
		liveGauge:     metrics.GetOrRegisterGauge("node.live_members", c.Metrics),
	}
}

// steadyClock starts at the wall clock and then only follows elapsed time, so
// that no process looks unresponsive because the wall clock was stepped.
func steadyClock() func() model.Instant {
	start := time.Now()
	return func() model.Instant { return model.InstantOf(start).Add(time.Since(start)) }
}

// SetVoter sets the voter whose status is used from now on.
func (h *Heartbeats) SetVoter(v Voter) {
	h.mu.Lock()
	h.voter = v
	h.mu.Unlock()
	h.wake()
}

// Leave makes this process unready and notifies the leader at once. It is the
// first step of a graceful stop.
func (h *Heartbeats) Leave() {
	h.mu.Lock()
	h.leaving = true
	h.mu.Unlock()
	h.wake()
}

// Run sends heartbeats until ctx ends.
func (h *Heartbeats) Run(ctx context.Context) error {
	var calls conc.WaitGroup
	defer calls.Wait()
	for ctx.Err() == nil {
		next := h.round(ctx, &calls)
		h.sleep(ctx, next)
	}
	return ctx.Err()
}

// round sends one beat to each target that has none in flight, and returns the
// time until the next round.
func (h *Heartbeats) round(ctx context.Context, calls *conc.WaitGroup) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock()
	h.updateLocal(now)
	round := h.core.Round(now)
	for _, target := range round.Targets {
		h.startCall(ctx, calls, now, target)
	}
	h.report(now)
	return round.Next
}

// startCall sends a beat in the background unless one is in flight, under the
// lock.
func (h *Heartbeats) startCall(ctx context.Context, calls *conc.WaitGroup, now model.Instant, target model.NodeID) {
	if h.inFlight[target] {
		return
	}
	h.inFlight[target] = true
	beat := h.core.Beat(now, target)
	calls.Go(func() { h.call(ctx, target, now, beat) })
}

// call sends a beat and counts a failure.
func (h *Heartbeats) call(ctx context.Context, target model.NodeID, sent model.Instant, beat membership.Beat) {
	err := h.sendBeat(ctx, target, sent, beat)
	h.mu.Lock()
	delete(h.inFlight, target)
	h.mu.Unlock()
	if err != nil && ctx.Err() == nil {
		h.failed.Inc(1)
	}
}

// sendBeat sends a beat and processes the reply.
func (h *Heartbeats) sendBeat(ctx context.Context, target model.NodeID, sent model.Instant, beat membership.Beat) error {
	p, err := h.config.Client.peer(target)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, smallCallTimeout)
	defer cancel()
	h.sent.Inc(1)
	reply, err := p.small.node().Heartbeat(ctx, h.toWire(beat))
	if err != nil {
		p.recordFailure(p.small, err)
		return err
	}
	response, err := fromWire(reply)
	if err != nil {
		return err
	}
	h.handleReply(sent, response)
	if h.config.RegistrySync != nil {
		h.config.RegistrySync.compareDigest(target, reply.RegistryDigest)
	}
	return nil
}

// handleReply processes the reply to a beat that was sent at an instant.
func (h *Heartbeats) handleReply(sent model.Instant, b membership.Beat) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock()
	h.updateLocal(now)
	h.core.ReceiveReply(now, sent, b)
	h.afterMessage(now)
}

// handleBeat processes the beat of another process and returns the reply.
func (h *Heartbeats) handleBeat(request *nodepb.Beat) (*nodepb.Beat, error) {
	b, err := fromWire(request)
	if err != nil {
		return nil, twirp.InvalidArgumentError("beat", err.Error())
	}
	h.mu.Lock()
	now := h.clock()
	h.updateLocal(now)
	reply := h.core.Receive(now, b)
	h.afterMessage(now)
	h.mu.Unlock()
	return h.toWire(reply), nil
}

// afterMessage acts on what a message changed, under the lock.
func (h *Heartbeats) afterMessage(now model.Instant) {
	h.config.Leader.Update(h.core.Leader())
	h.report(now)
	if h.core.NeedsImmediateRound() {
		h.wake()
	}
}

// updateLocal passes the state of this process's own log to the core, under the
// lock.
func (h *Heartbeats) updateLocal(now model.Instant) {
	local := membership.Local{Leaving: h.leaving}
	if h.voter != nil {
		s := h.voter.Status()
		local.Leader, local.Term, local.Commit = s.Leader, s.Term, s.Commit
		local.Leads, local.Confirmed = s.Leads, s.Confirmed
	} else {
		local.Leader, local.Term = h.config.Leader.Get()
	}
	// Read last, so that the applied index covers the commit index read before.
	local.Applied = h.config.Machine.Applied()
	h.core.Update(now, local)
}

// wake starts a round before its time.
func (h *Heartbeats) wake() {
	select {
	case h.wakeup <- struct{}{}:
	default:
	}
}

// sleep waits until the next round is due or requested by wake, and at least
// minRoundPause.
func (h *Heartbeats) sleep(ctx context.Context, next time.Duration) {
	steady.Pause(ctx, min(minRoundPause, next))
	timer := time.NewTimer(max(next-minRoundPause, 0))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-h.wakeup:
	case <-ctx.Done():
	}
}
