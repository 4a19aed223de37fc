package schedule

import (
	"cmp"
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/workload"
)

const (
	// reservedShare of a busy pool is kept for suspects at most, idleReservedShare
	// of one with room. A worker is free for one within the time in which what
	// runs there proves itself.
	reservedShare     = 0.125
	idleReservedShare = 0.5
)

// doubt is what the lost workers say of a task.
type doubt struct {
	// lost is the number of workers that were lost under it.
	lost int
	// isolated: it is to be started alone.
	isolated bool
}

// allows says whether a candidate may take the task.
func (d doubt) allows(c *candidate) bool {
	if d.isolated {
		return c.unproven == 0
	}
	return !c.reserved
}

// company ranks a candidate by whom the task would put in doubt there.
func (d doubt) company(c *candidate) int {
	switch {
	case d.isolated:
		return -c.runs
	case d.lost > 0:
		return -c.unproven
	default:
		return -min(c.suspects, 1)
	}
}

// doubtOf says how a task is to be started after the workers that it lost: from
// IsolateFrom on alone, so that a crash shows whether it is the cause.
func (p *planner) doubtOf(ref workload.TaskRef) doubt {
	lost := p.Tables.Suspicion(ref)
	return doubt{lost: lost, isolated: lost >= workload.IsolateFrom && !p.Overdue[ref]}
}

// placeSuspects starts the suspects that find a worker of their own, and keeps
// the others from filling the workers that are soonest free for the rest.
func (p *planner) placeSuspects(waiting []waitingStep) {
	p.reserved = map[string]int{}
	for _, w := range waiting {
		suspects := p.suspectsOf(w)
		if len(suspects) == 0 {
			continue
		}
		fit := p.filter(w)
		if w.spec().Gang {
			p.reserveFor(w, fit, len(suspects))
			continue
		}
		for _, index := range suspects {
			if c := p.best(w.spec(), fit, tasksOn(w), p.doubtOf(w.ref(index))); c != nil {
				p.take(w, c)
				p.commit(w, []placement{{index: index, candidate: c}})
				c.reserved = true
				continue
			}
			p.reserveFor(w, fit, 1)
		}
	}
}

// suspectsOf lists the tasks of a step that wait and are to be isolated.
func (p *planner) suspectsOf(w waitingStep) []int {
	var all []int
	tasks := w.occurrence.Steps[w.step].Tasks
	for i := range tasks {
		if !tasks[i].Done && len(tasks[i].Runs) == 0 && p.doubtOf(w.ref(i)).isolated {
			all = append(all, i)
		}
	}
	return all
}

func (p *planner) hasRoom(spec *workload.StepSpec, c *candidate, here map[workload.WorkerID]int) bool {
	return spec.Charge().Fits(c.free) && (spec.MaxPerWorker == 0 || here[c.worker.ID] < spec.MaxPerWorker)
}

// reserveFor keeps the workers free that are soonest without a run that began
// lately and whose whole room holds the step, as long as the pool can spare them.
func (p *planner) reserveFor(w waitingStep, fit []*candidate, count int) {
	pool := w.queue.Pool
	share := idleReservedShare
	if p.isBusy(pool) {
		share = reservedShare
	}
	most := max(int(share*float64(len(p.pools[pool]))), 1)
	var able []*candidate
	for _, c := range fit {
		if !c.reserved && w.spec().Charge().Fits(c.worker.Capacity) {
			able = append(able, c)
		}
	}
	slices.SortFunc(able, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(a.unproven, b.unproven), cmp.Compare(a.runs, b.runs), cmp.Compare(a.worker.ID, b.worker.ID))
	})
	for _, c := range able {
		if count == 0 || p.reserved[pool] >= most {
			return
		}
		c.reserved = true
		p.reserved[pool]++
		count--
	}
}

// take charges a candidate with a run that is to start there.
func (p *planner) take(w waitingStep, c *candidate) {
	c.free = c.free.Minus(w.spec().Charge())
	c.lasts = c.lasts || w.spec().Lasting
	c.runs++
	c.unproven++
}

// ref names a task of the step.
func (w *waitingStep) ref(index int) workload.TaskRef {
	return workload.TaskRef{Job: w.job.ID, Occurrence: w.occurrence.K, Step: w.step, Index: index}
}
