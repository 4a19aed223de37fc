package state

import (
	"fmt"
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// startTask commits an attempt and its lease before the platform is called. A
// leader that takes over finds every task that may run anywhere, and starts
// no second one for the same job or instance.
func (c *core) startTask(command *Command, a *Action, s *StartTask) Refusal {
	task := s.Task
	if refused := c.badStart(command, s); refused != "" {
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
		c.record(command, entry{
			action:  "start-instance",
			subject: fmt.Sprintf("%s/%d", task.Service, task.Ordinal),
			after:   fmt.Sprintf("task %s on VM %s", task.ID, task.VM),
			cause:   a.Reason,
		})
		return ""
	}
	job := *c.jobs.get(task.Job)
	job.State = model.JobRunning
	job.Reason = clip(a.Reason)
	job.Changed = command.At
	job.Attempts++
	c.changeJob(c.jobs.get(task.Job), &job)
	return ""
}

func (c *core) badStart(command *Command, s *StartTask) Refusal {
	task := &s.Task
	if refused := badID("task", string(task.ID)); refused != "" {
		return refused
	}
	if c.tasks.get(task.ID) != nil {
		return refusef("task %s is recorded already", task.ID)
	}
	if (task.Job == "") == (task.Service == "") {
		return "a task belongs to a job or to a service"
	}
	if refused := badLease(command, task.LeaseUntil); refused != "" {
		return refused
	}
	if refused := c.badPlace(task, s.Pool); refused != "" {
		return refused
	}
	if task.Job != "" {
		return c.badJobStart(command, task, s.Pool)
	}
	return c.badInstanceStart(task, s.Pool)
}

// badLease refuses leases that ended or that bind a job for too long.
func badLease(command *Command, until model.Instant) Refusal {
	if until <= command.At {
		return "the lease ends before it begins"
	}
	if until > command.At.Add(MaxLease) {
		return refusef("the lease is longer than %s", MaxLease)
	}
	return ""
}

// badPlace refuses a VM that does not serve the pool now.
func (c *core) badPlace(task *model.Task, pool model.PoolID) Refusal {
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

func (c *core) badJobStart(command *Command, task *model.Task, pool model.PoolID) Refusal {
	job := c.jobs.get(task.Job)
	if job == nil {
		return "no such job"
	}
	if job.Spec.Pool != pool {
		return refusef("the job runs in pool %s", job.Spec.Pool)
	}
	cancelled := job.State == model.JobCancelled && c.rules.SkipCancel
	second := job.State == model.JobRunning && c.rules.SkipOneTask
	if job.State != model.JobQueued && !cancelled && !second {
		return refusef("the job is %s", job.State)
	}
	return c.badProbe(command, task, job)
}

// badProbe keeps work off a worker in quarantine, but for one idempotent batch
// job at a time once a probe is due: urgent work must not pay for the test.
func (c *core) badProbe(command *Command, task *model.Task, job *model.Job) Refusal {
	quarantine := c.quarantines.get(task.Worker)
	if quarantine == nil {
		return ""
	}
	harmless := job.Spec.Idempotent && job.Spec.Priority == model.Batch
	if command.At < quarantine.ProbeAt || !harmless {
		return refusef("worker %s is in quarantine", task.Worker)
	}
	for _, other := range c.tasks.rows {
		if other.Worker == task.Worker && other.Started >= quarantine.Since {
			return refusef("worker %s is in quarantine and has its probe", task.Worker)
		}
	}
	return ""
}

func (c *core) badInstanceStart(task *model.Task, pool model.PoolID) Refusal {
	service := c.site.services[task.Service]
	if service == nil {
		return refusef("the manifest has no service %q", clip(string(task.Service)))
	}
	if service.Pool != pool {
		return refusef("service %s runs in pool %s", service.ID, service.Pool)
	}
	if most := service.Instances + service.MaxSurge(); task.Ordinal < 0 || task.Ordinal >= most {
		return refusef("service %s has instances 0 to %d", service.ID, most-1)
	}
	other := c.derived.ordinals[ordinalKey{task.Service, task.Ordinal}]
	if other != "" && !c.rules.SkipOneTask {
		return refusef("task %s runs this instance", other)
	}
	if c.quarantines.get(task.Worker) != nil {
		return refusef("worker %s is in quarantine", task.Worker)
	}
	return ""
}

// renewTasks extends leases; a lease never becomes shorter, because the
// worker may have been told the longer one.
func (c *core) renewTasks(command *Command, r *RenewTasks) Refusal {
	if refused := badLease(command, r.LeaseUntil); refused != "" {
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

func (c *core) toRenew(r *RenewTasks) []*model.Task {
	if r.AllBut {
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

// endTask removes a task and decides what becomes of its job.
func (c *core) endTask(command *Command, a *Action, e *EndTask) Refusal {
	task := c.tasks.get(e.Task)
	if task == nil {
		return "no such task"
	}
	if refused := c.badEnd(command, task, e.Outcome); refused != "" {
		return refused
	}
	c.guardEnd(command, task, e.Outcome)
	c.removeTask(task)
	if task.Job == "" {
		c.record(command, entry{
			action:  "end-instance",
			subject: fmt.Sprintf("%s/%d", task.Service, task.Ordinal),
			before:  fmt.Sprintf("task %s on VM %s", task.ID, task.VM),
			after:   outcomeName(e.Outcome),
			cause:   a.Reason,
		})
		return ""
	}
	c.settleJob(command, task, e)
	return ""
}

func (c *core) badEnd(command *Command, task *model.Task, o TaskOutcome) Refusal {
	switch o {
	case OutcomeSucceeded, OutcomeFailed, OutcomeStopped:
		return ""
	case OutcomeNeverStarted:
		if task.State == model.TaskStarting {
			return ""
		}
		return refusef("task %s was seen running", task.ID)
	case OutcomeLapsed:
		end := task.LeaseUntil.Add(DriftMargin)
		if command.At >= end || c.rules.SkipLease {
			return ""
		}
		return refusef("task %s may run until %s", task.ID, end.Time())
	default:
		return "no such outcome"
	}
}

var outcomeNames = [...]string{"", "succeeded", "failed", "never started", "stopped", "lapsed"}

func outcomeName(o TaskOutcome) string { return outcomeNames[o] }

// settleJob moves the job on after its task ended.
func (c *core) settleJob(command *Command, task *model.Task, e *EndTask) {
	job := c.jobs.get(task.Job)
	if job == nil {
		return
	}
	after := afterEnd(job, task, e)
	after.Changed = command.At
	if ended(after.State) {
		after.Spec.Payload = nil
	}
	c.changeJob(job, &after)
	if after.Moves != job.Moves || after.State == model.JobOutcomeUnknown {
		c.recordJob(command, task.Job, job.State, after.State, after.Reason)
	}
}

// afterEnd returns the job as it is after its task ended. A job that is not
// idempotent goes back to the queue only if its attempt surely did not start:
// anything else could run it twice.
func afterEnd(job *model.Job, task *model.Task, e *EndTask) model.Job {
	after := *job
	if e.Moved {
		after.Moves++
	}
	switch e.Outcome {
	case OutcomeSucceeded:
		after.State = model.JobDone
		after.Reason = "done"
		return after
	case OutcomeFailed:
		if !slices.Contains(after.FailedOn, task.Worker) {
			after.FailedOn = append(slices.Clone(after.FailedOn), task.Worker)
		}
	case OutcomeNeverStarted:
		after.Attempts--
	}
	sure := e.Outcome == OutcomeNeverStarted
	switch {
	case job.Cancelled && e.Outcome != OutcomeLapsed:
		after.State = model.JobCancelled
		after.Reason = "cancelled; its attempt " + outcomeName(e.Outcome)
	case job.Cancelled && job.Spec.Idempotent:
		after.State = model.JobCancelled
		after.Reason = "cancelled; its attempt may have run to its end"
	case job.Spec.Idempotent || sure:
		after.State = model.JobQueued
		after.Reason = fmt.Sprintf("queued again: its attempt on VM %s %s", task.VM, outcomeName(e.Outcome))
	case e.Outcome == OutcomeFailed:
		after.State = model.JobFailed
		after.Reason = fmt.Sprintf("failed on VM %s; not idempotent, so not tried again", task.VM)
	default:
		after.State = model.JobOutcomeUnknown
		after.Reason = fmt.Sprintf("not idempotent, and its attempt on VM %s may have run", task.VM)
	}
	return after
}
