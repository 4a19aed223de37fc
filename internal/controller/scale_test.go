package controller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/budget"
	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/platform"
	"github.com/comfreyloom/comfreyloom/internal/platform/standin"
	"github.com/comfreyloom/comfreyloom/internal/wave"
)

// scaleSim returns a simulation of a site of n workers in the proportions of
// 1,300 workers, 42 pools and 200 teams, with four running jobs per worker and
// a wave in progress.
func scaleSim(n int, runtime time.Duration) *sim {
	random := rand.New(rand.NewPCG(1, uint64(n)))
	pools, teams := max(n*42/1300, 3), max(n*200/1300, 8)
	site := model.Site{Name: "scale", Revision: 1, Policy: model.Policy{MoveWeight: 0.5, BufferWeight: 0.5}}
	w := model.Wave{ID: "kernel", Start: simStart.Add(2 * time.Minute), Soak: time.Minute}
	for i := range pools {
		id := model.PoolID(fmt.Sprintf("pool%02d", i))
		site.Pools = append(site.Pools, model.Pool{ID: id, MinVMs: n / pools * 9 / 10, MaxVMs: n, Shape: cores(16)})
		w.Pools = append(w.Pools, id)
		for s := range 2 {
			site.Services = append(site.Services, model.Service{
				ID: model.ServiceID(fmt.Sprintf("service%02d-%d", i, s)), Pool: id, Instances: 10, MinAvailable: 7, Size: cores(2),
			})
		}
	}
	for i := range teams {
		site.Teams = append(site.Teams, model.Team{ID: model.TeamID(fmt.Sprintf("team%03d", i))})
	}
	site.Waves = []model.Wave{w}
	s := newSim(simOptions{
		seed: 1, site: site, config: Config{Wave: wave.Options{Features: wave.AllFeatures()}},
		platform: standin.Config{
			VMs: siteVMs(8, n, 4, cores(32)), RebootTime: 2 * time.Minute,
			Behaviour: func(s platform.TaskSpec) standin.Work { return standin.Work{Runtime: runtime, Used: s.Size} },
		},
	})
	for range 30 {
		s.step(time.Second)
	}
	for i := range 4 * n {
		spec := job(fmt.Sprintf("j%05d", i), w.Pools[random.IntN(pools)], model.Priority(random.IntN(3)-1), cores(int64(1+random.IntN(4))), runtime)
		spec.Team = site.Teams[random.IntN(teams)].ID
		spec.Checkpoints = true
		s.submit(spec)
	}
	for range 120 {
		s.step(time.Second)
	}
	return s
}

// BenchmarkRound measures the parts of a controller's round during a wave.
func BenchmarkRound(b *testing.B) {
	for _, n := range []int{50, 200, 800, 1300} {
		s := scaleSim(n, 3*time.Hour)
		c := s.node("a")
		b.Run(fmt.Sprintf("wave/%d", n), func(b *testing.B) {
			snap := c.snapshot()
			for b.Loop() {
				b.StopTimer()
				ix := fleet.NewIndex(snap)
				ledger := budget.NewLedger(ix, c.budgetOptions(snap.Now))
				b.StartTimer()
				wave.Decide(ix, ledger, wave.Facts{}, c.config.Wave)
			}
		})
		b.Run(fmt.Sprintf("decide/%d", n), func(b *testing.B) {
			for b.Loop() {
				c.decide()
			}
		})
		b.Run(fmt.Sprintf("command/%d", n), func(b *testing.B) {
			for b.Loop() {
				c.command(context.Background())
			}
		})
		b.Run(fmt.Sprintf("observe/%d", n), func(b *testing.B) {
			for b.Loop() {
				c.observe(context.Background())
			}
		})
		b.Run(fmt.Sprintf("step/%d", n), func(b *testing.B) {
			before := s.log.bytes
			for b.Loop() {
				s.step(time.Second)
			}
			b.ReportMetric(float64(s.log.bytes-before)/float64(b.N), "log-B/op")
		})
	}
}

// BenchmarkWaveAtSize runs a wave through 1,300 workers and 42 pools in virtual
// time, with a VM failing every two minutes, and reports how long it takes:
// every VM has to be maintained once in 4 weeks. Run it with -benchtime 1x.
func BenchmarkWaveAtSize(b *testing.B) {
	for range b.N {
		s := scaleSim(1300, 10*time.Minute)
		random := rand.New(rand.NewPCG(2, 2))
		start := s.platform.Now()
		done := s.waveDone("kernel")
		for step := 0; !done() && step < 20_000; step++ {
			if step%60 == 0 {
				s.platform.Repair(func(standin.VM) bool { return true })
				s.platform.Fail(standin.OneVM(model.VMID(fmt.Sprintf("vm%03d", random.IntN(1300)))))
			}
			s.step(2 * time.Second)
		}
		if violations := s.invariantViolations(); len(violations) > 0 {
			b.Fatal(violations)
		}
		twice := 0
		for _, n := range s.platform.Tally().RebootCommands {
			if n > 1 {
				twice++
			}
		}
		b.ReportMetric(s.platform.Now().Sub(start).Hours(), "wave-h")
		b.ReportMetric(float64(twice), "rebooted-twice")
		b.ReportMetric(float64(s.log.bytes)/s.platform.Now().Sub(simStart).Seconds(), "log-B/s")
	}
}
