package dispatch

import (
	"testing"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/workers"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// A best-effort task must be slowed beside a task near its latency target. At
// full pace it would keep that task above its target for seconds.
func TestBestEffortTaskIsSlowedBesideATaskNearItsTarget(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1)
	serve := workload.StepSpec{Count: 1, Need: workload.Resources{CPU: 100}, LongRunning: true, TargetMS: 100}
	fill := workload.StepSpec{Count: 1, Need: workload.Resources{CPU: 1900}, BestEffort: true}
	worker := sim.workers[0].worker.ID
	sim.report(sim.workers[0])
	for id, step := range map[workload.JobID]workload.StepSpec{"serve": serve, "fill": fill} {
		sim.apply(&workload.Command{Submit: []workload.Submit{{ID: id, Queue: workload.QueueID{Host: "h", Prefix: "/q/"},
			Spec: workload.JobSpec{Steps: []workload.StepSpec{step}}}}})
		sim.apply(&workload.Command{Starts: []workload.Start{{Worker: worker, Run: workload.RunRef{Task: workload.TaskRef{Job: id}, Attempt: 1}}}})
	}
	l := sim.leader.links[worker]
	ref := func(id workload.JobID) workload.RunRef {
		return workload.RunRef{Task: workload.TaskRef{Job: id}, Attempt: 1}
	}
	adjust := func(load int64) (percent int, changed bool) {
		l.queue = nil
		sim.now += 2 * paceInterval
		l.running = map[workload.RunRef]*observedRun{
			ref("serve"): {RunStatus: workers.RunStatus{Run: ref("serve"), Percent: 100, Load: load}},
			ref("fill"):  {RunStatus: workers.RunStatus{Run: ref("fill"), Percent: 5}},
		}
		sim.machine.Read(func(t *workload.Tables) { l.adjustPace(t, sim.now) })
		if len(l.queue) == 0 {
			return 0, false
		}
		return l.queue[0].percent, true
	}
	_, changed := adjust(40)
	is.True(!changed)
	percent, changed := adjust(90)
	is.True(changed)
	is.Equal(percent, 0)
	_, changed = adjust(65)
	is.True(!changed) // unchanged between the bounds
	percent, _ = adjust(30)
	is.Equal(percent, paceStep)
}
