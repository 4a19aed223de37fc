package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/estimate"
	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/health"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/placement"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// scaleSite builds a running site: each VM is in a pool and has a dozen tasks,
// and most of the queued jobs fit on no VM.
func scaleSite(workers, pools, teams, jobs int) *fleet.Snapshot {
	rnd := rand.New(rand.NewPCG(uint64(workers), 7))
	big := model.Resources{MilliCPU: 32_000, MemoryMB: 128_000}
	site := &model.Site{Name: "scale", Revision: 1, Policy: model.Policy{MoveWeight: 0.5, BufferWeight: 0.5}}
	for i := range pools {
		id := model.PoolID(fmt.Sprintf("p%02d", i))
		site.Pools = append(site.Pools, model.Pool{ID: id, MinVMs: 1, MaxVMs: workers, Shape: big})
		site.Services = append(site.Services, model.Service{ID: model.ServiceID("s-" + id), Pool: id, Instances: workers / pools, Size: model.Resources{MilliCPU: 4000, MemoryMB: 16_000}})
	}
	for i := range teams {
		site.Teams = append(site.Teams, model.Team{ID: model.TeamID(fmt.Sprintf("t%03d", i)), Quota: model.Resources{MilliCPU: 8_000_000}})
	}
	view := &state.View{Index: 1, Site: site, Owners: map[model.VMID]*model.Ownership{}, Jobs: map[model.JobID]*model.Job{}, Tasks: map[model.TaskID]*model.Task{}}
	s := &fleet.Snapshot{Now: 1_000_000_000, View: view, VMs: map[model.VMID]*model.VM{}, Serving: map[model.TaskID]bool{}, Usage: map[model.TaskID]fleet.Usage{}}
	for i, v := range siteVMs(workers, 8, big) {
		v.Usage, v.UsageAt, v.HealthSince = model.Resources{MilliCPU: 20_000, MemoryMB: 60_000}, s.Now.Add(-time.Minute), 1
		s.VMs[v.ID] = v
		pool := site.Pools[i%pools].ID
		view.Owners[v.ID] = &model.Ownership{VM: v.ID, Pool: pool, Generation: 1}
		for n := range 12 {
			addScaleTask(s, v, pool, i/pools, n, rnd)
		}
	}
	for i := range jobs {
		j := scaleJob(fmt.Sprintf("q%05d", i), site.Pools[rnd.IntN(pools)].ID, rnd, teams)
		j.State = model.JobQueued
		view.Jobs[j.Spec.ID] = j
	}
	return s
}

// addScaleTask adds the instance of the VM, or a batch job of 2.4 cores.
func addScaleTask(s *fleet.Snapshot, v *model.VM, pool model.PoolID, ordinal, n int, rnd *rand.Rand) {
	t := &model.Task{ID: model.TaskID(fmt.Sprintf("%s.%d", v.ID, n)), VM: v.ID, Worker: v.Worker, State: model.TaskRunning, Started: 1, LeaseUntil: s.Now.Add(20 * time.Second)}
	if n == 0 {
		t.Service, t.Ordinal, t.Size, t.Priority = model.ServiceID("s-"+pool), ordinal, model.Resources{MilliCPU: 4000, MemoryMB: 16_000}, model.Urgent
		s.Serving[t.ID] = true
	} else {
		j := scaleJob("r1/"+string(t.ID), pool, rnd, len(s.View.Site.Teams))
		j.State, j.Spec.Priority = model.JobRunning, model.Batch
		s.View.Jobs[j.Spec.ID] = j
		t.Job, t.Size, t.Priority = j.Spec.ID, model.Resources{MilliCPU: 2400, MemoryMB: 9000}, model.Batch
	}
	s.View.Tasks[t.ID] = t
	s.Usage[t.ID] = fleet.Usage{Used: t.Size, At: s.Now.Add(-30 * time.Second)}
}

func scaleJob(id string, pool model.PoolID, rnd *rand.Rand, teams int) *model.Job {
	cpu := 500 + int64(rnd.IntN(16))*1000
	priority := []model.Priority{model.Batch, model.Batch, model.Batch, model.Normal, model.Urgent}[rnd.IntN(5)]
	return &model.Job{Submitted: model.Instant(990_000_000 + rnd.IntN(10_000_000)), Spec: model.JobSpec{
		ID: model.JobID(id), Team: model.TeamID(fmt.Sprintf("t%03d", rnd.IntN(teams))), Pool: pool, Kind: fmt.Sprint(rnd.IntN(4)), Priority: priority,
		Declared: model.Resources{MilliCPU: cpu, MemoryMB: 3 * cpu}, Idempotent: true, Throttleable: true, Checkpoints: rnd.IntN(2) == 0,
	}}
}

// BenchmarkScale measures one whole round of decisions, and its parts, at
// several sizes: 42 pools, 200 teams and 10,000 queued jobs at the largest.
func BenchmarkScale(b *testing.B) {
	for _, size := range []struct{ workers, pools, teams, jobs int }{{50, 5, 8, 400}, {200, 8, 40, 1600}, {800, 28, 130, 6200}, {1300, 42, 200, 10_000}} {
		s := scaleSite(size.workers, size.pools, size.teams, size.jobs)
		name := fmt.Sprintf("workers=%d", size.workers)
		b.Run(name+"/index", func(b *testing.B) {
			for b.Loop() {
				fleet.NewIndex(s)
			}
		})
		b.Run(name+"/fleet", func(b *testing.B) { benchDecision(b, s, func(ix *fleet.Index) { fleet.Decide(ix, fleet.Options{}) }) })
		b.Run(name+"/health", func(b *testing.B) {
			h := health.NewHistory()
			benchDecision(b, s, func(ix *fleet.Index) { health.Decide(ix, h, health.Options{}) })
		})
		b.Run(name+"/placement", func(b *testing.B) {
			o := placement.Options{Sizes: estimate.NewEstimator()}
			benchDecision(b, s, func(ix *fleet.Index) { placement.Decide(ix, o) })
		})
		b.Run(name+"/arrival", func(b *testing.B) {
			ix := fleet.NewIndex(s)
			rnd := rand.New(rand.NewPCG(1, 1))
			o := placement.Options{Sizes: estimate.NewEstimator()}
			for i := 0; b.Loop(); i++ {
				j := scaleJob(fmt.Sprintf("r1/a%d", i), s.View.Site.Pools[i%size.pools].ID, rnd, size.teams)
				j.State, j.Spec.Priority = model.JobQueued, model.Urgent
				placement.Arrivals(ix, o, j)
			}
		})
	}
}

// benchDecision times a decision without building the fresh index it needs.
func benchDecision(b *testing.B, s *fleet.Snapshot, decide func(*fleet.Index)) {
	for b.Loop() {
		b.StopTimer()
		ix := fleet.NewIndex(s)
		b.StartTimer()
		decide(ix)
	}
}
