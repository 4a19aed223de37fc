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
	plan := s.planAdvised(denying)
	is.Equal(len(plan.AdviceNeeded), 1)
	is.True(plan.AdviceNeeded[0].Startable)
	is.Equal(plan.AdviceNeeded[0].Workers, []workload.WorkerID{"w2", "w3", "w0"})
}

// Guards against requests that name many workers where a few new tickets suffice.
func TestOnlyExpiredTicketsAreNeededWhereTheySuffice(t *testing.T) {
	is := is.New(t)
	s := newAdvisedSite()
	s.submit("j", tasks(2, 1000))
	known := tickets()
	known.Expired["w3"] = time.Second
	plan := s.planAdvised(known)
	is.Equal(len(plan.Starts), 0)
	is.Equal(plan.AdviceNeeded, []AdviceNeed{{Step: StepRef{Job: "j"}, Workers: []workload.WorkerID{"w3"}, Startable: true}})
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
	plan := s.planAdvised(known)
	is.Equal(len(plan.Starts), 0)
	is.Equal(plan.AdviceNeeded, []AdviceNeed{{Step: StepRef{Job: "j"}, Workers: []workload.WorkerID{"w2"}, Startable: true, Together: true}})
	is.Equal(len(s.planAdvised(tickets("w0", "w1", "w2")).Starts), 3)
}

// Guards against jobs that wait behind steps without tickets: what these would take stays
// free meanwhile.
func TestStepsWithoutTicketsHoldNoCapacity(t *testing.T) {
	for name, gang := range map[string]bool{"tasks": false, "gang": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newAdvisedSite()
			step := tasks(4, coresEach)
			step.Gang = gang
			s.submit("j", step)
			more := tasks(8, coresEach)
			s.submit("more", more)
			s.apply(&workload.Command{Submit: []workload.Submit{{ID: "free", Queue: queueID("/free/"), Spec: workload.JobSpec{Steps: []workload.StepSpec{tasks(4, coresEach)}}}}})
			plan := s.planAdvised(nil)
			is.Equal(len(startsOf(plan, "free")), 4)
			is.Equal(len(plan.AdviceNeeded), 2)
		})
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
	plan := s.planAdvised(tickets("w1", "w2")) // neither rack has tickets for both tasks
	is.Equal(len(plan.Starts), 1)
	is.Equal(plan.AdviceNeeded[0].Workers[0], workload.WorkerID("w0"))
}

// Guards against tickets of a full pool that are never renewed: the same ones are each
// time.
func TestTicketsOfAFullPoolAreRenewedInTurn(t *testing.T) {
	is := is.New(t)
	s := newAdvisedSite()
	var all []workload.Worker
	known := tickets()
	for i := range 2 * workersPerNeed {
		id := workload.WorkerID(fmt.Sprintf("full-%02d", i))
		all = append(all, workload.Worker{ID: id, Pool: "p", Capacity: workload.Resources{CPU: 1}})
		s.workers[id] = Worker{Usable: true}
		known.Expired[id] = time.Duration(2*workersPerNeed-i) * time.Second
	}
	s.apply(&workload.Command{Workers: all})
	for _, id := range []workload.WorkerID{"w0", "w1", "w2", "w3"} {
		known.Denied[id] = true
	}
	s.submit("j", tasks(1, 1000))
	plan := s.planAdvised(known)
	is.Equal(len(plan.AdviceNeeded), 1)
	need := plan.AdviceNeeded[0]
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
	plan := s.planAdvised(nil)
	is.Equal(len(plan.Starts), 0)
	is.True(plan.AdviceNeeded[0].Startable)
	is.Equal(startsOf(s.planAdvised(tickets("w1")), "bad"), []workload.WorkerID{"w1"})
}
