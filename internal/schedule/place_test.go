package schedule

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// site is a pool of workers with its state machine.
type site struct {
	machine *workload.Machine
	index   uint64
	workers map[workload.WorkerID]Worker
	nowMS   int64
	overdue map[workload.TaskRef]bool
}

const (
	coresEach  = 8000
	memoryEach = 32_000
)

// newSite returns a site with four workers on two racks; the last is of kind b.
func newSite() *site {
	s := &site{machine: workload.NewMachine(), workers: map[workload.WorkerID]Worker{}, nowMS: 1000}
	config := &workload.Config{Version: 1, Pools: []workload.Pool{{Name: "p"}}, Queues: []workload.Queue{
		{ID: queueID("/q/"), Pool: "p", MaxAttempts: 3, TargetFactor: 2, TargetLatencyMS: 600, TimeoutMS: 1},
	}}
	var all []workload.Worker
	for i := range 4 {
		w := workload.Worker{
			ID: workload.WorkerID(fmt.Sprintf("w%d", i)), Pool: "p", Kind: "a", Rack: fmt.Sprintf("r%d", i/2),
			Capacity: workload.Resources{CPU: coresEach, MemoryMB: memoryEach},
		}
		if i == 3 {
			w.Kind = "b"
		}
		all = append(all, w)
		s.workers[w.ID] = Worker{Usable: true}
	}
	s.apply(&workload.Command{Config: config, Workers: all})
	return s
}

func queueID(prefix string) workload.QueueID { return workload.QueueID{Host: "h", Prefix: prefix} }

func (s *site) apply(c *workload.Command) {
	c.AtMS = s.nowMS
	data, err := workload.Encode(c)
	if err != nil {
		panic(err)
	}
	s.index++
	s.machine.Apply(s.index, data)
}

func (s *site) submit(id string, steps ...workload.StepSpec) {
	s.apply(&workload.Command{Submit: []workload.Submit{{ID: workload.JobID(id), Queue: queueID("/q/"), Spec: workload.JobSpec{Steps: steps}}}})
}

func (s *site) plan() (plan Plan) {
	s.machine.Read(func(t *workload.Tables) {
		plan = Make(Input{
			Tables: t, Workers: s.workers, NowMS: s.nowMS, MaxStarts: 100, Overdue: s.overdue,
			Advice: func(StepRef) *Advice { return nil },
		})
	})
	return plan
}

// counts returns how many starts each worker gets.
func counts(p Plan) map[workload.WorkerID]int {
	n := map[workload.WorkerID]int{}
	for _, s := range p.Starts {
		n[s.Worker]++
	}
	return n
}

func tasks(count int, cpu int64) workload.StepSpec {
	return workload.StepSpec{Count: count, Need: workload.Resources{CPU: cpu, MemoryMB: 100}, EstimatedMS: 1000}
}

func TestTasksArePackedWithinCapacity(t *testing.T) {
	is := is.New(t)
	s := newSite()
	s.submit("j", tasks(5, 2000))
	got := counts(s.plan())
	is.Equal(len(got), 2)
	for _, n := range got {
		is.True(n <= coresEach/2000)
	}
}

func TestPlacementMeetsStepRequirements(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*workload.StepSpec, *site)
		want   map[workload.WorkerID]int
	}{
		"label":    {func(step *workload.StepSpec, _ *site) { step.Label = "b" }, map[workload.WorkerID]int{"w3": 3}},
		"no label": {func(step *workload.StepSpec, _ *site) { step.Label = "c" }, map[workload.WorkerID]int{}},
		"apart": {func(step *workload.StepSpec, _ *site) { step.MaxPerWorker = 1 },
			map[workload.WorkerID]int{"w0": 1, "w1": 1, "w2": 1}},
		"unusable, closing, suspicious": {func(_ *workload.StepSpec, s *site) {
			s.workers["w0"] = Worker{}
			s.workers["w1"] = Worker{Usable: true, Closing: true}
			s.workers["w2"] = Worker{Usable: true, RecentFailures: 3}
		}, map[workload.WorkerID]int{"w3": 3}},
		"data rack": {func(step *workload.StepSpec, _ *site) { step.DataRack = "r1" }, map[workload.WorkerID]int{"w2": 3}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite()
			step := tasks(3, 1000)
			c.change(&step, s)
			s.submit("j", step)
			is.New(t).Equal(counts(s.plan()), c.want)
		})
	}
}

func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	is := is.New(t)
	s := newSite()
	gang := tasks(5, coresEach)
	gang.Gang = true
	s.submit("large", gang)
	s.submit("small", tasks(1, 1000))
	plan := s.plan()
	is.Equal(len(plan.Starts), 1) // the capacity tried for the gang is free again
	is.Equal(plan.Starts[0].Run.Task.Job, workload.JobID("small"))

	s = newSite()
	gang.Count = 4
	s.submit("fits", gang)
	plan = s.plan()
	is.Equal(len(plan.Starts), 4)
	s.apply(&workload.Command{Starts: plan.Starts})
	s.apply(&workload.Command{Ends: []workload.End{{Worker: plan.Starts[0].Worker, Number: 1, Run: plan.Starts[0].Run, Kind: workload.EndFailed}}})
	is.Equal(len(s.plan().Starts), 0) // three runs of the last attempt are left
}

func TestSameRackStepUsesOneRack(t *testing.T) {
	is := is.New(t)
	s := newSite()
	step := tasks(4, 4000)
	step.SameRack = true
	s.submit("j", step)
	racks := map[byte]bool{}
	for id := range counts(s.plan()) {
		racks[(id[1]-'0')/2] = true
	}
	is.Equal(len(racks), 1)
}

// At a peak more jobs arrive than the pool can run. In the order of arrival each
// job waits for earlier ones that are late already, and hardly any is on time
// although half of them could be.
func TestJobsThatCanBeOnTimeComeFirst(t *testing.T) {
	is := is.New(t)
	s := newSite()
	s.submit("late", tasks(4, coresEach))
	s.nowMS += 3000
	s.submit("timely", tasks(4, coresEach))
	for _, start := range s.plan().Starts {
		is.Equal(start.Run.Task.Job, workload.JobID("timely"))
	}
}

// If late jobs always came last, some of them would take more than three times
// their objective even on a quiet day, as a job that can be on time always comes
// first.
func TestLateJobComesFirstInItsLastChance(t *testing.T) {
	is := is.New(t)
	s := newSite()
	s.submit("late", tasks(1, coresEach)) // objective 2.6 s, of no use after 7.8 s
	s.nowMS += 6000
	s.submit("timely", tasks(4, coresEach))
	is.Equal(s.plan().Starts[0].Run.Task.Job, workload.JobID("late"))
	s.nowMS += 2000 // now it can't be of use any more
	is.Equal(s.plan().Starts[0].Run.Task.Job, workload.JobID("timely"))
}

func TestAdviceIsRequestedFirst(t *testing.T) {
	is := is.New(t)
	s := newSite()
	s.apply(&workload.Command{Config: &workload.Config{Version: 2, Pools: []workload.Pool{{Name: "p"}}, Queues: []workload.Queue{
		{ID: queueID("/q/"), Pool: "p", TimeoutMS: 1, Advisor: &workload.Advisor{ValidMS: 1000}},
	}}})
	s.submit("j", tasks(2, 1000))
	plan := s.plan()
	is.Equal(len(plan.Starts), 0)
	is.Equal(plan.AdviceNeeded, []StepRef{{Job: "j"}})
	s.machine.Read(func(tables *workload.Tables) {
		plan = Make(Input{Tables: tables, Workers: s.workers, NowMS: s.nowMS, MaxStarts: 100,
			Advice: func(StepRef) *Advice { return &Advice{Tickets: map[workload.WorkerID]string{"w2": "t"}} }})
	})
	is.Equal(counts(plan), map[workload.WorkerID]int{"w2": 2})
}

// On a VM that waits for its long-running tasks to leave, short tasks use the free
// capacity, and a long-running task would never let it become empty.
func TestOnlyShortTasksStartOnAnEvacuatedWorker(t *testing.T) {
	is := is.New(t)
	s := newSite()
	for id, w := range s.workers {
		w.Evacuating = id != "w2"
		s.workers[id] = w
	}
	lasting := tasks(2, coresEach)
	lasting.LongRunning = true
	s.submit("lasting", lasting)
	s.submit("short", tasks(3, coresEach))
	for _, start := range s.plan().Starts {
		is.Equal(start.Run.Task.Job == "lasting", start.Worker == "w2")
	}
	is.Equal(len(s.plan().Starts), 4) // three short ones, as the second lasting one waits
}
