package dispatch

import (
	"time"

	"github.com/comfreyloom/comfreyloom/internal/capacity"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// markClosing marks the workers whose VMs are closing or have an order in
// flight, so that they get no new work, and those whose VMs will be maintained.
func (d *Dispatcher) markClosing() {
	f := d.fleet
	closed, evacuating := map[workload.WorkerID]bool{}, map[workload.WorkerID]bool{}
	awaiting := d.vmsAwaitingMaintenance()
	maintenance := map[workload.WorkerID]bool{}
	for i := range f.vms {
		vm := &f.vms[i]
		_, closing := f.closing[vm.ID]
		if closing || f.flights[vm.ID] != nil {
			closed[vm.Worker] = true
		}
		evacuating[vm.Worker] = f.evacuating[vm.ID]
		maintenance[vm.Worker] = awaiting[vm.ID]
	}
	for id, l := range d.links {
		l.mu.Lock()
		l.closing, l.evacuating, l.maintenanceSoon = closed[id], evacuating[id], maintenance[id]
		l.mu.Unlock()
	}
}

// vmsAwaitingMaintenance returns the VMs of a wave whose maintenance has not
// begun.
func (d *Dispatcher) vmsAwaitingMaintenance() map[workload.VMID]bool {
	awaiting := map[workload.VMID]bool{}
	d.config.Machine.Read(func(t *workload.Tables) {
		for _, w := range t.Waves {
			for i := range w.VMs {
				if !w.VMs[i].Begun {
					awaiting[w.VMs[i].ID] = true
				}
			}
		}
	})
	return awaiting
}

// evict stops the runs that delay the maintenance of a closing VM, and the
// long-running tasks on VMs that are evacuated and on draining workers.
func (d *Dispatcher) evict(t *workload.Tables, now time.Duration) {
	d.fleet.lackingWorker = map[string]bool{}
	d.fleet.awaitingRestart = d.poolsAwaitingRestart(t, now)
	for i := range d.fleet.vms {
		vm := &d.fleet.vms[i]
		c, closing := d.fleet.closing[vm.ID]
		if closing && c.Order.Kind == capacity.Maintain {
			d.evictWorker(t, vm.Worker, now-c.Since > shortTaskGrace)
		} else if d.fleet.evacuating[vm.ID] {
			d.evictWorker(t, vm.Worker, false)
		}
	}
	for id, w := range t.Workers {
		if w.Draining {
			d.evictWorker(t, id, false)
		}
	}
}

// evictWorker evicts the long-running tasks of a worker as far as their budgets
// allow, and its other tasks if shortTasks is set.
func (d *Dispatcher) evictWorker(t *workload.Tables, id workload.WorkerID, shortTasks bool) {
	l := d.links[id]
	if l == nil {
		return
	}
	draining, why := t.Workers[id] != nil && t.Workers[id].Draining, evictedForMaintenance
	if draining {
		why = evictedFromDraining
	}
	for run := range t.Runs[id] {
		job, step, task := t.Task(run.Task)
		if task == nil || l.isEvicted(run) {
			continue
		}
		spec := &job.Spec.Steps[run.Task.Step]
		pool := t.Queues[job.Queue].Pool
		switch {
		case !spec.LongRunning:
			if shortTasks {
				l.evictRun(run, why)
			}
		case job.State.Final():
			if draining || d.budgetBlocker(run, spec, step) == nil {
				l.evictRun(run, evictedWithJob) // nothing is started in its place
			}
		case d.fleet.awaitingRestart[pool]:
		case !d.canPlaceElsewhere(t, job, spec, step, id):
			d.fleet.lackingWorker[pool] = true
		case draining || d.budgetBlocker(run, spec, step) == nil:
			l.evictRun(run, why)
			d.fleet.awaitingRestart[pool] = true
		}
	}
}

// poolsAwaitingRestart returns the pools in which an evicted long-running task
// has not started elsewhere yet. The next eviction in such a pool waits for it,
// since both would count on the same free capacity.
func (d *Dispatcher) poolsAwaitingRestart(t *workload.Tables, now time.Duration) map[string]bool {
	pools := d.fleet.demand.WaitingPools(t, now)
	for id, l := range d.links {
		for run := range t.Runs[id] {
			if job := t.Jobs[run.Task.Job]; job != nil && l.isEvicted(run) {
				pools[t.Queues[job.Queue].Pool] = true
			}
		}
	}
	return pools
}

// canPlaceElsewhere reports whether another worker of the pool can take a
// long-running task now. If none can, an evicted task would be down until a VM
// has been added, so its pool requests that VM first.
func (d *Dispatcher) canPlaceElsewhere(t *workload.Tables, job *workload.Job, spec *workload.StepSpec, step *workload.Step, except workload.WorkerID) bool {
	tasksOn := map[workload.WorkerID]int{}
	for i := range step.Tasks {
		for _, run := range step.Tasks[i].Runs {
			tasksOn[run.Worker]++
		}
	}
	pool, now := t.Queues[job.Queue].Pool, d.now()
	for id, w := range t.Workers {
		l := d.links[id]
		if l == nil || id == except || w.Pool != pool || w.Draining || w.Closed || !w.HasLabel(spec.Label) {
			continue
		}
		if spec.MaxPerWorker > 0 && tasksOn[id] >= spec.MaxPerWorker || !spec.Charge().Fits(w.Capacity.Minus(t.Used[id])) {
			continue
		}
		l.mu.Lock()
		accepts := !l.closing && !l.evacuating && l.usable(now)
		l.mu.Unlock()
		if accepts {
			return true
		}
	}
	return false
}
