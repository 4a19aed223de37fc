package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/capacity"
	"github.com/comfreyloom/comfreyloom/internal/control"
	"github.com/comfreyloom/comfreyloom/internal/workers"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// A report in the name of a known worker for a service that is not configured
// must not remove the worker and its runs from their pool. It did when a worker
// was allowed to change its pool.
func TestReportForUnknownPoolIsIgnored(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1)
	sim.faultPercent = 0
	f := sim.workers[0]
	sim.report(f)
	stray := control.Report{
		Worker:   workload.Worker{ID: f.worker.ID, Pool: "other", Address: f.address, Draining: true},
		Sequence: 99, ClockMS: 1,
	}
	is.NoErr(sim.leader.Report(context.Background(), stray))
	sim.machine.Read(func(tables *workload.Tables) {
		is.Equal(tables.Workers[f.worker.ID].Pool, "p")
		is.True(!tables.Workers[f.worker.ID].Draining)
	})
	is.Equal(sim.leader.links[f.worker.ID].sequence, uint64(1))
}

// Guards against a worker that is taken for ended because a program that is no worker
// reports under its ID: that it drains, from an address at which nothing listens.
func TestReportFromAnotherAddressIsIgnored(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1)
	sim.faultPercent = 0
	f := sim.workers[0]
	sim.report(f)
	stray := control.Report{
		Worker:   workload.Worker{ID: f.worker.ID, Pool: "p", Address: "10.9.9.9:80", Draining: true},
		Sequence: 1 << 53, ClockMS: 1,
	}
	is.NoErr(sim.leader.Report(context.Background(), stray))
	sim.elect()
	sim.submitJob("j", workload.StepSpec{Count: 1, Need: workload.Resources{CPU: 1}})
	for range 4 {
		sim.stepWorker(f)
	}
	is.Equal(len(f.worker.Running()), 1)
}

// stepWorker runs one round of the leader and the calls to a worker. The other workers
// never report.
func (sim *simulation) stepWorker(f *fakeWorker) {
	sim.advance(10 * time.Millisecond)
	sim.report(f)
	l := sim.leader.links[f.worker.ID]
	sim.leader.round(context.Background(), sim.term)
	for c, ok := l.nextCall(); ok; c, ok = l.nextCall() {
		l.perform(context.Background(), c)
	}
	if l.mustHold() {
		l.hold(context.Background())
	}
}

// Guards against a done task that is started again: its end was in one list, and in a
// row of the next one that could not be read, before the leader committed it.
func TestEndInARowThatBecomesUnreadableIsKept(t *testing.T) {
	for name, takeover := range map[string]bool{"the leader that started it": false, "a new leader": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(1)
			sim.faultPercent = 0
			f := sim.workers[0]
			sim.stepWorker(f)
			sim.submitJob("j", workload.StepSpec{Count: 1, Need: workload.Resources{CPU: 1}})
			for range 4 {
				sim.stepWorker(f)
			}
			is.Equal(len(f.worker.Running()), 1)
			if takeover {
				sim.elect()
				sim.report(f)
			}
			f.worker.End(f.worker.Running()[0], workload.EndDone)
			sim.advance(10 * time.Millisecond)
			l := sim.leader.links[f.worker.ID]
			l.hold(context.Background())
			l.recordUnreadableEnd()
			f.restartAt = sim.now + time.Hour // calls fail
			for range 2 {
				sim.leader.round(context.Background(), sim.term)
				for c, ok := l.nextCall(); ok; c, ok = l.nextCall() {
					l.perform(context.Background(), c)
				}
			}
			sim.machine.Read(func(tables *workload.Tables) { is.Equal(len(tables.Runs[f.worker.ID]), 1) })
			f.restartAt = 0
			for range 3 {
				sim.stepWorker(f)
			}
			is.Equal(len(f.worker.Running()), 0)
			is.Equal(sim.stateOf("j"), workload.JobCompleted)
		})
	}
}

// recordUnreadableEnd records a list without runs whose only row can't be read.
func (l *link) recordUnreadableEnd() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.d.now()
	l.recordList(workers.List{Reply: workers.Reply{ClockMS: l.lease.clockMS}, UnreadableRows: 1}, now)
}

// VMs must not be moved into a pool that lost none. This happened when the row
// of one of its VMs could not be read in one list and the VM counted as lost.
func TestVMWithUnreadableRowKeepsItsPool(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1)
	d := sim.leader
	d.fleet = newFleetState(sim.now, nil)
	d.fleet.vms = []capacity.VM{
		{ID: "m-1", Pool: "p", State: capacity.Up, Worker: "i-1"},
		{ID: "m-2", Pool: "p", State: capacity.Up, Worker: "i-2"},
	}
	vms := d.mergeList([]capacity.VM{
		{ID: "m-1", State: capacity.Unclear}, // the same VM listed twice
		{ID: "m-2", State: capacity.Unclear},
		{ID: "m-1", Pool: "q", State: capacity.Up, Worker: "i-3"},
		{ID: "m-9", State: capacity.Unclear}, // never listed before
	})
	is.Equal(vms, []capacity.VM{
		{ID: "m-1", Pool: "q", State: capacity.Up, Worker: "i-3"},
		{ID: "m-2", Pool: "p", State: capacity.Unclear, Worker: "i-2"},
	})
}
