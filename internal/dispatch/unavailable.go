package dispatch

import "github.com/comfreyloom/comfreyloom/internal/workload"

// budgetBlocker returns nil if the availability budget of a long-running step
// allows a run to be stopped, and otherwise one of the tasks that must be available
// first. The budget bounds how many tasks of the step may be unavailable at once,
// whatever the cause. Every order that
// stops a long-running task must check it.
func (d *Dispatcher) budgetBlocker(run workload.RunRef, spec *workload.StepSpec, step *workload.Step) *workload.TaskRef {
	return d.findBudgetBlocker(run, spec, step, func(ref workload.TaskRef, task *workload.Task) bool { return d.isAvailable(ref, task) })
}

// stallBudgetBlocker is budgetBlocker for a stalled run. It does not wait for
// other stalled runs: they would wait for each other.
func (d *Dispatcher) stallBudgetBlocker(run workload.RunRef, spec *workload.StepSpec, step *workload.Step) *workload.TaskRef {
	return d.findBudgetBlocker(run, spec, step, func(ref workload.TaskRef, task *workload.Task) bool {
		return d.isAvailable(ref, task) || d.isStalled(ref, task)
	})
}

func (d *Dispatcher) findBudgetBlocker(run workload.RunRef, spec *workload.StepSpec, step *workload.Step, isAvailable func(workload.TaskRef, *workload.Task) bool) *workload.TaskRef {
	if d.skipBudget {
		return nil
	}
	unavailable := 0
	for i := range step.Tasks {
		ref := run.Task
		ref.Index = i
		if i == run.Task.Index || isAvailable(ref, &step.Tasks[i]) {
			continue
		}
		if unavailable++; unavailable >= max(spec.MaxUnavailable, 1) {
			return &ref
		}
	}
	return nil
}

// isStalled reports whether a task has a run that shows no progress and is not
// being stopped.
func (d *Dispatcher) isStalled(ref workload.TaskRef, task *workload.Task) bool {
	for _, run := range task.Runs {
		if l := d.links[run.Worker]; l != nil && l.isStalled(workload.RunRef{Task: ref, Attempt: run.Attempt}) {
			return true
		}
	}
	return false
}

// isAvailable reports whether a long-running task was available in the last
// list, which is recent, and is not being stopped.
func (d *Dispatcher) isAvailable(ref workload.TaskRef, task *workload.Task) bool {
	for _, run := range task.Runs {
		if l := d.links[run.Worker]; l != nil && l.isAvailable(workload.RunRef{Task: ref, Attempt: run.Attempt}) {
			return true
		}
	}
	return false
}
