package state

import (
	"fmt"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// startTask commits an attempt and its lease before the platform is called. A
// new leader thus finds every task that may be running, and starts no second
// one for the same job or instance.
func (c *core) startTask(command *Command, a *Action, s *StartTask) Refusal {
	task := s.Task
	if refused := c.validateStart(command, s); refused != "" {
		return refused
	}
	task.State = model.TaskStarting
	task.Started = command.At
	if task.Generation == 0 {
		c.head.TaskGeneration++
		task.Generation = c.head.TaskGeneration
	}
	c.guardStart(&task)
	c.putTask(&task)
	if task.Job == "" {
		c.record(command, auditEntry{
			action:  "start-instance",
			subject: fmt.Sprintf("%s/%d", task.Service, task.Ordinal),
			after:   fmt.Sprintf("task %s on VM %s", task.ID, task.VM),
			cause:   a.Reason,
		})
		return ""
	}
	job := *c.jobs.get(task.Job)
	job.State = model.JobRunning
	job.Reason = truncateText(a.Reason)
	job.Changed = command.At
	job.Attempts++
	c.changeJob(c.jobs.get(task.Job), &job)
	return ""
}

func (c *core) validateStart(command *Command, s *StartTask) Refusal {
	task := &s.Task
	if refused := validateID("task", string(task.ID)); refused != "" {
		return refused
	}
	if c.tasks.get(task.ID) != nil {
		return refusef("task %s is recorded already", task.ID)
	}
	if (task.Job == "") == (task.Service == "") {
		return "a task belongs to a job or to a service"
	}
	if refused := validateLease(command, task.LeaseUntil); refused != "" {
		return refused
	}
	if refused := c.validatePlacement(task, s.Pool); refused != "" {
		return refused
	}
	if task.Job != "" {
		return c.validateJobStart(command, task, s.Pool)
	}
	return c.validateInstanceStart(task, s.Pool)
}

// validateLease refuses leases that have ended already or are longer than
// MaxLease.
func validateLease(command *Command, until model.Instant) Refusal {
	if until <= command.At {
		return "the lease ends before it begins"
	}
	if until > command.At.Add(MaxLease) {
		return refusef("the lease is longer than %s", MaxLease)
	}
	return ""
}

// validatePlacement refuses a VM that can't take tasks of the pool now.
func (c *core) validatePlacement(task *model.Task, pool model.PoolID) Refusal {
	owner := c.owners.get(task.VM)
	if owner == nil {
		return "no such VM"
	}
	if pool == "" || owner.Pool != pool {
		return refusef("VM %s is in %s, not in %s", task.VM, poolName(owner.Pool), poolName(pool))
	}
	if owner.Moving && !c.rules.SkipSingleOwner {
		return refusef("VM %s is moving", task.VM)
	}
	if c.permits.get(task.VM) != nil && !c.rules.SkipPermit {
		return refusef("VM %s is under maintenance", task.VM)
	}
	return ""
}

func (c *core) validateJobStart(command *Command, task *model.Task, pool model.PoolID) Refusal {
	job := c.jobs.get(task.Job)
	if job == nil {
		return "no such job"
	}
	if job.Spec.Pool != pool {
		return refusef("the job runs in pool %s", job.Spec.Pool)
	}
	allowCancelled := job.State == model.JobCancelled && c.rules.SkipCancel
	allowSecond := job.State == model.JobRunning && c.rules.SkipOneTask
	if job.State != model.JobQueued && !allowCancelled && !allowSecond {
		return refusef("the job is %s", job.State)
	}
	return c.validateQuarantine(command, task, job)
}

// validateQuarantine refuses to start a job on a worker in quarantine, except for
// one idempotent batch job at a time once a probe is due: urgent work must not be
// used as a probe.
func (c *core) validateQuarantine(command *Command, task *model.Task, job *model.Job) Refusal {
	quarantine := c.quarantines.get(task.Worker)
	if quarantine == nil {
		return ""
	}
	mayProbe := job.Spec.Idempotent && job.Spec.Priority == model.Batch
	if command.At < quarantine.ProbeAt || !mayProbe {
		return refusef("worker %s is in quarantine", task.Worker)
	}
	for _, other := range c.tasks.rows {
		if other.Worker == task.Worker && other.Started >= quarantine.Since {
			return refusef("worker %s is in quarantine and has its probe", task.Worker)
		}
	}
	return ""
}

func (c *core) validateInstanceStart(task *model.Task, pool model.PoolID) Refusal {
	service := c.site.services[task.Service]
	if service == nil {
		return refusef("the manifest has no service %q", truncateText(string(task.Service)))
	}
	if service.Pool != pool {
		return refusef("service %s runs in pool %s", service.ID, service.Pool)
	}
	if limit := service.Instances + service.MaxSurge(); task.Ordinal < 0 || task.Ordinal >= limit {
		return refusef("service %s has instances 0 to %d", service.ID, limit-1)
	}
	other := c.derived.instanceTasks[instanceKey{task.Service, task.Ordinal}]
	if other != "" && !c.rules.SkipOneTask {
		return refusef("task %s runs this instance", other)
	}
	if c.quarantines.get(task.Worker) != nil {
		return refusef("worker %s is in quarantine", task.Worker)
	}
	return ""
}

// renewTasks extends leases. A lease never becomes shorter, because the worker
// may already have received the longer one.
func (c *core) renewTasks(command *Command, r *RenewTasks) Refusal {
	if refused := validateLease(command, r.LeaseUntil); refused != "" {
		return refused
	}
	renewed := 0
	for _, task := range c.toRenew(r) {
		renewed++
		if task.LeaseUntil >= r.LeaseUntil {
			continue
		}
		changed := *task
		changed.LeaseUntil = r.LeaseUntil
		c.putTask(&changed)
	}
	if renewed == 0 {
		return "none of the tasks is recorded"
	}
	return ""
}

// toRenew returns the tasks whose leases are to be renewed.
func (c *core) toRenew(r *RenewTasks) []*model.Task {
	if r.AllExcept {
		return c.tasksExcept(r.Tasks)
	}
	tasks := make([]*model.Task, 0, len(r.Tasks))
	for _, id := range r.Tasks {
		if task := c.tasks.get(id); task != nil {
			tasks = append(tasks, task)
		}
	}
	return tasks
}

func (c *core) tasksExcept(ids []model.TaskID) []*model.Task {
	except := make(map[model.TaskID]bool, len(ids))
	for _, id := range ids {
		except[id] = true
	}
	tasks := make([]*model.Task, 0, c.tasks.len())
	for id, task := range c.tasks.rows {
		if !except[id] {
			tasks = append(tasks, task)
		}
	}
	return tasks
}

func (c *core) updateTask(u *UpdateTask) Refusal {
	task := c.tasks.get(u.Task)
	if task == nil {
		return "no such task"
	}
	if u.State < task.State || u.State > model.TaskStopping {
		return "a task only goes from starting to running to stopping"
	}
	if u.State == task.State && u.Throttled == task.Throttled {
		return ""
	}
	changed := *task
	changed.State = u.State
	changed.Throttled = u.Throttled
	c.putTask(&changed)
	return ""
}
