package capacity

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/workload"
)

const (
	cores32 = 32_000
	gib128  = 131_072
)

// testSite is a fleet with its tables.
type testSite struct {
	machine *workload.Machine
	index   uint64
	in      Input
}

func newTestSite(vms map[string]int) *testSite {
	s := &testSite{machine: workload.NewMachine(), in: Input{
		Now: time.Hour, InFlight: map[workload.VMID]InFlightOrder{}, Closing: map[workload.VMID]Closing{},
		Need: map[string]int64{}, Listed: func(workload.WorkerID) bool { return false },
		Idle: func(workload.WorkerID) time.Duration { return time.Second },
	}}
	config := &workload.Config{Version: 1}
	capacity := workload.Resources{CPU: cores32, MemoryMB: gib128}
	var workers []workload.Worker
	for _, pool := range []string{"a", "b", "spare"} {
		config.Pools = append(config.Pools, workload.Pool{Name: pool, Standby: pool == "spare"})
		config.Queues = append(config.Queues, workload.Queue{ID: workload.QueueID{Host: "h", Prefix: "/" + pool + "/"}, Pool: pool, TimeoutMS: 1})
		for i := range vms[pool] {
			name := fmt.Sprintf("%s-%d", pool, i)
			vm := VM{ID: workload.VMID(name), Pool: pool, State: Up, Capacity: capacity, Worker: workload.WorkerID("i-" + name)}
			if pool == "spare" {
				vm.State, vm.Worker = Down, ""
			} else {
				workers = append(workers, workload.Worker{ID: vm.Worker, Pool: pool, Capacity: capacity})
			}
			s.in.VMs = append(s.in.VMs, vm)
		}
	}
	s.apply(&workload.Command{Config: config, Workers: workers})
	return s
}

func (s *testSite) apply(c *workload.Command) {
	data, err := workload.Encode(c)
	if err != nil {
		panic(err)
	}
	s.index++
	s.machine.Apply(s.index, data)
}

func (s *testSite) decide() (plan Plan) {
	s.machine.Read(func(t *workload.Tables) {
		s.in.Tables = t
		plan = Decide(s.in)
	})
	return plan
}

// runOn commits a run of a job with one task on a worker.
func (s *testSite) runOn(worker string, step workload.StepSpec) {
	step.Count = 1
	id := workload.JobID("job-" + worker)
	queue := workload.QueueID{Host: "h", Prefix: "/" + worker[2:3] + "/"}
	s.apply(&workload.Command{Submit: []workload.Submit{{ID: id, Queue: queue, Spec: workload.JobSpec{Steps: []workload.StepSpec{step}}}}})
	s.apply(&workload.Command{Starts: []workload.Start{{Worker: workload.WorkerID(worker), Run: workload.RunRef{Task: workload.TaskRef{Job: id}, Attempt: 1}}}})
}

func TestStandbyVMsGoFirst(t *testing.T) {
	is := is.New(t)
	s := newTestSite(map[string]int{"a": 1, "b": 3, "spare": 2})
	s.in.Need = map[string]int64{"a": 3 * cores32, "b": cores32}
	plan := s.decide()
	is.Equal(len(plan.Orders), 2)
	for _, o := range plan.Orders {
		is.Equal(o.Pool, "a")
		is.Equal(string(o.VM)[:5], "spare")
	}
}

// A VM that a task runs on must not move: it is closed, and moves once the task
// has ended.
func TestOnlyEmptyVMsMove(t *testing.T) {
	is := is.New(t)
	s := newTestSite(map[string]int{"a": 1, "b": 1})
	s.in.Need = map[string]int64{"a": 2 * cores32}
	s.runOn("i-b-0", workload.StepSpec{Need: workload.Resources{CPU: 1000}})
	plan := s.decide()
	is.Equal(len(plan.Orders), 0)
	is.Equal(len(plan.Close), 1)
	is.Equal(plan.Close[0].VM, workload.VMID("b-0"))

	s.in.Closing[plan.Close[0].VM] = plan.Close[0]
	is.Equal(len(s.decide().Orders), 0) // the task still runs
	s.apply(&workload.Command{Ends: []workload.End{{Worker: "i-b-0", Number: 1, Kind: workload.EndDone,
		Run: workload.RunRef{Task: workload.TaskRef{Job: "job-i-b-0"}, Attempt: 1}}}})
	orders := s.decide().Orders
	is.Equal(len(orders), 1)
	is.Equal(orders[0].Pool, "a")
}

// VMs closed for maintenance don't count as capacity of their pool. If a wave
// closes all VMs of a pool, an evicted long-running task would otherwise wait
// for minutes although the site has free capacity.
func TestClosedVMsDontCountAsCapacity(t *testing.T) {
	is := is.New(t)
	s := newTestSite(map[string]int{"a": 1, "b": 2})
	s.in.Need = map[string]int64{"a": 10_000}
	s.runOn("i-a-0", workload.StepSpec{Need: workload.Resources{CPU: 10_000}, LongRunning: true})
	s.in.Closing["a-0"] = Closing{VM: "a-0", Order: Order{Kind: Maintain, VM: "a-0", Wave: 1}, Since: s.in.Now}
	orders := s.decide().Orders
	is.Equal(len(orders), 1)
	is.Equal(orders[0].Kind, Move)
	is.Equal(orders[0].Pool, "a")
}

func TestWaveKeepsItsBound(t *testing.T) {
	is := is.New(t)
	s := newTestSite(map[string]int{"a": 4})
	s.in.Need = map[string]int64{"a": 4 * cores32}
	wave := &workload.Wave{ID: 7, MaxUnavailable: 2, WindowMS: 60_000}
	for i := range 4 {
		wave.VMs = append(wave.VMs, workload.WaveVM{ID: workload.VMID(fmt.Sprintf("a-%d", i))})
	}
	s.apply(&workload.Command{Wave: wave})
	plan := s.decide()
	is.Equal(len(plan.Orders), 2)
	for _, o := range plan.Orders {
		is.Equal(o.Kind, Maintain)
		s.in.InFlight[o.VM] = InFlightOrder{Order: o, Sent: s.in.Now}
	}
	is.Equal(len(s.decide().Orders), 0) // both are under maintenance
	delete(s.in.InFlight, plan.Orders[0].VM)
	s.apply(&workload.Command{Begun: []workload.WaveBegun{{Wave: 7, VM: plan.Orders[0].VM}}})
	is.Equal(len(s.decide().Orders), 1)
}

func TestNothingIsParkedBeforeDemandIsKnown(t *testing.T) {
	is := is.New(t)
	s := newTestSite(map[string]int{"a": 3, "spare": 1})
	s.in.Idle = func(workload.WorkerID) time.Duration { return time.Minute }
	is.Equal(len(s.decide().Orders), 0)
	s.in.MayPark = true
	orders := s.decide().Orders
	is.Equal(len(orders), 3)
	is.Equal(orders[0].Pool, "spare")
}

// A pool whose tasks require a kind of worker must get VMs of that kind even if
// it has enough capacity in total; the tasks would otherwise wait for ever.
func TestVMsOfTheRequiredKindMove(t *testing.T) {
	is := is.New(t)
	s := newTestSite(map[string]int{"a": 2, "b": 3})
	s.in.Need = map[string]int64{"a": cores32, "b": 0}
	for i := range s.in.VMs {
		s.in.VMs[i].Kind = "plain"
	}
	s.in.VMs[3].Kind = "fast"
	s.in.NeedByLabel = map[string]map[string]int64{"a": {"fast": 1000}}
	orders := s.decide().Orders
	is.Equal(len(orders), 1)
	is.Equal(orders[0].VM, s.in.VMs[3].ID)
	is.Equal(orders[0].Pool, "a")
}

// A long-running task that fits on no VM of its pool must get a VM even if the
// pool has enough capacity in total. Such a task waited 13 s when a wave had
// closed all VMs of the pool but one, which had enough processor time but too
// little memory.
func TestUnplaceableTaskGetsVM(t *testing.T) {
	is := is.New(t)
	s := newTestSite(map[string]int{"a": 1, "b": 2})
	s.in.Need = map[string]int64{"a": 14_000}
	is.Equal(len(s.decide().Orders), 0)
	s.in.Unplaceable = map[string]bool{"a": true}
	orders := s.decide().Orders
	is.Equal(len(orders), 1)
	is.Equal(orders[0].Pool, "a")
	s.in.InFlight[orders[0].VM] = InFlightOrder{Order: orders[0], Sent: s.in.Now}
	is.Equal(len(s.decide().Orders), 0) // one at a time

	s = newTestSite(map[string]int{"a": 1, "b": 2})
	s.in.Need = map[string]int64{"a": 14_000, "b": 9 * cores32}
	s.in.Unplaceable = map[string]bool{"a": true}
	is.Equal(len(s.decide().Orders), 1) // although b needs more than it has
}

func TestTaskIsUnplaceableAfterDelay(t *testing.T) {
	is := is.New(t)
	s := newTestSite(map[string]int{"a": 1})
	step := workload.StepSpec{Count: 1, LongRunning: true, Need: workload.Resources{CPU: 1}}
	s.apply(&workload.Command{Submit: []workload.Submit{{ID: "j", Queue: workload.QueueID{Host: "h", Prefix: "/a/"},
		Spec: workload.JobSpec{Steps: []workload.StepSpec{step}}}}})
	s.machine.Read(func(tables *workload.Tables) {
		d := NewDemand(tables, time.Hour, 0)
		is.Equal(len(d.Unplaceable(tables, time.Hour)), 0)
		is.True(d.Unplaceable(tables, time.Hour+unplaceableAfter)["a"])
	})
	s.apply(&workload.Command{Starts: []workload.Start{{Worker: "i-a-0", Run: workload.RunRef{Task: workload.TaskRef{Job: "j"}, Attempt: 1}}}})
	s.machine.Read(func(tables *workload.Tables) {
		d := NewDemand(tables, time.Hour, 0)
		is.Equal(len(d.Unplaceable(tables, 2*time.Hour)), 0)
		is.Equal(len(d.Unplaceable(tables, 3*time.Hour)), 0)
	})
}

// A pool whose workers report less capacity than before must get VMs to make up
// for it, even if the platform still lists the old capacity.
func TestReducedCapacityIsReplaced(t *testing.T) {
	is := is.New(t)
	s := newTestSite(map[string]int{"a": 2, "spare": 2})
	s.in.Need = map[string]int64{"a": 2 * cores32}
	is.Equal(len(s.decide().Orders), 0)
	s.apply(&workload.Command{Workers: []workload.Worker{{ID: "i-a-0", Pool: "a", Capacity: workload.Resources{CPU: cores32 / 4, MemoryMB: gib128}}}})
	orders := s.decide().Orders
	is.Equal(len(orders), 1)
	is.Equal(orders[0].Pool, "a")
}

// waveOf starts a wave of VMs of pool a.
func (s *testSite) waveOf(vms, maxUnavailable int, window time.Duration) {
	wave := &workload.Wave{ID: 7, MaxUnavailable: maxUnavailable, WindowMS: window.Milliseconds(), AcceptedMS: s.in.NowMS}
	for i := range vms {
		wave.VMs = append(wave.VMs, workload.WaveVM{ID: workload.VMID(fmt.Sprintf("a-%d", i))})
	}
	s.apply(&workload.Command{Wave: wave})
}

// A VM with long-running tasks takes seconds to be emptied, as these leave one at a
// time. Closed meanwhile, its free capacity is lost to short tasks in a peak.
func TestVMWithLongRunningTasksStaysOpenUntilTheyLeft(t *testing.T) {
	is := is.New(t)
	s := newTestSite(map[string]int{"a": 3})
	s.in.Need = map[string]int64{"a": 5 * cores32}
	for _, worker := range []string{"i-a-0", "i-a-1", "i-a-2"} {
		s.runOn(worker, workload.StepSpec{Need: workload.Resources{CPU: 4000}, LongRunning: true})
	}
	s.waveOf(3, 3, time.Minute)
	plan := s.decide()
	is.Equal(len(plan.Close), 0)
	is.Equal(len(plan.Orders), 0)
}

// A wave that may have many VMs at once must not take them from a site that lacks
// capacity, as long as a few at once are enough to end in time.
func TestWaveTakesFewVMsWhileCapacityIsShort(t *testing.T) {
	is := is.New(t)
	s := newTestSite(map[string]int{"a": 100})
	s.in.Need = map[string]int64{"a": 130 * cores32}
	s.waveOf(40, 20, 30*time.Second)
	taken := len(s.decide().Orders)
	is.True(taken >= 6 && taken <= 10) // 40 VMs, 4 s each, in 30 s
	s.in.NowMS = 20_000
	is.Equal(len(s.decide().Orders), 20) // the window closes
}
