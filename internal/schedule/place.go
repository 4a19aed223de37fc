package schedule

import (
	"cmp"
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// placement is one task on one candidate, before it is certain.
type placement struct {
	index     int
	candidate *candidate
}

// placeStep starts as many tasks of a step as find room; all or none of a gang.
func (p *planner) placeStep(w waitingStep) {
	if p.isFull(w) {
		return
	}
	fit := p.filter(w)
	if len(fit) == 0 {
		return
	}
	if w.spec().SameRack {
		fit = p.oneRack(w, fit)
	}
	fit = p.nearData(w, fit)
	placed := p.placeTasks(w, fit)
	if w.spec().Gang && len(placed) < w.spec().Count {
		p.undo(w, placed)
		return
	}
	p.commit(w, placed)
}

// isFull says whether a step with needs as small found no room in the pool. In a
// peak thousands of steps wait, and each would look at every worker.
func (p *planner) isFull(w waitingStep) bool {
	charge := w.spec().Charge()
	for _, failed := range p.full[w.queue.Pool] {
		if failed.Fits(charge) {
			return true
		}
	}
	return false
}

// noteFull notes that a step found no room though any worker would have done.
func (p *planner) noteFull(w waitingStep, fit []*candidate) {
	spec := w.spec()
	if spec.MaxPerWorker == 0 && len(fit) == len(p.pools[w.queue.Pool]) {
		p.full[w.queue.Pool] = append(p.full[w.queue.Pool], spec.Charge())
	}
}

// filter returns the workers that may run the step, whatever their room.
func (p *planner) filter(w waitingStep) []*candidate {
	spec := w.spec()
	if spec.Label == "" && w.queue.Advisor == nil {
		return p.pools[w.queue.Pool]
	}
	allowed := func(workload.WorkerID) bool { return true }
	if w.queue.Advisor != nil {
		ref := StepRef{Job: w.job.ID, Occurrence: w.occurrence.K, Step: w.step}
		advice := p.Advice(ref)
		if advice == nil {
			p.plan.Ask = append(p.plan.Ask, ref)
			return nil
		}
		allowed = func(id workload.WorkerID) bool { return advice.Tickets[id] != "" }
	}
	var fit []*candidate
	for _, c := range p.pools[w.queue.Pool] {
		if c.worker.Has(spec.Label) && allowed(c.worker.ID) {
			fit = append(fit, c)
		}
	}
	return fit
}

// oneRack keeps the candidates of one rack: where tasks of the step run
// already, or the rack that has most room. When no rack holds all tasks the
// step is spread: it is slower, but it runs.
func (p *planner) oneRack(w waitingStep, fit []*candidate) []*candidate {
	racks := map[string][]*candidate{}
	for _, c := range fit {
		racks[c.worker.Rack] = append(racks[c.worker.Rack], c)
	}
	if rack := rackOf(p.Tables, w); rack != "" && len(racks[rack]) > 0 {
		return racks[rack]
	}
	best, most := fit, 0
	for _, rack := range sortedKeys(racks) {
		n := slots(racks[rack], w.spec())
		if n >= w.spec().Count && n > most {
			best, most = racks[rack], n
		}
	}
	return best
}

const (
	// farFactor is how many times as long a task takes away from its data, as
	// the users state it.
	farFactor = 3
	// busyShare of a pool must be in use for a task to wait for room near its data.
	busyShare = 0.5
)

// nearData keeps the workers on the rack of a step's data if the job would be
// late away from it and is not when it waits a little. A task never waits in a
// pool that is mostly idle: there is no sign that room comes soon.
func (p *planner) nearData(w waitingStep, fit []*candidate) []*candidate {
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
	lateAway := slack >= 0 && slack < (farFactor-1)*spec.RunMS()
	if len(near) == 0 || !lateAway || !p.isBusy(w.queue.Pool) {
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
	return float64(all-free) >= busyShare*float64(all)
}

func sortedKeys(m map[string][]*candidate) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// slots counts how many tasks of a step fit on the candidates.
func slots(all []*candidate, spec *workload.StepSpec) int {
	n := 0
	for _, c := range all {
		free, here := c.free, 0
		for spec.Charge().Fits(free) && (spec.MaxPerWorker == 0 || here < spec.MaxPerWorker) && here < spec.Count {
			free = free.Minus(spec.Charge())
			here++
		}
		n += here
	}
	return n
}

// rackOf returns the rack on which tasks of the step run, empty when none do.
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
	here := tasksOn(w)
	var placed []placement
	tasks := w.occurrence.Steps[w.step].Tasks
	for i := range tasks {
		if tasks[i].Done || len(tasks[i].Runs) > 0 {
			continue
		}
		d := p.doubtOf(w.ref(i))
		if d.isolated && !spec.Gang {
			continue // placeSuspects sees to it
		}
		best := p.best(spec, fit, here, d)
		if best == nil {
			p.noteFull(w, fit)
			break // the tasks of a step are alike: no other one fits either
		}
		p.take(w, best)
		best.suspects += min(d.lost, 1)
		best.reserved = best.reserved || d.isolated
		here[best.worker.ID]++
		placed = append(placed, placement{index: i, candidate: best})
		if len(p.plan.Starts)+len(placed) >= p.MaxStarts && !spec.Gang {
			break
		}
	}
	return placed
}

// tasksOn counts the tasks of the step on each worker.
func tasksOn(w waitingStep) map[workload.WorkerID]int {
	here := map[workload.WorkerID]int{}
	for i := range w.occurrence.Steps[w.step].Tasks {
		for _, run := range w.occurrence.Steps[w.step].Tasks[i].Runs {
			here[run.Worker]++
		}
	}
	return here
}

// best returns the candidate with room that scores highest, nil when none has.
func (p *planner) best(spec *workload.StepSpec, fit []*candidate, here map[workload.WorkerID]int, d doubt) *candidate {
	var best *candidate
	var bestScore score
	for _, c := range fit {
		if !p.hasRoom(spec, c, here) || !d.allows(c) {
			continue
		}
		s := scoreOf(spec, c, here[c.worker.ID], d)
		if best == nil || s.compare(bestScore) > 0 {
			best, bestScore = c, s
		}
	}
	return best
}

// score ranks a candidate; earlier fields decide first, higher is better.
type score struct {
	// trust is higher where fewer tasks failed lately.
	trust int
	// near says that the data lies on the candidate's rack.
	near int
	// apart says that no task disturbs another's latency.
	apart int
	// company is lower where the task and another would put each other in doubt,
	// should the worker crash.
	company int
	// staying is lower where the VM will be maintained soon.
	staying int
	// spread is lower where many lasting tasks of the step run: a VM that is
	// lost should not take most of them along.
	spread int
	// pinned is higher for a lasting task where others run already: VMs with
	// none can move to the pool that needs them.
	pinned int
	// tight is higher the less processor time is left over: work on few VMs
	// leaves the others free.
	tight int64
}

// lastingTogether is how many lasting tasks of a step may share a worker
// before another one is preferred.
const lastingTogether = 2

func scoreOf(spec *workload.StepSpec, c *candidate, here int, d doubt) score {
	s := score{trust: -c.soft.Suspicion, company: d.company(c), tight: spec.Need.CPU - c.free.CPU}
	if spec.DataRack != "" && c.worker.Rack == spec.DataRack {
		s.near = 1
	}
	if (spec.Fills && c.serves) || (spec.TargetMS > 0 && c.fills) {
		s.apart = -1
	}
	if spec.Lasting && c.soft.Doomed {
		s.staying = -1
	}
	if spec.Lasting && c.lasts {
		s.pinned = 1
	}
	if spec.Lasting {
		s.spread = -max(here-lastingTogether+1, 0)
	}
	return s
}

func (s score) compare(o score) int {
	return cmp.Or(
		cmp.Compare(s.trust, o.trust),
		cmp.Compare(s.near, o.near),
		cmp.Compare(s.apart, o.apart),
		cmp.Compare(s.company, o.company),
		cmp.Compare(s.staying, o.staying),
		cmp.Compare(s.spread, o.spread),
		cmp.Compare(s.pinned, o.pinned),
		cmp.Compare(s.tight, o.tight),
	)
}

// undo gives back the room of a gang that did not fit as a whole.
func (p *planner) undo(w waitingStep, placed []placement) {
	for _, pl := range placed {
		pl.candidate.free = pl.candidate.free.Plus(w.spec().Charge())
		pl.candidate.runs--
		pl.candidate.unproven--
	}
}

func (p *planner) commit(w waitingStep, placed []placement) {
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
		pl.candidate.serves = pl.candidate.serves || w.spec().TargetMS > 0
		pl.candidate.fills = pl.candidate.fills || w.spec().Fills
	}
}
