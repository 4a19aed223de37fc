package dispatch

import (
	"context"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/capacity"
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

// Fleet are the calls to the platform.
type Fleet interface {
	List(ctx context.Context) ([]capacity.VM, error)
	Move(ctx context.Context, vm workload.MachineID, pool, holder string, fence uint64) (FleetAnswer, error)
	Maintain(ctx context.Context, vm workload.MachineID, wave int64, holder string, fence uint64) (FleetAnswer, error)
}

// FleetAnswer is what the platform says to an order.
type FleetAnswer uint8

// The answers of the platform.
const (
	FleetDone FleetAnswer = iota
	// FleetFenced: a later leader has given orders for the VM.
	FleetFenced
	// FleetBusy: the VM is not up, or is leaving.
	FleetBusy
	// FleetWave: the VM is not of that wave.
	FleetWave
	// FleetUnknown: there is no such VM, or the pool is not for it.
	FleetUnknown
	// FleetLimited: too many calls at the moment; nothing was done.
	FleetLimited
)

// String names the answer for log lines.
func (a FleetAnswer) String() string {
	return [...]string{"done", "fence", "busy", "wave", "unknown", "limited"}[a]
}

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
	// respected says that the last leader's orders were looked at.
	respected bool
	// balanced is when the balance of pools was last logged.
	balanced time.Duration
}

// flight is an order on its way, or carried out while its VM is not back.
type flight struct {
	capacity.Flight
	calling, done bool
	// retryAt is when an order without an answer is sent again.
	retryAt time.Duration
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
	until := f.since + d.config.TakeOver
	d.config.Machine.Read(func(t *workload.Tables) {
		for machine, atMS := range t.Ordered {
			if age := d.config.WallMS() - atMS; max(age, -age) < orderedLately.Milliseconds() && now < until {
				f.refused[machine] = until
			}
		}
	})
}

// decideFleet asks package capacity what to do.
func (d *Dispatcher) decideFleet(now time.Duration) (plan capacity.Plan) {
	f := d.fleet
	flights := make(map[workload.MachineID]capacity.Flight, len(f.flights))
	for machine, fl := range f.flights {
		flights[machine] = fl.Flight
	}
	for machine, until := range f.refused {
		if now >= until {
			delete(f.refused, machine)
		} else if _, flying := flights[machine]; !flying {
			flights[machine] = capacity.Flight{}
		}
	}
	d.config.Machine.Read(func(t *workload.Tables) {
		f.demand.Observe(t, now)
		plan = capacity.Decide(capacity.Input{
			Now: now, NowMS: d.config.WallMS(), Tables: t, VMs: f.vms, Flights: flights, Closing: f.closing,
			Need: f.demand.Need(t, now, d.config.WallMS()), NeedOf: f.demand.NeedOf(t), MayPark: f.demand.MayPark(now), Listed: d.lists, Idle: func(id workload.WorkerID) time.Duration { return d.idle(id, now) },
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
			pause(ctx, fleetPause)
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		f.listing = false
		if err == nil {
			f.vms, f.listedAt = vms, began
		}
	})
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

// settleFlights ends the flights whose VM is back.
func (f *fleetState) settleFlights(now time.Duration) {
	for i := range f.vms {
		vm := &f.vms[i]
		fl := f.flights[vm.Machine]
		if fl == nil || !fl.done || f.listedAt <= fl.Sent {
			continue
		}
		arrived := vm.State == capacity.Up && vm.Worker != "" && vm.Worker != fl.Worker
		parked := fl.Order.Kind == capacity.Move && vm.Pool == fl.Order.Pool && vm.State != capacity.Moving
		if arrived || parked {
			delete(f.flights, vm.Machine)
		}
	}
	for machine, fl := range f.flights {
		if fl.done && now-fl.Sent > flightLost {
			delete(f.flights, machine)
		}
	}
}

// fly begins an order. The worker stays closed until the VM is back.
func (d *Dispatcher) fly(ctx context.Context, term uint64, o capacity.Order) {
	f := d.fleet
	if f.flights[o.Machine] != nil || !f.takeToken(d.now(), d.config.FleetRate) {
		return // it is decided anew in the next round
	}
	fl := &flight{Flight: capacity.Flight{Order: o, Sent: d.now()}}
	for i := range f.vms {
		if f.vms[i].Machine == o.Machine {
			fl.Worker = f.vms[i].Worker
		}
	}
	f.flights[o.Machine] = fl
	d.callFleet(ctx, term, fl)
}

// takeToken says whether one more order keeps within the platform's rate, in
// orders a second for the whole site.
func (f *fleetState) takeToken(now time.Duration, rate float64) bool {
	rate *= fleetShare
	f.tokens = min(f.tokens+rate*(now-f.tokensAt).Seconds(), rate/2)
	f.tokensAt = now
	if f.tokens < 1 {
		return false
	}
	f.tokens--
	return true
}

// callFleet sends an order in the background. Nothing may run on the worker:
// it was closed under the lock before, so no start is decided any more, and
// one that was decided is committed and seen.
func (d *Dispatcher) callFleet(ctx context.Context, term uint64, fl *flight) {
	fl.calling = true
	d.group.Go(func() {
		limited, cancel := context.WithTimeout(ctx, fleetTimeout)
		defer cancel()
		answer, err := d.orderFleet(limited, term, fl)
		d.mu.Lock()
		fl.calling = false
		d.takeFleetAnswer(fl, answer, err)
		d.mu.Unlock()
		if err == nil {
			d.noteFleet(ctx, term, fl, answer)
		}
	})
}

func (d *Dispatcher) orderFleet(ctx context.Context, term uint64, fl *flight) (FleetAnswer, error) {
	o := fl.Order
	if !d.emptyWorker(fl.Worker) {
		return FleetBusy, nil
	}
	intent := &workload.Command{Term: term, Ordered: []workload.MachineID{o.Machine}}
	if err := d.propose(ctx, intent); err != nil {
		return FleetLimited, nil // nothing was ordered; it is decided anew
	}
	if o.Kind == capacity.Move {
		return d.config.Fleet.Move(ctx, o.Machine, o.Pool, d.config.Self, term)
	}
	return d.config.Fleet.Maintain(ctx, o.Machine, o.Wave, d.config.Self, term)
}

// emptyWorker looks once more whether nothing is committed on a worker.
func (d *Dispatcher) emptyWorker(id workload.WorkerID) bool {
	empty := true
	d.config.Machine.Read(func(t *workload.Tables) { empty = len(t.Runs[id]) == 0 })
	return empty
}

// takeFleetAnswer decides what becomes of a flight.
func (d *Dispatcher) takeFleetAnswer(fl *flight, answer FleetAnswer, err error) {
	f, now := d.fleet, d.now()
	if err != nil {
		// It may have been carried out, or will be: only an answer tells.
		fl.retryAt = now + fleetPause
		d.logFleetError("an order to the platform was not answered", err)
		return
	}
	d.logFleetAnswer(fl.Order, answer)
	if answer == FleetDone {
		fl.done, fl.Sent = true, now
		return
	}
	delete(f.flights, fl.Order.Machine)
	f.refused[fl.Order.Machine] = now + fleetPause
}

// noteFleet commits what an order that was carried out means.
func (d *Dispatcher) noteFleet(ctx context.Context, term uint64, fl *flight, answer FleetAnswer) {
	c := &workload.Command{Term: term}
	if fl.Order.Kind == capacity.Maintain && (answer == FleetDone || answer == FleetUnknown || answer == FleetWave) {
		c.Begun = append(c.Begun, workload.WaveBegun{Wave: fl.Order.Wave, Machine: fl.Order.Machine})
	}
	if answer == FleetDone && fl.Worker != "" {
		c.Gone = append(c.Gone, fl.Worker)
	}
	if len(c.Begun)+len(c.Gone) == 0 {
		return
	}
	if err := d.propose(ctx, c); err != nil {
		d.logFleetError("what the platform did is not committed; it is asked for again", err)
	}
}

// closeLinks keeps new work off the workers whose VMs are about to leave.
func (d *Dispatcher) closeLinks() {
	f := d.fleet
	closed := map[workload.WorkerID]bool{}
	doomed := d.doomedMachines()
	marked := map[workload.WorkerID]bool{}
	for i := range f.vms {
		vm := &f.vms[i]
		_, closing := f.closing[vm.Machine]
		if closing || f.flights[vm.Machine] != nil {
			closed[vm.Worker] = true
		}
		marked[vm.Worker] = doomed[vm.Machine]
	}
	for id, l := range d.links {
		l.mu.Lock()
		l.closing, l.doomed = closed[id], marked[id]
		l.mu.Unlock()
	}
}

// doomedMachines lists the VMs that have a maintenance before them.
func (d *Dispatcher) doomedMachines() map[workload.MachineID]bool {
	doomed := map[workload.MachineID]bool{}
	d.config.Machine.Read(func(t *workload.Tables) {
		for _, w := range t.Waves {
			for i := range w.Machines {
				if !w.Machines[i].Begun {
					doomed[w.Machines[i].Machine] = true
				}
			}
		}
	})
	return doomed
}

// evict stops what keeps a closing VM from its order, and lasting tasks on
// workers that are leaving.
func (d *Dispatcher) evict(t *workload.Tables, now time.Duration) {
	for i := range d.fleet.vms {
		vm := &d.fleet.vms[i]
		c, closing := d.fleet.closing[vm.Machine]
		if closing && c.Order.Kind == capacity.Maintain {
			d.evictWorker(t, vm.Worker, now-c.Since > emptyBy)
		}
	}
	for id, w := range t.Workers {
		if w.Draining {
			d.evictWorker(t, id, false)
		}
	}
}

func (d *Dispatcher) evictWorker(t *workload.Tables, id workload.WorkerID, all bool) {
	l := d.links[id]
	if l == nil {
		return
	}
	leaving := t.Workers[id] != nil && t.Workers[id].Draining
	for run := range t.Runs[id] {
		job, step, task := t.Task(run.Task)
		if task == nil || l.evicts(run) {
			continue
		}
		spec := &job.Spec.Steps[run.Task.Step]
		if spec.Lasting && (leaving || d.mayStop(t, run, spec, step)) || !spec.Lasting && all {
			l.evictRun(run)
		}
	}
}

// mayStop says whether a lasting task may be stopped now: at most so many of
// its step may be away at once, whatever the cause.
func (d *Dispatcher) mayStop(t *workload.Tables, run workload.RunRef, spec *workload.StepSpec, step *workload.Step) bool {
	away := 0
	for i := range step.Tasks {
		ref := run.Task
		ref.Index = i
		if i != run.Task.Index && !d.isAtWork(ref, &step.Tasks[i]) {
			away++
		}
	}
	return away < max(spec.MaxUnavailable, 1)
}

// isAtWork says whether a lasting task was at work in the last list, which is
// recent, and is not being stopped.
func (d *Dispatcher) isAtWork(ref workload.TaskRef, task *workload.Task) bool {
	for _, run := range task.Runs {
		if l := d.links[run.Worker]; l != nil && l.isAtWork(workload.RunRef{Task: ref, Attempt: run.Attempt}) {
			return true
		}
	}
	return false
}
