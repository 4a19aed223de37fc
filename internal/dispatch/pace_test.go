package dispatch

import (
	"testing"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/workers"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// Symptom: users of a lasting task wait too long for seconds on end. Sequence: a
// task that fills starts beside it and disturbs it. Cause: its pace left alone.
func TestWhatFillsIsSlowedBesideATaskNearItsTarget(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	serve := workload.StepSpec{Count: 1, Need: workload.Resources{CPU: 100}, Lasting: true, TargetMS: 100}
	fill := workload.StepSpec{Count: 1, Need: workload.Resources{CPU: 1900}, Fills: true}
	worker := w.workers[0].worker.ID
	w.report(w.workers[0])
	for id, step := range map[workload.JobID]workload.StepSpec{"serve": serve, "fill": fill} {
		w.apply(&workload.Command{Submit: []workload.Submit{{ID: id, Queue: workload.QueueID{Host: "h", Prefix: "/q/"},
			Spec: workload.JobSpec{Steps: []workload.StepSpec{step}}}}})
		w.apply(&workload.Command{Starts: []workload.Start{{Worker: worker, Run: workload.RunRef{Task: workload.TaskRef{Job: id}, Attempt: 1}}}})
	}
	l := w.leader.links[worker]
	ref := func(id workload.JobID) workload.RunRef {
		return workload.RunRef{Task: workload.TaskRef{Job: id}, Attempt: 1}
	}
	steer := func(load int64) (percent int, changed bool) {
		l.queue = nil
		w.now += 2 * paceEvery
		l.running = map[workload.RunRef]*observed{
			ref("serve"): {Running: workers.Running{Run: ref("serve"), Percent: 100, Load: load}},
			ref("fill"):  {Running: workers.Running{Run: ref("fill"), Percent: 5}},
		}
		w.machine.Read(func(t *workload.Tables) { l.steerPace(t, w.now) })
		if len(l.queue) == 0 {
			return 0, false
		}
		return l.queue[0].percent, true
	}
	_, changed := steer(40)
	is.True(!changed)
	percent, changed := steer(90)
	is.True(changed)
	is.Equal(percent, 0)
	_, changed = steer(65)
	is.True(!changed) // between the bounds it stays
	percent, _ = steer(30)
	is.Equal(percent, paceStep)
}
