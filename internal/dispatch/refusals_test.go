package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/workers"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// lateStart is when a start that got no reply is carried out.
const lateStart = 3 * time.Second

// testRefusedStops has the start of a job get no reply and be carried out late, while the
// first worker refuses each repetition, and the stop for as long as refusing says. The
// workers with an index below known are in use.
func testRefusedStops(t *testing.T, known int, refusal workers.Refusal, refusing time.Duration) *simulation {
	is := is.New(t)
	sim := newSimulation(1)
	sim.faultPercent = 0
	f, others := sim.workers[0], sim.workers[1:known]
	sim.workers = []*fakeWorker{f}
	sim.runWithoutEnds(200 * time.Millisecond)
	starts, until := 0, sim.now+refusing
	sim.decide = func(kind callKind) fate {
		if kind == callStart {
			if starts++; starts == 1 {
				return fate{late: lateStart}
			}
		}
		if kind != callHold && sim.now < until {
			return fate{refusal: refusal}
		}
		return fate{}
	}
	step := workload.StepSpec{Count: 1, Need: workload.Resources{CPU: 1500}}
	sim.submitJob("first", step)
	sim.runWithoutEnds(200 * time.Millisecond)
	is.Equal(starts > 1, true) // the start was repeated
	sim.workers = append(sim.workers, others...)
	sim.submitJob("second", step)
	sim.runWithoutEnds(refusing)
	sim.decide = nil
	sim.runWithoutEnds(lateStart)
	is.Equal(sim.violations, nil)
	return sim
}

// Guards against a worker that is started beyond its capacity: it refused to stop a run
// whose start was still to be carried out, and the run's capacity was given away.
func TestRefusedStopKeepsTheCapacityOfTheRun(t *testing.T) {
	testRefusedStops(t, 1, workers.RefusedBusy, time.Second)
}

// Guards against a task that runs twice at the same time: the worker that was to start it
// late refused the stop, and the task was started elsewhere.
func TestRefusedStopKeepsTheTaskOfTheRun(t *testing.T) {
	testRefusedStops(t, 2, workers.RefusedBusy, time.Second)
}

// Guards against a run that is released although it may still start: its worker replied
// with an error that does not say whether the start is carried out.
func TestUnclearReplyToAStartIsNoRefusal(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1)
	sim.faultPercent = 0
	sim.runWithoutEnds(200 * time.Millisecond)
	starts := 0
	sim.decide = func(kind callKind) fate {
		if kind == callStart {
			if starts++; starts == 1 {
				return fate{refusal: workers.OutcomeUnclear, late: lateStart}
			}
		}
		return fate{}
	}
	sim.submitJob("j", workload.StepSpec{Count: 1, Need: workload.Resources{CPU: 1500}})
	sim.runWithoutEnds(2 * lateStart)
	is.Equal(sim.violations, nil)
	is.True(starts > 1) // the task was started again
	is.Equal(sim.runningElsewhere(nil), 1)
}

// Guards against tasks that wait for a worker for as long as it refuses to list its runs:
// the refused calls counted as ones that renew its lease.
func TestTasksOfAWorkerThatRefusesItsListsAreStartedElsewhere(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1)
	sim.faultPercent = 0
	sim.runWithoutEnds(200 * time.Millisecond)
	sim.submitJob("j", workload.StepSpec{Count: 1, Need: workload.Resources{CPU: 1500}})
	sim.runWithoutEnds(time.Second)
	first := sim.workers[slices.IndexFunc(sim.workers, func(f *fakeWorker) bool { return len(f.worker.Running()) > 0 })]
	sim.decideFor = first
	sim.decide = func(kind callKind) fate {
		if kind == callHold {
			return fate{refusal: workers.RefusedBusy}
		}
		return fate{}
	}
	sim.runWithoutEnds(9 * time.Second)
	is.Equal(sim.violations, nil)
	is.Equal(sim.runningElsewhere(first), 1)
}

// Guards against calls in a tight loop to a worker that refuses them.
func TestRefusedCallForListsIsFollowedByAPause(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1)
	sim.faultPercent = 0
	sim.run(200 * time.Millisecond)
	sim.decide = func(callKind) fate { return fate{refusal: workers.RefusedBusy} }
	for _, l := range sim.leader.links {
		is.True(!l.hold(t.Context()))
		is.True(l.retryPause() >= refusedHoldPause)

	}
}

// Guards against a sound worker that stays unused: it refused or did not answer the last
// call, nothing is left to run there, and so nobody calls it again.
func TestWorkerWithoutRunsIsCalledUntilItListsThem(t *testing.T) {
	for name, refuse := range map[string]func(callKind) fate{
		"refused":     func(callKind) fate { return fate{refusal: workers.RefusedBusy} },
		"no answer":   func(callKind) fate { return fate{late: lateStart} },
		"no decision": nil,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(1)
			sim.faultPercent = 0
			sim.run(200 * time.Millisecond)
			f := sim.workers[0]
			l := sim.leader.links[f.worker.ID]
			sim.decide = refuse
			l.hold(t.Context())
			sim.now += 2 * maxContactAge
			is.True(!l.mustHold()) // it has not reported for long
			select {
			case <-l.listDue:
			default:
			}
			sim.decide = nil
			sim.report(f)
			is.Equal(l.mustHold(), refuse != nil)
			is.Equal(len(l.listDue), map[bool]int{true: 1}[refuse != nil])
			sim.run(200 * time.Millisecond)
			is.True(l.usable(sim.now))
		})
	}
}
