package wave

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/budget"
	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// now is 08:00 UTC.
const now = model.Instant(1_800_000_000_000)

// newSnapshot returns a snapshot of pool p with 12 VMs in 3 zones, two to a rack,
// 6 instances of service s spread over the zones, of which 3 must be available,
// and a wave over the pool.
func newSnapshot() *fleet.Snapshot {
	size := model.Resources{MilliCPU: 1000, MemoryMB: 1000}
	site := &model.Site{
		Pools:    []model.Pool{{ID: "p", MinVMs: 2, MaxVMs: 12}},
		Services: []model.Service{{ID: "s", Pool: "p", Instances: 6, MinAvailable: 3, Size: size}},
		Waves:    []model.Wave{{ID: "w", Pools: []model.PoolID{"p"}, Start: now, Soak: time.Minute}},
	}
	view := &state.View{
		Site: site, Owners: map[model.VMID]*model.Ownership{}, Permits: map[model.VMID]*model.Permit{},
		Tasks: map[model.TaskID]*model.Task{}, Jobs: map[model.JobID]*model.Job{}, Maintained: map[model.VMID]*model.Maintained{},
	}
	s := &fleet.Snapshot{Now: now, View: view, VMs: map[model.VMID]*model.VM{}, Serving: map[model.TaskID]bool{}}
	for i := range 12 {
		id := model.VMID(fmt.Sprintf("v%02d", i))
		s.VMs[id] = &model.VM{
			ID: id, Worker: model.WorkerID(id), Zone: model.ZoneID(fmt.Sprint("z", i/4)), Rack: model.RackID(fmt.Sprint("r", i/2)),
			Capacity: model.Resources{MilliCPU: 8000, MemoryMB: 8000}, Health: model.VMUp, BootID: "b1",
		}
		view.Owners[id] = &model.Ownership{VM: id, Pool: "p", Generation: 1}
		if i%4 < 2 {
			task := model.TaskID(fmt.Sprint("t", i))
			view.Tasks[task] = &model.Task{ID: task, Service: "s", Ordinal: len(view.Tasks), VM: id, Worker: model.WorkerID(id), Size: size, State: model.TaskRunning}
			s.Serving[task] = true
		}
	}
	return s
}

// runJob adds a job that has been running on a VM for the given time.
func runJob(s *fleet.Snapshot, vm model.VMID, spec model.JobSpec, ran time.Duration) *model.Task {
	spec.ID = model.JobID("job-" + vm)
	spec.Pool = "p"
	s.View.Jobs[spec.ID] = &model.Job{Spec: spec, State: model.JobRunning}
	t := &model.Task{
		ID: model.TaskID("task-" + vm), Job: spec.ID, VM: vm, Worker: model.WorkerID(vm), Priority: spec.Priority,
		State: model.TaskRunning, Started: now.Add(-ran), Size: model.Resources{MilliCPU: 100, MemoryMB: 100},
	}
	s.View.Tasks[t.ID] = t
	return t
}

func decide(s *fleet.Snapshot, o Options, f Facts) Decision {
	ix := fleet.NewIndex(s)
	return Decide(ix, budget.NewLedger(ix, budget.Options{}), f, o)
}

// granted lists the VMs that were granted permits, in order.
func granted(d Decision) []model.VMID {
	var vms []model.VMID
	for _, a := range d.Actions {
		if a.GrantPermit != nil {
			vms = append(vms, a.GrantPermit.VM)
		}
	}
	return vms
}

func permit(s *fleet.Snapshot, vm model.VMID, phase model.MaintenancePhase) *model.Permit {
	p := &model.Permit{VM: vm, Wave: "w", Pool: "p", Phase: phase, Since: now.Add(-time.Minute), BootID: "b1", Generation: 7}
	s.View.Permits[vm] = p
	return p
}

func TestBasicWaveIsOneVMAtATimeInOrder(t *testing.T) {
	is := is.New(t)
	s := newSnapshot()
	is.Equal(granted(decide(s, Options{}, Facts{})), []model.VMID{"v00"})
	permit(s, "v00", model.PhaseRebooting)
	d := decide(s, Options{}, Facts{})
	is.Equal(granted(d), nil)
	is.Equal(d.Waiting["w"], "one VM at a time")
}

func TestLargestSetInOneZone(t *testing.T) {
	is := is.New(t)
	s := newSnapshot()
	set := granted(decide(s, Options{Features: Features{LargestSet: true}}, Facts{}))
	// In z0, v00 and v01 run an instance each; the budget allows one of them to
	// be drained: with both out, the loss of another zone would leave 2 of the 3
	// that must be available. The next zones add VMs that run none.
	is.Equal(set, []model.VMID{"v00", "v02", "v03", "v06", "v07", "v10"})
	s.View.Site.Waves[0].MaxParallel = 2
	is.Equal(len(granted(decide(s, Options{Features: AllFeatures()}, Facts{}))), 2)
}

func TestDrainOrderAndStoppedTasks(t *testing.T) {
	is := is.New(t)
	s := newSnapshot()
	s.View.Site.Waves[0].MaxParallel = 1
	for vm := range s.VMs {
		if vm != "v11" {
			runJob(s, vm, model.JobSpec{Priority: model.Urgent, Runtime: 20 * time.Minute}, 0)
		}
	}
	is.Equal(granted(decide(s, Options{Features: AllFeatures()}, Facts{})), []model.VMID{"v11"}) // nothing to wait for
	cases := []struct {
		spec          model.JobSpec
		ran           time.Duration
		basic, chosen bool
	}{
		{model.JobSpec{Runtime: time.Hour}, 0, false, false},                                                           // must not be interrupted
		{model.JobSpec{Runtime: time.Hour, Idempotent: true, Priority: model.Urgent}, 0, true, false},                  // urgent
		{model.JobSpec{Runtime: time.Hour, Idempotent: true, Priority: model.Batch, Checkpoints: true}, 0, true, true}, // long
		{model.JobSpec{Runtime: time.Hour, Idempotent: true, Priority: model.Batch}, 59 * time.Minute, true, false},    // near its end
	}
	for _, c := range cases {
		s := newSnapshot()
		permit(s, "v03", model.PhaseDraining)
		s.VMs["v03"].Drained = true
		for id := range s.VMs {
			if id != "v03" {
				s.View.Maintained[id] = &model.Maintained{VM: id, Wave: "w", At: now}
			}
		}
		runJob(s, "v03", c.spec, c.ran)
		is.Equal(len(decide(s, Options{}, Facts{}).Stops) == 1, c.basic)
		is.Equal(len(decide(s, Options{Features: AllFeatures()}, Facts{}).Stops) == 1, c.chosen)
	}
}

// Guards against rebooting a VM twice or leaving its maintenance unfinished when
// a new leader finds a permit in any phase: it can't tell which commands were
// sent.
func TestNewLeaderResumesPermitFromObservedState(t *testing.T) {
	cases := []struct {
		name     string
		phase    model.MaintenancePhase
		observed func(v *model.VM)
		returned bool
		next     model.MaintenancePhase
		released string
	}{
		{"granted", model.PhaseGranted, nil, false, model.PhaseDraining, ""},
		{"not drained yet", model.PhaseDraining, nil, false, 0, ""},
		{"drained and idle", model.PhaseDraining, func(v *model.VM) { v.Drained = true }, false, model.PhaseRebooting, ""},
		{"rebooted on its own", model.PhaseDraining, func(v *model.VM) { v.BootID = "b2" }, false, model.PhaseSoaking, ""},
		{"given back", model.PhaseDraining, nil, true, 0, "back"},
		{"reboot under way", model.PhaseRebooting, func(v *model.VM) { v.Health = model.VMRebooting }, false, 0, ""},
		{"late undrain while down", model.PhaseRebooting, func(v *model.VM) { v.Health = model.VMRebooting }, true, 0, ""},
		{"undrained before", model.PhaseRebooting, nil, true, 0, "back"},
		{"old boot", model.PhaseRebooting, nil, false, 0, ""},
		{"other boot", model.PhaseRebooting, func(v *model.VM) { v.BootID = "b2" }, false, model.PhaseSoaking, ""},
		{"soaks", model.PhaseSoaking, func(v *model.VM) { v.HealthSince = now.Add(-30 * time.Second) }, false, 0, ""},
		{"still drained", model.PhaseSoaking, func(v *model.VM) { v.Drained = true }, false, 0, ""},
		{"soaked", model.PhaseSoaking, nil, true, 0, "done"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newSnapshot()
			permit(s, "v03", c.phase)
			if c.observed != nil {
				c.observed(s.VMs["v03"])
			}
			d := decide(s, Options{Features: AllFeatures()}, Facts{Returned: map[model.VMID]bool{"v03": c.returned}})
			i := slices.IndexFunc(d.Actions, func(a state.Action) bool { return a.SetPhase != nil || a.ReleasePermit != nil })
			switch {
			case c.next != 0:
				is.Equal(d.Actions[i].SetPhase.Phase, c.next)
			case c.released != "":
				is.Equal(d.Actions[i].ReleasePermit.Done, c.released == "done")
			default:
				is.Equal(i, -1)
			}
		})
	}
}

func TestReturnsVMsThatRestoreMostInstances(t *testing.T) {
	is := is.New(t)
	s := newSnapshot()
	permit(s, "v01", model.PhaseDraining) // runs an instance
	permit(s, "v02", model.PhaseDraining) // runs none
	permit(s, "v03", model.PhaseRebooting)
	permit(s, "v07", model.PhaseGranted)
	for _, vm := range []model.VMID{"v08", "v09"} {
		s.VMs[vm].Health = model.VMDown
	}
	d := decide(s, Options{Features: AllFeatures()}, Facts{})
	is.Equal(d.Undrain, []model.VMID{"v01", "v02"})
	is.Equal(granted(d), nil)
	is.Equal(d.Actions[0].ReleasePermit.VM, model.VMID("v07")) // no command was sent for it
	is.Equal(len(d.Stops), 0)
}

func TestBusyWindowsAndCorrelatedFailures(t *testing.T) {
	is := is.New(t)
	for _, w := range []model.Window{
		{From: 7 * time.Hour, To: 9 * time.Hour},                 // in the window
		{From: 8*time.Hour + 3*time.Minute, To: 9 * time.Hour},   // begins too soon
		{From: 22 * time.Hour, To: 8*time.Hour + 30*time.Minute}, // in the window, over midnight
		{From: 9 * time.Hour, To: 10 * time.Hour},                // later
		{From: 10 * time.Hour, To: 7*time.Hour + 59*time.Minute}, // begins later, over midnight
	} {
		s := newSnapshot()
		s.View.Site.Pools[0].BusyWindows = []model.Window{w}
		free := w.From >= 9*time.Hour && w.From < 22*time.Hour
		is.Equal(len(granted(decide(s, Options{Features: AllFeatures()}, Facts{}))) > 0, free)
		is.True(len(granted(decide(s, Options{Features: Features{LargestSet: true}}, Facts{}))) > 0) // without RespectBusy
	}
	s := newSnapshot()
	for _, vm := range []model.VMID{"v02", "v03"} { // a rack without instances
		s.VMs[vm].Health = model.VMDown
		s.VMs[vm].HealthSince = now.Add(-time.Minute)
	}
	d := decide(s, Options{Features: AllFeatures()}, Facts{})
	is.Equal(granted(d), nil)
	is.Equal(d.Waiting["w"], "2 VMs of rack z0/r1 failed in the last 5m0s")
	s.Now = now.Add(5 * time.Minute)
	is.True(len(granted(decide(s, Options{Features: AllFeatures()}, Facts{}))) > 0) // after the hold time only the budgets decide
}

func TestProgressEstimatesTheEnd(t *testing.T) {
	is := is.New(t)
	s := newSnapshot()
	s.View.Site.Waves[0].Start = now.Add(-10 * time.Minute) // before the first VM was done
	permit(s, "v06", model.PhaseDraining)
	runJob(s, "v06", model.JobSpec{}, 0)
	for i := range 4 {
		id := model.VMID(fmt.Sprintf("v%02d", i))
		s.View.Maintained[id] = &model.Maintained{VM: id, Wave: "w", At: now.Add(time.Duration(i-6) * time.Minute)}
	}
	p := ProgressOf(fleet.NewIndex(s), map[model.WaveID]string{"w": "why"}, Options{})
	// 4 were done, from 6 min to 3 min ago: one every 2 min; 8 are left.
	is.Equal(p, []Progress{{Wave: "w", Total: 12, Done: 4, Active: 1, Waiting: "why", End: now.Add(16 * time.Minute), VMs: []Maintenance{{
		VM: "v06", Pool: "p", Phase: "draining", Since: now.Add(-time.Minute),
		Waits: "1 tasks to end, among them job job-v06: it must not be cut",
	}}}})
}
