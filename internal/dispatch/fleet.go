package dispatch

import (
	"context"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/capacity"
	"github.com/comfreyloom/comfreyloom/internal/steady"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

const (
	// fleetEvery is the time between two decisions about VMs.
	fleetEvery = 60 * time.Millisecond
	// listEvery is the time between two lists of VMs while nothing is on its
	// way, listSoon while something is: reads are priced, and limited for the
	// whole site.
	listEvery = 3 * time.Second
	listSoon  = 350 * time.Millisecond
	// fleetTimeout bounds one call to the platform.
	fleetTimeout = 1200 * time.Millisecond
	// fleetPause is the pause after an order that was refused or not answered.
	fleetPause = 400 * time.Millisecond
	// fleetShare of the platform's rate of orders is used: a lost answer makes
	// an order count twice.
	fleetShare = 0.9
	// balanceEvery is the time between two log lines on the balance of pools.
	balanceEvery = time.Second
	// emptyBy is how long short tasks may keep a VM from its maintenance; then
	// they are stopped.
	emptyBy = 6 * time.Second
	// flightLost is when an order that was carried out is forgotten though the
	// VM did not come back: it was lost on the way.
	flightLost = 20 * time.Second
)

// fleetState is what the leader knows of the VMs. The dispatcher's lock guards it.
type fleetState struct {
	since    time.Duration
	vms      []capacity.VM
	listedAt time.Duration
	listing  bool
	flights  map[workload.MachineID]*flight
	closing  map[workload.MachineID]capacity.Closing
	// refused holds when a VM may be ordered again.
	refused map[workload.MachineID]time.Duration
	demand  *capacity.Demand
	// tokens are the orders that may be given at once, as of tokensAt.
	tokens   float64
	tokensAt time.Duration
	// lacking holds the pools with a lasting task that must leave its worker and
	// has no other to go to.
	lacking map[string]bool
	// unplaced holds the pools with an evicted task that runs nowhere yet.
	unplaced map[string]bool
	// opening says that a commit that opens workers is on its way.
	opening bool
	// respected says that the last leader's orders were looked at.
	respected bool
	// balanced is when the balance of pools was last logged.
	balanced time.Duration
}

func newFleetState(now time.Duration, demand *capacity.Demand) *fleetState {
	return &fleetState{
		since: now, flights: map[workload.MachineID]*flight{}, closing: map[workload.MachineID]capacity.Closing{},
		refused: map[workload.MachineID]time.Duration{}, demand: demand,
	}
}

// runFleet is the duty that decides about VMs and gives orders to the platform.
func (d *Dispatcher) runFleet(ctx context.Context, term uint64) {
	if d.config.Fleet == nil {
		return
	}
	ticker := time.NewTicker(fleetEvery)
	defer ticker.Stop()
	for {
		d.fleetRound(ctx, term)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (d *Dispatcher) fleetRound(ctx context.Context, term uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f, now := d.fleet, d.now()
	if d.term != term {
		return
	}
	d.listWhenDue(ctx)
	if f.listedAt == 0 || !d.leads(term) {
		return
	}
	d.respectLastLeader(now)
	f.settleFlights(now)
	d.openForgotten(ctx, term)
	plan := d.decideFleet(now)
	for _, machine := range plan.Open {
		delete(f.closing, machine)
	}
	for _, c := range plan.Close {
		f.closing[c.Machine] = c
		d.logFleet(c.Order, "worker closed")
	}
	d.logBalance(plan.Pools, now)
	for _, o := range plan.Orders {
		d.fly(ctx, term, o)
	}
	for _, fl := range f.flights {
		if !fl.calling && !fl.done && now >= fl.retryAt {
			d.callFleet(ctx, term, fl)
		}
	}
	d.closeLinks()
}

// orderedLately is how old an order of the last leader may be that must not be
// followed by one of ours at once. Clocks differ between VMs by seconds.
const orderedLately = 10 * time.Second

// respectLastLeader leaves alone, for a while after this leader took over, the
// VMs for which the last one may just have given an order: two holders must
// not take turns.
func (d *Dispatcher) respectLastLeader(now time.Duration) {
	f := d.fleet
	if f.respected {
		return
	}
	f.respected = true
	d.config.Machine.Read(func(t *workload.Tables) {
		for machine, atMS := range t.Ordered {
			if age := d.config.WallMS() - atMS; max(age, -age) >= orderedLately.Milliseconds() {
				continue
			}
			until := lastPossibleOrder(t, machine, f.since) + d.config.TakeOver
			if now < until {
				f.refused[machine] = until
			}
		}
	})
	d.config.Logger.WithField("vms", len(f.refused)).Info("VMs left alone that the last leader may just have ordered")
}

// lastPossibleOrder bounds when the last leader's order for a VM left: before the
// next leader began, and within fleetTimeout of its intent, which was committed
// before this process learnt of it. By the first bound alone all VMs of a busy site
// stand still for a whole lease at each change of leader, as each of them was
// ordered in the last seconds.
func lastPossibleOrder(t *workload.Tables, machine workload.MachineID, began time.Duration) time.Duration {
	learnt, known := t.Learnt[machine]
	if !known {
		return began
	}
	return min(began, learnt+fleetTimeout)
}

// decideFleet asks package capacity what to do.
func (d *Dispatcher) decideFleet(now time.Duration) (plan capacity.Plan) {
	f := d.fleet
	flights := make(map[workload.MachineID]capacity.InFlightOrder, len(f.flights))
	for machine, fl := range f.flights {
		flights[machine] = fl.InFlightOrder
	}
	for machine, until := range f.refused {
		if now >= until {
			delete(f.refused, machine)
		} else if _, flying := flights[machine]; !flying {
			flights[machine] = capacity.InFlightOrder{}
		}
	}
	d.config.Machine.Read(func(t *workload.Tables) {
		f.demand.Observe(t, now)
		homeless := f.demand.Unplaceable(t, now)
		for pool := range f.lacking {
			homeless[pool] = true
		}
		plan = capacity.Decide(capacity.Input{
			Now: now, NowMS: d.config.WallMS(), Tables: t, VMs: f.vms, InFlight: flights, Closing: f.closing,
			Need: f.demand.Need(t, now, d.config.WallMS()), NeedByLabel: f.demand.NeedByLabel(t), Unplaceable: homeless, MayPark: f.demand.MayPark(now), Listed: d.lists, Idle: func(id workload.WorkerID) time.Duration { return d.idle(id, now) },
		})
		d.evict(t, now)
	})
	return plan
}

// lists says whether a worker listed a run or may have one that the tables
// don't hold.
func (d *Dispatcher) lists(id workload.WorkerID) bool {
	l := d.links[id]
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.running) > 0
}

// idle returns for how long nothing has run on a worker.
func (d *Dispatcher) idle(id workload.WorkerID, now time.Duration) time.Duration {
	l := d.links[id]
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.idleSince == 0 {
		return 0
	}
	return now - l.idleSince
}

// listWhenDue has the list of VMs read in the background.
func (d *Dispatcher) listWhenDue(ctx context.Context) {
	f, now := d.fleet, d.now()
	every := listEvery
	if len(f.flights) > 0 || len(f.closing) > 0 || d.hasStrangers() {
		every = listSoon
	}
	if f.listing || f.listedAt > 0 && now-f.listedAt < every {
		return
	}
	f.listing = true
	d.group.Go(func() {
		limited, cancel := context.WithTimeout(ctx, fleetTimeout)
		defer cancel()
		began := d.now()
		vms, err := d.config.Fleet.List(limited)
		if err != nil {
			d.logFleetError("the list of VMs could not be read", err)
			steady.Pause(ctx, fleetPause)
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		f.listing = false
		if err == nil {
			f.vms, f.listedAt = d.holdUnclear(vms), began
		}
	})
}

// holdUnclear takes in a list of VMs. Of a VM whose row can't be read, what was
// listed last holds, but for its state; one that was never listed is left out.
// Left out though it is known, a VM would count as lost, and others would be moved
// in its place.
func (d *Dispatcher) holdUnclear(listed []capacity.VM) []capacity.VM {
	known := make(map[workload.MachineID]*capacity.VM, len(d.fleet.vms))
	for i := range d.fleet.vms {
		known[d.fleet.vms[i].Machine] = &d.fleet.vms[i]
	}
	vms := make([]capacity.VM, 0, len(listed))
	seen := make(map[workload.MachineID]bool, len(listed))
	for i := range listed {
		if listed[i].State != capacity.Unclear {
			seen[listed[i].Machine] = true
			vms = append(vms, listed[i])
		}
	}
	for i := range listed {
		old := known[listed[i].Machine]
		if seen[listed[i].Machine] || old == nil {
			continue
		}
		seen[listed[i].Machine] = true
		unclear := *old
		unclear.State = capacity.Unclear
		vms = append(vms, unclear)
		if old.State != capacity.Unclear {
			d.config.Logger.WithField("vm", string(old.Machine)).WithField("pool", old.Pool).Warn("what the platform lists of a VM can't be read; it gets no order")
		}
	}
	return vms
}

// hasStrangers says whether a worker is announced that the last list lacks.
func (d *Dispatcher) hasStrangers() bool {
	known := make(map[workload.WorkerID]bool, len(d.fleet.vms))
	for i := range d.fleet.vms {
		known[d.fleet.vms[i].Worker] = true
	}
	for id, l := range d.links {
		if !known[id] && !l.isGone() && l.reportedAt() > d.fleet.listedAt {
			return true
		}
	}
	return false
}
