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
	w = p.withAdvice(w)
	if w.advice != nil && len(w.advice.Tickets) == 0 {
		p.plan.AdviceNeeded = append(p.plan.AdviceNeeded, w.stepRef())
		return
	}
	_, fit := p.candidatesOf(w)
	starts, _ := p.keepStartable(w, p.placeTasks(w, fit))
	p.addStarts(w, starts)
	if w.advice != nil && !w.isComplete(len(starts)) {
		p.plan.AdviceNeeded = append(p.plan.AdviceNeeded, w.stepRef())
	}
}

// candidatesOf returns the workers that may run a step, and those of them on the racks
// that suit it.
func (p *planner) candidatesOf(w waitingStep) (all, fit []*candidate) {
	all = p.filter(w)
	fit = all
	if w.spec().SameRack {
		fit = p.selectRack(w, fit)
	}
	return all, p.preferDataRack(w, fit)
}

// keepStartable returns the placements that start now, and those that only lack a ticket.
// What does not start now is rolled back, as others may use the capacity meanwhile.
func (p *planner) keepStartable(w waitingStep, placed []placement) (starts, ticketless []placement) {
	if w.spec().Gang && len(placed) < w.spec().Count {
		p.rollBack(w, placed)
		return nil, nil
	}
	starts, ticketless = w.splitByTicket(placed)
	if w.spec().Gang && len(ticketless) > 0 {
		p.rollBack(w, placed)
		return nil, ticketless
	}
	p.rollBack(w, ticketless)
	return starts, ticketless
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

// filter returns the workers that may run the step, regardless of their free capacity.
func (p *planner) filter(w waitingStep) []*candidate {
	spec := w.spec()
	if spec.Label == "" && w.queue.Advisor == nil && !spec.LongRunning {
		return p.pools[w.queue.Pool]
	}
	least := p.leastPermission(w)
	var fit []*candidate
	for _, c := range p.pools[w.queue.Pool] {
		if c.worker.HasLabel(spec.Label) && w.permissionOf(c.worker.ID) >= least && !(spec.LongRunning && c.state.Evacuating) {
			fit = append(fit, c)
		}
	}
	return fit
}

// selectRack returns the candidates of one rack: the one on which tasks of the step
// run already, otherwise the one with free capacity for the most tasks. If no rack
// fits all tasks, the step uses several racks: it is slower, but it runs.
func (p *planner) selectRack(w waitingStep, fit []*candidate) []*candidate {
	racks := byRack(w, fit, permissionUnknown)
	if rack := rackOf(p.Tables, w); rack != "" && len(racks[rack]) > 0 {
		return racks[rack]
	}
	for _, least := range w.permissionsToTry() {
		if best := roomiestRack(byRack(w, fit, least), w.spec()); best != nil {
			return best
		}
	}
	return fit
}

// permissionsToTry lists the permissions that a step may be placed with, the best first.
func (w *waitingStep) permissionsToTry() []permission {
	if w.advice == nil {
		return []permission{permissionGranted}
	}
	return []permission{permissionGranted, permissionExpired, permissionUnknown}
}

// byRack groups the candidates that have a permission or a better one by their rack.
func byRack(w waitingStep, fit []*candidate, least permission) map[string][]*candidate {
	racks := map[string][]*candidate{}
	for _, c := range fit {
		if w.permissionOf(c.worker.ID) >= least {
			racks[c.worker.Rack] = append(racks[c.worker.Rack], c)
		}
	}
	return racks
}

// roomiestRack returns the candidates of the rack with free capacity for the most tasks
// of a step, nil if no rack fits all of them.
func roomiestRack(racks map[string][]*candidate, spec *workload.StepSpec) []*candidate {
	var best []*candidate
	bestCount := 0
	for _, rack := range sortedKeys(racks) {
		n := countFits(racks[rack], spec)
		if n >= spec.Count && n > bestCount {
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
		if susp.isolated && !spec.Gang && !p.asking {
			continue // started by placeSuspects
		}
		best := p.best(w, fit, onWorker, susp)
		if best == nil {
			// What only lacks a ticket is rolled back, and its capacity is free again.
			if _, ticketless := w.splitByTicket(placed); len(ticketless) == 0 {
				p.recordUnplaceable(w, fit)
			}
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
func (p *planner) best(w waitingStep, fit []*candidate, onWorker map[workload.WorkerID]int, susp suspicion) *candidate {
	var best *candidate
	var bestScore score
	for _, c := range fit {
		if !p.fits(w.spec(), c, onWorker) || !susp.allows(c) {
			continue
		}
		s := scoreOf(w, c, onWorker[c.worker.ID], susp)
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
	// permission is higher where the task can start without asking the advisor first.
	permission permission
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

func scoreOf(w waitingStep, c *candidate, onWorker int, susp suspicion) score {
	spec := w.spec()
	s := score{
		reliability: -c.state.RecentFailures, permission: w.permissionOf(c.worker.ID),
		isolation: susp.isolationRank(c), packing: spec.Need.CPU - c.free.CPU,
	}
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
		cmp.Compare(s.permission, o.permission),
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
