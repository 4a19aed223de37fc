package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// stepLink advances the clock, requests the worker's list if due, and runs one
// round of the leader with its calls.
func (sim *simulation) stepLink(l *link, after time.Duration) {
	ctx := context.Background()
	sim.advance(after)
	if l.mustHold() {
		l.hold(ctx)
	}
	sim.leader.round(ctx, sim.term)
	for c, ok := l.nextCall(); ok; c, ok = l.nextCall() {
		l.perform(ctx, c)
	}
}

// A job must not stay in the running state forever without a run. A start gets no
// reply because the worker is cut off. Its leases expire and the run is abandoned,
// but the release can't be committed. Then the worker is reachable again, and
// later the log. The fault was that the run was neither sent again, as it was
// abandoned, nor released, as the renewed lease had not expired.
func TestAbandonedRunIsReleasedLater(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(3)
	sim.faultPercent = 0
	f := sim.workers[0]
	sim.report(f)
	l := sim.leader.links[f.worker.ID]
	sim.stepLink(l, 10*time.Millisecond)
	sim.stepLink(l, 10*time.Millisecond)
	sim.apply(&workload.Command{Submit: []workload.Submit{{ID: "j", Queue: workload.QueueID{Host: "h", Prefix: "/q/"},
		Spec: workload.JobSpec{Steps: []workload.StepSpec{{Count: 1, Need: workload.Resources{CPU: 100}}}}}}})
	f.partitioned = true
	for range 40 {
		sim.stepLink(l, 100*time.Millisecond) // the start gets no reply
	}
	sim.refuseProposals = true
	for range 60 {
		sim.stepLink(l, 100*time.Millisecond)
	}
	f.partitioned = false
	for range 10 {
		sim.stepLink(l, 100*time.Millisecond)
	}
	is.Equal(len(f.worker.Running()), 0) // it must not start under the old attempt
	sim.refuseProposals = false
	for range 40 {
		sim.stepLink(l, 100*time.Millisecond)
	}
	is.Equal(len(f.worker.Running()), 1)
	is.True(f.worker.Running()[0].Attempt > 1)
}
