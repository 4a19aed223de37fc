package dispatch

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	"github.com/comfreyloom/comfreyloom/internal/capacity"
	"github.com/comfreyloom/comfreyloom/internal/control"
	"github.com/comfreyloom/comfreyloom/internal/state"
	"github.com/comfreyloom/comfreyloom/internal/steady"
	"github.com/comfreyloom/comfreyloom/internal/telemetry"
	"github.com/comfreyloom/comfreyloom/internal/workers"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

const (
	// minRoundInterval is the least time between the starts of two rounds. Changes
	// within it share one commit.
	minRoundInterval = 10 * time.Millisecond
	// roundRestFactor sets the pause after a round, as a multiple of the time that
	// the round took without its commit. The links and the quorum's own work need
	// the processor too.
	roundRestFactor = 1
	// idleRoundInterval is the time between two rounds when nothing changes. It
	// bounds how late a time-based event is noticed.
	idleRoundInterval = 100 * time.Millisecond
	// leadershipCheckInterval is how often a core VM checks whether it leads.
	leadershipCheckInterval = 20 * time.Millisecond
	// proposeTimeout bounds one commit. A leader that can't commit loses its
	// leadership much sooner.
	proposeTimeout = 5 * time.Second
	// maxContactAge bounds the age of the last contact with a worker that gets new
	// work. It allows for two lost reports in a row.
	maxContactAge = 3500 * time.Millisecond
	// refusalBackoff is how long a worker gets no new work after it refused some.
	refusalBackoff = 500 * time.Millisecond
	// maxStarts bounds the runs that one round commits.
	maxStarts = 512
	// stopRetryInterval is the time after which a stop without effect is sent
	// again.
	stopRetryInterval = 800 * time.Millisecond
	// refusedStopRetryInterval is the time after which a refused stop is sent again.
	refusedStopRetryInterval = 100 * time.Millisecond
)

// Config configures a Dispatcher.
type Config struct {
	// Self is this VM, the holder named in orders to the platform.
	Self    string
	Log     control.Log
	Machine *workload.Machine
	Workers workers.Client
	// ListRate returns the intended maximum number of list requests per second; nil
	// for defaultListRate.
	ListRate func() int
	Fleet    Fleet
	Advisor  Advisor
	// Lease is the length of a worker's lease. It is well below LeaseMax, the
	// longest lease that a worker grants.
	Lease, LeaseMax time.Duration
	// StopTime is the longest time that a worker takes to stop a run.
	StopTime time.Duration
	// TakeOverDelay is how long a new leader delays orders to the platform, so
	// that they don't alternate with those of the previous leader.
	TakeOverDelay time.Duration
	// FleetRate is how many orders per second the platform accepts from the site.
	FleetRate float64
	// Room bounds the occurrences that are begun.
	Room workload.Room
	// Now is the steady clock, WallMS the time of day in Unix milliseconds.
	Now    func() time.Duration
	WallMS func() int64

	Logger  log.Interface
	Metrics metrics.Registry
}

// Dispatcher performs the leader's work on a core VM. It is safe for concurrent
// use.
type Dispatcher struct {
	config   Config
	counters *counters
	delays   delays
	wake     chan struct{}
	// confirmedAt is when this VM was last confirmed as the leader.
	confirmedAt atomic.Int64
	// heldWorkers counts the workers that have committed runs.
	heldWorkers atomic.Int64

	mu sync.Mutex
	// term is the term in which this VM acts as the leader, 0 for none.
	term  uint64
	links map[workload.WorkerID]*link
	// endedIncarnations holds when incarnations were found to have ended, so that a
	// late report does not add one again.
	endedIncarnations map[workload.WorkerID]time.Duration
	// contradictions limits the lines about reports that contradict a known worker.
	contradictions telemetry.Throttle
	// stalled lists the long-running runs that were found stalled in this round.
	stalled []stalledRun
	// waitingSuspects holds the tasks that lost workers and wait for a start, each
	// with the time since when.
	waitingSuspects map[workload.TaskRef]time.Duration
	// lostContacts holds the workers that don't answer or that were recently found
	// to be replaced.
	lostContacts map[workload.WorkerID]lostContact
	// prunedAt is when ended jobs were last pruned.
	prunedAt time.Duration
	// leading ends when this VM stops leading; group holds the goroutines of the
	// term.
	leading context.Context
	group   *conc.WaitGroup
	fleet   *fleetState
	advice  *adviceCache
	// skipBudget lets long-running tasks be stopped regardless of how many others
	// of their step are unavailable. Tests use it to switch the rule off.
	skipBudget bool
	// launch starts the goroutines of a link. Tests replace it and make the calls
	// themselves.
	launch func(context.Context, *link)
	// spawn runs a call about VMs in a goroutine of the term. Tests replace it and run
	// the calls one after another.
	spawn func(func())
	// pause waits. Tests replace it and simulate the site meanwhile.
	pause func(context.Context, time.Duration)
}

// New returns a dispatcher.
func New(c Config) *Dispatcher {
	d := &Dispatcher{
		config: c, counters: newCounters(c.Metrics), wake: make(chan struct{}, 1),
		links: map[workload.WorkerID]*link{}, endedIncarnations: map[workload.WorkerID]time.Duration{},
		lostContacts:   map[workload.WorkerID]lostContact{},
		contradictions: telemetry.Throttle{Interval: contradictionInterval},
		leading:        context.Background(),
		launch:         func(ctx context.Context, l *link) { l.run(ctx) },
		pause:          steady.Pause,
	}
	d.spawn = func(f func()) { d.group.Go(f) }
	d.counters.jobRoom.Update(int64(c.Room))
	return d
}

func (d *Dispatcher) now() time.Duration { return d.config.Now() }

func (d *Dispatcher) wakeUp() { notify(d.wake) }

// Run leads whenever this VM is the confirmed leader, until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if s := d.config.Log.Status(); s.Confirmed {
			d.lead(ctx, s.Term)
		}
		steady.Pause(ctx, leadershipCheckInterval)
	}
	return ctx.Err()
}

// lead acts as the leader of a term until leadership is lost.
func (d *Dispatcher) lead(ctx context.Context, term uint64) {
	if err := d.propose(ctx, &workload.Command{Term: term, StartTerm: true}); err != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	var group conc.WaitGroup
	defer group.Wait()
	defer cancel()
	d.beginTerm(ctx, term, &group)
	defer d.endTerm()
	d.config.Logger.WithField("term", term).Info("leading")
	group.Go(func() {
		defer cancel()
		d.awaitLeadershipLoss(ctx, term)
	})
	group.Go(func() { d.runFleet(ctx, term) })
	if d.config.Advisor != nil {
		group.Go(func() { d.runAdvice(ctx) })
	}
	ticker := time.NewTicker(idleRoundInterval)
	defer ticker.Stop()
	for d.awaitLeadership(ctx, term) {
		started := d.now()
		work := d.round(ctx, term)
		steady.Pause(ctx, max(minRoundInterval-(d.now()-started), roundRestFactor*work))
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-d.wake:
		case <-d.config.Machine.Changed():
		}
	}
	d.config.Logger.WithField("term", term).Info("no longer leading")
}

// awaitLeadershipLoss returns once this VM no longer leads the term. A round may be
// blocked by a commit that can't complete. The links must not continue to send
// orders meanwhile, as the next leader counts the last possible lease from the
// start of its own term.
func (d *Dispatcher) awaitLeadershipLoss(ctx context.Context, term uint64) {
	for ctx.Err() == nil && d.holdsTerm(term) {
		steady.Pause(ctx, leadershipCheckInterval)
	}
}

// unconfirmedGrace is how long this VM continues to send orders while it
// considers itself the leader of its term but its lease is momentarily not
// confirmed, as happens when the processor is overloaded. It is less than the
// time that the next leader waits beyond the longest lease granted here.
const unconfirmedGrace = 400 * time.Millisecond

// leads reports whether this VM may still send orders as the leader of a term.
func (d *Dispatcher) leads(term uint64) bool {
	s := d.config.Log.Status()
	if !s.Leads || s.Term != term {
		return false
	}
	now := int64(d.now())
	if s.Confirmed {
		d.confirmedAt.Store(now)
		return true
	}
	return now-d.confirmedAt.Load() < int64(unconfirmedGrace)
}

// awaitLeadership waits until this VM may send orders as the leader of a term. It
// returns false once it never can again: ctx has ended, or the term has. Nothing may
// end before, as this VM may be confirmed again: a link that ended alone would leave
// its worker without orders, and a leader that took over its own term anew would wait
// for leases that it granted itself.
func (d *Dispatcher) awaitLeadership(ctx context.Context, term uint64) bool {
	for ctx.Err() == nil {
		if d.leads(term) {
			return true
		}
		if !d.holdsTerm(term) {
			return false
		}
		steady.Pause(ctx, leadershipCheckInterval)
	}
	return false
}

// holdsTerm reports whether this VM considers itself the leader of a term, confirmed
// or not.
func (d *Dispatcher) holdsTerm(term uint64) bool {
	s := d.config.Log.Status()
	return s.Leads && s.Term == term
}

// beginTerm takes over the workers in the replicated state.
func (d *Dispatcher) beginTerm(ctx context.Context, term uint64, group *conc.WaitGroup) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.term, d.leading, d.group = term, ctx, group
	d.advice = newAdviceCache(d.now)
	d.config.Machine.Read(func(t *workload.Tables) {
		d.fleet = newFleetState(d.now(), capacity.NewDemand(t, d.now(), d.config.WallMS()))
		for _, w := range t.Workers {
			d.openLink(ctx, w, func(l *link) { l.inheritRuns(t.Runs[w.ID]) })
		}
	})
}

func (d *Dispatcher) endTerm() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.term = 0
	for _, l := range d.links {
		l.cancel()
	}
	d.links = map[workload.WorkerID]*link{}
}

// openLink calls prepare and then starts the link of a worker. The link's
// goroutines use it from then on.
func (d *Dispatcher) openLink(ctx context.Context, w *workload.Worker, prepare func(*link)) {
	l := newLink(d, w, d.term)
	prepare(l)
	d.links[w.ID] = l
	d.launch(ctx, l)
}

// inheritRuns takes over the runs that an earlier leader committed on a worker.
func (l *link) inheritRuns(runs map[workload.RunRef]bool) {
	for run := range runs {
		l.inherited[run] = true
	}
	l.needsCalls = len(runs) > 0
	// The previous leader may have granted a lease until just now.
	l.lease.expiresAt = l.d.now() + time.Duration(float64(l.d.config.LeaseMax)/slowestClockRate) + expiryMargin
}

// propose commits a command at this VM.
func (d *Dispatcher) propose(ctx context.Context, c *workload.Command) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	err := d.config.Log.Propose(ctx, c)
	if err != nil && !errors.Is(err, state.ErrNotProposed) {
		d.counters.unknownOutcomes.Inc(1)
	}
	return err
}
