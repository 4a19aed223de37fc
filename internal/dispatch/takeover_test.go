package dispatch

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/comfreyloom/comfreyloom/internal/capacity"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// Two leaders must not order one VM within the take-over delay. The first
// leader commits an intent and sends the order up to fleetTimeout later. The
// second begins in between and learns of the intent late. The fault was that
// the second counted from the intent and not from the last instant at which the
// order can have been sent.
func TestLatestOrderTimeIsNotBeforeTheOrder(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	upTo := func(d time.Duration) time.Duration { return time.Duration(random.Int64N(int64(d))) }
	tables := &workload.Tables{OrderAppliedAt: map[workload.VMID]time.Duration{}}
	for range 100_000 {
		committed := time.Hour
		began := committed + upTo(10*time.Second)
		sent := min(committed+upTo(fleetTimeout), began)
		tables.OrderAppliedAt["m"] = committed + upTo(5*time.Second) // also after the next leader began
		if last := latestOrderTime(tables, "m", began); last < sent {
			t.Fatalf("sent at %v, term began at %v, learnt at %v: latest order time %v", sent, began, tables.OrderAppliedAt["m"], last)
		}
	}
}

// A change of leader must not block VMs whose last order was certainly sent
// before the take-over delay. The fault was that a new leader counted the delay
// from the start of its term for every VM ordered in the last seconds. On a busy
// site that was all of them: for three seconds none moved, and a pool at its peak
// lacked a third of the capacity that it needed.
func TestVMsOrderedLongBeforeTakeOverMoveAtOnce(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1)
	sim.machine.SetClock(func() time.Duration { return sim.now })
	order := func(id workload.VMID) {
		sim.apply(&workload.Command{AtMS: sim.now.Milliseconds(), Ordered: []workload.VMID{id}})
	}
	order("old")
	sim.now += 5 * time.Second
	order("late")
	sim.now += 1500 * time.Millisecond
	order("just")
	sim.now += 100 * time.Millisecond
	d := sim.leader
	d.config.TakeOverDelay = 3 * time.Second
	d.fleet = newFleetState(sim.now, &capacity.Demand{})
	d.blockRecentlyOrdered(sim.now)
	_, blocked := d.fleet.blockedUntil["old"]
	is.True(!blocked)
	is.Equal(d.fleet.blockedUntil["late"], sim.now-1600*time.Millisecond+fleetTimeout+3*time.Second)
	is.Equal(d.fleet.blockedUntil["just"], sim.now+3*time.Second)

	// A process that received the orders in a snapshot knows no earlier time than
	// that of the snapshot.
	snapshot, err := sim.machine.Snapshot()
	is.NoErr(err)
	other := workload.NewMachine()
	other.SetClock(func() time.Duration { return sim.now })
	is.NoErr(other.Restore(snapshot))
	other.Read(func(t *workload.Tables) { is.Equal(t.OrderAppliedAt["old"], sim.now) })
}

// deadlineFleet is a platform that records how much time an order has left
// before it must be sent.
type deadlineFleet struct {
	Fleet
	timeLeft time.Duration
}

func (f *deadlineFleet) Move(_ context.Context, _ workload.VMID, _ string, terms OrderTerms) (FleetReply, error) {
	f.timeLeft = time.Until(terms.SendBy)
	return FleetDone, nil
}

// An order must not reach the platform after the time from which the next
// leader assumes that it can't arrive any more. This happens when the call hangs
// after the commit of its intent and is sent late, because its timeout does not
// begin before that commit.
func TestOrderIsSentWithinFleetTimeout(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1)
	sim.faultPercent = 0
	f := &deadlineFleet{}
	d := sim.leader
	d.config.Fleet, d.group = f, &conc.WaitGroup{}
	d.fleet = newFleetState(sim.now, &capacity.Demand{})
	d.sendFlight(t.Context(), sim.term, &flight{InFlightOrder: capacity.InFlightOrder{Order: capacity.Order{Kind: capacity.Move, VM: "m", Pool: "p"}}})
	d.group.Wait()
	is.True(f.timeLeft > 0 && f.timeLeft <= fleetTimeout)
}
