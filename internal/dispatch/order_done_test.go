package dispatch

import (
	"context"
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

// slowFleet is a platform whose answers come when the test sends them.
type slowFleet struct {
	Fleet
	answers chan FleetReply
}

func (f *slowFleet) Maintain(context.Context, workload.VMID, int64, OrderTerms) (FleetReply, error) {
	return <-f.answers, nil
}

// Guards against VMs that stay closed, and waves that never end, because the platform
// takes longer to answer than the leader waits before it orders again.
func TestAnswerThatComesAfterARetryIsUsed(t *testing.T) {
	for name, answers := range map[string][]FleetReply{
		"the first call is answered first": {FleetDone, FleetBusy},
		"the retry is answered first":      {FleetBusy, FleetDone},
		"the retry is one call too many":   {FleetRateLimited, FleetDone},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim, f := newSiteWithAPlatform()
			sim.apply(&workload.Command{AtMS: sim.now.Milliseconds(), Wave: &workload.Wave{ID: 3, VMs: []workload.WaveVM{{ID: "m-0"}}}})
			slow := &slowFleet{answers: make(chan FleetReply)}
			d := sim.leader
			d.config.Fleet, d.spawn = slow, func(call func()) { d.group.Go(call) }
			fl := &flight{InFlightOrder: capacity.InFlightOrder{Order: capacity.Order{Kind: capacity.Maintain, VM: "m-0", Wave: 3}, Worker: f.worker.ID}}
			d.fleet.flights["m-0"] = fl
			for range answers {
				d.mu.Lock()
				d.sendFlight(t.Context(), sim.term, fl)
				d.mu.Unlock()
			}
			for _, answer := range answers {
				slow.answers <- answer
			}
			d.group.Wait()
			is.True(fl.done)
			sim.machine.Read(func(tables *workload.Tables) { is.True(tables.Waves[3].VMs[0].Begun) })
		})
	}
}

// Guards against workers that are never used again, beside orders that are repeated by
// later leaders, carried out late, or whose replies are lost.
func TestOrdersForVMsKeepTheInvariants(t *testing.T) {
	simulateSeeds(t, func(sim *simulation) { sim.addPlatform() })
}
