package dispatch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/schedule"
	"github.com/comfreyloom/comfreyloom/internal/workers"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// fakeAdvisor decides by the address of a worker whether it may run a step, and issues
// tickets that are valid from the arrival of a request.
type fakeAdvisor struct {
	sim *simulation
	// decision and perWorker are how long it takes, valid how long its tickets last.
	decision, perWorker, valid time.Duration
	allows                     func(address string) bool
	// allowsJob decides about all steps of a job, nil allows any.
	allowsJob func(workload.JobID) bool
	// fails reports whether a request about a job gets no reply; nil for never.
	fails func(workload.JobID) bool
	// unclear reports whether a reply lacks a part; nil for never.
	unclear func() bool
	// lost reports whether the workers don't know the tickets of a reply; nil for never.
	lost func() bool
	// refuses reports whether the worker at an address refuses all tickets; nil for none.
	refuses func(address string) bool
	// omitsLife: replies don't say how long their tickets are valid.
	omitsLife bool
	// pass lets the time of a request pass.
	pass    func(time.Duration)
	tickets map[issuedTicket]time.Duration
	// requests counts the requests, named the workers that they name, refused the starts
	// that were refused for their ticket.
	requests, named, refused int
	busy                     bool
	// version is the number of configurations that were applied.
	version uint64
}

// issuedTicket is a ticket for a step on a worker.
type issuedTicket struct {
	step   schedule.StepRef
	worker workload.WorkerID
	text   string
}

// errAdvisorBusy is the reply to a request beyond those that the advisor queues.
var errAdvisorBusy = errors.New("status 429")

// addAdvisor gives the queue of a simulation an advisor, which all leaders from the
// present one on ask, and the site a number of workers in all.
func (sim *simulation) addAdvisor(pool int, valid time.Duration, allows func(address string) bool) *fakeAdvisor {
	a := &fakeAdvisor{
		sim: sim, decision: 50 * time.Millisecond, perWorker: 5 * time.Millisecond, valid: valid, allows: allows,
		tickets: map[issuedTicket]time.Duration{}, pass: func(d time.Duration) { sim.tick(d, sim.endDue) },
	}
	sim.advisor = a
	for len(sim.workers) < pool {
		sim.workers = append(sim.workers, &fakeWorker{address: fmt.Sprintf("10.0.0.%d:80", len(sim.workers))})
	}
	for _, f := range sim.workers {
		sim.startIncarnation(f)
	}
	a.setPace(sim, a.decision, a.perWorker)
	sim.elect()
	return a
}

// setPace sets how long the advisor takes, and configures the advised queue and one without
// an advisor.
func (a *fakeAdvisor) setPace(sim *simulation, decision, perWorker time.Duration) {
	a.decision, a.perWorker = decision, perWorker
	a.version++
	sim.apply(&workload.Command{Config: &workload.Config{
		Version: 1 + a.version, Pools: []workload.Pool{{Name: "p"}},
		Queues: []workload.Queue{
			{ID: workload.QueueID{Host: "h", Prefix: "/q/"}, Pool: "p", MaxAttempts: 3, TimeoutMS: 1, Advisor: &workload.Advisor{
				DecisionMS: decision.Milliseconds(), PerWorkerMS: perWorker.Milliseconds(), ValidMS: a.valid.Milliseconds(),
			}},
			{ID: workload.QueueID{Host: "h", Prefix: "/free/"}, Pool: "p", MaxAttempts: 3, TimeoutMS: 1},
		},
	}})
}

// seekAdvice has the present leader ask the advisor for what its plans need, once.
func (sim *simulation) seekAdvice(ctx context.Context) {
	a := sim.advisor
	if a == nil || a.busy {
		return
	}
	a.busy = true
	defer func() { a.busy = false }()
	if need, ok := sim.leader.nextNeed(); ok {
		sim.leader.seekAdvice(ctx, need)
	}
}

func (a *fakeAdvisor) Advise(ctx context.Context, step schedule.StepRef, about []workload.WorkerID) (AdvisorReply, error) {
	a.requests++
	a.named += len(about)
	if len(about) > 100 {
		a.sim.reportViolation("a request to the advisor names %d workers", len(about))
	}
	if a.fails != nil && a.fails(step.Job) {
		return AdvisorReply{}, errAdvisorBusy
	}
	arrivedAt := a.sim.now
	takes := a.decision + time.Duration(len(about))*a.perWorker
	if deadline, ok := ctx.Deadline(); ok && takes > time.Until(deadline) {
		a.pass(time.Until(deadline))
		return AdvisorReply{}, context.DeadlineExceeded
	}
	a.pass(takes)
	reply := AdvisorReply{Tickets: map[workload.WorkerID]string{}, Valid: a.valid}
	reply.Unclear = a.unclear != nil && a.unclear()
	for i, id := range about {
		if reply.Unclear && i%2 == 0 {
			continue
		}
		if f := a.sim.workerNamed(id); f != nil && a.allows(f.address) && (a.allowsJob == nil || a.allowsJob(step.Job)) {
			reply.Tickets[id] = fmt.Sprintf("t-%d", a.requests)
			if a.lost == nil || !a.lost() {
				a.tickets[issuedTicket{step, id, reply.Tickets[id]}] = arrivedAt + a.valid
			}
		}
	}
	if a.omitsLife {
		reply.Valid = 0
	}
	return reply, nil
}

// workerNamed returns the address at which an incarnation runs, nil if it is over.
func (sim *simulation) workerNamed(id workload.WorkerID) *fakeWorker {
	for _, f := range sim.workers {
		if f.worker.ID == id {
			return f
		}
	}
	return nil
}

// checkTicket returns the check of a worker whether an order of an advised queue carries
// a valid ticket.
func (a *fakeAdvisor) checkTicket(id workload.WorkerID) func(workers.StartOrder, time.Duration) bool {
	return func(o workers.StartOrder, now time.Duration) bool {
		advised := false
		a.sim.machine.Read(func(t *workload.Tables) {
			job := t.Jobs[o.Run.Task.Job]
			advised = job != nil && t.Queues[job.Queue].Advisor != nil
		})
		step := schedule.StepRef{Job: o.Run.Task.Job, Occurrence: o.Run.Task.Occurrence, Step: o.Run.Task.Step}
		refused := a.refuses != nil && a.refuses(a.sim.workerNamed(id).address)
		if !advised || !refused && now < a.tickets[issuedTicket{step, id, o.Ticket}] {
			return true
		}
		a.refused++
		return false
	}
}
