package dispatch

import (
	"testing"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// settle stops all faults and lets the remaining work finish.
func (sim *simulation) settle() {
	sim.faultPercent, sim.unreadablePercent, sim.refusePercent, sim.unclearPercent = 0, 0, 0, 0
	sim.callsOverlap, sim.lateReportPercent = false, 0
	for _, f := range sim.workers {
		f.partitioned, f.listenerClosed = false, false
		if f.draining && f.restartAt == 0 {
			sim.leave(f, true)
		}
	}
	endAll := func(f *fakeWorker) {
		for _, r := range f.worker.Running() {
			f.worker.End(r, workload.EndDone)
		}
	}
	for range 600 {
		if sim.platform != nil {
			sim.fleetRound()
		}
		sim.tick(tickInterval, endAll)
	}
}

func TestLeaderKeepsItsInvariants(t *testing.T) { simulateSeeds(t, func(*simulation) {}) }

// Guards against a task that runs twice because its worker has announced its end and
// runs on.
func TestLeavingWorkersKeepTheInvariants(t *testing.T) {
	simulateSeeds(t, func(sim *simulation) { sim.leaves = true })
}

// Guards against a task that runs twice at the same time, and against a lost
// end whose task never ends. One list in ten has an unreadable row. If "could
// not be read" is taken for "absent", the run in that row is released and
// started elsewhere, or a later end is acknowledged and the worker drops the
// one that was not read.
func TestUnreadableRowsAreNotTakenForAbsent(t *testing.T) {
	simulateSeeds(t, func(sim *simulation) { sim.unreadablePercent = 10 })
}

// Guards against a task that is started again after it was done: its end was not yet
// listed, as its worker had more ends than one list holds.
func TestUnlistedEndsAreNotTakenForAbsent(t *testing.T) {
	simulateSeeds(t, func(sim *simulation) { sim.limitEnds(2) })
}

// Guards against faults that only show together: workers leave, list few ends at once
// and list rows that can't be read.
func TestOverlappingFaultsKeepTheInvariants(t *testing.T) {
	simulateSeeds(t, func(sim *simulation) {
		sim.leaves = true
		sim.unreadablePercent = 5
		sim.limitEnds(2)
	})
}

// Guards against a run that is taken for stopped, or never started, because its worker
// has answered: it refused, and had done nothing.
func TestRefusingWorkersKeepTheInvariants(t *testing.T) {
	simulateSeeds(t, func(sim *simulation) { sim.refusePercent = 40 })
}

// Guards against faults that only show together with refused calls.
func TestRefusalsBesideOtherFaultsKeepTheInvariants(t *testing.T) {
	simulateFirstSeeds(t, seeds(t)/4, func(sim *simulation) {
		sim.refusePercent, sim.faultPercent = 25, 24
		sim.leaves, sim.unreadablePercent = true, 5
		sim.limitEnds(2)
	})
}

// Guards against replies that are taken for refusals, while the call is carried out at
// once, later or twice.
func TestUnclearRepliesKeepTheInvariants(t *testing.T) {
	simulateFirstSeeds(t, seeds(t)/4, func(sim *simulation) {
		sim.refusePercent, sim.unclearPercent = 10, 30
		sim.stopEnds(workerStopTime)
	})
}

// stopEnds has all workers take some time to end a run that is stopped or has expired.
func (sim *simulation) stopEnds(after time.Duration) {
	sim.stopTime, sim.knownStopTime, sim.lapseTime = after, after, after
	for _, f := range sim.workers {
		f.worker.StopTime, f.worker.LapseTime = after, after
	}
	sim.elect()
}

// limitEnds bounds the ends that all workers list at once.
func (sim *simulation) limitEnds(n int) {
	sim.endsPerList = n
	for _, f := range sim.workers {
		f.worker.EndsPerList = n
	}
}

// simulateSeeds simulates all seeds of a run with the faults that prepare switches on.
func simulateSeeds(t *testing.T, prepare func(*simulation)) {
	simulateFirstSeeds(t, seeds(t), prepare)
}

// simulateFirstSeeds simulates a number of seeds with the faults that prepare switches on.
func simulateFirstSeeds(t *testing.T, count int, prepare func(*simulation)) {
	t.Parallel()
	for seed := range uint64(count) {
		sim := newSimulation(seed)
		prepare(sim)
		for i := range 4000 {
			sim.step()
			if len(sim.violations) > 0 {
				t.Fatalf("seed %d, step %d: %s", seed, i, sim.violations[0])
			}
		}
		sim.settle()
		if len(sim.violations) > 0 {
			t.Fatalf("seed %d, after the faults: %s", seed, sim.violations[0])
		}
		sim.machine.Read(func(tables *workload.Tables) {
			for _, id := range sim.jobs {
				if j := tables.Jobs[id]; !j.State.Final() {
					t.Fatalf("seed %d: job %s is %s at the end", seed, id, j.State)
				}
			}
			for _, f := range sim.workers {
				if w := tables.Workers[f.worker.ID]; f.restartAt == 0 && (w == nil || w.Closed) {
					t.Fatalf("seed %d: worker %s is up and not used at the end: %+v", seed, f.worker.ID, w)
				}
			}
		})
	}
}
