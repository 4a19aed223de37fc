package schedule

import (
	"cmp"
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// placement is a tentative assignment of one task to one candidate.
type placement struct {
	index     int
	candidate *candidate
}

// placeStep starts as many tasks of a step as fit; of a gang all or none.
func (p *planner) placeStep(w waitingStep) {
	if p.isUnplaceable(w) {
		return
	}
	fit := p.filter(w)
	if len(fit) == 0 {
		return
	}
	if w.spec().SameRack {
		fit = p.selectRack(w, fit)
	}
	fit = p.preferDataRack(w, fit)
	placed := p.placeTasks(w, fit)
	if w.spec().Gang && len(placed) < w.spec().Count {
		p.rollBack(w, placed)
		return
	}
	p.addStarts(w, placed)
}

// isUnplaceable reports whether a step that needs no more than this one already
// failed to fit in the pool. At a peak thousands of steps wait, and checking every
// worker for each of them would take too long.
func (p *planner) isUnplaceable(w waitingStep) bool {
	charge := w.spec().Charge()
	for _, failed := range p.unplaceable[w.queue.Pool] {
		if failed.Fits(charge) {
			return true
		}
	}
	return false
}

// recordUnplaceable records that a step that may use any worker of the pool fits on
// none.
func (p *planner) recordUnplaceable(w waitingStep, fit []*candidate) {
	spec := w.spec()
	if spec.MaxPerWorker == 0 && len(fit) == len(p.pools[w.queue.Pool]) {
		p.unplaceable[w.queue.Pool] = append(p.unplaceable[w.queue.Pool], spec.Charge())
	}
}

// filter returns the workers that may run the step, regardless of their free
// capacity.
func (p *planner) filter(w waitingStep) []*candidate {
	spec := w.spec()
	if spec.Label == "" && w.queue.Advisor == nil && !spec.LongRunning {
		return p.pools[w.queue.Pool]
	}
	allowed := func(workload.WorkerID) bool { return true }
	if w.queue.Advisor != nil {
		ref := StepRef{Job: w.job.ID, Occurrence: w.occurrence.K, Step: w.step}
		advice := p.Advice(ref)
		if advice == nil {
			p.plan.AdviceNeeded = append(p.plan.AdviceNeeded, ref)
			return nil
		}
		allowed = func(id workload.WorkerID) bool { return advice.Tickets[id] != "" }
	}
	var fit []*candidate
	for _, c := range p.pools[w.queue.Pool] {
		if c.worker.HasLabel(spec.Label) && allowed(c.worker.ID) && !(spec.LongRunning && c.state.Evacuating) {
			fit = append(fit, c)
		}
	}
	return fit
}

// selectRack returns the candidates of one rack: the one on which tasks of the step
// run already, otherwise the one with free capacity for the most tasks. If no rack
// fits all tasks, the step uses several racks: it is slower, but it runs.
func (p *planner) selectRack(w waitingStep, fit []*candidate) []*candidate {
	racks := map[string][]*candidate{}
	for _, c := range fit {
		racks[c.worker.Rack] = append(racks[c.worker.Rack], c)
	}
	if rack := rackOf(p.Tables, w); rack != "" && len(racks[rack]) > 0 {
		return racks[rack]
	}
	best, bestCount := fit, 0
	for _, rack := range sortedKeys(racks) {
		n := countFits(racks[rack], w.spec())
		if n >= w.spec().Count && n > bestCount {
			best, bestCount = racks[rack], n
		}
	}
	return best
}

const (
	// remoteDataFactor is how many times as long a task takes on another rack than
	// its data, according to the users.
	remoteDataFactor = 3
	// busyThreshold is the share of a pool that must be in use for a task to wait
	// for free capacity on the rack of its data.
	busyThreshold = 0.5
)

// preferDataRack restricts the candidates to the rack of a step's data if the job
// would be late on another rack but can still be on time after a short wait. In a
// pool that is mostly idle tasks don't wait, as nothing suggests that capacity will
// be freed soon.
func (p *planner) preferDataRack(w waitingStep, fit []*candidate) []*candidate {
	spec := w.spec()
	if spec.DataRack == "" {
		return fit
	}
	var near []*candidate
	for _, c := range fit {
		if c.worker.Rack == spec.DataRack {
			near = append(near, c)
		}
	}
	slack := w.job.SlackMS(w.queue, w.occurrence, p.NowMS, 1)
	lateElsewhere := slack >= 0 && slack < (remoteDataFactor-1)*spec.RunMS()
	if len(near) == 0 || !lateElsewhere || !p.isBusy(w.queue.Pool) {
		return fit
	}
	return near
}

func (p *planner) isBusy(pool string) bool {
	var free, all int64
	for _, c := range p.pools[pool] {
		free += c.free.CPU
		all += c.worker.Capacity.CPU
	}
	return float64(all-free) >= busyThreshold*float64(all)
}

func sortedKeys(m map[string][]*candidate) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// countFits returns how many tasks of a step fit on the candidates.
func countFits(all []*candidate, spec *workload.StepSpec) int {
	n := 0
	for _, c := range all {
		free, onWorker := c.free, 0
		for spec.Charge().Fits(free) && (spec.MaxPerWorker == 0 || onWorker < spec.MaxPerWorker) && onWorker < spec.Count {
			free = free.Minus(spec.Charge())
			onWorker++
		}
		n += onWorker
	}
	return n
}

// rackOf returns the rack on which tasks of the step run, empty if none do.
func rackOf(t *workload.Tables, w waitingStep) string {
	for i := range w.occurrence.Steps[w.step].Tasks {
		for _, run := range w.occurrence.Steps[w.step].Tasks[i].Runs {
			if worker := t.Workers[run.Worker]; worker != nil {
				return worker.Rack
			}
		}
	}
	return ""
}

func (p *planner) placeTasks(w waitingStep, fit []*candidate) []placement {
	spec := w.spec()
	onWorker := tasksOn(w)
	var placed []placement
	tasks := w.occurrence.Steps[w.step].Tasks
	for i := range tasks {
		if tasks[i].Done || len(tasks[i].Runs) > 0 {
			continue
		}
		susp := p.suspicionOf(w.ref(i))
		if susp.isolated && !spec.Gang {
			continue // started by placeSuspects
		}
		best := p.best(spec, fit, onWorker, susp)
		if best == nil {
			p.recordUnplaceable(w, fit)
			break // the tasks of a step are identical: the others don't fit either
		}
		p.assign(w, best)
		best.recentSuspects += min(susp.lostWorkers, 1)
		best.reserved = best.reserved || susp.isolated
		onWorker[best.worker.ID]++
		placed = append(placed, placement{index: i, candidate: best})
		if len(p.plan.Starts)+len(placed) >= p.MaxStarts && !spec.Gang {
			break
		}
	}
	return placed
}

// tasksOn returns the number of tasks of the step on each worker.
func tasksOn(w waitingStep) map[workload.WorkerID]int {
	onWorker := map[workload.WorkerID]int{}
	for i := range w.occurrence.Steps[w.step].Tasks {
		for _, run := range w.occurrence.Steps[w.step].Tasks[i].Runs {
			onWorker[run.Worker]++
		}
	}
	return onWorker
}

// best returns the candidate with the highest score among those that the task fits
// on, nil if there is none.
func (p *planner) best(spec *workload.StepSpec, fit []*candidate, onWorker map[workload.WorkerID]int, susp suspicion) *candidate {
	var best *candidate
	var bestScore score
	for _, c := range fit {
		if !p.fits(spec, c, onWorker) || !susp.allows(c) {
			continue
		}
		s := scoreOf(spec, c, onWorker[c.worker.ID], susp)
		if best == nil || s.compare(bestScore) > 0 {
			best, bestScore = c, s
		}
	}
	return best
}

// score ranks a candidate. Higher is better; a field only counts if all fields
// before it are equal.
type score struct {
	// reliability is higher on workers with fewer recent failures.
	reliability int
	// dataLocal is 1 if the data is on the candidate's rack.
	dataLocal int
	// undisturbed is lower where a best-effort task would run beside one with a
	// latency target.
	undisturbed int
	// isolation is lower where a crash of the worker would leave open which of
	// several tasks caused it.
	isolation int
	// stability is lower for a long-running task where the VM will be maintained
	// soon.
	stability int
	// spread is lower where several long-running tasks of the step run already, so
	// that the loss of one VM doesn't take down most of them.
	spread int
	// consolidation is higher for a long-running task where other long-running
	// tasks run already: VMs without any can move to a pool that needs them.
	consolidation int
	// packing is higher the less processor capacity is left free: packing tasks on
	// few VMs keeps the others free.
	packing int64
}

// longRunningPerWorker is how many long-running tasks of a step may share a worker
// before another worker is preferred.
const longRunningPerWorker = 2

func scoreOf(spec *workload.StepSpec, c *candidate, onWorker int, susp suspicion) score {
	s := score{reliability: -c.state.RecentFailures, isolation: susp.isolationRank(c), packing: spec.Need.CPU - c.free.CPU}
	if spec.DataRack != "" && c.worker.Rack == spec.DataRack {
		s.dataLocal = 1
	}
	if (spec.BestEffort && c.hasLatencyTarget) || (spec.TargetMS > 0 && c.hasBestEffort) {
		s.undisturbed = -1
	}
	if spec.LongRunning && c.state.MaintenanceSoon {
		s.stability = -1
	}
	if spec.LongRunning && c.hasLongRunning {
		s.consolidation = 1
	}
	if spec.LongRunning {
		s.spread = -max(onWorker-longRunningPerWorker+1, 0)
	}
	return s
}

func (s score) compare(o score) int {
	return cmp.Or(
		cmp.Compare(s.reliability, o.reliability),
		cmp.Compare(s.dataLocal, o.dataLocal),
		cmp.Compare(s.undisturbed, o.undisturbed),
		cmp.Compare(s.isolation, o.isolation),
		cmp.Compare(s.stability, o.stability),
		cmp.Compare(s.spread, o.spread),
		cmp.Compare(s.consolidation, o.consolidation),
		cmp.Compare(s.packing, o.packing),
	)
}

// rollBack reverts the assignments of a gang that does not fit as a whole.
func (p *planner) rollBack(w waitingStep, placed []placement) {
	for _, pl := range placed {
		pl.candidate.free = pl.candidate.free.Plus(w.spec().Charge())
		pl.candidate.runs--
		pl.candidate.recentRuns--
	}
}

func (p *planner) addStarts(w waitingStep, placed []placement) {
	tasks := w.occurrence.Steps[w.step].Tasks
	shared := 0
	for i := range tasks {
		shared = max(shared, tasks[i].Attempt)
	}
	for _, pl := range placed {
		attempt := tasks[pl.index].Attempt + 1
		if w.spec().Gang {
			attempt = shared + 1
		}
		ref := workload.TaskRef{Job: w.job.ID, Occurrence: w.occurrence.K, Step: w.step, Index: pl.index}
		p.plan.Starts = append(p.plan.Starts, workload.Start{
			Worker: pl.candidate.worker.ID, Run: workload.RunRef{Task: ref, Attempt: attempt},
		})
		pl.candidate.hasLatencyTarget = pl.candidate.hasLatencyTarget || w.spec().TargetMS > 0
		pl.candidate.hasBestEffort = pl.candidate.hasBestEffort || w.spec().BestEffort
	}
}
