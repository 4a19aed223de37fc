package slots

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/comfreyloom/comfreyloom/internal/admission"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// tickInterval is how often the queues are swept for requests whose deadline
// passed or can't be met any more.
const tickInterval = 20 * time.Millisecond

// idleTicks is how many ticks a service at rest is passed over: its manifest
// and its invariants are looked at every restInterval.
const idleTicks = int(restInterval / tickInterval)

// restInterval is the time between two ticks while every service is at rest.
// Ticks at tickInterval were most of the processor time of an idle process.
const restInterval = 500 * time.Millisecond

// noInstanceRetry is when a caller may come back to a service none of whose
// instances serves: an instance that starts announces itself within it.
const noInstanceRetry = 3 * time.Second

// stopGrace is how long a stop waits for the calls that give back loans.
const stopGrace = 300 * time.Millisecond

// Dispatcher is the Broker of one entry VM.
type Dispatcher struct {
	config   Config
	counters *counters
	gauges   *gauges

	mu     sync.RWMutex
	states map[model.ServiceID]*serviceState

	// ctx bounds the calls to other entry VMs.
	ctx    context.Context
	cancel context.CancelFunc
	calls  conc.WaitGroup
	// stopped says that no more calls may start.
	callsMu sync.Mutex
	stopped bool
	// soon holds one token while a tick is wanted early.
	soon chan struct{}
	// resting says that ticks are restInterval apart; busy holds a token when
	// a service ended that.
	resting atomic.Bool
	busy    chan struct{}
	ticks   int
	started model.Instant

	quotaMu sync.Mutex
	quota   *admission.Quota
}

var _ Broker = (*Dispatcher)(nil)

// New returns a dispatcher; Run must be called for its duties.
func New(c Config) *Dispatcher {
	c = c.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	return &Dispatcher{
		config:   c,
		ctx:      ctx,
		cancel:   cancel,
		soon:     make(chan struct{}, 1),
		busy:     make(chan struct{}, 1),
		started:  c.Now(),
		counters: newCounters(c.Metrics),
		gauges:   newGauges(c.Metrics),
		states:   map[model.ServiceID]*serviceState{},
		quota:    admission.NewQuota(),
	}
}

// Run moves the queues and loans on until ctx ends. Then it gives back what is
// borrowed and ends the calls to other entry VMs.
func (d *Dispatcher) Run(ctx context.Context) error {
	next := time.NewTimer(0)
	defer next.Stop()
	defer d.stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-next.C:
			d.Tick()
		case <-d.soon:
			time.Sleep(d.config.Lending.WithDefaults().Spacing)
			d.Tick()
		case <-d.busy:
		}
		next.Reset(d.interval())
	}
}

// interval returns the time until the next tick. A tick after a rest looks at
// every service. That the dispatcher rests is said before the services are
// looked at: said afterwards, a request that queued in between would wake
// nobody and wait out the rest.
func (d *Dispatcher) interval() time.Duration {
	d.resting.Store(true)
	if d.idle() {
		d.ticks = 0
		return restInterval
	}
	d.resting.Store(false)
	return tickInterval
}

func (d *Dispatcher) idle() bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for _, k := range d.states {
		if !k.idle() {
			return false
		}
	}
	return true
}

// wake ends a rest, if there is one.
func (d *Dispatcher) wake() {
	if !d.resting.Load() || !d.resting.Swap(false) {
		return
	}
	select {
	case d.busy <- struct{}{}:
	default:
	}
}

// tickSoon asks for a tick before the next regular one.
func (d *Dispatcher) tickSoon() {
	select {
	case d.soon <- struct{}{}:
	default:
	}
}

// stop gives back what is borrowed and leaves the own share to the others, for
// a moment, and ends all calls.
func (d *Dispatcher) stop() {
	d.mu.RLock()
	for _, k := range d.states {
		k.step(func(now model.Instant) {
			k.core.giveBackAll(now)
			k.core.handOver()
		})
	}
	d.mu.RUnlock()
	d.callsMu.Lock()
	d.stopped = true
	d.callsMu.Unlock()
	timer := time.AfterFunc(stopGrace, d.cancel)
	defer timer.Stop()
	defer d.cancel()
	d.calls.Wait()
}

// start runs a call to another entry VM, unless the dispatcher stopped.
func (d *Dispatcher) start(call func()) {
	d.callsMu.Lock()
	defer d.callsMu.Unlock()
	if !d.stopped {
		d.calls.Go(call)
	}
}

// Tick takes in changes of the manifest, the members and the registry, and
// moves the queues and loans on. Run calls it from one goroutine.
func (d *Dispatcher) Tick() {
	members := d.config.Members()
	confirmed := d.config.Confirmed()
	whole := d.ticks%idleTicks == 0
	d.ticks++
	d.mu.RLock()
	defer d.mu.RUnlock()
	var all status
	for _, state := range d.states {
		if whole || !state.idle() {
			state.tick(members, confirmed)
		}
		if whole {
			all.add(state.inspect())
		}
	}
	if whole {
		d.gauges.set(all)
	}
}

// Acquire returns a slot for a request, or a *Rejection, or ctx's error.
func (d *Dispatcher) Acquire(ctx context.Context, ask Ask) (*Grant, error) {
	state := d.state(ask.Service)
	if state == nil {
		d.counters.refused.Inc(1)
		return nil, &Rejection{Reason: "no such service", Unknown: true}
	}
	if err := d.enterTeam(ask.Team); err != nil {
		d.counters.refused.Inc(1)
		return nil, err
	}
	grant, err := state.acquire(ctx, ask)
	if err != nil {
		d.leaveTeam(ask.Team)
	}
	return grant, err
}

// state returns the state of a service of the manifest, or nil.
func (d *Dispatcher) state(id model.ServiceID) *serviceState {
	d.mu.RLock()
	known := d.states[id]
	d.mu.RUnlock()
	if known != nil {
		if known.dropped.Load() {
			return nil
		}
		return known
	}
	service, ok := d.config.Services.Service(id)
	if !ok {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.states[id] == nil {
		d.states[id] = newServiceState(d, service)
		d.wake() // a new service may have to ask for what was lent
	}
	return d.states[id]
}

// teamRetry is when a caller whose team is at its quota may come back.
const teamRetry = time.Second

func (d *Dispatcher) enterTeam(id model.TeamID) error {
	if id == "" {
		return nil
	}
	team, _ := d.config.Services.Team(id)
	d.quotaMu.Lock()
	defer d.quotaMu.Unlock()
	if !d.quota.Take(id, team.MaxRequests) {
		return &Rejection{Reason: "the team has as many requests in progress as its quota allows", RetryAfter: teamRetry}
	}
	return nil
}

func (d *Dispatcher) leaveTeam(id model.TeamID) {
	if id == "" {
		return
	}
	d.quotaMu.Lock()
	defer d.quotaMu.Unlock()
	d.quota.Give(id)
}
