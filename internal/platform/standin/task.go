package standin

import (
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/platform"
)

// throttleFactor is how much slower a throttled task runs.
const throttleFactor = 2

func (p *Platform) startTask(v *vm, c platform.Command) *task {
	t := &task{id: c.Task, spec: *c.Spec, vm: v, lease: c.LeaseUntil, start: p.now, from: p.now}
	p.tasks[t.id] = t
	v.tasks[t.id] = t
	v.taskFence = max(v.taskFence, c.Fence.Generation)
	p.noteStart(t)
	if t.spec.Job != "" {
		p.prepareJob(t)
		p.scheduleEnd(t)
	} else {
		t.work.Used = t.spec.Size
	}
	p.scheduleLapse(t)
	p.touch(t)
	p.hook(p.config.OnStart, t, false)
	return t
}

func (p *Platform) prepareJob(t *task) {
	t.work = p.config.Behaviour(t.spec)
	if p.bad[t.spec.Worker] {
		t.work.Fails = true
		t.work.Runtime = badWorkerRuntime
		t.left = badWorkerRuntime
		return
	}
	t.left = max(t.work.Runtime-p.progress[t.spec.Job], time.Millisecond)
}

// workDone is the work done in this attempt since the last change of speed.
func (t *task) workDone(now model.Instant) time.Duration {
	done := now.Sub(t.from)
	if t.throttled {
		done /= throttleFactor
	}
	return done
}

func (p *Platform) scheduleEnd(t *task) {
	t.epoch++
	epoch := t.epoch
	left := t.left
	if t.throttled {
		left *= throttleFactor
	}
	p.after(left, func() {
		if t.epoch == epoch && t.ended == "" && !t.stopping {
			p.endTask(t, endOfWork(t), false)
		}
	})
}

func endOfWork(t *task) platform.Ended {
	if t.work.Fails {
		return platform.Failed
	}
	return platform.Succeeded
}

func (p *Platform) scheduleLapse(t *task) {
	lease := t.lease
	p.at(lease, func() {
		if t.lease == lease && t.ended == "" {
			p.endTask(t, platform.Lapsed, true)
		}
	})
}

func (p *Platform) setThrottled(t *task, throttled bool) {
	if t.throttled == throttled {
		return
	}
	t.left = max(t.left-t.workDone(p.now), 0)
	t.from = p.now
	t.throttled = throttled
	if t.spec.Job != "" {
		p.scheduleEnd(t)
	}
	p.touch(t)
}

// stop tells a task to end and lets it run for the grace period.
func (p *Platform) stop(t *task, how platform.Ended) {
	if t.ended != "" || t.stopping {
		return
	}
	t.stopping = true
	p.hook(p.config.OnStop, t, false)
	p.after(p.config.StopGrace, func() {
		if t.ended != "" {
			return
		}
		if how == platform.Checkpointed {
			p.progress[t.spec.Job] += t.workDone(p.now)
		}
		p.endTask(t, how, false)
	})
}

func (p *Platform) endTask(t *task, how platform.Ended, killed bool) {
	t.ended = how
	t.endedAt = p.now
	delete(t.vm.tasks, t.id)
	p.noteEnd(t)
	if killed && !t.stopping {
		p.hook(p.config.OnStop, t, true)
	}
	t.hidden = t.vm.silent
	p.touch(t)
	p.after(p.config.Remember, func() { p.forget(t) })
}

// kill ends a task because its VM died. Nobody reports it: the platform only
// learns that the lease lapsed.
func (p *Platform) kill(t *task) {
	t.epoch++
	t.ended = platform.Lapsed
	t.endedAt = p.now
	t.hidden = true
	delete(t.vm.tasks, t.id)
	p.noteEnd(t)
	if !t.stopping {
		p.hook(p.config.OnStop, t, true)
	}
	p.at(max(t.lease, p.now), func() {
		t.hidden = false
		p.touch(t)
	})
	p.at(max(t.lease, p.now).Add(p.config.Remember), func() { p.forget(t) })
}

func (p *Platform) forget(t *task) {
	if p.tasks[t.id] == t {
		delete(p.tasks, t.id)
	}
}

func (p *Platform) touch(t *task) {
	t.revision = p.nextRevision()
	p.changes = append(p.changes, change{t.revision, t.id})
}

func (p *Platform) hook(f func(Running), t *task, killed bool) {
	if f == nil {
		return
	}
	r := Running{Task: t.id, Service: t.spec.Service, Ordinal: t.spec.Ordinal, Job: t.spec.Job, VM: t.vm.ID, Zone: t.vm.Zone, Killed: killed}
	p.hooks = append(p.hooks, func() { f(r) })
}

// bury records a task that will never start.
func (p *Platform) bury(id model.TaskID, v *vm) {
	if p.tasks[id] != nil {
		return
	}
	t := &task{id: id, vm: v, ended: platform.NeverStarted, endedAt: p.now}
	p.tasks[id] = t
	p.touch(t)
	p.after(p.config.Remember, func() { p.forget(t) })
}
