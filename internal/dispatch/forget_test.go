package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// Guards against a worker whose reports are ignored after a long partition: silence was
// taken for its end.
func TestSilentWorkerIsUsedAgainFromItsNextReport(t *testing.T) {
	is := is.New(t)
	sim, f := newSiteWithAnIdleWorker()
	sim.beSilent()
	sim.machine.Read(func(tables *workload.Tables) { is.Equal(tables.Workers[f.worker.ID], nil) })
	sim.report(f)
	sim.machine.Read(func(tables *workload.Tables) { is.True(tables.Workers[f.worker.ID] != nil) })
	sim.submitJob("j", workload.StepSpec{Count: 1, Need: workload.Resources{CPU: 1}})
	for range 3 {
		sim.stepWorker(f)
	}
	is.Equal(len(f.worker.Running()), 1)
}

// Guards against workers that stay in the state for ever: they ended before a leader
// took over that never heard of them.
func TestWorkerThatNeverReportsToANewLeaderIsRemoved(t *testing.T) {
	is := is.New(t)
	sim, f := newSiteWithAnIdleWorker()
	sim.elect()
	sim.beSilent()
	sim.machine.Read(func(tables *workload.Tables) { is.Equal(tables.Workers[f.worker.ID], nil) })
}

func newSiteWithAnIdleWorker() (*simulation, *fakeWorker) {
	sim := newSimulation(1)
	sim.faultPercent = 0
	f := sim.workers[0]
	sim.report(f)
	sim.leader.round(context.Background(), sim.term)
	return sim, f
}

// beSilent lets pass the time after which a silent worker is removed.
func (sim *simulation) beSilent() {
	sim.advance(forgetWorkerAfter + time.Second)
	for range 2 {
		sim.leader.round(context.Background(), sim.term)
	}
}
