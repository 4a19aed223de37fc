package state

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// The benchmarks give the slopes in docs/CAPACITY.md: the cost of a change, of
// the view after it and of a snapshot, for several sizes of a site.
//
//	go test -run '^$' -bench State -benchtime 200ms ./internal/state

var benchSizes = []int{50, 200, 800, 1300}

// The load per VM is the same for all sizes.
const (
	jobsPerVM      = 8
	instancesPerVM = 1
)

// loader applies commands to a machine at consecutive indexes.
type loader struct {
	machine *Machine
	index   uint64
}

func (l *loader) apply(c Command) Result {
	l.index++
	c.ID = model.CommandID(fmt.Sprintf("command-%032d", l.index))
	if c.At == 0 {
		c.At = 1000
	}
	c.Term = 1
	data, err := Encode(c)
	if err != nil {
		panic(err)
	}
	return l.machine.Apply(l.index, data)
}

func (l *loader) plan(actions ...Action) {
	r := l.apply(Command{Plan: &Plan{Actions: actions}})
	for _, refused := range r.Actions {
		if refused != "" {
			panic(refused)
		}
	}
}

func benchSite(vms int) *ApplyManifest {
	m := testManifest(1, "")
	for i := range m.Site.Pools {
		m.Site.Pools[i].MaxVMs = vms
	}
	m.Site.Services[0].Instances = vms * instancesPerVM
	m.Site.Teams[0].MaxJobs = 0
	return m
}

// newLoaded returns a loader whose machine has VMs in two pools, one instance on
// each VM of the first pool and jobsPerVM jobs per VM, half of them running.
func newLoaded(vms int) *loader {
	l := &loader{machine: NewMachine(Options{})}
	l.apply(Command{ApplyManifest: benchSite(vms)})
	for i := range vms {
		vm := model.VMID(fmt.Sprintf("region/vm-%05d", i))
		pool := model.PoolID([]string{"a", "b"}[i%2])
		worker := model.WorkerID(fmt.Sprintf("worker-%05d", i))
		l.plan(Action{Reason: "pool is below min_vms", BeginMove: &BeginMove{VM: vm, Target: pool}})
		if pool == "a" {
			task := model.Task{ID: model.TaskID(fmt.Sprintf("plans-%05d-1", i)), Service: "plans", Ordinal: i,
				VM: vm, Worker: worker, Size: model.Resources{MilliCPU: 4000, MemoryMB: 16000}, LeaseUntil: 61_000}
			l.plan(Action{StartTask: &StartTask{Task: task, Pool: pool}})
		}
		for j := range jobsPerVM {
			l.job(i*jobsPerVM+j, vm, worker, pool, j%2 == 0)
		}
	}
	return l
}

func (l *loader) job(n int, vm model.VMID, worker model.WorkerID, pool model.PoolID, start bool) {
	id := model.JobID(fmt.Sprintf("job-%032d", n))
	l.apply(Command{SubmitJob: &SubmitJob{Spec: model.JobSpec{
		ID: id, Team: "berths", Pool: pool, Kind: "reconcile", Payload: make([]byte, 64),
		Declared: model.Resources{MilliCPU: 1000, MemoryMB: 4000},
	}}})
	if !start {
		return
	}
	task := model.Task{ID: model.TaskID(id + "-1"), Job: id, VM: vm, Worker: worker,
		Size: model.Resources{MilliCPU: 1000, MemoryMB: 4000}, LeaseUntil: 61_000}
	l.plan(Action{Reason: "best fit", StartTask: &StartTask{Task: task, Pool: pool}})
}

func forSizes(b *testing.B, run func(b *testing.B, l *loader, vms int)) {
	for _, vms := range benchSizes {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			l := newLoaded(vms)
			b.ReportAllocs()
			b.ResetTimer()
			run(b, l, vms)
		})
	}
}

// BenchmarkStateApply measures a change of one job, without a view.
func BenchmarkStateApply(b *testing.B) {
	forSizes(b, func(b *testing.B, l *loader, vms int) {
		for i := range b.N {
			l.changeReason(i, vms)
		}
	})
}

// BenchmarkStateApplyAndView takes a view after each change of a job. This is the
// worst case for the copy on write, since jobs are the largest table.
func BenchmarkStateApplyAndView(b *testing.B) {
	forSizes(b, func(b *testing.B, l *loader, vms int) {
		for i := range b.N {
			l.changeReason(i, vms)
			l.machine.View()
		}
	})
}

// BenchmarkStateClaimAndView measures a caller's request: a claim, its outcome and
// a view. Claims are in no table that a view shares, so nothing is copied.
func BenchmarkStateClaimAndView(b *testing.B) {
	forSizes(b, func(b *testing.B, l *loader, _ int) {
		for i := range b.N {
			key := model.RequestKey(fmt.Sprintf("key-%d", i))
			l.apply(Command{ClaimRequest: &ClaimRequest{Claim: model.Claim{Key: key, Owner: "n1", Deadline: 2000}}})
			l.apply(Command{SettleRequest: &SettleRequest{Key: key, Owner: "n1", State: model.ClaimSettled, Verdict: model.Ran}})
			l.machine.View()
			if i%10_000 == 9_999 {
				l.apply(Command{ForgetClaims: &ForgetClaims{Before: 3000}})
			}
		}
	})
}

// changeReason gives one queued job another reason.
func (l *loader) changeReason(i, vms int) {
	n := (i*jobsPerVM + 1) % (vms * jobsPerVM)
	id := model.JobID(fmt.Sprintf("job-%032d", n))
	l.plan(Action{SetJob: &SetJob{Job: id, State: model.JobQueued, Reason: fmt.Sprintf("round %d", i)}})
}

// BenchmarkStateRenew renews the leases of all tasks in one command.
func BenchmarkStateRenew(b *testing.B) {
	forSizes(b, func(b *testing.B, l *loader, _ int) {
		for i := range b.N {
			l.plan(Action{RenewTasks: &RenewTasks{AllExcept: true, LeaseUntil: model.Instant(62_000 + i)}})
		}
	})
}

// BenchmarkStateCancel cancels every queued job in one command; it reports the
// time per job.
func BenchmarkStateCancel(b *testing.B) {
	for _, vms := range benchSizes {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			jobs := 0
			for range b.N {
				b.StopTimer()
				l := newLoaded(vms)
				var ids []model.JobID
				for _, job := range l.machine.View().Jobs {
					if job.State == model.JobQueued {
						ids = append(ids, job.Spec.ID)
					}
				}
				b.StartTimer()
				l.apply(Command{CancelJobs: &CancelJobs{Jobs: ids}})
				jobs += len(ids)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(jobs), "ns/job")
		})
	}
}

// BenchmarkStateSnapshot encodes the whole state; it reports bytes and bytes per
// VM.
func BenchmarkStateSnapshot(b *testing.B) {
	forSizes(b, func(b *testing.B, l *loader, vms int) {
		size := 0
		for range b.N {
			data, err := l.machine.Snapshot()
			if err != nil {
				b.Fatal(err)
			}
			size = len(data)
		}
		b.ReportMetric(float64(size), "bytes")
		b.ReportMetric(float64(size)/float64(vms), "bytes/vm")
	})
}

// BenchmarkStateRestore restores a snapshot, as at a restart.
func BenchmarkStateRestore(b *testing.B) {
	forSizes(b, func(b *testing.B, l *loader, _ int) {
		data, err := l.machine.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		for range b.N {
			if err := NewMachine(Options{}).Restore(data); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkStateMemory reports the heap of a loaded machine, including the
// deduplication table and audit tail that loading has filled.
func BenchmarkStateMemory(b *testing.B) {
	for _, vms := range benchSizes {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			var l *loader
			before := heapBytes()
			for range b.N {
				l = newLoaded(vms)
			}
			used := heapBytes() - before
			b.ReportMetric(float64(used), "heap-bytes")
			b.ReportMetric(float64(used)/float64(vms), "heap-bytes/vm")
			runtime.KeepAlive(l)
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// BenchmarkStateCheck checks every invariant of a view.
func BenchmarkStateCheck(b *testing.B) {
	forSizes(b, func(b *testing.B, l *loader, _ int) {
		view := l.machine.View()
		for range b.N {
			if violations := Check(view); len(violations) > 0 {
				b.Fatal(violations)
			}
		}
	})
}
