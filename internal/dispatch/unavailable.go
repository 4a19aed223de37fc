package dispatch

import "github.com/comfreyloom/comfreyloom/internal/workload"

// awayBut decides whether a lasting run may be ended by an order of ours: so many
// of its step may be away at once, whatever the cause. It returns nil when it may,
// and otherwise one of the tasks that must be back first. Every order that ends a
// lasting task asks it.
func (d *Dispatcher) awayBut(run workload.RunRef, spec *workload.StepSpec, step *workload.Step) *workload.TaskRef {
	return d.away(run, spec, step, func(ref workload.TaskRef, task *workload.Task) bool { return d.isAtWork(ref, task) })
}

// awayButStanding is awayBut for a run that stands still. It does not wait for
// others that stand still as well: they would wait for each other.
func (d *Dispatcher) awayButStanding(run workload.RunRef, spec *workload.StepSpec, step *workload.Step) *workload.TaskRef {
	return d.away(run, spec, step, func(ref workload.TaskRef, task *workload.Task) bool {
		return d.isAtWork(ref, task) || d.standsStill(ref, task)
	})
}

func (d *Dispatcher) away(run workload.RunRef, spec *workload.StepSpec, step *workload.Step, counts func(workload.TaskRef, *workload.Task) bool) *workload.TaskRef {
	if d.skipBudget {
		return nil
	}
	away := 0
	for i := range step.Tasks {
		ref := run.Task
		ref.Index = i
		if i == run.Task.Index || counts(ref, &step.Tasks[i]) {
			continue
		}
		if away++; away >= max(spec.MaxUnavailable, 1) {
			return &ref
		}
	}
	return nil
}

// standsStill says whether a task has a run that shows no progress and is not
// being stopped.
func (d *Dispatcher) standsStill(ref workload.TaskRef, task *workload.Task) bool {
	for _, run := range task.Runs {
		if l := d.links[run.Worker]; l != nil && l.standsStill(workload.RunRef{Task: ref, Attempt: run.Attempt}) {
			return true
		}
	}
	return false
}

// isAtWork says whether a lasting task was at work in the last list, which is
// recent, and is not being stopped.
func (d *Dispatcher) isAtWork(ref workload.TaskRef, task *workload.Task) bool {
	for _, run := range task.Runs {
		if l := d.links[run.Worker]; l != nil && l.isAtWork(workload.RunRef{Task: ref, Attempt: run.Attempt}) {
			return true
		}
	}
	return false
}
