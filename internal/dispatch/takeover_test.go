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

// Symptom: two leaders order one VM within the time that is to lie between them.
// Sequence: the first commits an intent and sends the order up to fleetTimeout
// later; the second begins in between and learns of the intent late. Cause: the
// second counted from the intent and not from the last instant at which the order
// can have left.
func TestTwoLeadersLeaveTheTakeOverTimeBetweenThem(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	upTo := func(d time.Duration) time.Duration { return time.Duration(random.Int64N(int64(d))) }
	tables := &workload.Tables{Learnt: map[workload.MachineID]time.Duration{}}
	for range 100_000 {
		committed := time.Hour
		began := committed + upTo(10*time.Second)
		sent := min(committed+upTo(fleetTimeout), began)
		tables.Learnt["m"] = committed + upTo(5*time.Second) // also after the next began
		if last := lastPossibleOrder(tables, "m", began); last < sent {
			t.Fatalf("sent at %v, began at %v, learnt at %v: %v", sent, began, tables.Learnt["m"], last)
		}
	}
}

// Symptom: after each change of leader no VM moves for three seconds, while a pool
// in its peak lacks a third of what it needs. Sequence: each VM was ordered within
// the last seconds; the leader is killed. Cause: every VM was left alone from the
// next leader's beginning on, however long ago its last order can have left.
func TestVMsOrderedLongBeforeTheTakeOverMoveAtOnce(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	w.machine.SetClock(func() time.Duration { return w.now })
	order := func(machine workload.MachineID) {
		w.apply(&workload.Command{AtMS: w.now.Milliseconds(), Ordered: []workload.MachineID{machine}})
	}
	order("old")
	w.now += 5 * time.Second
	order("late")
	w.now += 1500 * time.Millisecond
	order("just")
	w.now += 100 * time.Millisecond
	d := w.leader
	d.config.TakeOver = 3 * time.Second
	d.fleet = newFleetState(w.now, &capacity.Demand{})
	d.respectLastLeader(w.now)
	_, waits := d.fleet.refused["old"]
	is.True(!waits)
	is.Equal(d.fleet.refused["late"], w.now-1600*time.Millisecond+fleetTimeout+3*time.Second)
	is.Equal(d.fleet.refused["just"], w.now+3*time.Second)

	// A process that got the orders with a snapshot knows no more than when.
	image, err := w.machine.Snapshot()
	is.NoErr(err)
	other := workload.NewMachine()
	other.SetClock(func() time.Duration { return w.now })
	is.NoErr(other.Restore(image))
	other.Read(func(t *workload.Tables) { is.Equal(t.Learnt["old"], w.now) })
}

// lateFleet is a platform that looks how long an order may take to leave.
type lateFleet struct {
	Fleet
	left time.Duration
}

func (f *lateFleet) Move(ctx context.Context, _ workload.MachineID, _, _ string, _ uint64) (FleetAnswer, error) {
	if deadline, bounded := ctx.Deadline(); bounded {
		f.left = time.Until(deadline)
	}
	return FleetDone, nil
}

// Symptom: an order reaches the platform after the next leader has counted it as
// over. Sequence: an intent is committed, the call hangs and goes out late. Cause: a
// call whose time does not begin before its intent is committed.
func TestAnOrderLeavesWithinTheTimeThatSuccessorsCountOn(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	w.trouble = 0
	f := &lateFleet{}
	d := w.leader
	d.config.Fleet, d.group = f, &conc.WaitGroup{}
	d.fleet = newFleetState(w.now, &capacity.Demand{})
	d.callFleet(t.Context(), w.term, &flight{InFlightOrder: capacity.InFlightOrder{Order: capacity.Order{Kind: capacity.Move, Machine: "m", Pool: "p"}}})
	d.group.Wait()
	is.True(f.left > 0 && f.left <= fleetTimeout)
}
