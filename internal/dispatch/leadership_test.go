package dispatch

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// Symptom: a task runs twice for a second. Sequence: a leader is cut off from
// the quorum while it waits for a commit; its links go on granting leases to
// workers that the next leader can't reach; the next leader counts the last
// lease from its own beginning. Cause: only the round looked at leadership.
func TestLinksStopWithTheLeadership(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	w.trouble = 0
	w.report(w.workers[0])
	l := w.leader.links[w.workers[0].worker.ID]
	run := workload.RunRef{Task: workload.TaskRef{Job: "j"}, Attempt: 1}
	w.apply(&workload.Command{Submit: []workload.Submit{{ID: "j", Queue: workload.QueueID{Host: "h", Prefix: "/q/"},
		Spec: workload.JobSpec{Steps: []workload.StepSpec{{Count: 1}}}}}})
	w.apply(&workload.Command{Starts: []workload.Start{{Worker: l.target.ID, Run: run}}})
	l.enqueue(call{kind: callStart, run: run})
	l.wanted = true
	granted := l.lease.grantedMS
	w.term++ // another leader was elected
	l.sendOrders(context.Background())
	l.holdLeases(context.Background())
	is.Equal(len(w.workers[0].worker.Running()), 0)
	is.Equal(l.lease.grantedMS, granted)
}
