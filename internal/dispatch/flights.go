package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/capacity"
	"github.com/comfreyloom/comfreyloom/internal/steady"
	"github.com/comfreyloom/comfreyloom/internal/workload"
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

// flight is an order on its way, or carried out while its VM is not back.
type flight struct {
	capacity.InFlightOrder
	calling, done bool
	// retryAt is when an order without an answer is sent again.
	retryAt time.Duration
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
		parked := fl.Order.Kind == capacity.Move && vm.Pool == fl.Order.Pool && vm.State != capacity.Moving && vm.State != capacity.Unclear
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
	fl := &flight{InFlightOrder: capacity.InFlightOrder{Order: o, Sent: d.now()}}
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

// orderFleet closes the worker by a commit, looks once more whether it is empty
// and calls the platform. A start that was decided on earlier is committed
// before, and then seen, or refused.
func (d *Dispatcher) orderFleet(ctx context.Context, term uint64, fl *flight) (FleetAnswer, error) {
	o := fl.Order
	intent := &workload.Command{Term: term, Ordered: []workload.MachineID{o.Machine}, Close: []workload.WorkerID{fl.Worker}}
	if err := d.propose(ctx, intent); err != nil {
		return FleetLimited, nil // nothing was ordered; it is decided anew
	}
	if !d.emptyWorker(fl.Worker) {
		return FleetBusy, nil
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
	switch {
	case fl.Worker == "":
	case answer == FleetDone:
		c.Gone = append(c.Gone, fl.Worker)
	default:
		c.Open = append(c.Open, fl.Worker)
	}
	if len(c.Begun)+len(c.Gone)+len(c.Open) == 0 {
		return
	}
	if err := d.propose(ctx, c); err != nil {
		d.logFleetError("what the platform did is not committed; it is asked for again", err)
		return
	}
	for _, id := range c.Gone {
		d.logGone(term, id, goneReason{why: goneOrdered})
	}
}

// openForgotten opens the workers that are closed though no order for their VM
// is on its way: the commit that should have opened them failed. The commit that
// does so now may come after a new order for the same VM; the leader's own mark
// on the worker then still keeps starts away.
func (d *Dispatcher) openForgotten(ctx context.Context, term uint64) {
	if d.fleet.opening || len(d.forgotten()) == 0 {
		return
	}
	d.fleet.opening = true
	d.group.Go(func() {
		steady.Pause(ctx, fleetPause) // the commit that opens them may be on its way
		d.mu.Lock()
		c := &workload.Command{Term: term, Open: d.forgotten()}
		d.fleet.opening = false
		d.mu.Unlock()
		if len(c.Open) == 0 {
			return
		}
		if err := d.propose(ctx, c); err != nil {
			d.logFleetError("what the platform did is not committed; it is asked for again", err)
		}
	})
}

// forgotten lists the workers that are closed for no order.
func (d *Dispatcher) forgotten() []workload.WorkerID {
	expected := map[workload.WorkerID]bool{}
	for _, fl := range d.fleet.flights {
		expected[fl.Worker] = true
	}
	var all []workload.WorkerID
	d.config.Machine.Read(func(t *workload.Tables) {
		for id, w := range t.Workers {
			if w.Closed && !expected[id] {
				all = append(all, id)
			}
		}
	})
	slices.Sort(all)
	return all
}
