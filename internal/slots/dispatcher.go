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
// has passed or can no longer be met.
const tickInterval = 20 * time.Millisecond

// fullTickEvery is the number of ticks from one full tick to the next. Only a
// full tick visits idle services and checks invariants, every
// idleTickInterval.
const fullTickEvery = int(idleTickInterval / tickInterval)

// idleTickInterval is the time between two ticks while every service is idle.
// Ticks at tickInterval took most of the processor time of an idle process.
const idleTickInterval = 500 * time.Millisecond

// noInstanceRetry is the retry delay while no instance of a service serves: a
// starting instance announces itself within this time.
const noInstanceRetry = 3 * time.Second

// stopGrace is how long a stop waits for the calls that return borrowed slots.
const stopGrace = 300 * time.Millisecond

// Dispatcher implements Broker at one entry VM.
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
	// stopped is true once no more calls may start.
	callsMu sync.Mutex
	stopped bool
	// tickRequested holds a token while a tick is needed before the next regular
	// one.
	tickRequested chan struct{}
	// slowTicks is true while ticks are idleTickInterval apart; wakeup holds a
	// token when a service that is no longer idle has ended that.
	slowTicks atomic.Bool
	wakeup    chan struct{}
	ticks     int
	started   model.Instant

	quotaMu sync.Mutex
	quota   *admission.Quota
}

var _ Broker = (*Dispatcher)(nil)

// New returns a dispatcher; Run must be called for its background tasks.
func New(c Config) *Dispatcher {
	c = c.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	return &Dispatcher{
		config:        c,
		ctx:           ctx,
		cancel:        cancel,
		tickRequested: make(chan struct{}, 1),
		wakeup:        make(chan struct{}, 1),
		started:       c.Now(),
		counters:      newCounters(c.Metrics),
		gauges:        newGauges(c.Metrics),
		states:        map[model.ServiceID]*serviceState{},
		quota:         admission.NewQuota(),
	}
}

// Run processes the queues and loans until ctx ends. Then it returns the
// borrowed slots and ends the calls to other entry VMs.
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
		case <-d.tickRequested:
			time.Sleep(d.config.Lending.WithDefaults().Spacing)
			d.Tick()
		case <-d.wakeup:
		}
		next.Reset(d.nextInterval())
	}
}

// nextInterval returns the time until the next tick. The first tick after an
// idle interval is a full one. slowTicks is set before the services are checked:
// if it were set afterwards, a request queued in between would not end the idle
// interval and would wait until it is over.
func (d *Dispatcher) nextInterval() time.Duration {
	d.slowTicks.Store(true)
	if d.idle() {
		d.ticks = 0
		return idleTickInterval
	}
	d.slowTicks.Store(false)
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

// wake ends an idle interval, if there is one.
func (d *Dispatcher) wake() {
	if !d.slowTicks.Load() || !d.slowTicks.Swap(false) {
		return
	}
	select {
	case d.wakeup <- struct{}{}:
	default:
	}
}

// tickSoon requests a tick before the next regular one.
func (d *Dispatcher) tickSoon() {
	select {
	case d.tickRequested <- struct{}{}:
	default:
	}
}

// stop returns the borrowed slots, hands this entry VM's share over to the
// others, waits up to stopGrace for these calls and ends all calls.
func (d *Dispatcher) stop() {
	d.mu.RLock()
	for _, k := range d.states {
		k.step(func(now model.Instant) {
			k.core.returnAllLoans(now)
			k.core.handOverShare()
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

// startCall runs a call to another entry VM, unless the dispatcher has stopped.
func (d *Dispatcher) startCall(call func()) {
	d.callsMu.Lock()
	defer d.callsMu.Unlock()
	if !d.stopped {
		d.calls.Go(call)
	}
}

// Tick applies changes of the manifest, the members and the registry and
// processes the queues and loans. Run calls it from one goroutine.
func (d *Dispatcher) Tick() {
	members := d.config.Members()
	confirmed := d.config.Confirmed()
	full := d.ticks%fullTickEvery == 0
	d.ticks++
	d.mu.RLock()
	defer d.mu.RUnlock()
	var totals status
	for _, state := range d.states {
		if full || !state.idle() {
			state.tick(members, confirmed)
		}
		if full {
			totals.add(state.inspect())
		}
	}
	if full {
		d.gauges.update(totals)
	}
}

// Acquire returns a slot for a request. The error is a *Rejection or ctx's
// error.
func (d *Dispatcher) Acquire(ctx context.Context, request SlotRequest) (*Grant, error) {
	state := d.state(request.Service)
	if state == nil {
		d.counters.refused.Inc(1)
		return nil, &Rejection{Reason: "no such service", UnknownService: true}
	}
	if err := d.enterTeam(request.Team); err != nil {
		d.counters.refused.Inc(1)
		return nil, err
	}
	grant, err := state.acquire(ctx, request)
	if err != nil {
		d.leaveTeam(request.Team)
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
		d.wake() // a new service may have to request recovery from its peers
	}
	return d.states[id]
}

// teamRetry is the retry delay for a caller whose team has reached its quota.
const teamRetry = time.Second

// enterTeam counts a request of a team or rejects it when the quota is reached.
func (d *Dispatcher) enterTeam(id model.TeamID) error {
	if id == "" {
		return nil
	}
	team, _ := d.config.Services.Team(id)
	d.quotaMu.Lock()
	defer d.quotaMu.Unlock()
	if !d.quota.Acquire(id, team.MaxRequests) {
		return &Rejection{Reason: "the team has as many requests in progress as its quota allows", RetryAfter: teamRetry}
	}
	return nil
}

// leaveTeam ends the count of a request of a team.
func (d *Dispatcher) leaveTeam(id model.TeamID) {
	if id == "" {
		return
	}
	d.quotaMu.Lock()
	defer d.quotaMu.Unlock()
	d.quota.Release(id)
}
