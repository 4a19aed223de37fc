package dispatch

import (
	"context"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/capacity"
	"github.com/comfreyloom/comfreyloom/internal/steady"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

const (
	// fleetInterval is the time between two decisions about VMs.
	fleetInterval = 60 * time.Millisecond
	// listInterval is the time between two lists of VMs while no order is in
	// flight, fastListInterval while one is. The platform charges for reads and
	// limits their rate for the whole site.
	listInterval     = 3 * time.Second
	fastListInterval = 350 * time.Millisecond
	// fleetTimeout bounds a read of the list, and the time in which an order must have
	// been sent. An order that isn't answered in that time is sent again.
	fleetTimeout = 1200 * time.Millisecond
	// orderAnswerTimeout is how long an answer to an order is awaited.
	orderAnswerTimeout = 6 * time.Second
	// fleetRetryPause is the pause after an order that was refused or not
	// answered.
	fleetRetryPause = 400 * time.Millisecond
	// orderRateShare is the share of the platform's order rate that is used. An
	// order whose answer is lost counts twice.
	orderRateShare = 0.9
	// balanceLogInterval is the time between two log lines on the balance of
	// pools.
	balanceLogInterval = time.Second
	// shortTaskGrace is how long short tasks may delay the maintenance of their VM
	// before they are stopped.
	shortTaskGrace = 6 * time.Second
	// flightTimeout is the time after which an order that was carried out is
	// dropped although the VM did not come back, and one that got no reply although it
	// is still refused. The VM was lost in between.
	flightTimeout = 20 * time.Second
)

// fleetState is what the leader knows of the VMs. The dispatcher's lock guards
// it.
type fleetState struct {
	startedAt time.Duration
	vms       []capacity.VM
	listedAt  time.Duration
	listing   bool
	flights   map[workload.VMID]*flight
	closing   map[workload.VMID]capacity.Closing
	// evacuating holds the VMs whose long-running tasks should leave.
	evacuating map[workload.VMID]bool
	// blockedUntil holds when a VM may be ordered again.
	blockedUntil map[workload.VMID]time.Duration
	demand       *capacity.Demand
	// tokens is the number of orders that may be sent at once, as of tokensAt.
	tokens   float64
	tokensAt time.Duration
	// lackingWorker holds the pools with a long-running task that must leave its
	// worker and has no other worker to move to.
	lackingWorker map[string]bool
	// awaitingRestart holds the pools with an evicted task that has not started
	// elsewhere yet.
	awaitingRestart map[string]bool
	// reopening is true while a commit that reopens workers is in flight.
	reopening bool
	// lastLeaderChecked is true once the orders of the previous leader were
	// checked.
	lastLeaderChecked bool
	// balanceLoggedAt is when the balance of pools was last logged.
	balanceLoggedAt time.Duration
}

func newFleetState(now time.Duration, demand *capacity.Demand) *fleetState {
	return &fleetState{
		startedAt: now, flights: map[workload.VMID]*flight{}, closing: map[workload.VMID]capacity.Closing{},
		blockedUntil: map[workload.VMID]time.Duration{}, demand: demand,
	}
}

// runFleet decides about VMs and sends orders to the platform.
func (d *Dispatcher) runFleet(ctx context.Context, term uint64) {
	if d.config.Fleet == nil {
		return
	}
	ticker := time.NewTicker(fleetInterval)
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
	d.listVMsWhenDue(ctx)
	if f.listedAt == 0 || !d.leads(term) {
		return
	}
	d.blockRecentlyOrdered(now)
	d.completeFlights(now)
	d.reopenWorkers(ctx, term)
	plan := d.decideFleet(now)
	for _, id := range plan.Open {
		delete(f.closing, id)
	}
	for _, c := range plan.Close {
		f.closing[c.VM] = c
		d.logFleet(c.Order, "worker closed")
	}
	d.logBalance(plan.Pools, now)
	for _, o := range plan.Orders {
		d.beginFlight(ctx, term, o)
	}
	for _, fl := range f.flights {
		if !fl.done && now >= fl.retryAt {
			d.sendFlight(ctx, term, fl)
		}
	}
	d.markClosing()
}

// recentOrderAge is the age below which an order of the previous leader delays
// the first order of this leader for the same VM. It allows for clocks that differ
// by seconds between VMs.
const recentOrderAge = 10 * time.Second

// blockRecentlyOrdered delays orders for the VMs for which the previous leader
// may just have sent one, as orders of two leaders for one VM must not alternate.
func (d *Dispatcher) blockRecentlyOrdered(now time.Duration) {
	f := d.fleet
	if f.lastLeaderChecked {
		return
	}
	f.lastLeaderChecked = true
	d.config.Machine.Read(func(t *workload.Tables) {
		for id, atMS := range t.Ordered {
			if age := d.config.WallMS() - atMS; max(age, -age) >= recentOrderAge.Milliseconds() {
				continue
			}
			until := latestOrderTime(t, id, f.startedAt) + d.config.TakeOverDelay
			if now < until {
				f.blockedUntil[id] = until
			}
		}
	})
	d.config.Logger.WithField("vms", len(f.blockedUntil)).Info("VMs left alone that the last leader may just have ordered")
}

// latestOrderTime returns the latest time at which the previous leader can have
// sent its order for a VM: before the term of this leader began, and within
// fleetTimeout of the order's intent, which was committed before this process
// applied it. With the first bound alone
// all VMs of a busy site would be blocked for a whole lease at each change of
// leader, as each of them was ordered in the last seconds.
func latestOrderTime(t *workload.Tables, id workload.VMID, began time.Duration) time.Duration {
	learnt, known := t.OrderAppliedAt[id]
	if !known {
		return began
	}
	return min(began, learnt+fleetTimeout)
}

// decideFleet has package capacity decide what to do.
func (d *Dispatcher) decideFleet(now time.Duration) (plan capacity.Plan) {
	f := d.fleet
	flights := make(map[workload.VMID]capacity.InFlightOrder, len(f.flights))
	for id, fl := range f.flights {
		flights[id] = fl.InFlightOrder
	}
	for id, until := range f.blockedUntil {
		if now >= until {
			delete(f.blockedUntil, id)
		} else if _, inFlight := flights[id]; !inFlight {
			flights[id] = capacity.InFlightOrder{}
		}
	}
	d.config.Machine.Read(func(t *workload.Tables) {
		f.demand.Observe(t, now)
		unplaceable := f.demand.Unplaceable(t, now)
		for pool := range f.lackingWorker {
			unplaceable[pool] = true
		}
		plan = capacity.Decide(capacity.Input{
			Now: now, NowMS: d.config.WallMS(), Tables: t, VMs: f.vms, InFlight: flights, Closing: f.closing,
			Need: f.demand.Need(t, now, d.config.WallMS()), NeedByLabel: f.demand.NeedByLabel(t), Unplaceable: unplaceable, MayPark: f.demand.MayPark(now), Listed: d.hasListedRuns, Idle: func(id workload.WorkerID) time.Duration { return d.idleFor(id, now) },
		})
		f.evacuating = make(map[workload.VMID]bool, len(plan.Evacuate))
		for _, id := range plan.Evacuate {
			f.evacuating[id] = true
		}
		d.evict(t, now)
	})
	return plan
}

// hasListedRuns reports whether the worker's last list holds any run, including
// one that the state does not hold.
func (d *Dispatcher) hasListedRuns(id workload.WorkerID) bool {
	l := d.links[id]
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.running) > 0
}

// idleFor returns for how long nothing has run on a worker.
func (d *Dispatcher) idleFor(id workload.WorkerID, now time.Duration) time.Duration {
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

// listVMsWhenDue requests the list of VMs in the background if it is due.
func (d *Dispatcher) listVMsWhenDue(ctx context.Context) {
	f, now := d.fleet, d.now()
	interval := listInterval
	if len(f.flights) > 0 || len(f.closing) > 0 || d.hasUnlistedWorker() {
		interval = fastListInterval
	}
	if f.listing || f.listedAt > 0 && now-f.listedAt < interval {
		return
	}
	f.listing = true
	d.spawn(func() {
		limited, cancel := context.WithTimeout(ctx, fleetTimeout)
		defer cancel()
		began := d.now()
		vms, err := d.config.Fleet.List(limited)
		if err != nil {
			d.logFleetError("the list of VMs could not be read", err)
			steady.Pause(ctx, fleetRetryPause)
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		f.listing = false
		if err == nil {
			f.vms, f.listedAt = d.mergeList(vms), began
		}
	})
}

// mergeList returns the new list of VMs. A VM whose row can't be read keeps
// what was last listed of it, except for its state. One that was never listed
// is left out. If a known VM were left out, it would count as lost, and other
// VMs would be moved in its place.
func (d *Dispatcher) mergeList(listed []capacity.VM) []capacity.VM {
	known := make(map[workload.VMID]*capacity.VM, len(d.fleet.vms))
	for i := range d.fleet.vms {
		known[d.fleet.vms[i].ID] = &d.fleet.vms[i]
	}
	vms := make([]capacity.VM, 0, len(listed))
	seen := make(map[workload.VMID]bool, len(listed))
	for i := range listed {
		if listed[i].State != capacity.Unclear {
			seen[listed[i].ID] = true
			vms = append(vms, listed[i])
		}
	}
	for i := range listed {
		old := known[listed[i].ID]
		if seen[listed[i].ID] || old == nil {
			continue
		}
		seen[listed[i].ID] = true
		unclear := *old
		unclear.State = capacity.Unclear
		vms = append(vms, unclear)
		if old.State != capacity.Unclear {
			d.config.Logger.WithField("vm", string(old.ID)).WithField("pool", old.Pool).Warn("what the platform lists of a VM can't be read; it gets no order")
		}
	}
	return vms
}

// hasUnlistedWorker reports whether a worker has reported that the last list
// lacks.
func (d *Dispatcher) hasUnlistedWorker() bool {
	known := make(map[workload.WorkerID]bool, len(d.fleet.vms))
	for i := range d.fleet.vms {
		known[d.fleet.vms[i].Worker] = true
	}
	for id, l := range d.links {
		if !known[id] && !l.isReplaced() && l.reportedAt() > d.fleet.listedAt {
			return true
		}
	}
	return false
}
