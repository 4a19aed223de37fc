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

// smallSite has three pools with a service each, one of them in two zones
// only, and three teams, one without much quota.
func smallSite(moves, buffer float64) *model.Site {
	size := model.Resources{MilliCPU: 3000, MemoryMB: 9000}
	pool := func(id model.PoolID, least, most int, zones ...model.ZoneID) model.Pool {
		return model.Pool{ID: id, MinVMs: least, MaxVMs: most, Shape: shape, Zones: zones}
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

// drawJob draws a job whose declared size may be far off.
func drawJob(t *rapid.T, n int) (model.JobSpec, truth) {
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
	lie := map[string]float64{"honest": 0.9, "low": 2.5, "high": 0.2}[spec.Kind]
	return spec, truth{
		size:   model.Resources{MilliCPU: min(int64(float64(cpu)*lie), shape.MilliCPU), MemoryMB: min(int64(2*float64(cpu)*lie), 55_000)},
		length: time.Duration(rapid.IntRange(1, 90).Draw(t, "minutes")) * time.Minute,
		fails:  rapid.IntRange(0, 15).Draw(t, "bad job") == 0,
	}
}

// happenings are the faults and the load that the random run chooses from.
func happenings(t *rapid.T, w *world, jobs *int) {
	any := func(name string) *model.VM {
		return w.vms[model.VMID(fmt.Sprintf("vm%04d", rapid.IntRange(0, len(w.vms)-1).Draw(t, name)))]
	}
	down := time.Duration(rapid.IntRange(1, 40).Draw(t, "down")) * time.Minute
	switch rapid.IntRange(0, 12).Draw(t, "happening") {
	case 0:
		v := any("vm")
		w.fail(down, model.VMDown, func(o *model.VM) bool { return o == v })
	case 1:
		v := any("rack of")
		w.fail(down, model.VMUnknown, func(o *model.VM) bool { return o.Zone == v.Zone && o.Rack == v.Rack })
	case 2:
		v := any("zone of")
		if rapid.IntRange(0, 3).Draw(t, "zone goes") == 0 {
			w.fail(down, model.VMDown, func(o *model.VM) bool { return o.Zone == v.Zone })
		}
	case 3:
		v := any("bad worker")
		w.bad[v.Worker] = !w.bad[v.Worker]
	case 4:
		// The platform answers with a part of its list, or with nothing.
		clear(w.hidden)
		part := rapid.IntRange(0, len(w.vms)).Draw(t, "hidden")
		for _, id := range slices.Sorted(maps.Keys(w.vms)) {
			if len(w.hidden) < part && rapid.IntRange(0, 2).Draw(t, "partial") == 0 {
				w.hidden[id] = true
			}
		}
	case 5:
		clear(w.hidden)
	case 6:
		cancelWave(t, w)
	case 7:
		changeSite(t, w)
	case 8:
		// A new leader knows nothing that was not committed.
		fresh := newWorld(1, smallSite(1, 1), nil)
		w.sizes, w.history, w.absence = fresh.sizes, fresh.history, fresh.absence
		w.fleet.Sizes, w.placing.Sizes = w.sizes, w.sizes
	default:
		for range rapid.IntRange(1, 6).Draw(t, "jobs") {
			*jobs++
			w.submit(drawJob(t, *jobs))
		}
	}
}

// changeSite accepts a manifest that changes what a pool allows, or drops one.
func changeSite(t *rapid.T, w *world) {
	old := w.machine.View().Site
	next := smallSite(old.Policy.MoveWeight, old.Policy.BufferWeight)
	next.Revision = old.Revision + 1
	next.Pools[1].Zones = rapid.SampledFrom([][]model.ZoneID{{"z0", "z1"}, {"z1", "z2"}, nil}).Draw(t, "zones")
	next.Pools[0].MaxVMs = rapid.IntRange(5, 9).Draw(t, "largest")
	if rapid.IntRange(0, 4).Draw(t, "drop") == 0 {
		next.Pools, next.Services = next.Pools[:2], next.Services[:2]
	}
	w.accept(next)
}

func cancelWave(t *rapid.T, w *world) {
	jobs := slices.Sorted(maps.Keys(w.truth))
	if len(jobs) > 0 && rapid.IntRange(0, 2).Draw(t, "cancel") == 0 {
		w.apply(state.Command{CancelJobs: &state.CancelJobs{Jobs: jobs}})
	}
}

// runLength is the number of happenings of one random run; COMFREYLOOM_STEPS
// sets it for long runs.
func runLength() int {
	if n, err := strconv.Atoi(os.Getenv("COMFREYLOOM_STEPS")); err == nil && n > 0 {
		return n
	}
	return 60
}

// randomRun drives a world through random faults and returns it.
func randomRun(t *rapid.T, steps int, set func(*world)) *world {
	weights := rapid.SampledFrom([][2]float64{{1, 0}, {0.8, 0.2}, {0.2, 0.8}, {0, 1}}).Draw(t, "weights")
	w := newWorld(1, smallSite(weights[0], weights[1]), siteVMs(20, 3, shape))
	w.lease = 4 * time.Minute
	if set != nil {
		set(w)
	}
	jobs := 0
	for range steps {
		happenings(t, w, &jobs)
		w.round(time.Duration(rapid.IntRange(10, 90).Draw(t, "seconds")) * time.Second)
		if len(w.broken) > 0 {
			return w
		}
	}
	return w
}

// Symptom: a job ran twice, a VM was over-committed, or a pool got a VM that
// it does not allow. Sequence: any order of failures by VM, rack and zone,
// lies about sizes, bad workers, partial lists, cancel waves and new leaders.
// Cause: a decision that trusts one table alone.
func TestDecisionsKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := randomRun(t, runLength(), nil)
		if len(w.broken) > 0 {
			t.Fatalf("broken: %v", w.broken)
		}
		for _, b := range w.machine.Check() {
			t.Fatalf("state: %s: %s", b.Invariant, b.Detail)
		}
		for _, b := range w.machine.Violations() {
			t.Fatalf("state: %s: %s", b.Invariant, b.Detail)
		}
		settles(t, w)
	})
}

// settles checks that nothing is stuck once the faults are over: every pool
// has what it needs, every instance serves, and no job that could run waits.
func settles(t *rapid.T, w *world) {
	clear(w.hidden)
	clear(w.bad)
	last := smallSite(1, 1)
	last.Revision = w.machine.View().Site.Revision + 1
	w.accept(last)
	for id := range w.vms {
		w.upAt[id] = w.now
	}
	w.lease = 40 * time.Minute
	for range 600 {
		w.round(10 * time.Minute)
		if settled(w) {
			break
		}
	}
	if len(w.broken) > 0 {
		t.Fatalf("broken: %v", w.broken)
	}
	for _, s := range w.lastIdx.Services {
		if s.Available < s.Spec.Instances {
			t.Fatalf("service %s has %d of %d instances; %v", s.Spec.ID, s.Available, s.Spec.Instances, fleet.SparesNeeded(w.lastIdx, w.fleet).Words())
		}
	}
	for _, j := range w.lastIdx.Queue {
		t.Fatalf("job %s still waits: %s (%+v)", j.Spec.ID, j.Reason, j.Spec)
	}
}

func settled(w *world) bool {
	for _, s := range w.lastIdx.Services {
		if s.Available < s.Spec.Instances {
			return false
		}
	}
	return len(w.lastIdx.Queue) == 0 && len(w.lastIdx.Snap.View.Quarantines) == 0
}

// Symptom: none of the guards would notice a missing rule. Sequence: the same
// random runs with one rule switched off. Cause: a check that can't fail.
func TestGuardsNoticeMissingRules(t *testing.T) {
	faults := map[string]func(*world){
		"capacity":   func(w *world) { w.placing.Rules.SkipCapacity = true },
		"quota":      func(w *world) { w.placing.Rules.SkipQuota = true },
		"block":      func(w *world) { w.placing.Rules.SkipBlock = true },
		"idempotent": func(w *world) { w.placing.Rules.SkipIdempotent = true },
		"zone":       func(w *world) { w.fleet.Rules.SkipShape = true },
		"max":        func(w *world) { w.fleet.Rules.SkipMax = true },
		"absence":    func(w *world) { w.fleet.Rules.SkipAbsence = true },
		"idle":       func(w *world) { w.fleet.Rules.SkipIdle = true },
	}
	for name, set := range faults {
		t.Run(name, func(t *testing.T) {
			steps := findFault(t, set)
			is.New(t).True(steps > 0) // the guards notice
			t.Logf("found after %d happenings", steps)
		})
	}
}

func findFault(t *testing.T, set func(*world)) int {
	for seed := range 60 {
		found := 0
		rapid.Custom(func(rt *rapid.T) int {
			w := randomRun(rt, 60, set)
			if len(w.broken) > 0 {
				found = w.tally.rounds
			}
			return 0
		}).Example(seed)
		if found > 0 {
			return seed*60 + found
		}
	}
	return 0
}
