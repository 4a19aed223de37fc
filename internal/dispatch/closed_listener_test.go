package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/workers/standin"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// Guards against a task that runs twice at the same time: its worker drained and had
// closed its listener, and the refused connection was taken for its end.
func TestTasksOfAWorkerThatClosedItsListenerWaitForItsEnd(t *testing.T) {
	for name, notice := range map[string]bool{"draining": false, "notice sent": true} {
		t.Run(name, func(t *testing.T) {
			testLeaving(t, func(is *is.I, sim *simulation, _ *fakeWorker, count int, takeover bool) {
				closed, rest := sim.closeListeners(is, notice, takeover)
				sim.runUntilLapsed(is, closed, rest)
				sim.runWithoutEnds(longestLease)
				is.Equal(sim.violations, nil)
				is.Equal(countRuns(rest), count)
			})
		})
	}
}

// Guards against tasks that run twice: connections to a worker were refused on their way,
// and then the worker reported that it drains.
func TestDrainingReportAfterARefusedConnectionIsNoEnd(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(11)
	sim.faultPercent = 0
	sim.run(200 * time.Millisecond)
	sim.submitJob("j", workload.StepSpec{Count: 40, Need: workload.Resources{CPU: 100}})
	sim.runWithoutEnds(500 * time.Millisecond)
	f := sim.workers[0]
	is.True(len(f.worker.Running()) > 1)
	f.listenerClosed = true
	sim.runWithoutEnds(time.Second)
	f.draining = true
	sim.runWithoutEnds(3 * time.Second)
	is.Equal(sim.violations, nil)
}

// Guards against a task that runs twice at the same time: its worker drained, had closed
// its listener and ran on, and the next worker at its address was taken for its end.
func TestTasksOfAWorkerThatClosedItsListenerWaitBesideItsSuccessor(t *testing.T) {
	testLeaving(t, func(is *is.I, sim *simulation, _ *fakeWorker, count int, takeover bool) {
		closed, _ := sim.closeListeners(is, true, takeover)
		var predecessors []*standin.Worker
		for _, f := range closed {
			predecessors = append(predecessors, sim.succeed(f))
		}
		for until := sim.now + longestLease; sim.now < until; {
			sim.runWithoutEnds(tickInterval)
			sim.breakLapsedGangs(predecessors)
			if countListed(predecessors) > 0 {
				is.Equal(countRuns(sim.workers), 0)
			}
		}
		is.Equal(countListed(predecessors), 0)
		is.Equal(countRuns(sim.workers), count)
	})
}

// succeed starts the next worker at an address. It returns the one before, which runs on.
func (sim *simulation) succeed(f *fakeWorker) *standin.Worker {
	predecessor := f.worker
	sim.startIncarnation(f)
	predecessor.Terminated = false
	return predecessor
}

// breakLapsedGangs expires the leases of workers without an address, and ends the other
// members of the gangs that lost one.
func (sim *simulation) breakLapsedGangs(all []*standin.Worker) {
	for _, w := range all {
		running := w.Running()
		w.Expire(sim.now)
		for _, run := range running[len(w.Running()):] {
			sim.breakGang(run)
		}
	}
}

// countListed returns how many runs some workers hold.
func countListed(all []*standin.Worker) int {
	n := 0
	for _, w := range all {
		n += len(w.Running())
	}
	return n
}

// Guards against tasks that wait for a lease to expire although their worker crashed and
// the next one at its address has answered.
func TestTasksOfAWorkerThatCrashedAreHandedOverToItsSuccessor(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(11)
	sim.faultPercent = 0
	sim.run(200 * time.Millisecond)
	sim.submitJob("j", leavingSteps["task"])
	sim.runWithoutEnds(200 * time.Millisecond)
	for _, f := range sim.workers {
		if len(f.worker.Running()) > 0 {
			sim.terminate(f)
			sim.startIncarnation(f)
		}
	}
	is.Equal(countRuns(sim.workers), 0)
	sim.runWithoutEnds(handOverTime)
	is.Equal(sim.violations, nil)
	is.Equal(countRuns(sim.workers), 1)
}

// Guards against tasks that wait for a long lease to expire although their worker announced
// its end long before it.
func TestTasksOfAWorkerThatEndedWhileItDrainedWaitForAShortLease(t *testing.T) {
	for _, name := range []string{"long-running", "gang"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim, f := newLeavingSite(t, leavingSteps[name], 0)
			sim.runWithoutEnds(sim.leader.config.Lease)
			is.Equal(len(f.worker.Running()), 1)
			sim.terminate(f)
			sim.runWithoutEnds(drainingLease + expiryMargin + unresponsiveAfterFailures + handOverTime)
			is.Equal(sim.violations, nil)
			is.Equal(sim.runningElsewhere(f), leavingSteps[name].Count)
		})
	}
}

// closeListeners has all workers with runs drain, and their addresses refuse connections
// from now on. It returns these workers and the rest.
func (sim *simulation) closeListeners(is *is.I, notice, takeover bool) (closed, rest []*fakeWorker) {
	for _, f := range sim.workers {
		if len(f.worker.Running()) == 0 {
			rest = append(rest, f)
			continue
		}
		closed = append(closed, f)
		f.draining, f.listenerClosed = true, true
		sim.report(f)
		if notice {
			is.NoErr(sim.sendNotice(f.worker.ID))
		}
	}
	if takeover {
		sim.elect()
	}
	return closed, rest
}

// runUntilLapsed simulates a site until the runs on some workers have lapsed. Nothing may
// start on the rest before.
func (sim *simulation) runUntilLapsed(is *is.I, closed, rest []*fakeWorker) {
	running := closed[0].worker.Running()
	for until := sim.now + longestLease; sim.now < until && countRuns(closed) > 0; {
		is.Equal(countRuns(rest), 0)
		sim.runWithoutEnds(tickInterval)
		is.Equal(sim.violations, nil)
		if len(closed[0].worker.Running()) == 0 {
			sim.breakGang(running[0])
		}
	}
	is.Equal(countRuns(closed), 0)
}

// countRuns returns how many runs some workers hold.
func countRuns(of []*fakeWorker) int {
	n := 0
	for _, f := range of {
		n += len(f.worker.Running())
	}
	return n
}

// Guards against a task that runs twice because the address of its worker, which drains
// or leaves, refuses connections for a while or until the worker ends.
func TestWorkersThatCloseTheirListenersKeepTheInvariants(t *testing.T) {
	simulateSeeds(t, (*simulation).useClosedListeners)
}

// Guards against faults that only show together with addresses that refuse connections.
func TestClosedListenersBesideOtherFaultsKeepTheInvariants(t *testing.T) {
	simulateFirstSeeds(t, seeds(t)/4, func(sim *simulation) {
		sim.useClosedListeners()
		sim.unreadablePercent, sim.refusePercent, sim.unclearPercent = 5, 10, 10
		sim.limitEnds(2)
		sim.stopEnds(workerStopTime)
		sim.addPlatform()
	})
}

// useClosedListeners has workers leave and close their listeners, with runs all the while.
func (sim *simulation) useClosedListeners() {
	sim.leaves, sim.closesListeners = true, true
	sim.keepBusy()
}

// keepBusy has most workers hold runs at most times.
func (sim *simulation) keepBusy() { sim.maxJobs, sim.calmPercent = 150, 75 }
