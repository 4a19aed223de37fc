package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/capacity"
	"github.com/comfreyloom/comfreyloom/internal/steady"
	"github.com/comfreyloom/comfreyloom/internal/workers"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// Fleet makes the calls to the platform.
type Fleet interface {
	List(ctx context.Context) ([]capacity.VM, error)
	Move(ctx context.Context, vm workload.VMID, pool string, terms OrderTerms) (FleetReply, error)
	Maintain(ctx context.Context, vm workload.VMID, wave int64, terms OrderTerms) (FleetReply, error)
}

// OrderTerms are the same for every kind of order.
type OrderTerms struct {
	// Holder and Fence identify the leader and its term.
	Holder string
	Fence  uint64
	// SendBy is when the order must have been sent, or not be sent at all. Its answer
	// may take longer.
	SendBy time.Time
}

// FleetReply is the platform's reply to an order.
type FleetReply uint8

// The replies of the platform.
const (
	FleetDone FleetReply = iota
	// FleetFenced: a later leader has sent orders for the VM.
	FleetFenced
	// FleetBusy: the VM is not up, or is leaving.
	FleetBusy
	// FleetWrongWave: the VM is not part of that wave.
	FleetWrongWave
	// FleetUnknown: there is no such VM, or it can't go to that pool.
	FleetUnknown
	// FleetRateLimited: too many calls at the moment; nothing was done.
	FleetRateLimited
)

// String names the reply for log lines.
func (a FleetReply) String() string {
	return [...]string{"done", "fence", "busy", "wave", "unknown", "limited"}[a]
}

// isTemporary reports whether the reply says nothing of an earlier call for the same
// order, which may be what the VM is busy with.
func (a FleetReply) isTemporary() bool { return a == FleetBusy || a == FleetRateLimited }

// flight is an order that is in flight, or that was carried out while its VM is
// not back yet.
type flight struct {
	capacity.InFlightOrder
	done bool
	// calls counts the calls, waiting those of them that wait for an answer.
	calls, waiting int
	// retryAt is when an order without a reply is sent again.
	retryAt time.Duration
	// uncertainUntil is until when a call that got no reply may be carried out, 0 without
	// one.
	uncertainUntil time.Duration
}

// completeFlights removes the flights whose VM is back, and marks the workers that
// their orders ended. The platform also answers an order as done that was carried out
// earlier, so only a list that was requested after the answer shows what has ended.
func (d *Dispatcher) completeFlights(now time.Duration) {
	f := d.fleet
	for i := range f.vms {
		vm := &f.vms[i]
		fl := f.flights[vm.ID]
		if fl == nil || !fl.done || f.listedAt <= fl.Sent || vm.State == capacity.Unclear {
			continue
		}
		up := vm.State == capacity.Up && vm.Worker != ""
		switch {
		case up && vm.Worker == fl.Worker:
			d.logFleet(fl.Order, "order to the platform had been carried out before its worker joined")
		case up || vm.State != capacity.Up:
			d.markEnded(fl.Worker)
		}
		parked := fl.Order.Kind == capacity.Move && vm.Pool == fl.Order.Pool && vm.State != capacity.Moving
		if up || parked {
			delete(f.flights, vm.ID)
		}
	}
	for id, fl := range f.flights {
		if fl.done && now-fl.Sent > flightTimeout {
			delete(f.flights, id)
		}
	}
}

// markEnded has the next round remove a worker that an order for its VM has ended.
func (d *Dispatcher) markEnded(id workload.WorkerID) {
	l := d.links[id]
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.endedByOrder {
		l.endedByOrder, l.dirty = true, true
		d.wakeUp()
	}
}

// beginFlight begins an order. The worker stays closed until the VM is back.
func (d *Dispatcher) beginFlight(ctx context.Context, term uint64, o capacity.Order) {
	f := d.fleet
	if f.flights[o.VM] != nil || !f.takeToken(d.now(), d.config.FleetRate) {
		return // the next round decides again
	}
	fl := &flight{InFlightOrder: capacity.InFlightOrder{Order: o, Sent: d.now()}}
	for i := range f.vms {
		if f.vms[i].ID == o.VM {
			fl.Worker = f.vms[i].Worker
		}
	}
	f.flights[o.VM] = fl
	d.sendFlight(ctx, term, fl)
}

// takeToken reports whether one more order keeps within the platform's rate, in
// orders per second for the whole site, and counts it if so.
func (f *fleetState) takeToken(now time.Duration, rate float64) bool {
	rate *= orderRateShare
	f.tokens = min(f.tokens+rate*(now-f.tokensAt).Seconds(), rate/2)
	f.tokensAt = now
	if f.tokens < 1 {
		return false
	}
	f.tokens--
	return true
}

// sendFlight sends an order in the background. Nothing may run on the worker. The
// caller holds the lock until markClosing has marked the worker, so no new start
// is decided; carryOutOrder checks for starts that were decided earlier.
func (d *Dispatcher) sendFlight(ctx context.Context, term uint64, fl *flight) {
	fl.calls++
	fl.waiting++
	fl.retryAt = d.now() + fleetTimeout + fleetRetryPause
	number := fl.calls
	terms := OrderTerms{Holder: d.config.Self, Fence: term, SendBy: time.Now().Add(fleetTimeout)}
	d.spawn(func() {
		limited, cancel := context.WithTimeout(ctx, orderAnswerTimeout)
		defer cancel()
		reply, err := d.carryOutOrder(limited, fl, terms)
		d.mu.Lock()
		fl.waiting--
		settled := d.handleFleetReply(fl, number, reply, err)
		d.mu.Unlock()
		if settled {
			d.commitFleetReply(ctx, term, fl, reply)
		}
	})
}

// carryOutOrder commits that the worker is closed, checks again that it has no
// runs and calls the platform. A start that was decided earlier is either
// committed before the worker is closed, and then found by the check, or refused.
func (d *Dispatcher) carryOutOrder(ctx context.Context, fl *flight, terms OrderTerms) (FleetReply, error) {
	o := fl.Order
	intent := &workload.Command{Term: terms.Fence, Ordered: []workload.VMID{o.VM}, Close: []workload.WorkerID{fl.Worker}}
	if err := d.propose(ctx, intent); err != nil {
		return FleetRateLimited, nil // nothing was ordered; the next round decides again
	}
	if !d.hasNoRuns(fl.Worker) {
		return FleetBusy, nil
	}
	if o.Kind == capacity.Move {
		return d.config.Fleet.Move(ctx, o.VM, o.Pool, terms)
	}
	return d.config.Fleet.Maintain(ctx, o.VM, o.Wave, terms)
}

// hasNoRuns reports whether nothing is committed on a worker.
func (d *Dispatcher) hasNoRuns(id workload.WorkerID) bool {
	empty := true
	d.config.Machine.Read(func(t *workload.Tables) { empty = len(t.Runs[id]) == 0 })
	return empty
}

// handleFleetReply updates a flight after one of its calls. It returns whether the
// reply settles what became of the order.
func (d *Dispatcher) handleFleetReply(fl *flight, number int, reply FleetReply, err error) bool {
	f, now := d.fleet, d.now()
	if fl.done || f.flights[fl.Order.VM] != fl {
		return false // another call was answered first
	}
	if err != nil {
		d.logFleetError("an order to the platform was not answered", err)
	} else {
		d.logFleetReply(fl.Order, reply)
	}
	if err != nil && !workers.NotSent(err) {
		fl.uncertainUntil = now + flightTimeout
	}
	if err != nil || reply.isTemporary() && (fl.waiting > 0 || now < fl.uncertainUntil) {
		// The order may have been carried out, or may still be. Only a reply to
		// another call shows which.
		if number == fl.calls {
			fl.retryAt = now + fleetRetryPause
		}
		return false
	}
	if reply == FleetDone {
		fl.done, fl.Sent = true, now
		return true
	}
	delete(f.flights, fl.Order.VM)
	f.blockedUntil[fl.Order.VM] = now + fleetRetryPause
	return true
}

// commitFleetReply commits the consequences of the reply to an order.
func (d *Dispatcher) commitFleetReply(ctx context.Context, term uint64, fl *flight, reply FleetReply) {
	c := &workload.Command{Term: term}
	if fl.Order.Kind == capacity.Maintain && (reply == FleetDone || reply == FleetUnknown || reply == FleetWrongWave) {
		c.Begun = append(c.Begun, workload.WaveBegun{Wave: fl.Order.Wave, VM: fl.Order.VM})
	}
	if fl.Worker != "" && reply != FleetDone {
		c.Open = append(c.Open, fl.Worker)
	}
	if len(c.Begun)+len(c.Open) == 0 {
		return
	}
	if err := d.propose(ctx, c); err != nil {
		d.logFleetError("what the platform did is not committed; it is asked for again", err)
	}
}

// reopenWorkers opens the workers that are closed without an order for their VM
// in flight, because the commit that should have opened them failed. This
// commit may be applied after a new order for the same VM has begun. link.closing
// then still prevents starts.
func (d *Dispatcher) reopenWorkers(ctx context.Context, term uint64) {
	if d.fleet.reopening || len(d.closedWithoutOrder()) == 0 {
		return
	}
	d.fleet.reopening = true
	d.spawn(func() {
		steady.Pause(ctx, fleetRetryPause) // the commit that opens them may be in flight
		d.mu.Lock()
		c := &workload.Command{Term: term, Open: d.closedWithoutOrder()}
		d.fleet.reopening = false
		d.mu.Unlock()
		if len(c.Open) == 0 {
			return
		}
		if err := d.propose(ctx, c); err != nil {
			d.logFleetError("what the platform did is not committed; it is asked for again", err)
		}
	})
}

// closedWithoutOrder lists the workers that are closed without an order in
// flight.
func (d *Dispatcher) closedWithoutOrder() []workload.WorkerID {
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
