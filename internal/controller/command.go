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

// commander derives the commands that bring the platform to the committed
// state. It reads only the committed and the observed state: which commands an
// earlier leader sent does not matter.
type commander struct {
	controller *Controller
	view       *state.View
	observed   *observedState
	now        model.Instant
	commands   []platform.Command
	// queries are the tasks whose outcome to query from the platform.
	queries []model.TaskID
}

// command sends the commands that follow from the committed state. It reports
// whether any command or query is needed.
func (c *Controller) command(ctx context.Context) bool {
	m := &commander{controller: c, view: c.config.Log.View(), observed: c.softState.observed, now: c.config.Clock()}
	for _, p := range sortedPermits(m.view) {
		if v := m.observed.listed[p.VM]; v != nil {
			m.forPermit(p, v)
		}
	}
	m.drainUncommitted()
	for _, t := range sortedTasks(m.view, m.diverged) {
		m.forTask(t)
	}
	m.addRenewals(sortedTasks(m.view, m.needsRenewal))
	c.queryTasks(ctx, m.queries)
	c.send(ctx, m)
	return len(m.commands)+len(m.queries) > 0
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
		if v.Drained && wave.Soaked(m.now, m.view.Site, v, p, m.controller.config.Wave) {
			m.addVMCommand(platform.Return, p, "")
		}
	}
}

// drain commands the drain of a VM, or its undrain if the wave returns the VM
// before its reboot.
func (m *commander) drain(p *model.Permit, v *model.VM) {
	switch {
	case m.controller.softState.undrain[v.ID]:
		if f := m.observed.vms[v.ID].Fence; f.Generation == p.Generation && f.Step < platform.Undrain.Step() || v.Drained {
			m.addVMCommand(platform.Undrain, p, "")
		}
	case !v.Drained:
		m.addVMCommand(platform.Drain, p, "")
	}
}

// reboot commands a reboot while the VM still shows the boot ID that the permit
// names. A VM that shows another boot ID has been rebooted, whatever the cause.
func (m *commander) reboot(p *model.Permit, v *model.VM) {
	if v.Health != model.VMUp {
		return
	}
	if v.BootID != p.BootID && !m.controller.config.Rules.Wave.IgnoreBootID {
		return
	}
	m.addVMCommand(platform.Reboot, p, v.BootID)
}

// addVMCommand adds a command for a VM. Its ID contains the revision of the
// observed VM, so that a resend has the same ID until the platform reports a
// change.
func (m *commander) addVMCommand(kind platform.CommandKind, p *model.Permit, bootID string) {
	id := fmt.Sprintf("%s/%s/%d/%d", kind, p.VM, p.Generation, m.observed.vms[p.VM].Revision)
	if kind == platform.Reboot {
		id = fmt.Sprintf("%s/%s/%d/%s/%d", kind, p.VM, p.Generation, bootID, m.controller.softState.rebootAttempts[p.VM])
	}
	m.add(platform.Command{
		ID: model.CommandID(id), Kind: kind, VM: p.VM, BootID: bootID,
		Fence: platform.Fence{Term: m.controller.term, Generation: p.Generation, Step: kind.Step()},
	})
}

// drainUncommitted drains VMs whose permit may not be committed. Only tests
// enable it, by Rules.SkipCommit.
func (m *commander) drainUncommitted() {
	for _, id := range m.controller.softState.uncommittedGrants {
		if m.observed.listed[id] == nil || m.view.Permits[id] != nil {
			continue
		}
		fence := m.observed.vms[id].Fence
		fence.Generation++
		fence.Step = platform.Drain.Step()
		fence.Term = m.controller.term
		m.add(platform.Command{ID: model.CommandID(fmt.Sprintf("drain/%s/ungranted/%d", id, m.now)), Kind: platform.Drain, VM: id, Fence: fence})
	}
	m.controller.softState.uncommittedGrants = nil
}

// diverged reports whether a task's observed state differs from the desired
// one, or is unknown.
func (m *commander) diverged(t *model.Task) bool {
	report, known := m.observed.tasks[t.ID]
	return !known || t.State != model.TaskRunning || report.Throttled != t.Throttled || m.observed.missing[t.ID]
}

// needsRenewal reports whether the platform has not yet confirmed the committed
// lease of a running task.
func (m *commander) needsRenewal(t *model.Task) bool {
	if m.observed.confirmedLeases[t.ID] >= t.LeaseUntil || t.LeaseUntil <= m.now || t.State == model.TaskStopping {
		return false
	}
	report, known := m.observed.tasks[t.ID]
	return known && report.Ended == "" && !m.observed.missing[t.ID]
}

func (m *commander) forTask(t *model.Task) {
	report, known := m.observed.tasks[t.ID]
	if known && report.Ended != "" {
		return
	}
	if m.observed.missing[t.ID] || !known && t.State != model.TaskStarting {
		m.queries = append(m.queries, t.ID)
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
		m.addTaskCommand(platform.Throttle, t, id).Throttled = t.Throttled
	}
}

func (m *commander) start(t *model.Task) {
	if t.LeaseUntil <= m.now {
		m.queries = append(m.queries, t.ID)
		return
	}
	spec := platform.TaskSpec{Worker: t.Worker, Service: t.Service, Ordinal: t.Ordinal, Job: t.Job, Size: t.Size, Priority: t.Priority.String()}
	if job := m.view.Jobs[t.Job]; job != nil {
		spec.Pool, spec.Kind, spec.Payload = job.Spec.Pool, job.Spec.Kind, job.Spec.Payload
	} else if owner := m.view.Owners[t.VM]; owner != nil {
		spec.Pool = owner.Pool
	}
	c := m.addTaskCommand(platform.Start, t, "start/"+string(t.ID))
	c.Spec = &spec
	c.LeaseUntil = t.LeaseUntil
}

// stop ends a task. A job that supports checkpoints is checkpointed, so that it
// can resume elsewhere, unless it was cancelled.
func (m *commander) stop(t *model.Task) {
	kind := platform.Stop
	if job := m.view.Jobs[t.Job]; job != nil && job.Spec.Checkpoints && !job.Cancelled {
		kind = platform.Checkpoint
	}
	m.addTaskCommand(kind, t, fmt.Sprintf("%s/%s/%d", kind, t.ID, m.observed.tasks[t.ID].Revision))
}

func (m *commander) addTaskCommand(kind platform.CommandKind, t *model.Task, id string) *platform.Command {
	generation := t.Generation
	if owner := m.view.Owners[t.VM]; owner != nil && kind == platform.Start {
		generation = owner.Generation
	}
	return m.add(platform.Command{
		ID: model.CommandID(id), Kind: kind, VM: t.VM, Task: t.ID,
		Fence: platform.Fence{Term: m.controller.term, Generation: generation},
	})
}

func (m *commander) add(c platform.Command) *platform.Command {
	m.commands = append(m.commands, c)
	return &m.commands[len(m.commands)-1]
}

// addRenewals adds commands for the committed leases that the platform has not
// confirmed.
func (m *commander) addRenewals(tasks []*model.Task) {
	byLease := map[model.Instant][]model.TaskID{}
	var leases []model.Instant
	for _, t := range tasks {
		if byLease[t.LeaseUntil] == nil {
			leases = append(leases, t.LeaseUntil)
		}
		byLease[t.LeaseUntil] = append(byLease[t.LeaseUntil], t.ID)
	}
	for _, until := range leases {
		m.controller.softState.renewals++
		m.add(platform.Command{
			ID:   model.CommandID(fmt.Sprintf("renew/%s/%d/%d", m.controller.config.Self, m.controller.term, m.controller.softState.renewals)),
			Kind: platform.Renew, Tasks: byLease[until], LeaseUntil: until,
			Fence: platform.Fence{Term: m.controller.term},
		})
	}
}
