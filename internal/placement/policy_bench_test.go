package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/health"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// policySite models one of the two present sites: five services of ten
// instances, one per pool. The work of their jobs is counted as part of the
// instances.
type policySite struct {
	name     string
	zones    int
	capacity model.Resources
	// moves is the site's share of the weight of moves.
	moves float64
}

var policySites = []policySite{
	{"portklang", 4, model.Resources{MilliCPU: 32_000, MemoryMB: 128_000}, 0.8},
	{"kapljica", 3, model.Resources{MilliCPU: 16_000, MemoryMB: 64_000}, 0.2},
}

func (p policySite) site(moves float64) *model.Site {
	s := &model.Site{Name: p.name, Revision: 1, Policy: model.Policy{MoveWeight: moves, BufferWeight: 1 - moves}}
	size := model.Resources{MilliCPU: p.capacity.MilliCPU * 6 / 10, MemoryMB: p.capacity.MemoryMB / 2}
	for i := range 5 {
		id := model.PoolID(fmt.Sprintf("p%d", i))
		s.Pools = append(s.Pools, model.Pool{ID: id, MinVMs: 1, MaxVMs: 60, Shape: p.capacity})
		s.Services = append(s.Services, model.Service{ID: model.ServiceID("s-" + id), Pool: id, Instances: 10, MinAvailable: 8, Size: size})
	}
	return s
}

// dedicatedPools is the baseline: it assigns new VMs to the five pools in turn,
// and no VM ever moves. BenchmarkPolicyBuffer gives it enough VMs for what each
// pool needs and one rack more.
func dedicatedPools(ix *fleet.Index) []state.Action {
	var actions []state.Action
	for _, v := range ix.VMs {
		if v.Owner == nil {
			target := model.PoolID(fmt.Sprintf("p%d", len(actions)%5))
			actions = append(actions, state.Action{BeginMove: &state.BeginMove{VM: v.ID, Target: target}})
		}
	}
	ix.Plan(actions...)
	return actions
}

// enoughVMs reports whether n VMs satisfy the computed demand and spares when
// nothing fails.
func (p policySite) enoughVMs(n int, moves float64) bool {
	sim := newSimulation(1, p.site(moves), siteVMs(n, p.zones, p.capacity))
	sim.lease = 15 * time.Minute
	for range 4 {
		sim.round(5 * time.Minute)
	}
	if fleet.SparesNeeded(sim.lastIndex, sim.fleet).Shortage() > 0 {
		return false
	}
	for _, d := range fleet.Demands(sim.lastIndex, sim.fleet) {
		if d.Ready < d.Want {
			return false
		}
	}
	return true
}

const (
	policyStep = 5 * time.Minute
	policyDays = 28
)

// shortfall is what was missing during a simulation.
type shortfall struct{ vmHours, belowBudget float64 }

// simulateWeeks simulates four weeks of failures: 0.9 VMs a day, 4.6 restarts a
// day, and losses of a rack and of an availability zone twice as often as
// expected today.
func (p policySite) simulateWeeks(seed uint64, n int, moves float64, dedicated bool) (*simulation, shortfall) {
	sim := newSimulation(seed, p.site(moves), siteVMs(n, p.zones, p.capacity))
	sim.lease, sim.singleDecision = 15*time.Minute, true
	if dedicated {
		sim.noFleet, sim.extraDecision = true, dedicatedPools
	}
	var s shortfall
	for range policyDays * int(24*time.Hour/policyStep) {
		p.injectFailures(sim, n)
		sim.round(policyStep)
		for _, d := range fleet.Demands(sim.lastIndex, sim.fleet) {
			s.vmHours += float64(max(0, d.Hard-d.Ready)) * policyStep.Hours()
		}
		for _, svc := range sim.lastIndex.Services {
			if svc.Available < svc.Spec.MinAvailable {
				s.belowBudget += policyStep.Minutes()
			}
		}
	}
	return sim, s
}

func (p policySite) injectFailures(sim *simulation, n int) {
	chance := func(perDay float64) bool { return sim.random.Float64() < perDay*policyStep.Hours()/24 }
	hours := func(from, to int) time.Duration {
		return time.Duration(from*60+sim.random.IntN((to-from)*60)) * time.Minute
	}
	victim := fmt.Sprintf("vm%04d", sim.random.IntN(n))
	v := sim.vms[model.VMID(victim)]
	down, rack, zone := hours(1, 8), hours(1, 5), hours(1, 2)
	if chance(0.9) {
		sim.fail(down, model.VMDown, func(o *model.VM) bool { return o == v })
	}
	if chance(4.6) {
		sim.fail(2*policyStep, model.VMRebooting, func(o *model.VM) bool { return o == v })
	}
	if chance(2.0 / 45) {
		sim.fail(rack, model.VMDown, func(o *model.VM) bool { return o.Rack == v.Rack })
	}
	if chance(2.0 / 60) {
		sim.fail(zone, model.VMDown, func(o *model.VM) bool { return o.Zone == v.Zone })
	}
}

// BenchmarkPolicyBuffer reports, for four weeks over three seeds, the VMs held
// back beyond what the pools need when nothing fails, the moves, and the
// shortfall. It compares shared spares, for several weights of moves, with
// dedicated pools.
func BenchmarkPolicyBuffer(b *testing.B) {
	for _, p := range policySites {
		for _, moves := range []float64{0, 0.2, 0.4, 0.6, 0.8, 1} {
			b.Run(fmt.Sprintf("%s/moves=%.1f", p.name, moves), func(b *testing.B) {
				n := p.requiredVMs()
				for !p.enoughVMs(n, moves) {
					n++
				}
				p.report(b, n, moves, false)
			})
		}
		b.Run(p.name+"/plain", func(b *testing.B) { p.report(b, p.requiredVMs()+5*4, 0.5, true) })
	}
}

// requiredVMs returns the sum of what the pools need when nothing fails.
func (p policySite) requiredVMs() int {
	sim := newSimulation(1, p.site(0), siteVMs(60, p.zones, p.capacity))
	sim.round(time.Minute)
	sum := 0
	for _, d := range fleet.Demands(sim.lastIndex, sim.fleet) {
		sum += d.Hard
	}
	return sum
}

func (p policySite) report(b *testing.B, n int, moves float64, dedicated bool) {
	const seeds = 3
	for b.Loop() {
		var vmMoves, restarts int
		var short shortfall
		for seed := range uint64(seeds) {
			sim, s := p.simulateWeeks(seed+1, n, moves, dedicated)
			if len(sim.violations) > 0 {
				b.Fatal(sim.violations)
			}
			vmMoves += sim.stats.vmMoves
			restarts += sim.stats.jobMoves
			short.vmHours += s.vmHours
			short.belowBudget += s.belowBudget
		}
		b.ReportMetric(float64(n-p.requiredVMs()), "held-VMs")
		b.ReportMetric(float64(vmMoves)/seeds, "VM-moves")
		b.ReportMetric(float64(restarts)/seeds, "instance-restarts")
		b.ReportMetric(short.vmHours/seeds, "short-VM-h")
		b.ReportMetric(short.belowBudget/seeds, "below-budget-min")
		b.ReportMetric(0, "ns/op")
	}
}

// BenchmarkPolicyEstimate compares learned sizes with declared ones: a third of
// the jobs declares its true size, a third four times what it uses, and a third
// less than half.
func BenchmarkPolicyEstimate(b *testing.B) {
	for _, learn := range []bool{false, true} {
		b.Run(fmt.Sprintf("learn=%v", learn), func(b *testing.B) {
			for b.Loop() {
				sim := wrongSizesSite(learn)
				done, over := 0, 0.0
				for i := range 2 * 24 * 60 {
					if i%2 == 0 {
						submitWrongSize(sim, i)
					}
					sim.round(time.Minute)
					over += overloadedVMs(sim)
				}
				for _, t := range sim.behaviour {
					done += t.finished
				}
				b.ReportMetric(float64(done), "jobs-done")
				b.ReportMetric(float64(len(sim.lastIndex.Queue)), "jobs-waiting")
				b.ReportMetric(float64(sim.stats.jobMoves), "job-moves")
				b.ReportMetric(float64(sim.stats.killed), "killed-for-memory")
				b.ReportMetric(over, "overloaded-VM-min")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

func wrongSizesSite(learn bool) *simulation {
	site := &model.Site{Name: "lies", Revision: 1, Pools: []model.Pool{{ID: "p", MinVMs: 10, MaxVMs: 10, Shape: shape}}, Teams: []model.Team{{ID: "t"}}}
	sim := newSimulation(1, site, siteVMs(10, 3, shape))
	sim.lease, sim.singleDecision = 4*time.Minute, true
	if !learn {
		sim.fleet.Sizes, sim.placing.Sizes = nil, nil
	}
	return sim
}

func submitWrongSize(sim *simulation, i int) {
	kinds := []string{"honest", "high", "low"}
	factor := []float64{1, 0.25, 2.2}[i/2%3]
	used := model.Resources{MilliCPU: 1000 + sim.random.Int64N(4000), MemoryMB: 2000 + sim.random.Int64N(8000)}
	declared := model.Resources{MilliCPU: int64(float64(used.MilliCPU) / factor), MemoryMB: int64(float64(used.MemoryMB) / factor)}
	spec := model.JobSpec{ID: model.JobID(fmt.Sprintf("r1/j%05d", i)), Team: "t", Pool: "p", Kind: kinds[i/2%3], Priority: model.Batch, Declared: declared, Idempotent: true}
	sim.submit(spec, jobBehaviour{size: used, length: time.Duration(30+sim.random.IntN(180)) * time.Minute})
}

// overloadedVMs counts the VMs whose tasks really use more than the VM has.
func overloadedVMs(sim *simulation) float64 {
	n := 0.0
	for id, use := range sim.usageByVM() {
		if !use.Fits(sim.vms[id].Capacity) {
			n++
		}
	}
	return n
}

// BenchmarkPolicyAttribution compares the attribution of failures by package
// health with raw failure rates: 3 of 40 workers fail all tasks, 5 of 100 jobs
// fail everywhere.
func BenchmarkPolicyAttribution(b *testing.B) {
	for _, raw := range []bool{true, false} {
		b.Run(fmt.Sprintf("raw=%v", raw), func(b *testing.B) {
			for b.Loop() {
				sim := faultyWorkersSite(raw)
				failures, done := 0, 0
				for i := range 24 * 60 {
					submitBatch(sim, i)
					sim.round(time.Minute)
				}
				var badIn, goodIn, badHeld, goodHeld int
				for id := range sim.lastIndex.Snap.View.Quarantines {
					increment(sim.faultyWorkers[id], &badIn, &goodIn)
				}
				for _, j := range sim.lastIndex.Snap.View.Jobs {
					failures += len(j.FailedOn)
					done += sim.behaviour[j.Spec.ID].finished
					if j.State == model.JobHeld {
						increment(sim.behaviour[j.Spec.ID].fails, &badHeld, &goodHeld)
					}
				}
				b.ReportMetric(float64(badIn), "bad-workers-quarantined")
				b.ReportMetric(float64(goodIn), "good-workers-quarantined")
				b.ReportMetric(float64(badHeld), "bad-jobs-held")
				b.ReportMetric(float64(goodHeld), "good-jobs-held")
				b.ReportMetric(float64(failures), "failed-attempts")
				b.ReportMetric(float64(done), "jobs-done")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

func increment(yes bool, a, b *int) {
	if yes {
		*a++
		return
	}
	*b++
}

func faultyWorkersSite(raw bool) *simulation {
	site := &model.Site{Name: "fails", Revision: 1, Pools: []model.Pool{{ID: "p", MinVMs: 40, MaxVMs: 40, Shape: shape}}, Teams: []model.Team{{ID: "t"}}}
	sim := newSimulation(1, site, siteVMs(40, 3, shape))
	sim.lease, sim.singleDecision = 4*time.Minute, true
	for _, id := range []model.VMID{"vm0003", "vm0017", "vm0030"} {
		sim.faultyWorkers[sim.vms[id].Worker] = true
	}
	if raw {
		sim.noHealth = true
		sim.extraDecision = func(ix *fleet.Index) []state.Action { return rawRates(ix, sim) }
	}
	return sim
}

func submitBatch(sim *simulation, i int) {
	for n := range 5 {
		spec := model.JobSpec{ID: model.JobID(fmt.Sprintf("r1/j%05d-%d", i, n)), Team: "t", Pool: "p", Kind: fmt.Sprint(i % 3),
			Declared: model.Resources{MilliCPU: 2000, MemoryMB: 4000}, Idempotent: true, Priority: model.Batch}
		sim.submit(spec, jobBehaviour{size: spec.Declared, length: time.Duration(20+sim.random.IntN(60)) * time.Minute, fails: rand.New(sim.random).IntN(20) == 0})
	}
}

// rawRates is the baseline: a worker with at least four recent outcomes of
// which half failed is quarantined; a job that failed three times is held.
func rawRates(ix *fleet.Index, sim *simulation) []state.Action {
	var actions []state.Action
	for _, v := range ix.VMs {
		bad, all := sim.recentOutcomes[v.Listed.Worker][0], sim.recentOutcomes[v.Listed.Worker][1]
		if v.Quarantine == nil && v.Owner != nil && all >= 4 && 2*bad >= all {
			q := model.Quarantine{Worker: v.Listed.Worker, VM: v.ID, Since: ix.Now(), ProbeAt: ix.Now().Add(1000 * time.Hour)}
			actions = append(actions, state.Action{SetQuarantine: &state.SetQuarantine{Quarantine: q}})
		}
	}
	for _, j := range ix.Queue {
		if len(j.FailedOn) >= 3 {
			actions = append(actions, state.Action{SetJob: &state.SetJob{Job: j.Spec.ID, State: model.JobHeld, Reason: "failed three times"}})
		}
	}
	ix.Plan(actions...)
	return actions
}

// observe also keeps the last outcomes of each worker for rawRates.
func (sim *simulation) observe(o health.Outcome) {
	sim.history.Observe(o)
	r := sim.recentOutcomes[o.Worker]
	if r[1] == 8 {
		r = [2]int{r[0] / 2, 4}
	}
	if o.Failed {
		r[0]++
	}
	r[1]++
	sim.recentOutcomes[o.Worker] = r
}
