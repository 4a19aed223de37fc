package dispatch

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/control"
	"github.com/comfreyloom/comfreyloom/internal/schedule"
	"github.com/comfreyloom/comfreyloom/internal/workers/standin"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// newQueuedStart returns a site with a job whose one start is queued and not sent, and the
// link of its worker.
func newQueuedStart(is *is.I) (*simulation, *link, workload.RunRef) {
	sim := newSimulation(1)
	sim.faultPercent = 0
	sim.run(200 * time.Millisecond)
	sim.submitJob("j", workload.StepSpec{Count: 1, Need: workload.Resources{CPU: 1500}})
	ctx := context.Background()
	for range 3 {
		sim.advance(10 * time.Millisecond)
		sim.leader.round(ctx, sim.term)
	}
	for _, l := range sim.leader.links {
		if len(l.queue) > 0 {
			is.Equal(l.queue[0].kind, callStart)
			return sim, l, l.queue[0].run
		}
	}
	is.Fail() // no start is queued
	return nil, nil, workload.RunRef{}
}

// releaseUnsent has the leader take a worker for unresponsive, release what was not sent
// to it and drop the records, before the worker answers again.
func (sim *simulation) releaseUnsent(l *link) {
	l.failures, l.lastReply = unresponsiveFailures, sim.now-time.Second
	for range 2 {
		sim.now += reconcileInterval
		c := &workload.Command{Term: sim.term}
		sim.machine.Read(func(t *workload.Tables) { sim.leader.reconcile(t, l, c, newReasons()) })
		sim.apply(c)
	}
	l.failures, l.lastReply = 0, sim.now
}

// Guards against a task that runs twice: its start was about to be sent when the run was
// released as one that was never sent.
func TestReleasedRunIsNotSent(t *testing.T) {
	is := is.New(t)
	sim, l, run := newQueuedStart(is)
	step := schedule.StepRef{Job: run.Task.Job}
	sim.leader.advice.put(step, []workload.WorkerID{l.target.ID}, AdvisorReply{}, sim.now)
	sim.leader.advice.now = func() time.Duration {
		sim.leader.advice.now = sim.leader.now
		sim.releaseUnsent(l)
		return sim.now
	}
	c, _ := l.nextCall()
	l.perform(context.Background(), c)
	sim.runWithoutEnds(time.Second)
	is.Equal(sim.violations, nil)
}

// frozenLog is a control log whose process stands still for a time after it has confirmed
// that it leads, while another leader is elected. It is confirmed a number of times before.
type frozenLog struct {
	*fakeLog
	length time.Duration
	before int
	frozen bool
}

func (l *frozenLog) Status() control.LogStatus {
	status := l.fakeLog.Status()
	if l.before--; !l.frozen && l.before < 0 {
		l.frozen = true
		l.sim.now += l.length
		l.sim.term++
	}
	return status
}

// Guards against a start that a former leader sends when its process wakes up: a worker
// that the new leader has not called yet would carry it out with a fresh lease.
func TestStartOfAWokenLeaderIsNotCarriedOut(t *testing.T) {
	is := is.New(t)
	sim, l, _ := newQueuedStart(is)
	sim.leader.config.Log = &frozenLog{fakeLog: &fakeLog{sim: sim, term: sim.term}, length: 10 * time.Second}
	l.sendOrders(context.Background())
	for _, f := range sim.workers {
		is.Equal(len(f.worker.Running()), 0)
	}
}

// Guards against a task that runs twice: a former leader whose process wakes up renewed a
// lease, and the next one counted the longest lease from the start of its own term.
func TestWokenLeaderRenewsNoLease(t *testing.T) {
	for name, before := range map[string]int{"before its last check": 0, "after its last check": 1} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim, l, _ := newQueuedStart(is)
			c, _ := l.nextCall()
			l.perform(context.Background(), c)
			granted := sim.now
			sim.leader.config.Log = &frozenLog{fakeLog: &fakeLog{sim: sim, term: sim.term}, length: 3 * time.Second, before: before}
			l.holdLeases(context.Background())
			is.Equal(len(sim.workerOf(l).Running()), 1)
			sim.now = granted + slowestLease
			sim.expire()
			is.Equal(len(sim.workerOf(l).Running()), 0)
		})
	}
}

// slowestLease is how long the lease of a leader of the simulation lasts by a slow clock.
const slowestLease = 5*time.Second*100/98 + time.Millisecond

// workerOf returns the worker of a link.
func (sim *simulation) workerOf(l *link) *standin.Worker {
	for _, f := range sim.workers {
		if f.worker.ID == l.target.ID {
			return f.worker
		}
	}
	return nil
}

// Guards against a worker that is started beyond its capacity: it shrank after a run was
// committed on it and before the start was sent.
func TestStartIsNotSentToAWorkerThatShrank(t *testing.T) {
	is := is.New(t)
	sim, l, _ := newQueuedStart(is)
	for _, f := range sim.workers {
		if f.worker.ID == l.target.ID {
			f.worker.Capacity.CPU = 1000
			sim.report(f)
		}
	}
	c, _ := l.nextCall()
	l.perform(context.Background(), c)
	sim.checkInvariants()
	is.Equal(sim.violations, nil)
}

// Guards against a task that starts long after its worker announced that it leaves: its
// start got no reply before, and was repeated until it was accepted.
func TestStartIsNotRepeatedToADrainingWorker(t *testing.T) {
	is := is.New(t)
	sim, l, _ := newQueuedStart(is)
	first := sim.workers[slices.IndexFunc(sim.workers, func(f *fakeWorker) bool { return f.worker.ID == l.target.ID })]
	sim.decideFor = first
	starts := 0
	sim.decide = func(kind callKind) fate {
		if kind != callStart {
			return fate{}
		}
		starts++
		return fate{late: time.Minute}
	}
	sim.runWithoutEnds(200 * time.Millisecond)
	is.True(starts > 1)
	first.draining = true
	sim.report(first)
	starts = 0
	sim.runWithoutEnds(time.Second)
	is.Equal(starts, 0)
	is.Equal(sim.violations, nil)
	is.Equal(sim.runningElsewhere(first), 1)
}
