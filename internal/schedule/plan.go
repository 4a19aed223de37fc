package schedule

import (
	"cmp"
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/order"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// Worker is the leader's state of a worker beyond the replicated tables.
type Worker struct {
	// Usable is set when the worker answered recently and follows this leader's
	// fence.
	Usable bool
	// Closing is set when the worker is about to leave or to be maintained; nothing
	// is started on it.
	Closing bool
	// Evacuating is set when the worker's long-running tasks are to leave; none is
	// started on it.
	Evacuating bool
	// MaintenanceSoon is set when the VM will be maintained soon; long-running
	// tasks should preferably start elsewhere.
	MaintenanceSoon bool
	// RecentFailures counts recent failures of different tasks on the worker.
	// Workers with fewer are preferred.
	RecentFailures int
	// RecentRuns counts the runs on the worker that began so recently that they
	// may still crash it, RecentSuspects those of them whose task has lost a
	// worker before.
	RecentRuns, RecentSuspects int
	// Isolating is set when a task that has lost several workers was started
	// there in isolation; nothing else is started until it has run for a while.
	Isolating bool
}

// StepRef identifies a step of one occurrence of a job.
type StepRef struct {
	Job        workload.JobID
	Occurrence int
	Step       int
}

// Input is what a plan is computed from.
type Input struct {
	Tables  *workload.Tables
	Workers map[workload.WorkerID]Worker
	// Freed holds the resources of the runs whose ends are committed with the plan
	// and take effect before its starts.
	Freed map[workload.WorkerID]workload.Resources
	// Overdue holds the suspects that have waited long enough for isolation; they
	// are started like any other task.
	Overdue map[workload.TaskRef]bool
	// Advice returns what the advisor has said about a step, nil if it has not been
	// asked yet.
	Advice func(StepRef) *Advice
	// NowMS is the time of day in Unix milliseconds.
	NowMS int64
	// MaxStarts limits the starts of one plan; the rest is left to the next plan.
	MaxStarts int
	// Room bounds the occurrences that are begun; those that don't fit wait.
	Room workload.Room
}

// Plan is what to commit next. Due lists the occurrences that are due.
type Plan struct {
	Starts []workload.Start
	Due    []workload.DueOccurrence
	// AdviceNeeded lists the steps that wait and may need the advisor, the most urgent
	// first.
	AdviceNeeded []StepRef
}

// planner holds the remaining capacity while a plan is made.
type planner struct {
	Input
	plan  Plan
	pools map[string][]*candidate
	// unplaceable holds the needs of steps that did not fit in a pool.
	unplaceable map[string][]workload.Resources
	// reserved counts the workers of each pool that are reserved for suspects.
	reserved map[string]int
	// lastChanceCPU is the processor capacity that the steps with
	// urgencyLastChance need in each pool.
	lastChanceCPU map[string]int64
	// asking is set while the need of a step is determined, and not a plan.
	asking bool
}

// candidate is a worker that accepts new tasks, with its free capacity.
type candidate struct {
	worker *workload.Worker
	state  Worker
	free   workload.Resources
	// hasLatencyTarget reports whether a task with a latency target runs there.
	hasLatencyTarget bool
	// hasBestEffort reports whether a best-effort task runs there.
	hasBestEffort bool
	// hasLongRunning reports whether a long-running task runs there.
	hasLongRunning bool
	// runs counts the runs there, recentRuns and recentSuspects those of them that
	// may still crash the worker, see Worker.
	runs, recentRuns, recentSuspects int
	// reserved is set when only a suspect may start there.
	reserved bool
}

// Make computes a plan.
func Make(in Input) Plan {
	p := newPlanner(in)
	p.collectDue()
	p.collectCandidates()
	waiting := p.waiting()
	if in.Tables.HasSuspects() {
		p.placeSuspects(waiting)
	}
	for _, w := range waiting {
		if len(p.plan.Starts) >= in.MaxStarts {
			break
		}
		p.placeStep(w)
	}
	return p.plan
}

func newPlanner(in Input) *planner {
	return &planner{Input: in, pools: map[string][]*candidate{}, unplaceable: map[string][]workload.Resources{}}
}

// collectDue lists the occurrences that are due.
func (p *planner) collectDue() {
	held := p.Tables.Footprint()
	for _, jobs := range p.Tables.Live {
		for _, job := range jobs {
			r := job.Spec.Repeat
			if r != nil && job.Next < r.Times && r.Due(job.Next) <= p.NowMS && p.Room.Fits(held, job.Spec.OccurrenceBytes()) {
				held += job.Spec.OccurrenceBytes()
				p.plan.Due = append(p.plan.Due, workload.DueOccurrence{Job: job.ID, K: job.Next})
			}
		}
	}
	slices.SortFunc(p.plan.Due, func(a, b workload.DueOccurrence) int { return cmp.Compare(a.Job, b.Job) })
}

func (p *planner) collectCandidates() {
	ids := make([]workload.WorkerID, 0, len(p.Tables.Workers))
	for id := range p.Tables.Workers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		w := p.Tables.Workers[id]
		state := p.Workers[id]
		if w.Draining || w.Closed || state.Closing || !state.Usable || state.Isolating {
			continue
		}
		c := &candidate{
			worker: w, state: state, free: w.Capacity.Minus(p.Tables.Used[id]).Plus(p.Freed[id]),
			runs: len(p.Tables.Runs[id]), recentRuns: state.RecentRuns, recentSuspects: state.RecentSuspects,
		}
		p.setRunKinds(c)
		p.pools[w.Pool] = append(p.pools[w.Pool], c)
	}
}

func (p *planner) setRunKinds(c *candidate) {
	kinds := p.Tables.RunKinds[c.worker.ID]
	c.hasLatencyTarget, c.hasBestEffort, c.hasLongRunning = kinds.LatencySensitive > 0, kinds.BestEffort > 0, kinds.LongRunning > 0
}

// waitingStep is a step with tasks to start.
type waitingStep struct {
	job        *workload.Job
	queue      *workload.Queue
	occurrence *workload.Occurrence
	step       int
	// urgency groups the steps of a queue; density is the job's value per unit of
	// processor time that it still needs.
	urgency urgency
	density float64
	// advice is nil where any worker of the pool may run the step.
	advice *Advice
}

// urgency is the rank of a step within its queue, the most urgent first.
type urgency uint8

const (
	// urgencyLastChance means that the job is late, and of no use to its caller
	// unless the step starts now.
	urgencyLastChance urgency = iota
	// urgencyOnTime means that the job can be on time.
	urgencyOnTime
	// urgencyLate means that the job can't be on time any more.
	urgencyLate
	// urgencyExpired means that the job is too late to be of use.
	urgencyExpired
)

func (w *waitingStep) spec() *workload.StepSpec { return &w.job.Spec.Steps[w.step] }

func (w *waitingStep) stepRef() StepRef {
	return StepRef{Job: w.job.ID, Occurrence: w.occurrence.K, Step: w.step}
}

// isComplete reports whether no task of the step waits any more after some starts.
func (w *waitingStep) isComplete(starts int) bool {
	step := &w.occurrence.Steps[w.step]
	return step.Done+step.Active+starts >= len(step.Tasks)
}

// waiting lists the steps that are ready, the most urgent first. Long-running tasks
// serve their own users and come before all others.
func (p *planner) waiting() []waitingStep {
	var all []waitingStep
	for id, jobs := range p.Tables.Live {
		queue := p.Tables.Queues[id]
		from := len(all)
		for _, job := range jobs {
			all = appendReady(all, job, queue)
		}
		p.rank(all[from:], jobs)
	}
	slices.SortFunc(all, func(a, b waitingStep) int {
		return cmp.Or(
			order.Bools(b.spec().LongRunning, a.spec().LongRunning),
			cmp.Compare(a.queue.Priority, b.queue.Priority),
			cmp.Compare(a.urgency, b.urgency),
			cmp.Compare(b.density, a.density),
			cmp.Compare(a.job.Order, b.job.Order),
			cmp.Compare(a.job.ID, b.job.ID),
			cmp.Compare(a.occurrence.K, b.occurrence.K),
			cmp.Compare(a.step, b.step),
		)
	})
	return all
}

// baseValueShare is the part of a job's value that does not grow with its size.
const baseValueShare = 0.3

const (
	// lastChanceMS is how long before it expires a late job comes first.
	lastChanceMS = 1500
	// lastChanceShare is the largest share of a pool for late jobs that come first.
	// In a long overload all jobs would be late otherwise.
	lastChanceShare = 0.25
)

// rank sets the urgency and the density of the steps of one queue. Jobs that
// can't be on time any more come last, the others in order of their value per
// processor time that they still need. In the order of their arrival every job of
// a peak would be late, as each waits for jobs that can't be on time any more.
func (p *planner) rank(steps []waitingStep, jobs []*workload.Job) {
	var total int64
	for _, job := range jobs {
		total += job.Work()
	}
	mean := float64(total) / float64(max(len(jobs), 1))
	for i := range steps {
		w := &steps[i]
		w.urgency = p.urgencyOf(w)
		value := baseValueShare*mean + (1-baseValueShare)*float64(w.job.Work())
		w.density = value / float64(max(w.job.RemainingWork(w.occurrence), 1))
	}
}

func (p *planner) urgencyOf(w *waitingStep) urgency {
	if w.job.SlackMS(w.queue, w.occurrence, p.NowMS, 1) >= 0 {
		return urgencyOnTime
	}
	left := w.job.SlackMS(w.queue, w.occurrence, p.NowMS, workload.LateFactor)
	switch {
	case left < 0:
		return urgencyExpired
	case left < lastChanceMS && p.mayExpedite(w):
		return urgencyLastChance
	default:
		return urgencyLate
	}
}

// mayExpedite reports whether a late step fits into the share of the pool for late
// jobs that come first, and adds it to their use.
func (p *planner) mayExpedite(w *waitingStep) bool {
	pool := w.queue.Pool
	if p.lastChanceCPU == nil {
		p.lastChanceCPU = map[string]int64{}
	}
	need := int64(len(w.occurrence.Steps[w.step].Tasks)) * w.spec().Charge().CPU
	if float64(p.lastChanceCPU[pool]+need) > lastChanceShare*float64(p.capacity(pool)) {
		return false
	}
	p.lastChanceCPU[pool] += need
	return true
}

// capacity returns the processor capacity of the workers of a pool that accept new
// tasks.
func (p *planner) capacity(pool string) int64 {
	var all int64
	for _, c := range p.pools[pool] {
		all += c.worker.Capacity.CPU
	}
	return all
}

func appendReady(all []waitingStep, job *workload.Job, queue *workload.Queue) []waitingStep {
	for _, o := range job.Occurrences {
		for i := range o.Steps {
			step := &o.Steps[i]
			// A gang restarts as a whole, after all runs of its last attempt have
			// ended.
			if job.Spec.Steps[i].Gang && step.Active > 0 {
				continue
			}
			if step.Done+step.Active < len(step.Tasks) && o.Ready(&job.Spec, i) {
				all = append(all, waitingStep{job: job, queue: queue, occurrence: o, step: i})
			}
		}
	}
	return all
}
