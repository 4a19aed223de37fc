package controller

import (
	"cmp"
	"context"
	"fmt"
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/platform"
	"github.com/comfreyloom/comfreyloom/internal/state"
	"github.com/comfreyloom/comfreyloom/internal/wave"
)

// commander derives the commands that bring the platform to what the
// committed state says. It only reads state and world: what an earlier leader
// sent does not matter.
type commander struct {
	c    *Controller
	view *state.View
	w    *world
	now  model.Instant
	out  []platform.Command
	asks []model.TaskID
}

// command sends what follows from the committed state. It reports whether
// anything is under way.
func (c *Controller) command(ctx context.Context) bool {
	m := &commander{c: c, view: c.config.Log.View(), w: c.soft.world, now: c.config.Clock()}
	for _, p := range sortedPermits(m.view) {
		if v := m.w.listed[p.VM]; v != nil {
			m.forPermit(p, v)
		}
	}
	m.ungranted()
	for _, t := range sortedTasks(m.view, m.unsettled) {
		m.forTask(t)
	}
	m.renew(sortedTasks(m.view, m.toRenew))
	c.ask(ctx, m.asks)
	c.send(ctx, m)
	return len(m.out)+len(m.asks) > 0
}

func sortedPermits(view *state.View) []*model.Permit {
	permits := make([]*model.Permit, 0, len(view.Permits))
	for _, p := range view.Permits {
		permits = append(permits, p)
	}
	slices.SortFunc(permits, func(a, b *model.Permit) int { return cmp.Compare(a.VM, b.VM) })
	return permits
}

func (m *commander) forPermit(p *model.Permit, v *model.VM) {
	switch p.Phase {
	case model.PhaseDraining:
		m.drain(p, v)
	case model.PhaseRebooting:
		m.reboot(p, v)
	case model.PhaseSoaking:
		if v.Drained && wave.Soaked(m.now, m.view.Site, v, p, m.c.config.Wave) {
			m.vm(platform.Return, p, "")
		}
	}
}

func (m *commander) drain(p *model.Permit, v *model.VM) {
	switch {
	case m.c.soft.undrain[v.ID]:
		if f := m.w.vms[v.ID].Fence; f.Generation == p.Generation && f.Step < platform.Undrain.Step() || v.Drained {
			m.vm(platform.Undrain, p, "")
		}
	case !v.Drained:
		m.vm(platform.Drain, p, "")
	}
}

// reboot commands a reboot while the VM still shows the boot that the permit
// names. A VM that shows another boot was rebooted, by whoever.
func (m *commander) reboot(p *model.Permit, v *model.VM) {
	if v.Health != model.VMUp {
		return
	}
	if v.BootID != p.BootID && !m.c.config.Rules.Wave.IgnoreBoot {
		return
	}
	m.vm(platform.Reboot, p, v.BootID)
}

// vm adds a command for a VM. Its ID names the observation that it answers
// to, so that a resend has the same ID until the platform shows a change.
func (m *commander) vm(kind platform.Kind, p *model.Permit, bootID string) {
	id := fmt.Sprintf("%s/%s/%d/%d", kind, p.VM, p.Generation, m.w.vms[p.VM].Revision)
	if kind == platform.Reboot {
		id = fmt.Sprintf("%s/%s/%d/%s/%d", kind, p.VM, p.Generation, bootID, m.c.soft.attempts[p.VM])
	}
	m.add(platform.Command{
		ID: model.CommandID(id), Kind: kind, VM: p.VM, BootID: bootID,
		Fence: platform.Fence{Term: m.c.term, Generation: p.Generation, Step: kind.Step()},
	})
}

// ungranted drains VMs whose permit may not be committed; only a test
// switches this on.
func (m *commander) ungranted() {
	for _, id := range m.c.soft.ungranted {
		if m.w.listed[id] == nil || m.view.Permits[id] != nil {
			continue
		}
		fence := m.w.vms[id].Fence
		fence.Generation++
		fence.Step = platform.Drain.Step()
		fence.Term = m.c.term
		m.add(platform.Command{ID: model.CommandID(fmt.Sprintf("drain/%s/ungranted/%d", id, m.now)), Kind: platform.Drain, VM: id, Fence: fence})
	}
	m.c.soft.ungranted = nil
}

// unsettled reports whether a task is not as the state wants it, or nothing is
// known of it.
func (m *commander) unsettled(t *model.Task) bool {
	report, known := m.w.tasks[t.ID]
	return !known || t.State != model.TaskRunning || report.Throttled != t.Throttled || m.w.missing[t.ID]
}

// toRenew reports whether the platform has not confirmed the committed lease
// of a running task.
func (m *commander) toRenew(t *model.Task) bool {
	if m.w.renewed[t.ID] >= t.LeaseUntil || t.LeaseUntil <= m.now || t.State == model.TaskStopping {
		return false
	}
	report, known := m.w.tasks[t.ID]
	return known && report.Ended == "" && !m.w.missing[t.ID]
}

func (m *commander) forTask(t *model.Task) {
	report, known := m.w.tasks[t.ID]
	if known && report.Ended != "" {
		return
	}
	if m.w.missing[t.ID] || !known && t.State != model.TaskStarting {
		m.asks = append(m.asks, t.ID)
	}
	switch t.State {
	case model.TaskStarting:
		if !known {
			m.start(t)
		}
	case model.TaskStopping:
		m.stop(t)
		return
	}
	if known && report.Throttled != t.Throttled {
		id := fmt.Sprintf("throttle/%s/%t/%d", t.ID, t.Throttled, report.Revision)
		m.task(platform.Throttle, t, id).Throttled = t.Throttled
	}
}

func (m *commander) start(t *model.Task) {
	if t.LeaseUntil <= m.now {
		m.asks = append(m.asks, t.ID)
		return
	}
	spec := platform.TaskSpec{Worker: t.Worker, Service: t.Service, Ordinal: t.Ordinal, Job: t.Job, Size: t.Size, Priority: t.Priority.String()}
	if job := m.view.Jobs[t.Job]; job != nil {
		spec.Pool, spec.Kind, spec.Payload = job.Spec.Pool, job.Spec.Kind, job.Spec.Payload
	} else if owner := m.view.Owners[t.VM]; owner != nil {
		spec.Pool = owner.Pool
	}
	c := m.task(platform.Start, t, "start/"+string(t.ID))
	c.Spec = &spec
	c.LeaseUntil = t.LeaseUntil
}

// stop ends a task. A job that can be checkpointed goes on elsewhere from
// there, unless it was cancelled.
func (m *commander) stop(t *model.Task) {
	kind := platform.Stop
	if job := m.view.Jobs[t.Job]; job != nil && job.Spec.Checkpoints && !job.Cancelled {
		kind = platform.Checkpoint
	}
	m.task(kind, t, fmt.Sprintf("%s/%s/%d", kind, t.ID, m.w.tasks[t.ID].Revision))
}

func (m *commander) task(kind platform.Kind, t *model.Task, id string) *platform.Command {
	generation := t.Generation
	if owner := m.view.Owners[t.VM]; owner != nil && kind == platform.Start {
		generation = owner.Generation
	}
	return m.add(platform.Command{
		ID: model.CommandID(id), Kind: kind, VM: t.VM, Task: t.ID,
		Fence: platform.Fence{Term: m.c.term, Generation: generation},
	})
}

func (m *commander) add(c platform.Command) *platform.Command {
	m.out = append(m.out, c)
	return &m.out[len(m.out)-1]
}

// renew tells the platform the committed leases that it has not confirmed.
func (m *commander) renew(tasks []*model.Task) {
	byLease := map[model.Instant][]model.TaskID{}
	var leases []model.Instant
	for _, t := range tasks {
		if byLease[t.LeaseUntil] == nil {
			leases = append(leases, t.LeaseUntil)
		}
		byLease[t.LeaseUntil] = append(byLease[t.LeaseUntil], t.ID)
	}
	for _, until := range leases {
		m.c.soft.renews++
		m.add(platform.Command{
			ID:   model.CommandID(fmt.Sprintf("renew/%s/%d/%d", m.c.config.Self, m.c.term, m.c.soft.renews)),
			Kind: platform.Renew, Tasks: byLease[until], LeaseUntil: until,
			Fence: platform.Fence{Term: m.c.term},
		})
	}
}
