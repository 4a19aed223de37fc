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
