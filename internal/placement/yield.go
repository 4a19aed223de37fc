package placement

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/estimate"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// preemption is the set of batch tasks on one VM that are throttled or stopped
// to free capacity.
type preemption struct {
	tasks []preemptedTask
	// gain is what the tasks free.
	gain model.Resources
	cost int
}

// preemptedTask is a task and how it is preempted.
type preemptedTask struct {
	task *model.Task
	kind ActionKind
}

// Costs order preemptions: a stop loses work, a checkpoint moves a job, a
// throttle only slows one down.
const (
	throttleCost   = 1
	checkpointCost = 10
	stopCost       = 100
)

func (c *preemption) add(v victim, kind ActionKind, gain model.Resources) {
	c.tasks = append(c.tasks, preemptedTask{v.task, kind})
	c.gain = c.gain.Plus(gain)
	switch kind {
	case Throttle:
		c.cost += throttleCost
	case Checkpoint:
		c.cost += checkpointCost
	default:
		c.cost += stopCost
	}
}

// reset empties the preemption and keeps its memory.
func (c *preemption) reset() { *c = preemption{tasks: c.tasks[:0]} }

// reserveForInstances frees capacity for instances for which no VM was found.
// They come before all jobs: without them the services miss their budgets.
func (p *planner) reserveForInstances(shortages []Shortage) {
	for _, shortage := range shortages {
		s := p.ix.Service(shortage.Service)
		if s == nil || shortage.Reject != NoFreeCapacity {
			continue
		}
		why := fmt.Sprintf("instance %d of service %s needs the room", shortage.Ordinal, shortage.Service)
		if ps := p.pool(s.Spec.Pool); ps != nil {
			p.reserveByPreemption(ps, nil, s.Spec.Size, why)
		}
	}
}

// reserveForJob reserves capacity for an urgent job on the VM where preemption
// is cheapest, so that smaller jobs don't take what becomes free.
func (p *planner) reserveForJob(ps *poolState, j *model.Job, size model.Resources) bool {
	return p.reserveByPreemption(ps, j, size, fmt.Sprintf("urgent job %s needs the room", j.Spec.ID))
}

func (p *planner) reserveByPreemption(ps *poolState, j *model.Job, size model.Resources, why string) bool {
	if impliedBy(ps.noPreemption, size) || len(p.planned) >= p.o.MaxPreemptions {
		return false
	}
	best, avoided := p.cheapestPreemption(ps, j, size)
	switch {
	case best != nil:
		p.preempt(best, size, why)
	case !avoided:
		ps.noPreemption = addMinimal(ps.noPreemption, size)
	}
	return best != nil
}

// cheapestPreemption finds, among the first scanLimit candidates, the VM where
// freeing capacity for the size costs the least, and leaves the preemption in
// p.best. Avoided reports that a VM was skipped because the job failed there.
func (p *planner) cheapestPreemption(ps *poolState, j *model.Job, size model.Resources) (best *vmState, avoided bool) {
	scanned := 0
	for _, vs := range ps.vms {
		p.findVictims(vs)
		free := vs.free()
		if !size.Fits(free.Plus(vs.reclaimable)) {
			continue
		}
		if j != nil && failedOn(j, vs.vm) {
			avoided = true
			continue
		}
		if !p.planPreemption(vs, size.Minus(free.Plus(vs.releasing))) {
			continue
		}
		if best == nil || p.current.cost < p.best.cost {
			best = vs
			p.current, p.best = p.best, p.current
		}
		if scanned++; scanned == scanLimit || p.best.cost <= throttleCost {
			break
		}
	}
	return best, avoided
}

// preempt reserves the capacity and plans the preemption in p.best.
func (p *planner) preempt(vs *vmState, size model.Resources, why string) {
	vs.reserved = vs.reserved.Plus(size)
	vs.releasing = vs.releasing.Plus(p.best.gain)
	for _, v := range p.best.tasks {
		p.preempted[v.task.ID] = true
		p.planned = append(p.planned, PlannedAction{v.kind, ForUrgent, v.task, why})
	}
	vs.victims = slices.DeleteFunc(vs.victims, func(v victim) bool { return p.preempted[v.task.ID] })
	vs.sumReclaimable()
}

// planPreemption computes into p.current the cheapest preemption on the VM that
// frees what is missing. It reports whether that is enough.
func (p *planner) planPreemption(vs *vmState, missing model.Resources) bool {
	p.current.reset()
	if missing.Fits(model.Resources{}) {
		return true
	}
	if missing.MemoryMB <= 0 && missing.Accelerators <= 0 {
		if p.throttleVictims(vs.victims, missing) {
			return true
		}
		// Throttling alone is not enough. Drop it, since stopping a task frees
		// more.
		p.current.reset()
	}
	missing = p.stopVictims(vs.victims, Checkpoint, missing)
	return p.stopVictims(vs.victims, Stop, missing).Fits(model.Resources{})
}

// findVictims computes what tasks that were told to stop will free, and lists
// the batch tasks that can be preempted. The latest come first because they
// lose the least work.
func (p *planner) findVictims(vs *vmState) {
	if vs.victimsKnown {
		return
	}
	vs.victimsKnown = true
	for i := range vs.vm.Running {
		switch t := &vs.vm.Running[i]; {
		case t.Task.State == model.TaskStopping:
			vs.releasing = vs.releasing.Plus(t.Charge)
		case t.Preemptible():
			vs.victims = append(vs.victims, victim{t.Task, t.Job, t.Charge})
		}
	}
	slices.SortFunc(vs.victims, func(a, b victim) int {
		return cmp.Or(cmp.Compare(b.task.Started, a.task.Started), cmp.Compare(a.task.ID, b.task.ID))
	})
	vs.sumReclaimable()
}

func (vs *vmState) sumReclaimable() {
	vs.reclaimable = vs.releasing
	for _, v := range vs.victims {
		vs.reclaimable = vs.reclaimable.Plus(v.charge)
	}
}

// victim is a batch task that can be preempted.
type victim struct {
	task   *model.Task
	job    *model.Job
	charge model.Resources
}

// throttleVictims reduces tasks to their throttled share until no processors
// are missing. It reports whether that is enough.
func (p *planner) throttleVictims(victims []victim, missing model.Resources) bool {
	for _, v := range victims {
		gain := estimate.ThrottleGain(v.charge.MilliCPU, v.task.Size.MilliCPU)
		if v.task.Throttled || !v.job.Spec.Throttleable || gain <= 0 {
			continue
		}
		p.current.add(v, Throttle, model.Resources{MilliCPU: gain})
		missing.MilliCPU -= gain
		if missing.MilliCPU <= 0 {
			return true
		}
	}
	return false
}

// stopVictims stops tasks, with or without a checkpoint, until nothing is
// missing. It returns what is still missing.
func (p *planner) stopVictims(victims []victim, kind ActionKind, missing model.Resources) model.Resources {
	for _, v := range victims {
		if missing.Fits(model.Resources{}) {
			break
		}
		if !p.mayStop(v.job, kind) || !freesMissing(v.charge, missing) {
			continue
		}
		p.current.add(v, kind, v.charge)
		missing = missing.Minus(v.charge)
	}
	return missing
}

func (p *planner) mayStop(job *model.Job, kind ActionKind) bool {
	return mayStop(job, kind) || p.o.Rules.SkipIdempotent
}

// mayStop reports whether the job can be stopped in this way and run again. A
// job that is not idempotent is never preempted, because it would not run
// again.
func mayStop(job *model.Job, kind ActionKind) bool {
	if !job.Spec.Idempotent {
		return false
	}
	return (kind == Checkpoint) == job.Spec.Checkpoints
}

func freesMissing(charge, missing model.Resources) bool {
	return missing.MilliCPU > 0 && charge.MilliCPU > 0 || missing.MemoryMB > 0 && charge.MemoryMB > 0 ||
		missing.Accelerators > 0 && charge.Accelerators > 0
}
