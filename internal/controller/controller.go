package controller

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"github.com/comfreyloom/comfreyloom/internal/budget"
	"github.com/comfreyloom/comfreyloom/internal/estimate"
	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/health"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/placement"
	"github.com/comfreyloom/comfreyloom/internal/platform"
	"github.com/comfreyloom/comfreyloom/internal/state"
	"github.com/comfreyloom/comfreyloom/internal/wave"
)

const (
	// DefaultInterval is the time between two rounds.
	DefaultInterval = time.Second
	// DefaultLease is how long a task's lease lasts. If the platform can't be
	// reached for that long, every task is lost; the job of a failed worker
	// waits that long before it starts elsewhere.
	DefaultLease = time.Minute
	// DefaultStaleAfter is how old the platform's list may be before planned
	// disruptions are suspended.
	DefaultStaleAfter = 15 * time.Second
)

// Rules switches single safety rules off. The zero value has every rule on
// and is the only value used in production; tests switch a rule off to verify
// that the invariants detect it.
type Rules struct {
	Budget budget.Rules
	Wave   wave.Rules
	// SkipLeaseWait ends a task as lapsed as soon as its VM is not up.
	SkipLeaseWait bool
	// SkipCommit sends the commands of a plan even if it was not committed.
	SkipCommit bool
}

// Config configures a Controller. Log, Platform and Self are required; other
// zero fields take their default.
type Config struct {
	Self     model.NodeID
	Region   model.RegionID
	Log      state.Log
	Platform platform.Client
	// Serving returns the instances that have announced that they serve.
	Serving func() map[model.TaskID]bool
	// Clock returns the time. Default: the system's clock.
	Clock func() model.Instant
	// Interval is the time between rounds in Run. Default DefaultInterval.
	Interval time.Duration
	// Lease is how long task leases last. Default DefaultLease.
	Lease time.Duration
	// StaleAfter is the age at which the platform's list counts as stale.
	// Default DefaultStaleAfter.
	StaleAfter time.Duration
	// RebootTimeout is how long a VM may show its old boot ID after a reboot
	// was accepted before the reboot is commanded again. Default 5 min.
	RebootTimeout time.Duration
	// RepairSoak is how long a VM that recovered by itself does not count as
	// available. Default budget.DefaultSoak.
	RepairSoak time.Duration
	Fleet      fleet.Options
	Placement  placement.Options
	Health     health.Options
	// Wave configures waves. Production sets Wave.Features to wave.AllFeatures().
	Wave    wave.Options
	Metrics metrics.Registry
	Logger  log.Interface
	Rules   Rules
}

const defaultRebootTimeout = 5 * time.Minute

func (c Config) withDefaults() Config {
	c.Interval = cmp.Or(c.Interval, DefaultInterval)
	c.Lease = cmp.Or(c.Lease, DefaultLease)
	c.StaleAfter = cmp.Or(c.StaleAfter, DefaultStaleAfter)
	c.RebootTimeout = cmp.Or(c.RebootTimeout, defaultRebootTimeout)
	c.RepairSoak = cmp.Or(c.RepairSoak, budget.DefaultSoak)
	c.Wave.Rules = c.Rules.Wave
	c.Placement.IgnoreWaves = !c.Wave.Features.SteerNew
	if c.Clock == nil {
		c.Clock = func() model.Instant { return model.InstantOf(time.Now()) }
	}
	if c.Serving == nil {
		c.Serving = func() map[model.TaskID]bool { return nil }
	}
	if c.Logger == nil {
		c.Logger = log.Log
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	return c
}

// Controller is the leader's reconcile loop. Step and Run must not be called
// concurrently; Status may be called at any time.
type Controller struct {
	config   Config
	counters counters
	// term is the term whose start this controller committed; 0 for none.
	term      uint64
	softState *softState
	plans     uint64
	// lastStateCheck is when the whole state was last checked.
	lastStateCheck model.Instant

	mu sync.Mutex
	// lastRound is nil before the first round.
	lastRound  *roundDecision
	violations []Violation
}

// softState is what a new leader has to collect again: it is not replicated and
// may be lost at any time.
type softState struct {
	observed *observedState
	sent     map[model.CommandID]sentCommand
	sizes    *estimate.Estimator
	runtimes *runtimes
	history  *health.History
	// undrain holds the VMs that the wave returns before their reboot.
	undrain           map[model.VMID]bool
	uncommittedGrants []model.VMID
	rebootAttempts    map[model.VMID]int
	renewals          uint64
	// idle is set when the last round found nothing to do; lastInputs is what
	// that round read.
	idle       bool
	lastInputs roundInputs
}

func newSoftState() *softState {
	return &softState{
		observed:       newObservedState(),
		sent:           map[model.CommandID]sentCommand{},
		sizes:          estimate.NewEstimator(),
		runtimes:       newRuntimes(),
		history:        health.NewHistory(),
		rebootAttempts: map[model.VMID]int{},
	}
}

// New returns a controller that has not taken a round.
func New(c Config) *Controller {
	c = c.withDefaults()
	return &Controller{config: c, counters: newCounters(c.Metrics), softState: newSoftState()}
}

// Run takes a round at every interval while this node is the leader, until
// ctx is done.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(c.config.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.round(ctx)
		}
	}
}

func (c *Controller) round(ctx context.Context) {
	err := c.Step(ctx)
	if err != nil && ctx.Err() == nil {
		c.counters.failedRounds.Inc(1)
		c.config.Logger.WithError(err).Debug("controller: round failed")
	}
}
