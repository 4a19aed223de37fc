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

// settle turns what the platform reported about tasks into actions.
func (c *Controller) settle(ix *fleet.Index) []state.Action {
	var actions []state.Action
	for _, t := range sortedTasks(ix.Snap.View, c.toSettle) {
		report, known := c.soft.world.tasks[t.ID]
		switch {
		case known && report.Ended != "":
			c.learn(ix, t, report.Ended)
			actions = append(actions, endAction(ix, t, report.Ended))
		case known && t.State == model.TaskStarting:
			actions = append(actions, state.Action{UpdateTask: &state.UpdateTask{Task: t.ID, State: model.TaskRunning, Throttled: t.Throttled}})
		case c.config.Rules.SkipLeaseWait && gone(ix.VM(t.VM)):
			actions = append(actions, state.Action{EndTask: &state.EndTask{Task: t.ID, Outcome: state.OutcomeLapsed}})
		}
	}
	ix.Plan(actions...)
	return actions
}

// toSettle leaves out the tasks of which nothing new is known: nearly all.
func (c *Controller) toSettle(t *model.Task) bool {
	report, known := c.soft.world.tasks[t.ID]
	return known && (report.Ended != "" || t.State == model.TaskStarting) || c.config.Rules.SkipLeaseWait
}

func gone(v *fleet.VM) bool { return v != nil && v.Listed != nil && v.Listed.Health != model.VMUp }

func endAction(ix *fleet.Index, t *model.Task, ended platform.Ended) state.Action {
	outcome := outcomeOf(t, ended)
	job := ix.Job(t.Job)
	moved := outcome == state.OutcomeStopped && job != nil && !job.Cancelled
	return state.Action{
		Reason:  "the platform reported the task as " + string(ended),
		EndTask: &state.EndTask{Task: t.ID, Outcome: outcome, Moved: moved},
	}
}

// outcomeOf reads the platform's word. A lapse that the platform reports is
// sure: the task has ended and may have done part of its work.
func outcomeOf(t *model.Task, ended platform.Ended) state.TaskOutcome {
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

// learn remembers how a task ended for the estimates and for health.
func (c *Controller) learn(ix *fleet.Index, t *model.Task, ended platform.Ended) {
	if ended != platform.Succeeded && ended != platform.Failed {
		return
	}
	class := health.Class(t.Service)
	if job := ix.Job(t.Job); job != nil {
		class = health.JobClass(&job.Spec)
		if ended == platform.Succeeded {
			c.soft.runtimes.observe(&job.Spec, ix.Now().Sub(t.Started))
		}
	}
	c.soft.history.Observe(health.Outcome{
		Subject: health.SubjectOf(t), Class: class, Worker: t.Worker,
		Failed: ended == platform.Failed, At: ix.Now(),
	})
}

// sortedTasks lists the tasks to look at, by ID, so that equal states yield
// equal decisions.
func sortedTasks(view *state.View, which func(*model.Task) bool) []*model.Task {
	var tasks []*model.Task
	for _, t := range view.Tasks {
		if which(t) {
			tasks = append(tasks, t)
		}
	}
	slices.SortFunc(tasks, func(a, b *model.Task) int { return cmp.Compare(a.ID, b.ID) })
	return tasks
}
