package dispatch

import (
	"time"

	"github.com/comfreyloom/comfreyloom/internal/capacity"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// closeLinks keeps new work off the workers whose VMs are about to leave.
func (d *Dispatcher) closeLinks() {
	f := d.fleet
	closed := map[workload.WorkerID]bool{}
	doomed := d.doomedMachines()
	marked := map[workload.WorkerID]bool{}
	for i := range f.vms {
		vm := &f.vms[i]
		_, closing := f.closing[vm.Machine]
		if closing || f.flights[vm.Machine] != nil {
			closed[vm.Worker] = true
		}
		marked[vm.Worker] = doomed[vm.Machine]
	}
	for id, l := range d.links {
		l.mu.Lock()
		l.closing, l.doomed = closed[id], marked[id]
		l.mu.Unlock()
	}
}

// doomedMachines lists the VMs that have a maintenance before them.
func (d *Dispatcher) doomedMachines() map[workload.MachineID]bool {
	doomed := map[workload.MachineID]bool{}
	d.config.Machine.Read(func(t *workload.Tables) {
		for _, w := range t.Waves {
			for i := range w.Machines {
				if !w.Machines[i].Begun {
					doomed[w.Machines[i].Machine] = true
				}
			}
		}
	})
	return doomed
}

// evict stops what keeps a closing VM from its order, and lasting tasks on
// workers that are leaving.
func (d *Dispatcher) evict(t *workload.Tables, now time.Duration) {
	for i := range d.fleet.vms {
		vm := &d.fleet.vms[i]
		c, closing := d.fleet.closing[vm.Machine]
		if closing && c.Order.Kind == capacity.Maintain {
			d.evictWorker(t, vm.Worker, now-c.Since > emptyBy)
		}
	}
	for id, w := range t.Workers {
		if w.Draining {
			d.evictWorker(t, id, false)
		}
	}
}

func (d *Dispatcher) evictWorker(t *workload.Tables, id workload.WorkerID, all bool) {
	l := d.links[id]
	if l == nil {
		return
	}
	leaving := t.Workers[id] != nil && t.Workers[id].Draining
	for run := range t.Runs[id] {
		job, step, task := t.Task(run.Task)
		if task == nil || l.evicts(run) {
			continue
		}
		spec := &job.Spec.Steps[run.Task.Step]
		if spec.Lasting && (leaving || d.mayStop(t, run, spec, step)) || !spec.Lasting && all {
			l.evictRun(run)
		}
	}
}

// mayStop says whether a lasting task may be stopped now: at most so many of
// its step may be away at once, whatever the cause.
func (d *Dispatcher) mayStop(t *workload.Tables, run workload.RunRef, spec *workload.StepSpec, step *workload.Step) bool {
	away := 0
	for i := range step.Tasks {
		ref := run.Task
		ref.Index = i
		if i != run.Task.Index && !d.isAtWork(ref, &step.Tasks[i]) {
			away++
		}
	}
	return away < max(spec.MaxUnavailable, 1)
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
