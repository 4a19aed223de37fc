package dispatch

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/capacity"
	"github.com/comfreyloom/comfreyloom/internal/control"
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
