package dispatch

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/control"
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

// statusLog is a control log whose status a test sets for each call.
type statusLog struct {
	*fakeLog
	status func() control.LogStatus
}

func (l statusLog) Status() control.LogStatus { return l.status() }

// Guards against a worker that gets no more orders, and whose leases lapse, though its
// leader goes on: the link's goroutines ended when the leadership was unconfirmed for
// a moment, and the round saw it only confirmed again.
func TestLinksOutliveUnconfirmedMoments(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(2)
	sim.faultPercent = 0
	sim.report(sim.workers[0])
	worker := sim.workers[0].worker
	l := sim.leader.links[worker.ID]
	run := workload.RunRef{Task: workload.TaskRef{Job: "j"}, Attempt: 1}
	sim.apply(&workload.Command{Submit: []workload.Submit{{ID: "j", Queue: workload.QueueID{Host: "h", Prefix: "/q/"},
		Spec: workload.JobSpec{Steps: []workload.StepSpec{{Count: 1}}}}}})
	sim.apply(&workload.Command{Starts: []workload.Start{{Worker: l.target.ID, Run: run}}})
	l.enqueue(call{kind: callStart, run: run})
	l.needsCalls = true
	// afterMoment returns a context that ends once done holds, and has the status
	// unconfirmed when it is next asked for.
	afterMoment := func(done func() bool) context.Context {
		ctx, cancel := context.WithCancel(context.Background())
		asked := 0
		sim.now += 2 * unconfirmedGrace
		sim.leader.config.Log = statusLog{&fakeLog{sim: sim, term: sim.term}, func() control.LogStatus {
			if asked++; done() || asked > 100 {
				cancel()
			}
			return control.LogStatus{Term: sim.term, Leads: true, Confirmed: asked > 2}
		}}
		return ctx
	}
	l.sendOrders(afterMoment(func() bool { return len(worker.Running()) > 0 }))
	is.Equal(worker.Running(), []workload.RunRef{run})
	l.holdLeases(afterMoment(func() bool { return l.listedAt > 0 }))
	is.True(l.listedAt > 0)
}
