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
	"github.com/comfreyloom/comfreyloom/internal/schedule"
	"github.com/comfreyloom/comfreyloom/internal/state"
	"github.com/comfreyloom/comfreyloom/internal/steady"
	"github.com/comfreyloom/comfreyloom/internal/workers"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

const (
	// roundGap is the least time between two rounds: what happens meanwhile
	// shares one commit.
	roundGap = 10 * time.Millisecond
	// roundRest is how many times as long as a round has worked, without its
	// commit, is waited after it: the links, and the quorum's own duty, need the
	// processor too.
	roundRest = 1
	// roundEvery is the time between two rounds when nothing happens; it
	// bounds how late a time that has come is noticed.
	roundEvery = 100 * time.Millisecond
	// standingEvery is how often a core VM looks whether it leads.
	standingEvery = 20 * time.Millisecond
	// proposeTimeout bounds one commit; leadership is long lost by then.
	proposeTimeout = 5 * time.Second
	// freshContact is how old the last word of a worker may be that gets new
	// work: two reports in a row may be lost.
	freshContact = 3500 * time.Millisecond
	// refusedPause is how long a worker gets no new work after it refused some.
	refusedPause = 500 * time.Millisecond
	// maxStarts bounds the runs that one round commits.
	maxStarts = 512
	// orderDeadline is when a stop is sent again that has had no effect.
	stopAgain = 800 * time.Millisecond
)

// Config sets up a Dispatcher.
type Config struct {
	// Self is this VM, the holder of orders to the platform.
	Self    string
	Log     control.Log
	Machine *workload.Machine
	Workers workers.Calls
	Fleet   Fleet
	Advisor Advisor
	// Lease is the length of a worker's lease; well below LeaseMax, the
	// longest that a worker grants.
	Lease, LeaseMax time.Duration
	// TakeOver is how long a new leader waits with orders to the platform, so
	// that they don't alternate with those of the last one.
	TakeOver time.Duration
	// FleetRate is how many orders a second the platform takes from the site.
	FleetRate float64
	// Now is the steady clock, WallMS the time of day in Unix milliseconds.
	Now    func() time.Duration
	WallMS func() int64

	Logger  log.Interface
	Metrics metrics.Registry
}

// Dispatcher is the leader's duty on a core VM. It is safe for concurrent use.
type Dispatcher struct {
	config   Config
	counters *counters
	wake     chan struct{}
	// confirmedAt is when this VM was last seen as the confirmed leader.
	confirmedAt atomic.Int64
	// held counts the workers on which something runs.
	held atomic.Int64

	mu sync.Mutex
	// term is that of the leadership which is acted on, 0 for none.
	term  uint64
	links map[workload.WorkerID]*link
	// over remembers incarnations that ended, so that a late report of one
	// does not bring it back.
	over map[workload.WorkerID]time.Duration
	// standing lists the lasting runs that stood still in the round.
	standing []standingRun
	// waiting holds the tasks that lost workers and wait for a start, since when.
	waiting map[workload.TaskRef]time.Duration
	// silences holds the workers that do not answer or were lately found over.
	silences map[workload.WorkerID]silence
	// forgotAt is when jobs were last forgotten.
	forgotAt time.Duration
	leading  context.Context
	group    *conc.WaitGroup
	fleet    *fleetState
	advice   *adviceCache
	// skipBudget lets lasting tasks be ended whatever else of their step is away;
	// tests switch the rule off.
	skipBudget bool
	// launch starts the goroutines of a link; tests make the calls themselves.
	launch func(context.Context, *link)
}

// New returns a dispatcher.
func New(c Config) *Dispatcher {
	return &Dispatcher{
		config: c, counters: newCounters(c.Metrics), wake: make(chan struct{}, 1),
		links: map[workload.WorkerID]*link{}, over: map[workload.WorkerID]time.Duration{},
		silences: map[workload.WorkerID]silence{},
		leading:  context.Background(),
		launch:   func(ctx context.Context, l *link) { l.run(ctx) },
	}
}

func (d *Dispatcher) now() time.Duration { return d.config.Now() }

func (d *Dispatcher) wakeUp() { poke(d.wake) }

// Run leads whenever this VM is the confirmed leader, until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if s := d.config.Log.Standing(); s.Confirmed {
			d.lead(ctx, s.Term)
		}
		steady.Pause(ctx, standingEvery)
	}
	return ctx.Err()
}

// lead acts as the leader of a term until it is lost.
func (d *Dispatcher) lead(ctx context.Context, term uint64) {
	if err := d.propose(ctx, &workload.Command{Term: term, StartTerm: true}); err != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	var group conc.WaitGroup
	defer group.Wait()
	defer cancel()
	d.begin(ctx, term, &group)
	defer d.end()
	d.config.Logger.WithField("term", term).Info("leading")
	group.Go(func() {
		defer cancel()
		d.awaitLoss(ctx, term)
	})
	group.Go(func() { d.runFleet(ctx, term) })
	group.Go(func() { d.runAdvice(ctx) })
	ticker := time.NewTicker(roundEvery)
	defer ticker.Stop()
	for d.leads(term) && ctx.Err() == nil {
		started := d.now()
		work := d.round(ctx, term)
		steady.Pause(ctx, max(roundGap-(d.now()-started), roundRest*work))
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-d.wake:
		case <-d.config.Machine.Changed():
		}
	}
	d.config.Logger.WithField("term", term).Info("no longer leading")
}

// awaitLoss returns once this VM no longer leads. A round may wait for a commit
// that can't come; the links must not go on with orders meanwhile, as the next
// leader counts the last possible lease from its own beginning.
func (d *Dispatcher) awaitLoss(ctx context.Context, term uint64) {
	for ctx.Err() == nil && d.leads(term) {
		steady.Pause(ctx, standingEvery)
	}
}

// unconfirmedFor is how long this VM goes on with orders while it is the leader
// of its term by its own account and its lease is not confirmed just now, as
// happens when the processor is short. It is less than what the next leader
// waits beyond the longest lease that is granted here.
const unconfirmedFor = 400 * time.Millisecond

// leads says whether this VM may still order as the leader of a term.
func (d *Dispatcher) leads(term uint64) bool {
	s := d.config.Log.Standing()
	if !s.Leads || s.Term != term {
		return false
	}
	now := int64(d.now())
	if s.Confirmed {
		d.confirmedAt.Store(now)
		return true
	}
	return now-d.confirmedAt.Load() < int64(unconfirmedFor)
}

// begin takes over the workers that the tables hold.
func (d *Dispatcher) begin(ctx context.Context, term uint64, group *conc.WaitGroup) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.term, d.leading, d.group = term, ctx, group
	d.advice = newAdviceCache()
	d.config.Machine.Read(func(t *workload.Tables) {
		d.fleet = newFleetState(d.now(), capacity.NewDemand(t, d.now(), d.config.WallMS()))
		for _, w := range t.Workers {
			d.open(ctx, w, func(l *link) { l.inherit(t.Runs[w.ID]) })
		}
	})
}

func (d *Dispatcher) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.term = 0
	for _, l := range d.links {
		l.cancel()
	}
	d.links = map[workload.WorkerID]*link{}
}

// open starts the link of a worker once it is prepared: its goroutines use it
// from then on.
func (d *Dispatcher) open(ctx context.Context, w *workload.Worker, prepare func(*link)) {
	l := newLink(d, w, d.term)
	prepare(l)
	d.links[w.ID] = l
	d.launch(ctx, l)
}

// inherit takes over the runs that an earlier leader committed on a worker.
func (l *link) inherit(runs map[workload.RunRef]bool) {
	for run := range runs {
		l.inherited[run] = true
	}
	l.wanted = len(runs) > 0
	// The last leader may have granted a lease until just now.
	l.lease.lapsedAt = l.d.now() + time.Duration(float64(l.d.config.LeaseMax)/slowClock) + lapseMargin
}

// propose commits a command at this VM.
func (d *Dispatcher) propose(ctx context.Context, c *workload.Command) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	err := d.config.Log.Propose(ctx, c)
	if err != nil && !errors.Is(err, state.ErrNotProposed) {
		d.counters.unknown.Inc(1)
	}
	return err
}

// startOrder returns what a worker is told about a run; false when the run is
// not wanted there any more.
func (d *Dispatcher) startOrder(worker workload.WorkerID, run workload.RunRef) (o workers.StartOrder, wanted bool) {
	d.config.Machine.Read(func(t *workload.Tables) {
		if _, stopping := t.Stopping[run]; stopping || !t.HasRun(worker, run) {
			return
		}
		job, _, task := t.Task(run.Task)
		if task == nil || job.State.Final() {
			return
		}
		o = workers.StartOrder{Run: run, Payload: job.Spec.Payload, Checkpoint: task.Checkpoint}
		wanted = true
	})
	if wanted {
		o.Ticket = d.advice.ticket(schedule.StepRef{Job: run.Task.Job, Occurrence: run.Task.Occurrence, Step: run.Task.Step}, worker)
	}
	return o, wanted
}
