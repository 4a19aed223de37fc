package standin

import (
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/platform"
)

// throttleFactor is by how much a throttled task is slower.
const throttleFactor = 2

func (p *Platform) startTask(v *vm, c platform.Command) *task {
	t := &task{id: c.Task, spec: *c.Spec, vm: v, lease: c.LeaseUntil, start: p.now, remainingAt: p.now}
	p.tasks[t.id] = t
	v.tasks[t.id] = t
	v.taskFence = max(v.taskFence, c.Fence.Generation)
	p.countStart(t)
	if t.spec.Job != "" {
		p.prepareJob(t)
		p.scheduleEnd(t)
	} else {
		t.work.Used = t.spec.Size
	}
	p.scheduleLeaseExpiry(t)
	p.recordChange(t)
	p.queueHook(p.config.OnStart, t, false)
	return t
}

func (p *Platform) prepareJob(t *task) {
	t.work = p.config.Behaviour(t.spec)
	if p.faulty[t.spec.Worker] {
		t.work.Fails = true
		t.work.Runtime = faultyWorkerRuntime
		t.remaining = faultyWorkerRuntime
		return
	}
	t.remaining = max(t.work.Runtime-p.progress[t.spec.Job], time.Millisecond)
}

// workDone returns the work done in this attempt since the last change of speed.
func (t *task) workDone(now model.Instant) time.Duration {
	done := now.Sub(t.remainingAt)
	if t.throttled {
		done /= throttleFactor
	}
	return done
}

func (p *Platform) scheduleEnd(t *task) {
	t.epoch++
	epoch := t.epoch
	left := t.remaining
	if t.throttled {
		left *= throttleFactor
	}
	p.after(left, func() {
		if t.epoch == epoch && t.ended == "" && !t.stopping {
			p.endTask(t, outcomeOf(t), false)
		}
	})
}

func outcomeOf(t *task) platform.TaskEnd {
	if t.work.Fails {
		return platform.Failed
	}
	return platform.Succeeded
}

func (p *Platform) scheduleLeaseExpiry(t *task) {
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
	t.remaining = max(t.remaining-t.workDone(p.now), 0)
	t.remainingAt = p.now
	t.throttled = throttled
	if t.spec.Job != "" {
		p.scheduleEnd(t)
	}
	p.recordChange(t)
}

// stop tells a task to end, which it does after the grace period.
func (p *Platform) stop(t *task, how platform.TaskEnd) {
	if t.ended != "" || t.stopping {
		return
	}
	t.stopping = true
	p.queueHook(p.config.OnStop, t, false)
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

func (p *Platform) endTask(t *task, how platform.TaskEnd, killed bool) {
	t.ended = how
	t.endedAt = p.now
	delete(t.vm.tasks, t.id)
	p.countEnd(t)
	if killed && !t.stopping {
		p.queueHook(p.config.OnStop, t, true)
	}
	t.hidden = t.vm.disconnected
	p.recordChange(t)
	p.after(p.config.Retention, func() { p.forget(t) })
}

// kill ends a task because its VM failed. The worker can't report the end, so the
// platform lists it only once the lease has expired.
func (p *Platform) kill(t *task) {
	t.epoch++
	t.ended = platform.Lapsed
	t.endedAt = p.now
	t.hidden = true
	delete(t.vm.tasks, t.id)
	p.countEnd(t)
	if !t.stopping {
		p.queueHook(p.config.OnStop, t, true)
	}
	p.at(max(t.lease, p.now), func() {
		t.hidden = false
		p.recordChange(t)
	})
	p.at(max(t.lease, p.now).Add(p.config.Retention), func() { p.forget(t) })
}

func (p *Platform) forget(t *task) {
	if p.tasks[t.id] == t {
		delete(p.tasks, t.id)
	}
}

func (p *Platform) recordChange(t *task) {
	t.revision = p.nextRevision()
	p.changes = append(p.changes, change{t.revision, t.id})
}

func (p *Platform) queueHook(f func(TaskInfo), t *task, killed bool) {
	if f == nil {
		return
	}
	r := TaskInfo{Task: t.id, Service: t.spec.Service, Ordinal: t.spec.Ordinal, Job: t.spec.Job, VM: t.vm.ID, Zone: t.vm.Zone, Killed: killed}
	p.hooks = append(p.hooks, func() { f(r) })
}

// addTombstone records a task that will never start.
func (p *Platform) addTombstone(id model.TaskID, v *vm) {
	if p.tasks[id] != nil {
		return
	}
	t := &task{id: id, vm: v, ended: platform.NeverStarted, endedAt: p.now}
	p.tasks[id] = t
	p.recordChange(t)
	p.after(p.config.Retention, func() { p.forget(t) })
}
