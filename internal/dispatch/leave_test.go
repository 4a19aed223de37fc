package dispatch

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/workers/standin"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

const (
	// leaveTimeout is how long a leaving worker runs without an acknowledgement.
	leaveTimeout = 3 * time.Second
	// leaveRetryInterval is the time between two notices.
	leaveRetryInterval = time.Second
	// handOverTime bounds the time from the end of a worker that left until its tasks
	// run elsewhere, in simulated rounds of tickInterval.
	handOverTime = 4 * tickInterval
	// longestLease is how long a worker of the simulation can hold a lease that a leader
	// knows of, by a slow clock.
	longestLease = 7 * time.Second
)

// drainOrLeave has a worker drain, or send the notice that it ends if it drains.
func (sim *simulation) drainOrLeave(f *fakeWorker) {
	switch {
	case f.restartAt > 0:
	case !f.draining:
		f.draining = !sim.staysCalm()
		f.listenerClosed = f.draining && sim.closesListeners && sim.chance(30)
		sim.report(f)
	case sim.closesListeners && sim.chance(50):
		f.listenerClosed = !f.listenerClosed
	default:
		f.listenerClosed = f.listenerClosed || sim.closesListeners && sim.chance(50)
		sim.leave(f, !sim.chance(30))
	}
}

// leave sends a worker's notice that it ends. It ends at once if the acknowledgement
// arrives.
func (sim *simulation) leave(f *fakeWorker, ackArrives bool) {
	if f.leavesBy == 0 {
		f.leavesBy = sim.now + leaveTimeout
	}
	if sim.sendNotice(f.worker.ID) == nil && ackArrives && !f.partitioned {
		sim.crash(f)
	}
}

// sendNotice passes a worker's notice to the leader, again as control does while its runs
// are being stopped.
func (sim *simulation) sendNotice(id workload.WorkerID) error {
	for until := sim.now + time.Second; ; {
		err := sim.leader.Leave(context.Background(), id)
		if !errors.Is(err, errRunsLeft) || sim.now >= until {
			return err
		}
	}
}

// endLeaving ends the workers that left without an acknowledgement.
func (sim *simulation) endLeaving() {
	for _, f := range sim.workers {
		if f.leavesBy > 0 && f.restartAt == 0 && sim.now >= f.leavesBy {
			sim.crash(f)
		}
	}
}

// leavingSteps are the kinds of steps whose tasks a leaving worker may hold.
var leavingSteps = map[string]workload.StepSpec{
	"task":         {Count: 1, Need: workload.Resources{CPU: 100}},
	"long-running": {Count: 1, Need: workload.Resources{CPU: 100}, LongRunning: true},
	"gang":         {Count: 2, Need: workload.Resources{CPU: 100}, Gang: true, MaxPerWorker: 1},
}

// newLeavingSite returns a site without random faults in which the first worker
// holds a run of a job "j" and drains. Runs take stopTime to stop.
func newLeavingSite(t *testing.T, step workload.StepSpec, stopTime time.Duration) (*simulation, *fakeWorker) {
	t.Helper()
	sim := newSimulation(11)
	sim.faultPercent = 0
	sim.stopEnds(stopTime)
	sim.onStop = func(_ *standin.Worker, run workload.RunRef) { sim.breakGang(run) }
	sim.run(200 * time.Millisecond)
	sim.submitJob("j", step)
	sim.run(200 * time.Millisecond)
	for _, f := range sim.workers {
		if len(f.worker.Running()) > 0 {
			f.draining = true
			sim.report(f)
			return sim, f
		}
	}
	t.Fatal("the job has not started")
	return nil, nil
}

// runningElsewhere returns how many runs all workers but one hold.
func (sim *simulation) runningElsewhere(than *fakeWorker) int {
	n := 0
	for _, f := range sim.workers {
		if f != than {
			n += len(f.worker.Running())
		}
	}
	return n
}

// testLeaving runs a test for each kind of step, with and without a change of leader
// after the notice.
func testLeaving(t *testing.T, test func(is *is.I, sim *simulation, f *fakeWorker, count int, takeover bool)) {
	for name, step := range leavingSteps {
		for suffix, takeover := range map[string]bool{"": false, ", new leader": true} {
			for _, stopTime := range []time.Duration{0, workerStopTime} {
				t.Run(fmt.Sprintf("%s%s, stops take %v", name, suffix, stopTime), func(t *testing.T) {
					sim, f := newLeavingSite(t, step, stopTime)
					test(is.New(t), sim, f, step.Count, takeover)
				})
			}
		}
	}
}

// Guards against a task that runs twice at the same time: a worker said that it ends,
// its tasks were started elsewhere at once, and without an acknowledgement it ran on
// for seconds.
func TestTasksOfALeavingWorkerWaitForItsEnd(t *testing.T) {
	testLeaving(t, func(is *is.I, sim *simulation, f *fakeWorker, count int, takeover bool) {
		others := sim.runningElsewhere(f)
		f.partitioned = true
		for range leaveTimeout / leaveRetryInterval {
			next := sim.now + leaveRetryInterval
			is.NoErr(sim.sendNotice(f.worker.ID))
			if takeover {
				sim.elect()
			}
			sim.runWithoutEnds(next - sim.now)
			is.Equal(sim.violations, nil)
			is.Equal(len(f.worker.Running()), 1)
			is.Equal(sim.runningElsewhere(f), others)
		}
		f.partitioned = false
		sim.terminate(f)
		sim.runWithoutEnds(longestLease)
		is.Equal(sim.violations, nil)
		is.Equal(sim.runningElsewhere(f), count)
	})
}

// Guards against tasks that wait for a lease to expire although their worker has left
// with an acknowledgement.
func TestTasksOfAWorkerThatLeftAreHandedOverAtOnce(t *testing.T) {
	testLeaving(t, func(is *is.I, sim *simulation, f *fakeWorker, count int, takeover bool) {
		is.NoErr(sim.sendNotice(f.worker.ID))
		sim.terminate(f)
		if takeover {
			sim.elect()
		}
		sim.runWithoutEnds(handOverTime)
		is.Equal(sim.violations, nil)
		is.Equal(sim.runningElsewhere(f), count)
		sim.machine.Read(func(tables *workload.Tables) {
			is.Equal(tables.Workers[f.worker.ID], nil)
			is.Equal(len(tables.Suspects), 0)
		})
	})
}

// Guards against a worker that left with nothing on it and stays in the state.
func TestIdleWorkerThatLeavesIsRemovedWithItsNotice(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(11)
	sim.faultPercent = 0
	f := sim.workers[0]
	sim.report(f)
	is.NoErr(sim.sendNotice(f.worker.ID))
	sim.report(f) // one that was delayed
	sim.machine.Read(func(tables *workload.Tables) { is.Equal(tables.Workers[f.worker.ID], nil) })
}
