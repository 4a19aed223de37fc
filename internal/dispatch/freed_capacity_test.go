package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// fillWorker makes one worker run a task that takes all its capacity while
// another task waits.
func fillWorker(sim *simulation) (*fakeWorker, *link) {
	sim.faultPercent = 0
	f := sim.workers[0]
	sim.report(f)
	l := sim.leader.links[f.worker.ID]
	for _, id := range []workload.JobID{"first", "next"} {
		sim.apply(&workload.Command{Submit: []workload.Submit{{ID: id, Queue: workload.QueueID{Host: "h", Prefix: "/q/"},
			Spec: workload.JobSpec{Steps: []workload.StepSpec{{Count: 1, Need: f.worker.Capacity}}}}}})
	}
	ctx := context.Background()
	for range 5 {
		sim.now += 10 * time.Millisecond
		l.hold(ctx)
		sim.leader.round(ctx, sim.term)
		for c, ok := l.nextCall(); ok; c, ok = l.nextCall() {
			l.perform(ctx, c)
		}
	}
	return f, l
}

// A core must not stay idle for the time of a commit between two tasks at peak
// load. This happened on a full worker with waiting tasks while the capacity of
// an ended task was reused only after the commit that recorded its end.
func TestCapacityIsReusedInTheCommitOfTheEnd(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(3)
	f, l := fillWorker(sim)
	is.Equal(len(f.worker.Running()), 1)
	first := f.worker.Running()[0]
	f.worker.End(first, workload.EndDone)
	l.hold(context.Background())
	before := sim.index
	sim.leader.round(context.Background(), sim.term)
	is.Equal(sim.index, before+1)
	sim.machine.Read(func(t *workload.Tables) {
		is.Equal(len(t.Runs[f.worker.ID]), 1)
		is.True(!t.Runs[f.worker.ID][first])
		is.Equal(t.Used[f.worker.ID], f.worker.Capacity)
	})
}

// A worker must not get more runs than fit its capacity. This can happen when a
// run both ends and is released, or when an end is listed for a run that is not
// committed there: its capacity would be counted twice, or without ever having
// been taken.
func TestFreedCapacityIsCountedOnce(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(3)
	f, _ := fillWorker(sim)
	run := f.worker.Running()[0]
	other := run
	other.Attempt++
	command := &workload.Command{
		Ends:     []workload.End{{Worker: f.worker.ID, Number: 1, Run: run}, {Worker: f.worker.ID, Number: 2, Run: other}},
		Releases: []workload.Release{{Worker: f.worker.ID, Run: run}},
	}
	sim.machine.Read(func(t *workload.Tables) {
		is.Equal(freedCapacity(t, command)[f.worker.ID], f.worker.Capacity)
	})
}
