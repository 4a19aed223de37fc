package slots

import (
	"context"
	"sync"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/admission"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// tickInterval is how often the queues are swept for requests whose deadline
// passed or can't be met any more.
const tickInterval = 20 * time.Millisecond

// noInstanceRetry is when a caller may come back to a service none of whose
// instances serves: an instance that starts announces itself within it.
const noInstanceRetry = 3 * time.Second

// Dispatcher is the Broker of one entry VM.
type Dispatcher struct {
	config   Config
	counters *counters

	mu    sync.RWMutex
	desks map[model.ServiceID]*desk

	quotaMu sync.Mutex
	quota   *admission.Quota
}

var _ Broker = (*Dispatcher)(nil)

// New returns a dispatcher; Run must be called for its duties.
func New(c Config) *Dispatcher {
	c = c.withDefaults()
	return &Dispatcher{
		config:   c,
		counters: newCounters(c.Metrics),
		desks:    map[model.ServiceID]*desk{},
		quota:    admission.NewQuota(),
	}
}

// Run sweeps the queues until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			d.Tick()
		}
	}
}

// Tick sweeps the queues and takes in changes of the manifest and the registry.
func (d *Dispatcher) Tick() {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for _, desk := range d.desks {
		desk.tick()
	}
}

// Acquire returns a slot for a request, or a *Rejection, or ctx's error.
func (d *Dispatcher) Acquire(ctx context.Context, ask Ask) (*Grant, error) {
	desk := d.desk(ask.Service)
	if desk == nil {
		d.counters.refused.Inc(1)
		return nil, &Rejection{Reason: "no such service", Unknown: true}
	}
	if err := d.enterTeam(ask.Team); err != nil {
		d.counters.refused.Inc(1)
		return nil, err
	}
	grant, err := desk.acquire(ctx, ask)
	if err != nil {
		d.leaveTeam(ask.Team)
	}
	return grant, err
}

// desk returns the desk of a service of the manifest, or nil.
func (d *Dispatcher) desk(id model.ServiceID) *desk {
	d.mu.RLock()
	known := d.desks[id]
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
	if d.desks[id] == nil {
		d.desks[id] = newDesk(d, service)
	}
	return d.desks[id]
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
