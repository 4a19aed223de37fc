package schedule

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// newAdvisedSite returns the site of newSite, whose queue has an advisor, beside a queue
// "/free/" without one.
func newAdvisedSite() *site {
	s := newSite()
	s.apply(&workload.Command{Config: &workload.Config{Version: 2, Pools: []workload.Pool{{Name: "p"}}, Queues: []workload.Queue{
		{ID: queueID("/q/"), Pool: "p", MaxAttempts: 3, TargetFactor: 2, TargetLatencyMS: 600, TimeoutMS: 1, Advisor: &workload.Advisor{ValidMS: 1000}},
		{ID: queueID("/free/"), Pool: "p", Priority: 1, MaxAttempts: 3, TargetFactor: 2, TargetLatencyMS: 600, TimeoutMS: 1},
	}}})
	return s
}

func (s *site) planAdvised(advice *Advice) (plan Plan) {
	s.machine.Read(func(t *workload.Tables) {
		plan = Make(Input{
			Tables: t, Workers: s.workers, NowMS: s.nowMS, MaxStarts: 100, Overdue: s.overdue,
			Advice: func(StepRef) *Advice { return advice },
		})
	})
	return plan
}

// need returns what the advisor is to be asked for a step of job "j".
func (s *site) need(advice *Advice) (need AdviceNeed) { return s.needOf("j", advice) }

func (s *site) needOf(id workload.JobID, advice *Advice) (need AdviceNeed) {
	s.machine.Read(func(t *workload.Tables) {
		need = Need(Input{
			Tables: t, Workers: s.workers, NowMS: s.nowMS, MaxStarts: 100, Overdue: s.overdue,
			Advice: func(StepRef) *Advice { return advice },
		}, StepRef{Job: id})
	})
	return need
}

// tickets returns advice that allows some workers.
func tickets(ids ...workload.WorkerID) *Advice {
	a := &Advice{Tickets: map[workload.WorkerID]string{}, Expired: map[workload.WorkerID]time.Duration{}, Denied: map[workload.WorkerID]bool{}}
	for _, id := range ids {
		a.Tickets[id] = "t"
	}
	return a
}

func TestWorkersThatFitAreAskedAboutFirst(t *testing.T) {
	is := is.New(t)
	s := newAdvisedSite()
	s.apply(&workload.Command{Submit: []workload.Submit{{ID: "other", Queue: queueID("/free/"), Spec: workload.JobSpec{
		Steps: []workload.StepSpec{{Count: 1, Need: workload.Resources{CPU: coresEach, MemoryMB: 100}}}}}}})
	s.apply(&workload.Command{Starts: []workload.Start{{Worker: "w0", Run: workload.RunRef{Task: workload.TaskRef{Job: "other"}, Attempt: 1}}}})
	s.submit("j", tasks(1, 1000))
	denying := tickets()
	denying.Denied["w1"] = true
	is.Equal(s.planAdvised(denying).AdviceNeeded, []StepRef{{Job: "j"}})
	is.Equal(s.need(denying), AdviceNeed{Step: StepRef{Job: "j"}, Workers: []workload.WorkerID{"w2", "w3", "w0"}, Startable: true})
}

// Guards against requests that name many workers where a few new tickets suffice.
func TestOnlyExpiredTicketsAreNeededWhereTheySuffice(t *testing.T) {
	is := is.New(t)
	s := newAdvisedSite()
	s.submit("j", tasks(2, 1000))
	known := tickets()
	known.Expired["w3"] = time.Second
	is.Equal(len(s.planAdvised(known).Starts), 0)
	is.Equal(s.need(known), AdviceNeed{Step: StepRef{Job: "j"}, Workers: []workload.WorkerID{"w3"}, Startable: true})
}

// Guards against a gang that starts in part: one of its members would be refused without
// a ticket.
func TestGangWaitsForAllTickets(t *testing.T) {
	is := is.New(t)
	s := newAdvisedSite()
	gang := tasks(3, coresEach)
	gang.Gang = true
	s.submit("j", gang)
	known := tickets("w0", "w1")
	known.Expired["w2"] = time.Second
	is.Equal(len(s.planAdvised(known).Starts), 0)
	is.Equal(s.need(known), AdviceNeed{Step: StepRef{Job: "j"}, Workers: []workload.WorkerID{"w2"}, Startable: true, Together: true})
	is.Equal(len(s.planAdvised(tickets("w0", "w1", "w2")).Starts), 3)
}

// Guards against jobs that wait behind steps without tickets: what these would take stays
// free meanwhile.
func TestStepsWithoutTicketsHoldNoCapacity(t *testing.T) {
	for name, change := range map[string]func(*workload.StepSpec){
		"tasks":     func(*workload.StepSpec) {},
		"gang":      func(step *workload.StepSpec) { step.Gang = true },
		"same rack": func(step *workload.StepSpec) { step.SameRack = true },
		"data rack": func(step *workload.StepSpec) { step.Count, step.DataRack = 8, "elsewhere" },
	} {
		for some, advice := range map[string]*Advice{"no tickets": nil, "one ticket": tickets("w3")} {
			t.Run(name+", "+some, func(t *testing.T) {
				is := is.New(t)
				s := newAdvisedSite()
				step := tasks(2, coresEach)
				change(&step)
				s.submit("j", step)
				s.submit("more", tasks(8, coresEach))
				s.apply(&workload.Command{Submit: []workload.Submit{{ID: "free", Queue: queueID("/free/"), Spec: workload.JobSpec{Steps: []workload.StepSpec{tasks(4, coresEach)}}}}})
				plan := s.planAdvised(advice)
				is.Equal(len(plan.Starts), 4) // no worker is idle
				is.True(len(startsOf(plan, "free")) >= 3)
			})
		}
	}
}

// Guards against a step that is slow on several racks, or that waits, although one rack
// with tickets fits all its tasks.
func TestRackWithTicketsIsPreferred(t *testing.T) {
	is := is.New(t)
	s := newAdvisedSite()
	step := tasks(2, coresEach)
	step.SameRack = true
	s.submit("j", step)
	is.Equal(counts(s.planAdvised(tickets("w2", "w3"))), map[workload.WorkerID]int{"w2": 1, "w3": 1})
	known := tickets("w1", "w2") // neither rack has tickets for both tasks
	is.Equal(len(s.planAdvised(known).Starts), 1)
	is.Equal(s.need(known).Workers[0], workload.WorkerID("w0"))
}

// Guards against a step that runs far from its data although a worker beside it only has to
// be asked about.
func TestWorkerBesideTheDataIsAskedAbout(t *testing.T) {
	is := is.New(t)
	s := newAdvisedSite()
	step := tasks(1, 1000)
	step.DataRack = "r1"
	s.submit("j", step)
	known := tickets("w0")
	is.Equal(len(s.planAdvised(known).Starts), 0)
	is.Equal(s.need(known).Workers[0], workload.WorkerID("w2"))
	known.Denied["w2"], known.Denied["w3"] = true, true
	is.Equal(counts(s.planAdvised(known)), map[workload.WorkerID]int{"w0": 1})
}

// Guards against requests without end for a step that fits on no worker.
func TestStepThatFitsNowhereNeedsNoAdvice(t *testing.T) {
	is := is.New(t)
	s := newAdvisedSite()
	s.submit("j", tasks(1, 2*coresEach))
	is.Equal(len(s.need(nil).Workers), 0)
	gang := tasks(5, coresEach)
	gang.Gang = true
	s.submit("gang", gang)
	known := tickets()
	for _, id := range []workload.WorkerID{"w0", "w1", "w2", "w3"} {
		known.Expired[id] = time.Second
	}
	is.Equal(len(s.needOf("gang", known).Workers), 0)
}

func TestStepThatDoesNotWaitNeedsNoAdvice(t *testing.T) {
	is := is.New(t)
	s := newAdvisedSite()
	s.submit("j", tasks(1, 1000))
	is.Equal(len(s.needOf("other", nil).Workers), 0)
	is.Equal(len(s.need(tickets("w0")).Workers), 0) // its tickets suffice
	s.apply(&workload.Command{Starts: s.planAdvised(tickets("w0")).Starts})
	is.Equal(len(s.need(nil).Workers), 0)
}

// Guards against tickets of a full pool that are never renewed: the same ones are each
// time.
func TestTicketsOfAFullPoolAreRenewedInTurn(t *testing.T) {
	is := is.New(t)
	s := newAdvisedSite()
	var all []workload.Worker
	var starts []workload.Start
	known := tickets()
	for i := range 2 * workersPerNeed {
		id := workload.WorkerID(fmt.Sprintf("full-%02d", i))
		all = append(all, workload.Worker{ID: id, Pool: "p", Capacity: workload.Resources{CPU: 1000, MemoryMB: 100}})
		starts = append(starts, workload.Start{Worker: id, Run: workload.RunRef{Task: workload.TaskRef{Job: "other", Index: i}, Attempt: 1}})
		s.workers[id] = Worker{Usable: true}
		known.Expired[id] = time.Duration(2*workersPerNeed-i) * time.Second
	}
	s.apply(&workload.Command{Workers: all, Submit: []workload.Submit{{ID: "other", Queue: queueID("/free/"), Spec: workload.JobSpec{Steps: []workload.StepSpec{tasks(len(starts), 1000)}}}}})
	s.apply(&workload.Command{Starts: starts})
	for _, id := range []workload.WorkerID{"w0", "w1", "w2", "w3"} {
		known.Denied[id] = true
	}
	s.submit("j", tasks(1, 1000))
	need := s.need(known)
	is.True(!need.Startable)
	is.Equal(len(need.Workers), workersPerNeed)
	is.Equal(need.Workers[0], workload.WorkerID(fmt.Sprintf("full-%02d", 2*workersPerNeed-1)))
	is.True(!slices.Contains(need.Workers, "full-00"))
}

// Guards against a task that is started without a ticket because workers were lost under
// it.
func TestSuspectWaitsForItsTicket(t *testing.T) {
	is := is.New(t)
	s := newAdvisedSite()
	s.submit("bad", tasks(1, 1000))
	s.crashWorkers("bad", 2)
	is.Equal(len(s.planAdvised(nil).Starts), 0)
	is.True(s.needOf("bad", nil).Startable)
	is.Equal(startsOf(s.planAdvised(tickets("w1")), "bad"), []workload.WorkerID{"w1"})

	beside := tasks(1, 1000)
	beside.DataRack = "r1"
	s.submit("beside", beside)
	s.crashWorkers("beside", 2)
	is.Equal(len(startsOf(s.planAdvised(tickets("w0")), "beside")), 0)
	is.Equal(s.needOf("beside", tickets("w0")).Workers[0], workload.WorkerID("w2"))
}
