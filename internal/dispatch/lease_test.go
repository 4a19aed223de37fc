package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// Guards against a task that runs twice at the same time: the lease of a worker that was
// that answers nothing has expired, and the worker takes as long to end its runs as for a stop.
func TestTaskWaitsUntilItsRunHasLapsed(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1)
	sim.faultPercent, sim.knownStopTime = 0, workerStopTime
	sim.elect()
	for _, f := range sim.workers {
		f.worker.LapseTime, f.worker.ClockRate = workerStopTime, slowestClockRate
	}
	sim.runWithoutEnds(200 * time.Millisecond)
	sim.submitJob("j", workload.StepSpec{Count: 1, Need: workload.Resources{CPU: 1500}})
	sim.runWithoutEnds(time.Second)
	first := sim.workers[slices.IndexFunc(sim.workers, func(f *fakeWorker) bool { return len(f.worker.Running()) > 0 })]
	sim.decideFor = first
	sim.decide = func(callKind) fate { return fate{late: 300 * time.Millisecond} } // the worker takes each grant
	for until := sim.now + 8*time.Second; sim.now < until; {
		sim.tick(minRoundInterval, func(*fakeWorker) {})
	}
	is.Equal(sim.violations, nil)
	is.Equal(sim.runningElsewhere(first), 1)
}

// slowWorkerClock is the rate of a worker's clock that is 2 % slow.
const slowWorkerClock = 0.98

// Guards against a task that runs twice because the leases of its worker were taken for
// expired too soon. Its clock is slow, its reports arrive late, it takes its full time to
// end lapsed runs, and it carries calls out late or never, without a reply.
func TestTasksOfAWorkerThatIsCutOffWaitForItsLeases(t *testing.T) {
	t.Parallel()
	for seed := range uint64(seeds(t) / 2) {
		is := is.New(t)
		sim, f := newSiteWithSlowClocks(t, seed)
		others, maxLate := sim.runningElsewhere(f), 1+sim.random.IntN(1300)
		sim.decideFor = f
		sim.decide = func(callKind) fate {
			if sim.chance(30) {
				return fate{late: time.Hour}
			}
			return fate{late: time.Duration(1+sim.random.IntN(maxLate)) * time.Millisecond}
		}
		if sim.chance(30) {
			sim.runFinely(time.Duration(sim.random.IntN(5000)) * time.Millisecond)
			sim.elect()
		}
		sim.runFinely(10 * time.Second)
		if len(sim.violations) > 0 {
			t.Fatalf("seed %d: %s", seed, sim.violations[0])
		}
		is.True(sim.runningElsewhere(f) > others)
	}
}

// newSiteWithSlowClocks returns a site without random faults whose workers have the slowest
// clocks and end runs slowly, and a worker with a run. Some reports may arrive late.
func newSiteWithSlowClocks(t *testing.T, seed uint64) (*simulation, *fakeWorker) {
	t.Helper()
	sim := newSimulation(seed)
	sim.faultPercent = 0
	sim.stopEnds(workerStopTime)
	for _, f := range sim.workers {
		f.worker.ClockRate = slowWorkerClock
	}
	sim.runFinely(time.Second)
	if sim.chance(50) {
		sim.lateReportPercent = 97
	}
	sim.submitJob("j", workload.StepSpec{Count: 2, Need: workload.Resources{CPU: 1500}, LongRunning: true})
	sim.runFinely(time.Duration(500+sim.random.IntN(3000)) * time.Millisecond)
	for _, f := range sim.workers {
		if len(f.worker.Running()) > 0 {
			return sim, f
		}
	}
	t.Fatalf("seed %d: the job has not started", seed)
	return nil, nil
}

// runFinely simulates a site on which no run ends by itself, at the leader's own pace.
func (sim *simulation) runFinely(length time.Duration) {
	for until := sim.now + length; sim.now < until; {
		sim.tick(minRoundInterval, func(*fakeWorker) {})
	}
}
