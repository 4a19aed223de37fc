package dispatch

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/workers"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// pacedWorker is a worker with a task that serves users and a best-effort task beside it.
type pacedWorker struct {
	sim *simulation
	*link
}

func newPacedWorker() pacedWorker {
	sim := newSimulation(1)
	sim.faultPercent = 0
	serve := workload.StepSpec{Count: 1, Need: workload.Resources{CPU: 100}, LongRunning: true, TargetMS: 100}
	fill := workload.StepSpec{Count: 1, Need: workload.Resources{CPU: 1900}, BestEffort: true}
	worker := sim.workers[0].worker.ID
	sim.report(sim.workers[0])
	for id, step := range map[workload.JobID]workload.StepSpec{"serve": serve, "fill": fill} {
		sim.submitJob(id, step)
		sim.apply(&workload.Command{Starts: []workload.Start{{Worker: worker, Run: pacedRun(id)}}})
	}
	return pacedWorker{sim: sim, link: sim.leader.links[worker]}
}

func pacedRun(id workload.JobID) workload.RunRef {
	return workload.RunRef{Task: workload.TaskRef{Job: id}, Attempt: 1}
}

// adjust has the leader adjust the pace after a list with a load of the serving task. It
// returns the call that follows, if any.
func (p pacedWorker) adjust(load int64) (c call, queued bool) {
	p.queue = nil
	p.sim.now += 2 * paceInterval
	p.running = map[workload.RunRef]*observedRun{
		pacedRun("serve"): {RunStatus: workers.RunStatus{Run: pacedRun("serve"), Percent: 100, Load: load}},
		pacedRun("fill"):  {RunStatus: workers.RunStatus{Run: pacedRun("fill"), Percent: 5}},
	}
	p.sim.machine.Read(func(t *workload.Tables) { p.adjustPace(t, p.sim.now) })
	if len(p.queue) == 0 {
		return call{}, false
	}
	return p.queue[0], true
}

// Guards against a best-effort task that works on beside a task over its target, or stays
// paused for good: its worker refused the change of its pace, which counted as made.
func TestRefusedChangeOfPaceIsRepeated(t *testing.T) {
	is := is.New(t)
	p := newPacedWorker()
	p.sim.decide = func(callKind) fate { return fate{refusal: workers.RefusedBusy} }
	for range 3 {
		c, queued := p.adjust(90)
		is.True(queued)
		is.Equal(c.percent, 0)
		p.perform(context.Background(), c)
	}
	p.sim.decide = nil
	c, _ := p.adjust(90)
	p.perform(context.Background(), c)
	_, queued := p.adjust(90)
	is.True(!queued) // it was accepted
	p.sim.decide = func(callKind) fate { return fate{late: lateStart} }
	c, _ = p.adjust(30)
	is.Equal(c.percent, paceStep)
	p.perform(context.Background(), c)
	p.sim.decide = nil
	c, queued = p.adjust(65)
	is.True(queued)
	is.Equal(c.percent, paceStep) // the same change, between the bounds
}

// A best-effort task must be slowed beside a task near its latency target. At
// full pace it would keep that task above its target for seconds.
func TestBestEffortTaskIsSlowedBesideATaskNearItsTarget(t *testing.T) {
	is := is.New(t)
	p := newPacedWorker()
	_, changed := p.adjust(40)
	is.True(!changed)
	c, changed := p.adjust(90)
	is.True(changed)
	is.Equal(c.percent, 0)
	_, changed = p.adjust(65)
	is.True(!changed) // unchanged between the bounds
	c, _ = p.adjust(30)
	is.Equal(c.percent, paceStep)
}
