package schedule

import (
	"cmp"
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/workload"
)

const (
	// reservedShare is the largest share of a busy pool that is reserved for
	// suspects, idleReservedShare that of any other pool. A reserved worker becomes
	// available once the runs there have lasted long enough to be cleared.
	reservedShare     = 0.125
	idleReservedShare = 0.5
)

// suspicion is how a task is to be placed because of the workers lost under it.
type suspicion struct {
	// lostWorkers is the number of workers that were lost under it.
	lostWorkers int
	// isolated is set when the task is to be started in isolation.
	isolated bool
}

// allows reports whether a candidate may run the task.
func (s suspicion) allows(c *candidate) bool {
	if s.isolated {
		return c.recentRuns == 0
	}
	return !c.reserved
}

// isolationRank ranks a candidate by the runs among which the cause of a crash
// would be unclear, fewer being better.
func (s suspicion) isolationRank(c *candidate) int {
	switch {
	case s.isolated:
		return -c.runs
	case s.lostWorkers > 0:
		return -c.recentRuns
	default:
		return -min(c.recentSuspects, 1)
	}
}

// suspicionOf returns the suspicion of a task. From IsolationThreshold lost workers
// on it is started in isolation, so that a crash shows whether it is the cause.
func (p *planner) suspicionOf(ref workload.TaskRef) suspicion {
	lost := p.Tables.LostWorkers(ref)
	return suspicion{lostWorkers: lost, isolated: lost >= workload.IsolationThreshold && !p.Overdue[ref]}
}

// placeSuspects starts the suspects that fit on a worker without recent runs. For
// the others, and for those in gangs, it reserves the workers with the fewest
// recent runs.
func (p *planner) placeSuspects(waiting []waitingStep) {
	p.reserved = map[string]int{}
	for _, w := range waiting {
		suspects := p.suspectsOf(w)
		if len(suspects) == 0 {
			continue
		}
		w = p.withAdvice(w)
		fit := p.filter(w)
		if w.spec().Gang {
			p.reserveFor(w, fit, len(suspects))
			continue
		}
		for _, index := range suspects {
			c := p.best(w, fit, tasksOn(w), p.suspicionOf(w.ref(index)))
			if c != nil && w.permissionOf(c.worker.ID) == permissionGranted {
				p.assign(w, c)
				p.addStarts(w, []placement{{index: index, candidate: c}})
				c.reserved = true
				continue
			}
			p.reserveFor(w, fit, 1)
		}
	}
}

// suspectsOf returns the waiting tasks of a step that are to be isolated.
func (p *planner) suspectsOf(w waitingStep) []int {
	var all []int
	tasks := w.occurrence.Steps[w.step].Tasks
	for i := range tasks {
		if !tasks[i].Done && len(tasks[i].Runs) == 0 && p.suspicionOf(w.ref(i)).isolated {
			all = append(all, i)
		}
	}
	return all
}

func (p *planner) fits(spec *workload.StepSpec, c *candidate, onWorker map[workload.WorkerID]int) bool {
	return spec.Charge().Fits(c.free) && (spec.MaxPerWorker == 0 || onWorker[c.worker.ID] < spec.MaxPerWorker)
}

// reserveFor reserves workers whose capacity fits a task of the step, first those
// with the fewest recent runs, up to the share of the pool that may be reserved.
func (p *planner) reserveFor(w waitingStep, fit []*candidate, count int) {
	pool := w.queue.Pool
	share := idleReservedShare
	if p.isBusy(pool) {
		share = reservedShare
	}
	limit := max(int(share*float64(len(p.pools[pool]))), 1)
	var eligible []*candidate
	for _, c := range fit {
		if !c.reserved && w.spec().Charge().Fits(c.worker.Capacity) {
			eligible = append(eligible, c)
		}
	}
	slices.SortFunc(eligible, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(a.recentRuns, b.recentRuns), cmp.Compare(a.runs, b.runs), cmp.Compare(a.worker.ID, b.worker.ID))
	})
	for _, c := range eligible {
		if count == 0 || p.reserved[pool] >= limit {
			return
		}
		c.reserved = true
		p.reserved[pool]++
		count--
	}
}

// assign charges a candidate for a run that is to start there.
func (p *planner) assign(w waitingStep, c *candidate) {
	c.free = c.free.Minus(w.spec().Charge())
	c.hasLongRunning = c.hasLongRunning || w.spec().LongRunning
	c.runs++
	c.recentRuns++
}

// ref returns the reference of a task of the step.
func (w *waitingStep) ref(index int) workload.TaskRef {
	return workload.TaskRef{Job: w.job.ID, Occurrence: w.occurrence.K, Step: w.step, Index: index}
}
