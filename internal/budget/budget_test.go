package budget

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

const now = model.Instant(1_000_000_000)

// newSnapshot returns a snapshot of a pool of VMs, one to a rack, spread over
// zones, with one instance of service s on each of the first VMs.
func newSnapshot(vms, zones, instances, minAvailable int) *fleet.Snapshot {
	size := model.Resources{MilliCPU: 1000, MemoryMB: 1000}
	site := &model.Site{
		Pools:    []model.Pool{{ID: "p", MaxVMs: vms}},
		Services: []model.Service{{ID: "s", Pool: "p", Instances: instances, MinAvailable: minAvailable, Size: size}},
	}
	view := &state.View{
		Site: site, Owners: map[model.VMID]*model.Ownership{}, Permits: map[model.VMID]*model.Permit{},
		Tasks: map[model.TaskID]*model.Task{}, Quarantines: map[model.WorkerID]*model.Quarantine{},
	}
	s := &fleet.Snapshot{Now: now, View: view, VMs: map[model.VMID]*model.VM{}, Serving: map[model.TaskID]bool{}}
	for i := range vms {
		id := model.VMID(fmt.Sprint("v", i))
		s.VMs[id] = &model.VM{
			ID: id, Worker: model.WorkerID(id), Zone: model.ZoneID(fmt.Sprint("z", i%zones)), Rack: model.RackID(fmt.Sprint("r", i)),
			Capacity: model.Resources{MilliCPU: 8000, MemoryMB: 8000}, Health: model.VMUp, BootID: "b",
		}
		view.Owners[id] = &model.Ownership{VM: id, Pool: "p", Generation: 1}
		if i < instances {
			task := model.TaskID(fmt.Sprint("t", i))
			view.Tasks[task] = &model.Task{ID: task, Service: "s", Ordinal: i, VM: id, Worker: model.WorkerID(id), Size: size, State: model.TaskRunning}
			s.Serving[task] = true
		}
	}
	return s
}

func newLedger(s *fleet.Snapshot, o Options) (*Ledger, *fleet.Index) {
	ix := fleet.NewIndex(s)
	return NewLedger(ix, o), ix
}

// Covers every cause for which an instance does not count, and the rules that
// make it count.
func TestLossCauses(t *testing.T) {
	back := now.Add(-time.Minute)
	cases := []struct {
		name      string
		change    func(s *fleet.Snapshot)
		loss      Loss
		o, noRule Options
	}{
		{name: "down", loss: Failed, change: func(s *fleet.Snapshot) { s.VMs["v0"].Health = model.VMDown }},
		{name: "rebooting without a permit", loss: Failed, change: func(s *fleet.Snapshot) { s.VMs["v0"].Health = model.VMRebooting }},
		{name: "not listed", loss: Failed, change: func(s *fleet.Snapshot) { delete(s.VMs, "v0") }},
		{name: "late heartbeat", loss: Unknown, noRule: Options{Rules: Rules{TrustUnknown: true}}, change: func(s *fleet.Snapshot) { s.VMs["v0"].Health = model.VMUnknown }},
		{name: "just back", loss: Soaking, noRule: Options{Rules: Rules{SkipSoak: true}}, change: func(s *fleet.Snapshot) { s.VMs["v0"].HealthSince = back }},
		{name: "permit", loss: UnderPermit, change: func(s *fleet.Snapshot) { s.View.Permits["v0"] = &model.Permit{VM: "v0", Phase: model.PhaseGranted} }},
		{name: "quarantine", loss: Quarantined, change: func(s *fleet.Snapshot) { s.View.Quarantines["v0"] = &model.Quarantine{Worker: "v0"} }},
		{name: "moving", loss: Moving, change: func(s *fleet.Snapshot) {
			s.View.Owners["v0"] = &model.Ownership{VM: "v0", Pool: "p", Moving: true, Generation: 2}
		}},
		{name: "not announced", loss: Starting, change: func(s *fleet.Snapshot) { delete(s.Serving, "t0") }},
		{name: "being stopped", loss: Stopping, change: func(s *fleet.Snapshot) { s.View.Tasks["t0"].State = model.TaskStopping }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newSnapshot(8, 4, 6, 3)
			c.change(s)
			l, _ := newLedger(s, c.o)
			is.Equal(l.Available("s"), 5)
			is.Equal(l.Report().Services[0].Lost[c.loss.String()], 1)
			if c.noRule != (Options{}) {
				l, _ = newLedger(s, c.noRule)
				is.Equal(l.Available("s"), 6) // the rule makes the difference
			}
		})
	}
	l, _ := newLedger(newSnapshot(8, 4, 6, 3), Options{Stale: true})
	is.New(t).Equal(l.Available("s"), 0) // no VM counts by a stale list
}

// The remaining budget depends on the largest failure domain whose loss the
// numbers of instances allow.
func TestRemainingBudget(t *testing.T) {
	cases := []struct {
		vms, zones, instances, minAvailable, reserve, left int
		domain                                             string
	}{
		{8, 4, 8, 5, 2, 1, "z"},   // a zone holds 2 of 8
		{8, 4, 8, 7, 1, 0, "z0/"}, // only a rack can be lost
		{8, 1, 8, 5, 1, 2, "z0/"}, // with a single zone, its loss can't be covered
		{8, 4, 8, 8, 0, 0, ""},    // no loss can be covered
	}
	for _, c := range cases {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			is := is.New(t)
			l, ix := newLedger(newSnapshot(c.vms, c.zones, c.instances, c.minAvailable), Options{})
			r := l.Report().Services[0]
			is.Equal([]int{r.Reserve, r.Remaining}, []int{c.reserve, c.left})
			is.True(strings.HasPrefix(r.Domain, c.domain))
			ok, why := l.MayTake(ix.VM("v0"))
			is.Equal(ok, c.left > 0)
			is.Equal(ok, why == "")
		})
	}
	is := is.New(t)
	s := newSnapshot(6, 3, 6, 4)
	l, ix := newLedger(s, Options{})
	is.Equal(l.Report().Services[0].Description, "service s: 6 available - 2 worst next failure (z0) - 4 least = 0")
	_, why := l.MayTake(ix.VM("v1"))
	is.Equal(why, "without VM v1: service s: 5 available - 2 worst next failure (z0) - 4 least = -1")
	// One more instance in v1's zone makes up for v1; one elsewhere does not.
	is.Equal(l.Shortfalls(ix.VM("v1")), map[model.ServiceID]int{"s": 1})
	is.True(l.ImprovesBudget("s", ix.VM("v1"), ix.VM("v4")))
	is.True(!l.ImprovesBudget("s", ix.VM("v1"), ix.VM("v0")))
}

// Whatever fails and whichever VMs are taken out in turn as MayTake allows, the
// loss of any one covered domain leaves the minimum of available instances.
func TestTakenVMsLeaveTheReserve(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(2, 4).Draw(t, "zones")
		instances := rapid.IntRange(2, 12).Draw(t, "instances")
		s := newSnapshot(14, zones, instances, rapid.IntRange(1, instances).Draw(t, "least"))
		for _, i := range rapid.SliceOfN(rapid.IntRange(0, 13), 0, 3).Draw(t, "failed") {
			s.VMs[model.VMID(fmt.Sprint("v", i))].Health = model.VMHealth(rapid.IntRange(0, 3).Draw(t, "health"))
		}
		l, ix := newLedger(s, Options{})
		out := map[model.VMID]bool{}
		for _, i := range rapid.Permutation([]int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13}).Draw(t, "order") {
			v := ix.VM(model.VMID(fmt.Sprint("v", i)))
			if ok, _ := l.MayTake(v); ok {
				l.Take(v)
				out[v.ID] = true
			}
		}
		e := l.byID["s"]
		left := map[string]int{}
		total := 0
		for _, task := range s.View.Tasks {
			v := ix.VM(task.VM)
			if v.Healthy() && !out[v.ID] {
				left[l.domain(e.cover, v)]++
				total++
			}
		}
		served := len(out) > 0 && l.Remaining("s") >= 0
		for domain, n := range left {
			if served && e.cover != CoverNothing && total-n < e.service.Spec.MinAvailable {
				t.Fatalf("%d VMs are out; the loss of %s leaves %d instances, the minimum is %d", len(out), domain, total-n, e.service.Spec.MinAvailable)
			}
		}
		if total != l.Available("s") {
			t.Fatalf("%d instances are available, the ledger has %d", total, l.Available("s"))
		}
	})
}
