package placement

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/estimate"
	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// concession is what batch work on one VM gives up to make room.
type concession struct {
	wishes []Wish
	// throttles, checkpoints and stops count the wishes.
	throttles, checkpoints, stops int
	// gain is what the wishes free.
	gain model.Resources
}

// cost orders concessions: a stop loses work, a checkpoint moves a job, a
// throttle only slows one down.
func (c *concession) cost() int { return 100*c.stops + 10*c.checkpoints + c.throttles }

// reserveInstances makes room for instances that found no VM. They come
// before all jobs: without them the services miss their budgets.
func (p *planner) reserveInstances(shortages []Shortage) {
	for _, short := range shortages {
		s := p.ix.Service(short.Service)
		if s == nil || short.No != NoRoom {
			continue
		}
		why := fmt.Sprintf("instance %d of service %s needs the room", short.Ordinal, short.Service)
		if r := p.room(s.Spec.Pool); r != nil {
			p.reserveRoom(r, nil, s.Spec.Size, why)
		}
	}
}

// reserve holds room for an urgent job on the VM where the least has to
// yield, so that smaller jobs don't take what becomes free.
func (p *planner) reserve(r *room, j *model.Job, size model.Resources) bool {
	return p.reserveRoom(r, j, size, fmt.Sprintf("urgent job %s needs the room", j.Spec.ID))
}

func (p *planner) reserveRoom(r *room, j *model.Job, size model.Resources, why string) bool {
	var best *slot
	var bestGain *concession
	scanned := 0
	for _, s := range r.slots {
		if j != nil && failedOn(j, s.vm) || !size.Fits(s.vm.Capacity()) {
			continue
		}
		c := p.concede(s, size, why)
		if c == nil {
			continue
		}
		if best == nil || c.cost() < bestGain.cost() {
			best, bestGain = s, c
		}
		if scanned++; scanned == scanLimit || c.cost() == 0 {
			break
		}
	}
	if best == nil {
		return false
	}
	best.held = best.held.Plus(size)
	best.coming = best.coming.Plus(bestGain.gain)
	for _, w := range bestGain.wishes {
		p.yielding[w.Task.ID] = true
	}
	p.wishes = append(p.wishes, bestGain.wishes...)
	return true
}

// concede works out the least that batch work on the VM must give up for the
// size to fit; nil when that is not enough.
func (p *planner) concede(s *slot, size model.Resources, why string) *concession {
	p.countComing(s)
	c := &concession{}
	missing := size.Minus(s.free().Plus(s.coming))
	if missing.Fits(model.Resources{}) {
		return c
	}
	yielders := p.yielders(s.vm)
	if missing.MemoryMB <= 0 && missing.Accelerators <= 0 {
		missing = p.throttle(c, yielders, missing, why)
		if missing.Fits(model.Resources{}) {
			return c
		}
		// Throttling alone is not enough: leave it, what stops frees more.
		c = &concession{}
		missing = size.Minus(s.free().Plus(s.coming))
	}
	for _, kind := range []WishKind{Checkpoint, Stop} {
		missing = p.release(c, yielders, kind, missing, why)
		if missing.Fits(model.Resources{}) {
			return c
		}
	}
	return nil
}

// countComing adds what tasks that were told to stop before will free.
func (p *planner) countComing(s *slot) {
	if s.counted {
		return
	}
	s.counted = true
	for _, t := range s.vm.Tasks {
		if t.State == model.TaskStopping {
			s.coming = s.coming.Plus(p.ix.Charge(t))
		}
	}
}

// yielder is a batch task that can give up something.
type yielder struct {
	task   *model.Task
	job    *model.Job
	charge model.Resources
}

// yielders lists the batch tasks of a VM that can yield, the latest first:
// they lose the least work.
func (p *planner) yielders(v *fleet.VM) []yielder {
	var found []yielder
	for _, t := range v.Tasks {
		job := p.ix.Job(t.Job)
		if job == nil || t.State == model.TaskStopping || p.yielding[t.ID] || !fleet.Yields(job, t) {
			continue
		}
		found = append(found, yielder{t, job, p.ix.Charge(t)})
	}
	slices.SortFunc(found, func(a, b yielder) int {
		if a.task.Started != b.task.Started {
			return cmp.Compare(b.task.Started, a.task.Started)
		}
		return cmp.Compare(a.task.ID, b.task.ID)
	})
	return found
}

func (p *planner) throttle(c *concession, yielders []yielder, missing model.Resources, why string) model.Resources {
	for _, y := range yielders {
		gain := estimate.ThrottleGain(y.charge.MilliCPU, y.task.Size.MilliCPU)
		if missing.MilliCPU <= 0 || y.task.Throttled || !y.job.Spec.Throttleable || gain <= 0 {
			continue
		}
		c.wishes = append(c.wishes, Wish{Throttle, ForUrgent, y.task, why})
		c.throttles++
		c.gain.MilliCPU += gain
		missing.MilliCPU -= gain
	}
	return missing
}

// release stops tasks, with or without a checkpoint, until nothing is missing.
func (p *planner) release(c *concession, yielders []yielder, kind WishKind, missing model.Resources, why string) model.Resources {
	for _, y := range yielders {
		if missing.Fits(model.Resources{}) {
			break
		}
		if !p.mayRelease(y.job, kind) || !helps(y.charge, missing) {
			continue
		}
		c.wishes = append(c.wishes, Wish{kind, ForUrgent, y.task, why})
		if kind == Stop {
			c.stops++
		} else {
			c.checkpoints++
		}
		c.gain = c.gain.Plus(y.charge)
		missing = missing.Minus(y.charge)
	}
	return missing
}

func (p *planner) mayRelease(job *model.Job, kind WishKind) bool {
	return mayRelease(job, kind) || p.o.Rules.SkipIdempotent
}

// mayRelease reports whether stopping the job in this way can be undone. A
// job that is not idempotent is never stopped for others: it would not run again.
func mayRelease(job *model.Job, kind WishKind) bool {
	if !job.Spec.Idempotent {
		return false
	}
	return (kind == Checkpoint) == job.Spec.Checkpoints
}

func helps(charge, missing model.Resources) bool {
	return missing.MilliCPU > 0 && charge.MilliCPU > 0 || missing.MemoryMB > 0 && charge.MemoryMB > 0 ||
		missing.Accelerators > 0 && charge.Accelerators > 0
}
