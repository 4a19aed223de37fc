package placement

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/estimate"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// concession is what batch work on one VM gives up to make room.
type concession struct {
	yields []yield
	// gain is what the yields free.
	gain model.Resources
	cost int
}

// yield is what one task gives up.
type yield struct {
	task *model.Task
	kind WishKind
}

// Costs order concessions: a stop loses work, a checkpoint moves a job, a
// throttle only slows one down.
const (
	throttleCost   = 1
	checkpointCost = 10
	stopCost       = 100
)

func (c *concession) add(y yielder, kind WishKind, gain model.Resources) {
	c.yields = append(c.yields, yield{y.task, kind})
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

// reset empties the concession and keeps its memory.
func (c *concession) reset() { *c = concession{yields: c.yields[:0]} }

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
	if covered(r.noYield, size) || len(p.wishes) >= p.o.MaxYields {
		return false
	}
	best, avoided := p.leastYield(r, j, size)
	switch {
	case best != nil:
		p.take(best, size, why)
	case !avoided:
		r.noYield = cover(r.noYield, size)
	}
	return best != nil
}

// leastYield finds the slot where the least has to yield for the size, and
// leaves in p.best what does. Avoided says that a slot was passed over because
// the job failed there.
func (p *planner) leastYield(r *room, j *model.Job, size model.Resources) (best *slot, avoided bool) {
	scanned := 0
	for _, s := range r.slots {
		p.countYield(s)
		free := s.free()
		if !size.Fits(free.Plus(s.most)) {
			continue
		}
		if j != nil && failedOn(j, s.vm) {
			avoided = true
			continue
		}
		if !p.concede(s, size.Minus(free.Plus(s.coming))) {
			continue
		}
		if best == nil || p.try.cost < p.best.cost {
			best = s
			p.try, p.best = p.best, p.try
		}
		if scanned++; scanned == scanLimit || p.best.cost <= throttleCost {
			break
		}
	}
	return best, avoided
}

// take holds the room and enters what yields for it, as p.best says.
func (p *planner) take(s *slot, size model.Resources, why string) {
	s.held = s.held.Plus(size)
	s.coming = s.coming.Plus(p.best.gain)
	for _, y := range p.best.yields {
		p.yielding[y.task.ID] = true
		p.wishes = append(p.wishes, Wish{y.kind, ForUrgent, y.task, why})
	}
	s.yielders = slices.DeleteFunc(s.yielders, func(y yielder) bool { return p.yielding[y.task.ID] })
	s.sumMost()
}

// concede works out the least that batch work on the VM must give up for what
// is missing, into p.try. It reports whether that is enough.
func (p *planner) concede(s *slot, missing model.Resources) bool {
	p.try.reset()
	if missing.Fits(model.Resources{}) {
		return true
	}
	if missing.MemoryMB <= 0 && missing.Accelerators <= 0 {
		if p.throttle(s.yielders, missing) {
			return true
		}
		// Throttling alone is not enough: leave it, what stops frees more.
		p.try.reset()
	}
	missing = p.release(s.yielders, Checkpoint, missing)
	return p.release(s.yielders, Stop, missing).Fits(model.Resources{})
}

// countYield works out what tasks that were told to stop will free, and which
// batch tasks can yield, the latest first: they lose the least work.
func (p *planner) countYield(s *slot) {
	if s.counted {
		return
	}
	s.counted = true
	for i := range s.vm.Running {
		switch t := &s.vm.Running[i]; {
		case t.Task.State == model.TaskStopping:
			s.coming = s.coming.Plus(t.Charge)
		case t.Yields():
			s.yielders = append(s.yielders, yielder{t.Task, t.Job, t.Charge})
		}
	}
	slices.SortFunc(s.yielders, func(a, b yielder) int {
		return cmp.Or(cmp.Compare(b.task.Started, a.task.Started), cmp.Compare(a.task.ID, b.task.ID))
	})
	s.sumMost()
}

func (s *slot) sumMost() {
	s.most = s.coming
	for _, y := range s.yielders {
		s.most = s.most.Plus(y.charge)
	}
}

// yielder is a batch task that can give up something.
type yielder struct {
	task   *model.Task
	job    *model.Job
	charge model.Resources
}

// throttle reduces tasks to their throttled share until no processors are
// missing. It reports whether that is enough.
func (p *planner) throttle(yielders []yielder, missing model.Resources) bool {
	for _, y := range yielders {
		gain := estimate.ThrottleGain(y.charge.MilliCPU, y.task.Size.MilliCPU)
		if y.task.Throttled || !y.job.Spec.Throttleable || gain <= 0 {
			continue
		}
		p.try.add(y, Throttle, model.Resources{MilliCPU: gain})
		missing.MilliCPU -= gain
		if missing.MilliCPU <= 0 {
			return true
		}
	}
	return false
}

// release stops tasks, with or without a checkpoint, until nothing is missing.
func (p *planner) release(yielders []yielder, kind WishKind, missing model.Resources) model.Resources {
	for _, y := range yielders {
		if missing.Fits(model.Resources{}) {
			break
		}
		if !p.mayRelease(y.job, kind) || !helps(y.charge, missing) {
			continue
		}
		p.try.add(y, kind, y.charge)
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
