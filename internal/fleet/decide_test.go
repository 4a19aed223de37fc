package fleet_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

const now = model.Instant(100 * 3_600_000)

var unit = model.Resources{MilliCPU: 16_000, MemoryMB: 64_000}

// newSnapshot returns a snapshot with one VM for each of owners, two to a rack,
// over two zones. An owner is the VM's pool, "-" for a shared spare and "" for
// no entry. Pools a and b need three and two VMs for one instance on each.
func newSnapshot(owners ...string) *fleet.Snapshot {
	pool := func(id model.PoolID, maxVMs int) model.Pool {
		return model.Pool{ID: id, MinVMs: 1, MaxVMs: maxVMs, Shape: unit}
	}
	service := func(id model.ServiceID, p model.PoolID, n int) model.Service {
		return model.Service{ID: id, Pool: p, Instances: n, Size: model.Resources{MilliCPU: 9000, MemoryMB: 9000}}
	}
	site := &model.Site{Revision: 1, Policy: model.Policy{BufferWeight: 1}, Pools: []model.Pool{pool("a", 5), pool("b", 3)},
		Services: []model.Service{service("sa", "a", 3), service("sb", "b", 2)}}
	view := &state.View{Index: 9, Site: site, Owners: map[model.VMID]*model.Ownership{}, Tasks: map[model.TaskID]*model.Task{}}
	s := &fleet.Snapshot{Now: now, View: view, VMs: map[model.VMID]*model.VM{}}
	for i, owner := range owners {
		id := model.VMID(fmt.Sprintf("vm%02d", i))
		s.VMs[id] = &model.VM{ID: id, Worker: model.WorkerID("w-" + id), Zone: model.ZoneID(fmt.Sprint("z", i/2%2)),
			Rack: model.RackID(fmt.Sprint("k", i/2)), Capacity: unit, Health: model.VMUp, HealthSince: 1}
		if owner != "" {
			view.Owners[id] = &model.Ownership{VM: id, Pool: model.PoolID(strings.Trim(owner, "-")), Generation: 4}
		}
	}
	return s
}

// setHealth sets the health of a VM and for how long it has had it.
func setHealth(s *fleet.Snapshot, id model.VMID, h model.VMHealth, since time.Duration) {
	s.VMs[id].Health, s.VMs[id].HealthSince = h, now.Add(-since)
}

// describe formats the actions about VMs for comparison.
func describe(actions []state.Action) string {
	var out []string
	for _, a := range actions {
		switch {
		case a.BeginMove != nil:
			out = append(out, fmt.Sprintf("%s>%s@%d", a.BeginMove.VM, a.BeginMove.Target, a.BeginMove.Generation))
		case a.FinishMove != nil:
			out = append(out, fmt.Sprintf("%s!@%d", a.FinishMove.VM, a.FinishMove.Generation))
		case a.ForgetVM != nil:
			out = append(out, "forget "+string(a.ForgetVM.VM))
		}
	}
	return strings.Join(out, " ")
}

// Guards against a failure in which a bad reply of the platform, listing none
// or half of the VMs for hours, dropped the entries of the others. Every VM
// then got a new entry, in another pool.
func TestPartialListDropsNoEntries(t *testing.T) {
	is := is.New(t)
	s := newSnapshot("a", "a", "a", "b", "b", "-")
	var absence fleet.Absence
	full := s.VMs
	s.VMs = map[model.VMID]*model.VM{}
	for _, at := range []time.Duration{0, 2 * time.Hour} {
		s.Now = now.Add(at)
		s.Absent = absence.Observe(s.Now, s.VMs, s.View.Owners)
		is.Equal(describe(fleet.Decide(fleet.NewIndex(s), fleet.Options{})), "") // an empty list is no evidence of absence
	}
	half := map[model.VMID]*model.VM{"vm00": full["vm00"], "vm01": full["vm01"], "vm02": full["vm02"]}
	s.VMs = half
	absence.Observe(s.Now, s.VMs, s.View.Owners)
	s.Now = s.Now.Add(2 * time.Hour)
	s.Absent = absence.Observe(s.Now, s.VMs, s.View.Owners)
	is.True(!strings.Contains(describe(fleet.Decide(fleet.NewIndex(s), fleet.Options{})), "forget")) // half the fleet missing means a partial list
	delete(full, "vm05")
	s.VMs = full
	s.Absent = absence.Observe(s.Now, s.VMs, s.View.Owners)
	is.Equal(describe(fleet.Decide(fleet.NewIndex(s), fleet.Options{})), "forget vm05") // one VM, absent for two hours
}

// A VM that failed for good must be replaced by a spare, one that only reboots
// must not. Guards against moving spares by the number of VMs alone: pools then
// waited for a repair while spares were idle, or moved a VM at each reboot.
func TestSparesMoveOnlyWhenNeeded(t *testing.T) {
	is := is.New(t)
	s := newSnapshot("a", "a", "a", "b", "b", "-", "-")
	is.Equal(describe(fleet.Decide(fleet.NewIndex(s), fleet.Options{})), "") // no pool is short
	setHealth(s, "vm00", model.VMRebooting, time.Minute)
	s.Serving = addServing(s, "vm01", "vm02")
	is.Equal(describe(fleet.Decide(fleet.NewIndex(s), fleet.Options{})), "") // it comes back by itself
	setHealth(s, "vm00", model.VMDown, time.Hour)
	is.Equal(describe(fleet.Decide(fleet.NewIndex(s), fleet.Options{})), "vm05>a@4 vm05!@5") // begun and finished in one plan
}

// addServing adds a serving instance of service sa on each VM.
func addServing(s *fleet.Snapshot, vms ...model.VMID) map[model.TaskID]bool {
	serving := make(map[model.TaskID]bool)
	for i, vm := range vms {
		id := model.TaskID(fmt.Sprint("t", i))
		s.View.Tasks[id] = &model.Task{ID: id, Service: "sa", Ordinal: i, VM: vm, State: model.TaskRunning}
		serving[id] = true
	}
	return serving
}

// Guards against a pool at its maximum size staying short for hours because a
// VM that failed for good was never removed from it.
func TestLostVMIsReplacedAtMaxSize(t *testing.T) {
	is := is.New(t)
	s := newSnapshot("a", "a", "a", "b", "b", "b", "-")
	s.View.Site.Services[1].Instances = 3
	setHealth(s, "vm03", model.VMDown, time.Hour)
	is.Equal(describe(fleet.Decide(fleet.NewIndex(s), fleet.Options{})), "vm03>@4 vm03!@5 vm06>b@4 vm06!@5")
}

// Guards against a VM joining its new pool while a task of the old one still
// runs on it: a move that begins while a task runs must wait for its end.
func TestMoveWaitsForTasks(t *testing.T) {
	is := is.New(t)
	s := newSnapshot("a", "a", "a", "b", "b")
	s.View.Owners["vm02"] = &model.Ownership{VM: "vm02", Pool: "a", Moving: true, Target: "", Generation: 7}
	s.View.Tasks["t"] = &model.Task{ID: "t", Job: "j", VM: "vm02"}
	s.View.Site.Services[0].Instances = 2
	is.Equal(describe(fleet.Decide(fleet.NewIndex(s), fleet.Options{})), "")
	s.View.Tasks = nil
	is.Equal(describe(fleet.Decide(fleet.NewIndex(s), fleet.Options{})), "vm02!@7")
}

// The spares must cover the loss of the worst rack, and the status shows how
// their number is computed. A spare in that rack does not count.
func TestSparesNeededShowsArithmetic(t *testing.T) {
	is := is.New(t)
	// The worst rack, k0, takes two of the three VMs of pool a; the spares
	// are outside it.
	s := newSnapshot("a", "a", "a", "b", "b", "-", "-")
	sp := fleet.SparesNeeded(fleet.NewIndex(s), fleet.Options{})
	is.Equal(sp.Describe(), "2 spares needed if rack z0/k0 is lost (pool a 3-(3-2)=2; 0 permits in flight); 2 of 2 ready spares fit")
	is.Equal(sp.Shortage(), 0)
	s.View.Owners["vm05"].Pool = "b"
	is.Equal(fleet.SparesNeeded(fleet.NewIndex(s), fleet.Options{}).Shortage(), 1) // one spare is missing
	// A spare in the worst rack is lost too and does not count.
	s = newSnapshot("a", "-", "a", "b", "a", "b")
	s.View.Site.Services[1].Instances = 1
	is.Equal(fleet.SparesNeeded(fleet.NewIndex(s), fleet.Options{}).Shortage(), 1)
	s = newSnapshot("a", "a", "a", "b", "b")
	s.View.Site.Policy = model.Policy{MoveWeight: 1}
	d := fleet.Demands(fleet.NewIndex(s), fleet.Options{})
	is.Equal(d[0].Headroom, 2) // with the full weight on moves the pool has its own reserve
}

// Guards against assigning the VMs of a new site to pools in the order of their
// IDs: pools lay in one rack, and the loss of that rack lost the whole pool.
func TestNewVMsSpreadOverRacks(t *testing.T) {
	is := is.New(t)
	s := newSnapshot("", "", "", "", "", "", "", "")
	s.View.Site.Pools = s.View.Site.Pools[:1]
	ix := fleet.NewIndex(s)
	fleet.Decide(ix, fleet.Options{})
	racks := map[int]bool{}
	for _, v := range ix.Pools[0].VMs {
		racks[v.Rack] = true
	}
	is.Equal(len(racks), 3) // one VM of the pool in each rack
	is.Equal(len(ix.Spares), 5)
	is.Equal(len(ix.Violations()), 0)
}
