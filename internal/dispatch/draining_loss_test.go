package dispatch

import (
	"testing"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// Guards against a task that is started alone because of workers that ended as planned: a
// worker that drained and ended counted as lost under its tasks.
func TestEndOfADrainingWorkerIsNoLossOfItsTasks(t *testing.T) {
	for name, takeover := range map[string]bool{"same leader": false, "new leader": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim, f := newLeavingSite(t, leavingSteps["task"], 0)
			if takeover {
				sim.elect()
			}
			sim.runWithoutEnds(tickInterval)
			sim.terminate(f)
			lost := 0
			for range 200 {
				sim.runWithoutEnds(tickInterval)
				sim.machine.Read(func(tb *workload.Tables) {
					lost = max(lost, tb.LostWorkers(workload.TaskRef{Job: "j"}))
				})
			}
			known := false
			sim.machine.Read(func(tb *workload.Tables) { known = tb.Workers[f.worker.ID] != nil })
			t.Logf("lost workers counted %d, still known after 10 s: %v, running elsewhere %d", lost, known, sim.runningElsewhere(f))
			is.Equal(lost, 0)
		})
	}
}
