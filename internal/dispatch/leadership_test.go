package dispatch

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

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

// termLog counts the terms that a leader takes over.
type termLog struct {
	statusLog
	taken *atomic.Int64
}

func (l termLog) Propose(ctx context.Context, c *workload.Command) error {
	if c.StartTerm {
		l.taken.Add(1)
	}
	return l.fakeLog.Propose(ctx, c)
}

// Guards against a task of a lost worker that waits too long for its next start: an
// overloaded leader that was not confirmed for a moment took over its own term anew,
// and waited from then on for leases that it had granted itself.
func TestTermOutlivesUnconfirmedMoments(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(2)
	sim.faultPercent = 0
	ctx, cancel := context.WithCancel(context.Background())
	var asked, taken atomic.Int64
	status := func() control.LogStatus {
		n := asked.Add(1)
		if n > 100 {
			cancel()
		}
		return control.LogStatus{Term: sim.term, Leads: true, Confirmed: n < 10 || n > 30}
	}
	d := sim.leader
	d.config.Log = termLog{statusLog{&fakeLog{sim: sim, term: sim.term}, status}, &taken}
	d.config.Now = func() time.Duration {
		if asked.Load() < 10 {
			return sim.now
		}
		return sim.now + 2*unconfirmedGrace
	}
	is.Equal(d.Run(ctx), context.Canceled)
	is.Equal(taken.Load(), int64(1))
}
