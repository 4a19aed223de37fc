package placement_test

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

var shape = model.Resources{MilliCPU: 16_000, MemoryMB: 64_000}

// smallSite has three pools with a service each, one of them in two zones only,
// and three teams, one with a small quota.
func smallSite(moves, buffer float64) *model.Site {
	size := model.Resources{MilliCPU: 3000, MemoryMB: 9000}
	pool := func(id model.PoolID, minVMs, maxVMs int, zones ...model.ZoneID) model.Pool {
		return model.Pool{ID: id, MinVMs: minVMs, MaxVMs: maxVMs, Shape: shape, Zones: zones}
	}
	service := func(id model.ServiceID, p model.PoolID, n, available int) model.Service {
		return model.Service{ID: id, Pool: p, Instances: n, Size: size, MinAvailable: available}
	}
	return &model.Site{
		Name: "test", Revision: 1,
		Policy:   model.Policy{MoveWeight: moves, BufferWeight: buffer},
		Pools:    []model.Pool{pool("berth", 4, 8), pool("plans", 3, 6, "z0", "z1"), pool("tally", 2, 5)},
		Services: []model.Service{service("checks", "berth", 6, 4), service("drafts", "plans", 5, 3), service("books", "tally", 3, 1)},
		Teams:    []model.Team{{ID: "t1"}, {ID: "t2"}, {ID: "t3", Quota: model.Resources{MilliCPU: 9000, MemoryMB: 30_000}}},
	}
}

// drawJob draws a job whose declared size may be far from what it uses.
func drawJob(t *rapid.T, n int) (model.JobSpec, jobBehaviour) {
	pick := func(name string, from ...model.PoolID) model.PoolID { return rapid.SampledFrom(from).Draw(t, name) }
	cpu := rapid.Int64Range(200, 20_000).Draw(t, "cpu")
	spec := model.JobSpec{
		ID:           model.JobID(fmt.Sprintf("r1/j%05d", n)),
		Team:         rapid.SampledFrom([]model.TeamID{"t1", "t1", "t2", "t3", "nobody"}).Draw(t, "team"),
		Pool:         pick("pool", "berth", "berth", "plans", "tally", "none"),
		Kind:         rapid.SampledFrom([]string{"honest", "low", "high"}).Draw(t, "kind"),
		Priority:     rapid.SampledFrom([]model.Priority{model.Batch, model.Batch, model.Normal, model.Urgent}).Draw(t, "priority"),
		Declared:     model.Resources{MilliCPU: cpu, MemoryMB: 2 * cpu},
		Idempotent:   rapid.Bool().Draw(t, "idempotent"),
		Checkpoints:  rapid.Bool().Draw(t, "checkpoints"),
		Throttleable: rapid.Bool().Draw(t, "throttleable"),
	}
	factor := map[string]float64{"honest": 0.9, "low": 2.5, "high": 0.2}[spec.Kind]
	return spec, jobBehaviour{
		size:   model.Resources{MilliCPU: min(int64(float64(cpu)*factor), shape.MilliCPU), MemoryMB: min(int64(2*float64(cpu)*factor), 55_000)},
		length: time.Duration(rapid.IntRange(1, 90).Draw(t, "minutes")) * time.Minute,
		fails:  rapid.IntRange(0, 15).Draw(t, "bad job") == 0,
	}
}

// randomEvent applies one random fault, change or load to the simulation.
func randomEvent(t *rapid.T, sim *simulation, jobs *int) {
	anyVM := func(name string) *model.VM {
		return sim.vms[model.VMID(fmt.Sprintf("vm%04d", rapid.IntRange(0, len(sim.vms)-1).Draw(t, name)))]
	}
	down := time.Duration(rapid.IntRange(1, 40).Draw(t, "down")) * time.Minute
	switch rapid.IntRange(0, 12).Draw(t, "happening") {
	case 0:
		v := anyVM("vm")
		sim.fail(down, model.VMDown, func(o *model.VM) bool { return o == v })
	case 1:
		v := anyVM("rack of")
		sim.fail(down, model.VMUnknown, func(o *model.VM) bool { return o.Zone == v.Zone && o.Rack == v.Rack })
	case 2:
		v := anyVM("zone of")
		if rapid.IntRange(0, 3).Draw(t, "zone fails") == 0 {
			sim.fail(down, model.VMDown, func(o *model.VM) bool { return o.Zone == v.Zone })
		}
	case 3:
		v := anyVM("bad worker")
		sim.faultyWorkers[v.Worker] = !sim.faultyWorkers[v.Worker]
	case 4:
		// The platform returns an incomplete list, or an empty one.
		clear(sim.hidden)
		part := rapid.IntRange(0, len(sim.vms)).Draw(t, "hidden")
		for _, id := range slices.Sorted(maps.Keys(sim.vms)) {
			if len(sim.hidden) < part && rapid.IntRange(0, 2).Draw(t, "partial") == 0 {
				sim.hidden[id] = true
			}
		}
	case 5:
		clear(sim.hidden)
	case 6:
		cancelAllJobs(t, sim)
	case 7:
		changeSite(t, sim)
	case 8:
		// A new leader has only what was committed.
		fresh := newSimulation(1, smallSite(1, 1), nil)
		sim.sizes, sim.history, sim.absence = fresh.sizes, fresh.history, fresh.absence
		sim.fleet.Sizes, sim.placing.Sizes = sim.sizes, sim.sizes
	default:
		for range rapid.IntRange(1, 6).Draw(t, "jobs") {
			*jobs++
			sim.submit(drawJob(t, *jobs))
		}
	}
}

// changeSite accepts a manifest that changes what a pool allows, or drops one.
func changeSite(t *rapid.T, sim *simulation) {
	old := sim.machine.View().Site
	next := smallSite(old.Policy.MoveWeight, old.Policy.BufferWeight)
	next.Revision = old.Revision + 1
	next.Pools[1].Zones = rapid.SampledFrom([][]model.ZoneID{{"z0", "z1"}, {"z1", "z2"}, nil}).Draw(t, "zones")
	next.Pools[0].MaxVMs = rapid.IntRange(5, 9).Draw(t, "largest")
	if rapid.IntRange(0, 4).Draw(t, "drop") == 0 {
		next.Pools, next.Services = next.Pools[:2], next.Services[:2]
	}
	sim.applyManifest(next)
}

func cancelAllJobs(t *rapid.T, sim *simulation) {
	jobs := slices.Sorted(maps.Keys(sim.behaviour))
	if len(jobs) > 0 && rapid.IntRange(0, 2).Draw(t, "cancel") == 0 {
		sim.apply(state.Command{CancelJobs: &state.CancelJobs{Jobs: jobs}})
	}
}

// eventCount is the number of events of one random run; COMFREYLOOM_STEPS sets
// it for long runs.
func eventCount() int {
	if n, err := strconv.Atoi(os.Getenv("COMFREYLOOM_STEPS")); err == nil && n > 0 {
		return n
	}
	return 60
}

// randomRun runs a simulation with random faults and returns it.
func randomRun(t *rapid.T, events int, set func(*simulation)) *simulation {
	weights := rapid.SampledFrom([][2]float64{{1, 0}, {0.8, 0.2}, {0.2, 0.8}, {0, 1}}).Draw(t, "weights")
	sim := newSimulation(1, smallSite(weights[0], weights[1]), siteVMs(20, 3, shape))
	sim.lease = 4 * time.Minute
	if set != nil {
		set(sim)
	}
	jobs := 0
	for range events {
		randomEvent(t, sim, &jobs)
		sim.round(time.Duration(rapid.IntRange(10, 90).Draw(t, "seconds")) * time.Second)
		if len(sim.violations) > 0 {
			return sim
		}
	}
	return sim
}

// Under any order of failures by VM, rack and zone, wrong sizes, faulty
// workers, incomplete lists, mass cancellations and new leaders, no job runs
// twice, no VM is over-committed and no pool gets a VM that it does not allow.
func TestDecisionsKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := randomRun(t, eventCount(), nil)
		if len(sim.violations) > 0 {
			t.Fatalf("invariants violated: %v", sim.violations)
		}
		for _, b := range sim.machine.Check() {
			t.Fatalf("state: %s: %s", b.Invariant, b.Detail)
		}
		for _, b := range sim.machine.Violations() {
			t.Fatalf("state: %s: %s", b.Invariant, b.Detail)
		}
		checkSettles(t, sim)
	})
}

// checkSettles checks that nothing is stuck after the faults end: every pool
// has what it needs, every instance serves, and no job that could run waits.
func checkSettles(t *rapid.T, sim *simulation) {
	clear(sim.hidden)
	clear(sim.faultyWorkers)
	last := smallSite(1, 1)
	last.Revision = sim.machine.View().Site.Revision + 1
	sim.applyManifest(last)
	for id := range sim.vms {
		sim.upAt[id] = sim.now
	}
	sim.lease = 40 * time.Minute
	for range 600 {
		sim.round(10 * time.Minute)
		if settled(sim) {
			break
		}
	}
	if len(sim.violations) > 0 {
		t.Fatalf("invariants violated: %v", sim.violations)
	}
	for _, s := range sim.lastIndex.Services {
		if s.Available < s.Spec.Instances {
			t.Fatalf("service %s has %d of %d instances; spares: %v", s.Spec.ID, s.Available, s.Spec.Instances, fleet.SparesNeeded(sim.lastIndex, sim.fleet).Describe())
		}
	}
	for _, j := range sim.lastIndex.Queue {
		t.Fatalf("job %s is still queued: %s (%+v)", j.Spec.ID, j.Reason, j.Spec)
	}
}

func settled(sim *simulation) bool {
	for _, s := range sim.lastIndex.Services {
		if s.Available < s.Spec.Instances {
			return false
		}
	}
	return len(sim.lastIndex.Queue) == 0 && len(sim.lastIndex.Snap.View.Quarantines) == 0
}

// Each rule that is switched off must be detected by the guards in the same
// random runs; otherwise the guards check nothing.
func TestGuardsDetectMissingRules(t *testing.T) {
	faults := map[string]func(*simulation){
		"capacity":   func(sim *simulation) { sim.placing.Rules.SkipCapacity = true },
		"quota":      func(sim *simulation) { sim.placing.Rules.SkipQuota = true },
		"block":      func(sim *simulation) { sim.placing.Rules.SkipBlock = true },
		"idempotent": func(sim *simulation) { sim.placing.Rules.SkipIdempotent = true },
		"zone":       func(sim *simulation) { sim.fleet.Rules.SkipShape = true },
		"max":        func(sim *simulation) { sim.fleet.Rules.SkipMax = true },
		"absence":    func(sim *simulation) { sim.fleet.Rules.SkipAbsence = true },
		"idle":       func(sim *simulation) { sim.fleet.Rules.SkipIdle = true },
	}
	for name, set := range faults {
		t.Run(name, func(t *testing.T) {
			events := eventsUntilViolation(t, set)
			is.New(t).True(events > 0) // the guards detect it
			t.Logf("found after %d events", events)
		})
	}
}

func eventsUntilViolation(t *testing.T, set func(*simulation)) int {
	for seed := range 60 {
		found := 0
		rapid.Custom(func(rt *rapid.T) int {
			sim := randomRun(rt, 60, set)
			if len(sim.violations) > 0 {
				found = sim.stats.rounds
			}
			return 0
		}).Example(seed)
		if found > 0 {
			return seed*60 + found
		}
	}
	return 0
}
