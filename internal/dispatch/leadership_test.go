package dispatch

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// Guards against a task that runs twice for a second. A leader is cut off from
// the quorum while it waits for a commit. If its links continue to grant leases
// to workers that the next leader can't reach, these outlast what the next
// leader allows for, as it counts the last lease from the start of its own
// term. The fault was that only the round checked leadership.
func TestLinksStopWhenLeadershipIsLost(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(2)
	sim.faultPercent = 0
	sim.report(sim.workers[0])
	l := sim.leader.links[sim.workers[0].worker.ID]
	run := workload.RunRef{Task: workload.TaskRef{Job: "j"}, Attempt: 1}
	sim.apply(&workload.Command{Submit: []workload.Submit{{ID: "j", Queue: workload.QueueID{Host: "h", Prefix: "/q/"},
		Spec: workload.JobSpec{Steps: []workload.StepSpec{{Count: 1}}}}}})
	sim.apply(&workload.Command{Starts: []workload.Start{{Worker: l.target.ID, Run: run}}})
	l.enqueue(call{kind: callStart, run: run})
	l.needsCalls = true
	granted := l.lease.grantedMS
	sim.term++ // another leader was elected
	l.sendOrders(context.Background())
	l.holdLeases(context.Background())
	is.Equal(len(sim.workers[0].worker.Running()), 0)
	is.Equal(l.lease.grantedMS, granted)
}
