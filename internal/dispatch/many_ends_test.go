package dispatch

import (
	"testing"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// manyTasks is more than a worker lists ends at once, and less than twice as many.
const manyTasks = 700

// newSiteWithManyRuns returns a site without faults in which one worker runs all tasks
// of a job "j".
func newSiteWithManyRuns(t *testing.T) (*simulation, *fakeWorker) {
	t.Helper()
	sim := newSimulation(1)
	sim.faultPercent = 0
	f := sim.workers[0]
	sim.stepWorker(f)
	sim.submitJob("j", workload.StepSpec{Count: manyTasks, Need: workload.Resources{CPU: 1, MemoryMB: 1}})
	for range 10 {
		sim.stepWorker(f)
	}
	is.New(t).Equal(len(f.worker.Running()), manyTasks)
	return sim, f
}

// Guards against done tasks that are started again, and against their orders: hundreds
// ended at once, and those beyond the first list were taken for absent. The leader
// changes at each step in turn.
func TestTasksThatEndTogetherAreNotStartedAgain(t *testing.T) {
	const steps = 12
	for electAt := range steps + 1 {
		is := is.New(t)
		sim, f := newSiteWithManyRuns(t)
		for _, run := range f.worker.Running() {
			f.worker.End(run, workload.EndDone)
		}
		for i := range steps {
			if i == electAt {
				sim.elect()
				sim.report(f)
			}
			sim.stepWorker(f)
			is.Equal(len(f.worker.Running()), 0) // nothing is started again
		}
		is.Equal(sim.violations, nil)
		is.Equal(sim.stateOf("j"), workload.JobCompleted)
	}
}

// Guards against a run that is never released: its end is listed no more, and hundreds
// of other ends fill the lists.
func TestRunWithoutAnEndIsReleasedAfterTheLastList(t *testing.T) {
	is := is.New(t)
	sim, f := newSiteWithManyRuns(t)
	running := f.worker.Running()
	forgotten := running[0]
	f.worker.End(forgotten, workload.EndFailed)
	f.worker.DropEnds()
	for _, run := range running[1:] {
		f.worker.End(run, workload.EndDone)
	}
	for range 12 {
		sim.stepWorker(f)
	}
	is.Equal(sim.violations, nil)
	is.Equal(len(f.worker.Running()), 1)
	is.Equal(f.worker.Running()[0], workload.RunRef{Task: forgotten.Task, Attempt: 2})
}
