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
	d.fleet.lacking = map[string]bool{}
	d.fleet.unplaced = d.unplacedPools(t, now)
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
		pool := t.Queues[job.Queue].Pool
		switch {
		case !spec.Lasting:
			if all {
				l.evictRun(run)
			}
		case job.State.Final():
			if leaving || d.awayBut(run, spec, step) == nil {
				l.evictRun(run) // nothing comes in its place
			}
		case d.fleet.unplaced[pool]:
		case !d.hasPlace(t, job, spec, step, id):
			d.fleet.lacking[pool] = true
		case leaving || d.awayBut(run, spec, step) == nil:
			l.evictRun(run)
			d.fleet.unplaced[pool] = true
		}
	}
}

// unplacedPools lists the pools in which an evicted lasting task has not started
// elsewhere yet. The next one there waits for it: both would count on the same
// room.
func (d *Dispatcher) unplacedPools(t *workload.Tables, now time.Duration) map[string]bool {
	pools := d.fleet.demand.WaitingPools(t, now)
	for id, l := range d.links {
		for run := range t.Runs[id] {
			if job := t.Jobs[run.Task.Job]; job != nil && l.evicts(run) {
				pools[t.Queues[job.Queue].Pool] = true
			}
		}
	}
	return pools
}

// hasPlace says whether another worker of the pool can take a lasting task now.
// Without one a task that is evicted serves nobody until a VM has come; its pool
// asks for that VM first.
func (d *Dispatcher) hasPlace(t *workload.Tables, job *workload.Job, spec *workload.StepSpec, step *workload.Step, except workload.WorkerID) bool {
	here := map[workload.WorkerID]int{}
	for i := range step.Tasks {
		for _, run := range step.Tasks[i].Runs {
			here[run.Worker]++
		}
	}
	pool, now := t.Queues[job.Queue].Pool, d.now()
	for id, w := range t.Workers {
		l := d.links[id]
		if l == nil || id == except || w.Pool != pool || w.Draining || w.Closed || !w.Has(spec.Label) {
			continue
		}
		if spec.MaxPerWorker > 0 && here[id] >= spec.MaxPerWorker || !spec.Charge().Fits(w.Capacity.Minus(t.Used[id])) {
			continue
		}
		l.mu.Lock()
		takes := !l.closing && l.usable(now)
		l.mu.Unlock()
		if takes {
			return true
		}
	}
	return false
}
