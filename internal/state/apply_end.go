package state

import (
	"fmt"
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// endTask removes a task and updates the state of its job.
func (c *core) endTask(command *Command, a *Action, e *EndTask) Refusal {
	task := c.tasks.get(e.Task)
	if task == nil {
		return "no such task"
	}
	if refused := c.validateEnd(command, task, e.Outcome); refused != "" {
		return refused
	}
	c.guardEnd(command, task, e.Outcome)
	c.removeTask(task)
	if task.Job == "" {
		c.record(command, auditEntry{
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

func (c *core) validateEnd(command *Command, task *model.Task, o TaskOutcome) Refusal {
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

// settleJob updates the job after its task ended.
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

// afterEnd returns the job in its state after its task ended. A job that is not
// idempotent returns to the queue only if its attempt surely did not start:
// otherwise it could run twice.
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
	neverStarted := e.Outcome == OutcomeNeverStarted
	switch {
	case job.Cancelled && e.Outcome != OutcomeLapsed:
		after.State = model.JobCancelled
		after.Reason = "cancelled; its attempt " + outcomeName(e.Outcome)
	case job.Cancelled && job.Spec.Idempotent:
		after.State = model.JobCancelled
		after.Reason = "cancelled; its attempt may have run to its end"
	case job.Spec.Idempotent || neverStarted:
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
