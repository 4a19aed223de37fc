package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// Advice is what the advisor has said so far about the workers that may run a step.
// It is immutable. A worker in none of the maps has not been asked about.
type Advice struct {
	// Tickets holds the valid tickets of the workers that may run the step.
	Tickets map[workload.WorkerID]string
	// Expired holds the workers that may run the step and whose ticket has expired,
	// with when it did by the steady clock.
	Expired map[workload.WorkerID]time.Duration
	// Denied holds the workers that must not run the step.
	Denied map[workload.WorkerID]bool
}

// permission is what is known about whether a worker may run a step. Better ones are
// higher.
type permission uint8

const (
	// permissionDenied: the worker must not run the step.
	permissionDenied permission = iota
	// permissionUnknown: the advisor has not been asked about the worker.
	permissionUnknown
	// permissionExpired: the worker may run the step with a new ticket.
	permissionExpired
	// permissionGranted: a task can be started on the worker now.
	permissionGranted
)

// permissionOf returns the permission of a worker. Without an advisor it is granted.
func (w *waitingStep) permissionOf(id workload.WorkerID) permission {
	if w.advice == nil {
		return permissionGranted
	}
	if w.advice.Tickets[id] != "" {
		return permissionGranted
	}
	if w.advice.Denied[id] {
		return permissionDenied
	}
	if _, known := w.advice.Expired[id]; known {
		return permissionExpired
	}
	return permissionUnknown
}

// AdviceNeed says which workers the advisor is to be asked about for a step.
type AdviceNeed struct {
	Step StepRef
	// Workers are in the order in which they are useful. It is empty if nothing that the
	// advisor could say would help.
	Workers []workload.WorkerID
	// Startable is set when a task would start now if the first of the workers had a
	// ticket.
	Startable bool
	// Together is set when the tasks start only while all of the workers have a ticket.
	Together bool
}

// workersPerNeed is how many workers a need names beyond those on which tasks would
// start at once.
const workersPerNeed = 30

// Need determines what the advisor is to be asked for a step. The step is placed on the
// workers that are not denied, as if it were alone.
func Need(in Input, step StepRef) AdviceNeed {
	p := newPlanner(in)
	p.asking = true
	w, waits := waitingStepOf(in.Tables, step)
	if !waits || w.queue.Advisor == nil {
		return AdviceNeed{Step: step}
	}
	p.collectCandidates()
	w = p.withAdvice(w)
	all, fit := p.candidatesOf(w)
	placed := p.placeTasks(w, fit)
	starts, ticketless := p.keepStartable(w, placed)
	if w.isComplete(len(starts)) {
		return AdviceNeed{Step: step}
	}
	return needOf(w, ticketless, w.isComplete(len(placed)), fit, all)
}

// waitingStepOf returns false if no task of a step waits.
func waitingStepOf(t *workload.Tables, step StepRef) (waitingStep, bool) {
	job := t.Jobs[step.Job]
	if job == nil || job.State.Final() || t.Queues[job.Queue] == nil {
		return waitingStep{}, false
	}
	for _, w := range appendReady(nil, job, t.Queues[job.Queue]) {
		if w.stepRef() == step {
			return w, true
		}
	}
	return waitingStep{}, false
}

// withAdvice returns a step with what is known of the permissions of its workers.
func (p *planner) withAdvice(w waitingStep) waitingStep {
	if w.queue.Advisor == nil {
		return w
	}
	w.advice = p.Advice(w.stepRef())
	if w.advice == nil {
		w.advice = &Advice{}
	}
	return w
}

// leastPermission returns the permission that a worker needs to be a candidate. A plan
// considers workers without a ticket only where the rack counts: a step waits for its
// better rack rather than start on another one. Considering all of them for each of
// thousands of waiting steps would take too long.
func (p *planner) leastPermission(w waitingStep) permission {
	if p.asking || w.spec().SameRack || w.spec().DataRack != "" {
		return permissionUnknown
	}
	return permissionGranted
}

// splitByTicket returns the placements on workers for which the step has a valid ticket,
// and the others.
func (w *waitingStep) splitByTicket(placed []placement) (ready, ticketless []placement) {
	if w.advice == nil {
		return placed, nil
	}
	for _, pl := range placed {
		if w.permissionOf(pl.candidate.worker.ID) == permissionGranted {
			ready = append(ready, pl)
		} else {
			ticketless = append(ticketless, pl)
		}
	}
	return ready, ticketless
}

// needOf names the workers of the ticketless placements. Unless it is sure that the whole
// step starts with these tickets, it also names others, the preferred ones first.
func needOf(w waitingStep, ticketless []placement, whole bool, preferred, all []*candidate) AdviceNeed {
	n := &needBuilder{step: &w, need: AdviceNeed{Step: w.stepRef(), Startable: len(ticketless) > 0}, named: map[workload.WorkerID]bool{}}
	sure := whole && w.areAllowed(ticketless)
	n.need.Together = sure && w.spec().Gang
	for _, pl := range ticketless {
		// A ticket that a gang gets before it is sure to start would expire.
		if sure || !w.spec().Gang || w.permissionOf(pl.candidate.worker.ID) == permissionUnknown {
			n.add(pl.candidate)
		}
	}
	n.limit = len(n.need.Workers) + workersPerNeed
	if !sure {
		hasRoom := func(c *candidate) bool { return w.spec().Charge().Fits(c.free) }
		n.addUnknown(preferred, hasRoom)
		n.addUnknown(all, hasRoom)
		n.addUnknown(all, func(*candidate) bool { return true })
	}
	if !n.need.Startable && !w.spec().Gang {
		n.addExpired(all)
	}
	return n.need
}

// areAllowed reports whether some placements are known to lack a new ticket only.
func (w *waitingStep) areAllowed(placed []placement) bool {
	for _, pl := range placed {
		if w.permissionOf(pl.candidate.worker.ID) < permissionExpired {
			return false
		}
	}
	return len(placed) > 0
}

// needBuilder collects the workers of a need. It leaves out those that are too small for a
// task even when idle.
type needBuilder struct {
	step  *waitingStep
	need  AdviceNeed
	named map[workload.WorkerID]bool
	limit int
}

func (n *needBuilder) add(c *candidate) {
	if !n.named[c.worker.ID] {
		n.named[c.worker.ID] = true
		n.need.Workers = append(n.need.Workers, c.worker.ID)
	}
}

func (n *needBuilder) isLargeEnough(c *candidate) bool {
	return n.step.spec().Charge().Fits(c.worker.Capacity)
}

// addUnknown adds the workers that meet a condition and have not been asked about.
func (n *needBuilder) addUnknown(from []*candidate, meets func(*candidate) bool) {
	for _, c := range from {
		if len(n.need.Workers) >= n.limit {
			return
		}
		if n.step.permissionOf(c.worker.ID) == permissionUnknown && n.isLargeEnough(c) && meets(c) {
			n.add(c)
		}
	}
}

// addExpired adds the workers whose ticket has expired, the longest first. So all of
// them are renewed in turn if they are more than one need names.
func (n *needBuilder) addExpired(from []*candidate) {
	at := n.step.advice.Expired
	var all []*candidate
	for _, c := range from {
		if n.step.permissionOf(c.worker.ID) == permissionExpired && n.isLargeEnough(c) {
			all = append(all, c)
		}
	}
	slices.SortStableFunc(all, func(a, b *candidate) int { return cmp.Compare(at[a.worker.ID], at[b.worker.ID]) })
	for _, c := range all {
		if len(n.need.Workers) >= n.limit {
			return
		}
		n.add(c)
	}
}
