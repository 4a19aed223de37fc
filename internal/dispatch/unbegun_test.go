package dispatch

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// Guards against a number of waiting jobs that is too low: a job counted as begun with the
// commit of its start, which its worker may refuse.
func TestJobIsPendingUntilAStartIsAccepted(t *testing.T) {
	is := is.New(t)
	sim, f := newSiteWithAnIdleWorker()
	queue := workload.QueueID{Host: "h", Prefix: "/q/"}
	sim.submitJob("j", workload.StepSpec{Count: 1, Need: workload.Resources{CPU: 1}})
	is.Equal(sim.leader.Pending(queue), 1)
	commitRound := func() {
		sim.advance(tickInterval)
		sim.leader.round(context.Background(), sim.term)
	}
	commitRound()
	commitRound()
	sim.machine.Read(func(t *workload.Tables) { is.Equal(len(t.Runs[f.worker.ID]), 1) })
	is.Equal(sim.leader.Pending(queue), 1) // the start is committed and not sent
	sim.stepWorker(f)
	commitRound()
	is.Equal(len(f.worker.Running()), 1)
	is.Equal(sim.leader.Pending(queue), 0)
	sim.elect()
	is.Equal(sim.leader.Pending(queue), 0)
}
