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
	// DefaultLease is how long a task's lease lasts. A platform that can't be
	// reached for as long loses every task; a failed worker's job waits as
	// long before it starts elsewhere.
	DefaultLease = time.Minute
	// DefaultStaleAfter is how old the platform's list may be before nothing
	// is taken out on purpose any more.
	DefaultStaleAfter = 15 * time.Second
)

// Rules switches single safety rules off. The zero value has every rule on
// and is the only one that the product uses; tests switch a rule off to see
// that the invariants notice.
type Rules struct {
	Budget budget.Rules
	Wave   wave.Rules
	// SkipLeaseWait ends a task as lapsed as soon as its VM does not answer.
	SkipLeaseWait bool
	// SkipCommit sends the commands of a plan whether it was committed or not.
	SkipCommit bool
}

// Config sets up a Controller. Log, Platform and Self are needed; other zero
// fields take their default.
type Config struct {
	Self     model.NodeID
	Region   model.RegionID
	Log      state.Log
	Platform platform.Client
	// Serving returns the instances that announced themselves as serving.
	Serving func() map[model.TaskID]bool
	// Clock returns the time. Default: the system's clock.
	Clock func() model.Instant
	// Interval is the time between rounds in Run. Default DefaultInterval.
	Interval time.Duration
	// Lease is how long task leases last. Default DefaultLease.
	Lease time.Duration
	// StaleAfter bounds the age of the platform's list. Default DefaultStaleAfter.
	StaleAfter time.Duration
	// RebootTimeout is how long a VM may show its old boot after a reboot was
	// accepted before the reboot is commanded anew. Default 5 min.
	RebootTimeout time.Duration
	// RepairSoak is how long a VM that came back by itself does not count as
	// available. Default budget.DefaultSoak.
	RepairSoak time.Duration
	Fleet      fleet.Options
	Placement  placement.Options
	Health     health.Options
	// Wave bounds waves. The product sets Wave.Ideas to wave.Chosen().
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
	c.Placement.IgnoreWaves = !c.Wave.Ideas.SteerNew
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
// at the same time; Status may be called at any time.
type Controller struct {
	config Config
	counts counts
	// term is the term that this controller began; 0 for none.
	term  uint64
	soft  *soft
	plans uint64
	// checked is when the whole state was checked last.
	checked model.Instant

	mu sync.Mutex
	// last is the last round, nil before the first.
	last   *decided
	broken []Broken
}

// soft is what a leader learns anew: it may be lost at any time without harm.
type soft struct {
	world     *world
	sent      map[model.CommandID]sent
	sizes     *estimate.Estimator
	runtimes  *runtimes
	history   *health.History
	undrain   map[model.VMID]bool
	ungranted []model.VMID
	attempts  map[model.VMID]int
	renews    uint64
	// settled says that the last round found nothing to do; seen is what it
	// looked at.
	settled bool
	seen    lastSeen
}

func newSoft() *soft {
	return &soft{
		world:    newWorld(),
		sent:     map[model.CommandID]sent{},
		sizes:    estimate.NewEstimator(),
		runtimes: newRuntimes(),
		history:  health.NewHistory(),
		attempts: map[model.VMID]int{},
	}
}

// New returns a controller that has done nothing yet.
func New(c Config) *Controller {
	c = c.withDefaults()
	return &Controller{config: c, counts: newCounts(c.Metrics), soft: newSoft()}
}

// Run takes a round at every interval while this node is the leader, until
// ctx ends.
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
		c.counts.failedRounds.Inc(1)
		c.config.Logger.WithError(err).Debug("controller: round failed")
	}
}
