package dispatch

import (
	"testing"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/capacity"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// newSiteWithAPlatform returns a site without random faults whose first worker is
// known. The platform has maintained its VM in wave 1.
func newSiteWithAPlatform() (*simulation, *fakeWorker) {
	sim, f := newSiteWithAnIdleWorker()
	sim.addPlatform().vms[0].maintained[1] = true
	return sim, f
}

// Guards against jobs that are never started: the platform answers an order that an
// earlier leader sent as done, and the worker that has joined since was taken for ended.
func TestWorkerThatJoinedAfterAnOrderWasDoneIsUsed(t *testing.T) {
	for name, order := range map[string]capacity.Order{
		"maintenance": {Kind: capacity.Maintain, VM: "m-0", Wave: 1},
		"move":        {Kind: capacity.Move, VM: "m-0", Pool: "p"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim, f := newSiteWithAPlatform()
			sim.order(order)
			sim.elect()
			sim.report(f)
			sim.order(order)
			sim.runFleetRounds()
			sim.report(f)
			sim.machine.Read(func(tables *workload.Tables) { is.True(tables.Workers[f.worker.ID] != nil) })
			sim.submitJob("j", workload.StepSpec{Count: 1, Need: workload.Resources{CPU: 1}})
			for range 3 {
				sim.stepWorker(f)
			}
			is.Equal(len(f.worker.Running()), 1)
		})
	}
}

// Guards against a worker that a late report brings back after an order for its VM has
// ended it.
func TestLateReportDoesNotBringBackAWorkerThatAnOrderEnded(t *testing.T) {
	for name, order := range map[string]capacity.Order{
		"maintenance": {Kind: capacity.Maintain, VM: "m-0", Wave: 2},
		"move":        {Kind: capacity.Move, VM: "m-0", Pool: "q"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim, f := newSiteWithAPlatform()
			ended := f.worker.ID
			sim.order(order)
			sim.runFleetRounds()
			f.restartAt = 0
			sim.report(f)
			sim.machine.Read(func(tables *workload.Tables) { is.Equal(tables.Workers[ended], nil) })
		})
	}
}

// Guards against workers that are never used again, beside orders that are repeated by
// later leaders, carried out late, or whose replies are lost.
func TestOrdersForVMsKeepTheInvariants(t *testing.T) {
	simulateSeeds(t, func(sim *simulation) { sim.addPlatform() })
}
