package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/workers"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// Guards against a task that is blamed alone for a crash: a run beside it whose start was
// refused, and may have been carried out late, counted as one that had run for long.
func TestRefusedStartIsNoSignOfALongRun(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1)
	l := newLink(sim.leader, &workload.Worker{ID: "w"}, 1)
	run := workload.RunRef{Task: workload.TaskRef{Job: "j"}, Attempt: 1}
	l.lastReply = sim.now
	o := l.orderOf(run)
	o.start = callState{sent: true, answered: true, answeredAt: sim.now - time.Minute}
	is.Equal(l.minAge(run), time.Minute)
	o.refusal, o.uncertain = workers.RefusedBusy, true
	is.True(l.minAge(run) < 0)
}
