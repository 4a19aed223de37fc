package dispatch

import (
	"testing"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// Guards against a worker that a new leader never uses: its first list was full of ends,
// these left nothing committed there, and so nobody asked for another list.
func TestWorkerWhoseFirstListIsFullOfEndsIsUsed(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1)
	sim.faultPercent = 0
	sim.limitEnds(2)
	f := sim.workers[0]
	sim.stepWorker(f)
	sim.submitJob("j", workload.StepSpec{Count: 2, Need: workload.Resources{CPU: 1}})
	for range 4 {
		sim.stepWorker(f)
	}
	is.Equal(len(f.worker.Running()), 2)
	for _, run := range f.worker.Running() {
		f.worker.End(run, workload.EndDone)
	}
	sim.elect()
	sim.report(f)
	for range 20 {
		sim.stepWorker(f)
	}
	is.Equal(sim.stateOf("j"), workload.JobCompleted)
	sim.submitJob("next", workload.StepSpec{Count: 1, Need: workload.Resources{CPU: 1}})
	for range 20 {
		sim.stepWorker(f)
	}
	is.Equal(len(f.worker.Running()), 1)
}
