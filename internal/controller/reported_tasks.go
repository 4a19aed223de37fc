package controller

import (
	"cmp"
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/health"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/platform"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// decideReportedTasks turns the platform's reports on tasks into actions.
func (c *Controller) decideReportedTasks(ix *fleet.Index) []state.Action {
	var actions []state.Action
	for _, t := range sortedTasks(ix.Snap.View, c.hasNewReport) {
		report, known := c.softState.observed.tasks[t.ID]
		switch {
		case known && report.Ended != "":
			c.recordOutcome(ix, t, report.Ended)
			actions = append(actions, endAction(ix, t, report.Ended))
		case known && t.State == model.TaskStarting:
			actions = append(actions, state.Action{UpdateTask: &state.UpdateTask{Task: t.ID, State: model.TaskRunning, Throttled: t.Throttled}})
		case c.config.Rules.SkipLeaseWait && notUp(ix.VM(t.VM)):
			actions = append(actions, state.Action{EndTask: &state.EndTask{Task: t.ID, Outcome: state.OutcomeLapsed}})
		}
	}
	ix.Plan(actions...)
	return actions
}

// hasNewReport reports whether a task's report may need an action. Nearly all
// tasks have none.
func (c *Controller) hasNewReport(t *model.Task) bool {
	report, known := c.softState.observed.tasks[t.ID]
	return known && (report.Ended != "" || t.State == model.TaskStarting) || c.config.Rules.SkipLeaseWait
}

func notUp(v *fleet.VM) bool { return v != nil && v.Listed != nil && v.Listed.Health != model.VMUp }

func endAction(ix *fleet.Index, t *model.Task, ended platform.TaskEnd) state.Action {
	outcome := outcomeOf(t, ended)
	job := ix.Job(t.Job)
	moved := outcome == state.OutcomeStopped && job != nil && !job.Cancelled
	return state.Action{
		Reason:  "the platform reported the task as " + string(ended),
		EndTask: &state.EndTask{Task: t.ID, Outcome: outcome, Moved: moved},
	}
}

// outcomeOf translates the platform's report. A lapse that the platform reports
// is certain: the task has ended and may have done part of its work.
func outcomeOf(t *model.Task, ended platform.TaskEnd) state.TaskOutcome {
	switch ended {
	case platform.Succeeded:
		return state.OutcomeSucceeded
	case platform.Failed:
		return state.OutcomeFailed
	case platform.NeverStarted:
		if t.State == model.TaskStarting {
			return state.OutcomeNeverStarted
		}
		return state.OutcomeStopped
	default:
		return state.OutcomeStopped
	}
}

// recordOutcome records how a task ended, for run time estimates and for
// health.
func (c *Controller) recordOutcome(ix *fleet.Index, t *model.Task, ended platform.TaskEnd) {
	if ended != platform.Succeeded && ended != platform.Failed {
		return
	}
	class := health.Class(t.Service)
	if job := ix.Job(t.Job); job != nil {
		class = health.JobClass(&job.Spec)
		if ended == platform.Succeeded {
			c.softState.runtimes.observe(&job.Spec, ix.Now().Sub(t.Started))
		}
	}
	c.softState.history.Observe(health.Outcome{
		Subject: health.SubjectOf(t), Class: class, Worker: t.Worker,
		Failed: ended == platform.Failed, At: ix.Now(),
	})
}

// sortedTasks returns the tasks that match, sorted by ID, so that equal states
// yield equal decisions.
func sortedTasks(view *state.View, match func(*model.Task) bool) []*model.Task {
	var tasks []*model.Task
	for _, t := range view.Tasks {
		if match(t) {
			tasks = append(tasks, t)
		}
	}
	slices.SortFunc(tasks, func(a, b *model.Task) int { return cmp.Compare(a.ID, b.ID) })
	return tasks
}
