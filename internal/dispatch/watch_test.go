package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// newLongRunningSite returns a site that has a long-running step with a task on
// each of two workers.
func newLongRunningSite(t *testing.T) *simulation {
	t.Helper()
	sim := newSimulation(1)
	sim.faultPercent = 0
	sim.workers = sim.workers[:2]
	sim.run(200 * time.Millisecond)
	sim.submitJob("lasts", workload.StepSpec{Count: 2, Need: workload.Resources{CPU: 1500}, LongRunning: true, MaxUnavailable: 1})
	return sim
}

// attempts returns the highest attempt of each task of the long-running job.
func (sim *simulation) attempts() (all []int) {
	sim.machine.Read(func(t *workload.Tables) {
		for _, task := range t.Jobs["lasts"].Occurrences[0].Steps[0].Tasks {
			all = append(all, task.Attempt)
		}
	})
	return all
}

// While a worker's replies don't arrive, nothing is known of the progress of
// its tasks. They must not be stopped as stalled when the worker answers again.
func TestUnresponsivePeriodIsNotAStall(t *testing.T) {
	is := is.New(t)
	sim := newLongRunningSite(t)
	sim.run(300 * time.Millisecond) // its tasks are warming up
	sim.workers[0].partitioned = true
	sim.run(stallTimeout + 300*time.Millisecond)
	sim.workers[0].partitioned = false
	sim.run(3 * time.Second)
	is.Equal(sim.attempts(), []int{1, 1})
}

// A task that hangs is stopped in time.
func TestHangingTaskIsStopped(t *testing.T) {
	is := is.New(t)
	sim := newLongRunningSite(t)
	sim.workers[0].worker.HangRuns, sim.workers[0].worker.HangAtPercent = true, 18
	sim.run(100 * time.Millisecond)
	sim.run(3 * time.Second)
	is.True(len(sim.workers[0].worker.Running()) == 0 || sim.workers[0].worker.Running()[0].Attempt > 1)
}

// A long-running task must not be stopped as stalled while another task of its
// step is unavailable.
func TestStalledTaskWaitsForTheBudgetOfItsStep(t *testing.T) {
	is := is.New(t)
	sim := newLongRunningSite(t)
	sim.run(2 * time.Second)
	is.Equal(sim.attempts(), []int{1, 1})
	sim.crash(sim.workers[1])
	sim.workers[1].restartAt = sim.now + 6*time.Second
	sim.workers[0].worker.HangRuns, sim.workers[0].worker.HangAtPercent = true, 60
	sim.run(5500 * time.Millisecond)
	is.Equal(sim.workers[0].worker.Running()[0].Attempt, 1)
	sim.run(6 * time.Second)
	for _, f := range sim.workers {
		for _, run := range f.worker.Running() {
			is.True(run.Attempt > 1) // the lost one is back, then the hanging one was stopped
		}
	}
}

// Two hanging tasks must not wait for each other forever.
func TestTwoHangingTasksAreStoppedInTurn(t *testing.T) {
	is := is.New(t)
	sim := newLongRunningSite(t)
	sim.run(200 * time.Millisecond)
	for _, f := range sim.workers {
		f.worker.HangRuns, f.worker.HangAtPercent = true, 18
	}
	sim.run(4 * time.Second)
	for _, f := range sim.workers { // the one that was stopped makes progress where it is now
		f.worker.HangRuns = f.worker.Running()[0].Attempt == 1
	}
	sim.run(6 * time.Second)
	got := sim.attempts()
	is.True(got[0] > 1 && got[1] > 1)
}
