package schedule

import (
	"cmp"
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/order"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// Worker is what the leader knows of a worker beyond its announcement.
type Worker struct {
	// Usable: it answered lately and follows this leader's fence.
	Usable bool
	// Closing: it is about to leave or to be maintained; nothing is started there.
	Closing bool
	// Doomed: its VM will be maintained soon; lasting tasks had better not
	// start there.
	Doomed bool
	// Suspicion counts recent failures of different tasks there; it makes a
	// worker the last choice.
	Suspicion int
	// Unproven counts the runs there that began so lately that they may yet crash
	// the worker, Suspects those of them whose task has lost a worker before.
	Unproven, Suspects int
	// Trial: a task that has lost several workers has begun there; nothing else
	// is started until it has run for a while.
	Trial bool
}

// Advice is what the advisor of a queue said about one step.
type Advice struct {
	// Tickets holds the workers that may run the step, with their tickets.
	Tickets map[workload.WorkerID]string
}

// StepRef names a step of one occurrence of a job.
type StepRef struct {
	Job        workload.JobID
	Occurrence int
	Step       int
}

// Input is the snapshot that a plan is made of.
type Input struct {
	Tables  *workload.Tables
	Workers map[workload.WorkerID]Worker
	// Freed is the room of the runs whose ends are committed with the plan,
	// before its starts take effect.
	Freed map[workload.WorkerID]workload.Resources
	// Overdue holds the suspects that have waited long enough for a worker of their
	// own; they are started like any other task.
	Overdue map[workload.TaskRef]bool
	// Advice returns what the advisor said, nil when it must be asked first.
	Advice func(StepRef) *Advice
	// NowMS is the time of day in Unix milliseconds.
	NowMS int64
	// MaxStarts bounds one plan; what is left comes in the next.
	MaxStarts int
}

// Plan is what to commit next.
type Plan struct {
	Starts []workload.Start
	Due    []workload.Occurring
	// Ask lists the steps for which the advisor must be asked.
	Ask []StepRef
}

// planner holds the room that is left while a plan is made.
type planner struct {
	Input
	plan  Plan
	pools map[string][]*candidate
	// full holds needs for which a pool had no room.
	full map[string][]workload.Resources
	// reserved counts the workers of each pool that are kept for suspects.
	reserved map[string]int
	// rescued is the processor time that late jobs ask for that come first.
	rescued map[string]int64
}

// candidate is a worker that takes new work, with its room.
type candidate struct {
	worker *workload.Worker
	soft   Worker
	free   workload.Resources
	// serves says that a task with a latency target runs here.
	serves bool
	// fills says that a task runs here that takes what others leave.
	fills bool
	// lasts says that a lasting task runs here.
	lasts bool
	// runs counts what runs here, unproven and suspects what of it may yet crash
	// the worker.
	runs, unproven, suspects int
	// reserved: only a suspect may start here.
	reserved bool
}

// Make returns a plan.
func Make(in Input) Plan {
	p := &planner{Input: in, pools: map[string][]*candidate{}, full: map[string][]workload.Resources{}}
	p.findDue()
	p.findRoom()
	waiting := p.waiting()
	if in.Tables.HasSuspicions() {
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

// findDue lists the occurrences whose time has come.
func (p *planner) findDue() {
	for _, jobs := range p.Tables.Live {
		for _, job := range jobs {
			r := job.Spec.Repeat
			if r != nil && job.Next < r.Times && r.Due(job.Next) <= p.NowMS {
				p.plan.Due = append(p.plan.Due, workload.Occurring{Job: job.ID, K: job.Next})
			}
		}
	}
	slices.SortFunc(p.plan.Due, func(a, b workload.Occurring) int { return cmp.Compare(a.Job, b.Job) })
}

func (p *planner) findRoom() {
	ids := make([]workload.WorkerID, 0, len(p.Tables.Workers))
	for id := range p.Tables.Workers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		w := p.Tables.Workers[id]
		soft := p.Workers[id]
		if w.Draining || w.Closed || soft.Closing || !soft.Usable || soft.Trial {
			continue
		}
		c := &candidate{
			worker: w, soft: soft, free: w.Capacity.Minus(p.Tables.Used[id]).Plus(p.Freed[id]),
			runs: len(p.Tables.Runs[id]), unproven: soft.Unproven, suspects: soft.Suspects,
		}
		p.findNeighbours(c)
		p.pools[w.Pool] = append(p.pools[w.Pool], c)
	}
}

func (p *planner) findNeighbours(c *candidate) {
	kinds := p.Tables.Kinds[c.worker.ID]
	c.serves, c.fills, c.lasts = kinds.Serving > 0, kinds.Filling > 0, kinds.Lasting > 0
}

// waitingStep is a step with tasks to start.
type waitingStep struct {
	job        *workload.Job
	queue      *workload.Queue
	occurrence *workload.Occurrence
	step       int
	// turn groups the steps of a queue; density is what the job earns for the
	// processor time that it still takes.
	turn    turn
	density float64
}

// turn says how soon a step comes.
type turn uint8

const (
	// turnRescue: it is late, and lost to its caller unless it starts now.
	turnRescue turn = iota
	// turnTimely: it can be in time.
	turnTimely
	// turnLate: it can't be in time any more.
	turnLate
	// turnLost: it is too late to be of use.
	turnLost
)

func (w *waitingStep) spec() *workload.StepSpec { return &w.job.Spec.Steps[w.step] }

// waiting lists the steps whose turn has come, the most urgent first: lasting
// tasks serve users of their own and come before those that end.
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
			order.Bools(b.spec().Lasting, a.spec().Lasting),
			cmp.Compare(a.queue.Priority, b.queue.Priority),
			cmp.Compare(a.turn, b.turn),
			cmp.Compare(b.density, a.density),
			cmp.Compare(a.job.Order, b.job.Order),
			cmp.Compare(a.job.ID, b.job.ID),
			cmp.Compare(a.occurrence.K, b.occurrence.K),
			cmp.Compare(a.step, b.step),
		)
	})
	return all
}

// baseWorth is the part of a job's worth that does not grow with its size.
const baseWorth = 0.3

const (
	// rescueMS before a late job is lost to its caller it comes first.
	rescueMS = 1500
	// rescueShare of a pool at most is used by late jobs that come first: in a
	// long overload all jobs would otherwise be late.
	rescueShare = 0.25
)

// rank judges the steps of one queue. What can't be in time any more comes
// last; the others by what they earn for the processor time that they still
// take. Without it a peak makes every job late: in the order of their arrival
// each waits for those that are lost already.
func (p *planner) rank(steps []waitingStep, jobs []*workload.Job) {
	var total int64
	for _, job := range jobs {
		total += job.Work()
	}
	mean := float64(total) / float64(max(len(jobs), 1))
	for i := range steps {
		w := &steps[i]
		w.turn = p.turnOf(w)
		worth := baseWorth*mean + (1-baseWorth)*float64(w.job.Work())
		w.density = worth / float64(max(w.job.LeftWork(w.occurrence), 1))
	}
}

func (p *planner) turnOf(w *waitingStep) turn {
	if w.job.SlackMS(w.queue, w.occurrence, p.NowMS, 1) >= 0 {
		return turnTimely
	}
	left := w.job.SlackMS(w.queue, w.occurrence, p.NowMS, workload.LateFactor)
	switch {
	case left < 0:
		return turnLost
	case left < rescueMS && p.mayRescue(w):
		return turnRescue
	default:
		return turnLate
	}
}

// mayRescue says whether late jobs that come first use little of the pool.
func (p *planner) mayRescue(w *waitingStep) bool {
	pool := w.queue.Pool
	if p.rescued == nil {
		p.rescued = map[string]int64{}
	}
	asks := int64(len(w.occurrence.Steps[w.step].Tasks)) * w.spec().Charge().CPU
	if float64(p.rescued[pool]+asks) > rescueShare*float64(p.capacity(pool)) {
		return false
	}
	p.rescued[pool] += asks
	return true
}

// capacity is the processor time of the workers of a pool that take work.
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
			// A gang starts again as a whole, once all of its last attempt ended.
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
