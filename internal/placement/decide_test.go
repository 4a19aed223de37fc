package placement_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/placement"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

const now = model.Instant(1_000_000_000)

// board has n VMs of 16 cores in pool p and nothing on them.
func board(n int) *fleet.Snapshot {
	view := &state.View{Index: 5, Owners: map[model.VMID]*model.Ownership{}, Jobs: map[model.JobID]*model.Job{}, Tasks: map[model.TaskID]*model.Task{},
		Site: &model.Site{Revision: 1, Pools: []model.Pool{{ID: "p", MaxVMs: n, Shape: shape}}, Teams: []model.Team{{ID: "t", Quota: model.Resources{MilliCPU: 40_000}}}}}
	s := &fleet.Snapshot{Now: now, View: view, VMs: map[model.VMID]*model.VM{}, Serving: map[model.TaskID]bool{}}
	for _, v := range siteVMs(n, 3, shape) {
		s.VMs[v.ID] = v
		view.Owners[v.ID] = &model.Ownership{VM: v.ID, Pool: "p", Generation: 1}
	}
	return s
}

// queue adds a queued job of so many cores.
func queue(s *fleet.Snapshot, id model.JobID, p model.Priority, cores int64) *model.Job {
	j := &model.Job{State: model.JobQueued, Submitted: now.Add(time.Duration(len(s.View.Jobs)) * time.Millisecond), Spec: model.JobSpec{
		ID: id, Team: "t", Pool: "p", Priority: p, Declared: model.Resources{MilliCPU: cores * 1000, MemoryMB: cores * 1000}}}
	s.View.Jobs[id] = j
	return j
}

// running adds a running batch job on a VM.
func running(s *fleet.Snapshot, id model.JobID, vm int, cores int64, set func(*model.JobSpec)) {
	j := queue(s, id, model.Batch, cores)
	j.State = model.JobRunning
	set(&j.Spec)
	v := s.VMs[model.VMID(fmt.Sprintf("vm%04d", vm))]
	t := &model.Task{ID: model.TaskID("t-" + id), Job: id, VM: v.ID, Worker: v.Worker, Size: j.Spec.Declared, Priority: model.Batch,
		State: model.TaskRunning, Started: now.Add(-time.Minute), LeaseUntil: now.Add(time.Minute)}
	s.View.Tasks[t.ID] = t
}

// words writes what was decided, for comparison.
func words(actions []state.Action, wishes []placement.Wish) string {
	var out []string
	for _, a := range actions {
		switch {
		case a.StartTask != nil:
			out = append(out, fmt.Sprintf("start %s%s on %s", a.StartTask.Task.Job, a.StartTask.Task.Service, a.StartTask.Task.VM))
		case a.SetJob != nil:
			out = append(out, fmt.Sprintf("%s %s", a.SetJob.State, a.SetJob.Job))
		case a.EndTask != nil:
			out = append(out, "end "+string(a.EndTask.Task))
		}
	}
	for _, w := range wishes {
		out = append(out, fmt.Sprintf("%s %s", w.Kind, w.Task.ID))
	}
	return strings.Join(out, ", ")
}

func jobsOf(s *fleet.Snapshot) string {
	return words(placement.Jobs(fleet.NewIndex(s), placement.Options{}))
}

// Symptom: small jobs waited for hours behind one that had no room. Sequence:
// a large job waits; small ones come after it. Cause: the queue stopped at the
// first job that could not start.
func TestNoJobBlocksOthers(t *testing.T) {
	is := is.New(t)
	s := board(1)
	running(s, "r", 0, 8, func(*model.JobSpec) {})
	queue(s, "large", model.Normal, 12)
	queue(s, "small", model.Normal, 4)
	is.Equal(jobsOf(s), "queued large, start small on vm0000")
}

// Symptom: an urgent draft waited while batch work ran, or batch work was
// stopped where a throttle would have done. Sequence: an urgent job finds no
// room. Cause: the order throttle, checkpoint, stop was not kept.
func TestBatchYieldsInOrder(t *testing.T) {
	is := is.New(t)
	yields := func(set func(*model.JobSpec)) string {
		s := board(1)
		running(s, "a", 0, 8, set)
		running(s, "b", 0, 7, set)
		queue(s, "u", model.Urgent, 5)
		queue(s, "small", model.Batch, 1) // must not take what is held
		return jobsOf(s)
	}
	is.Equal(yields(func(j *model.JobSpec) { j.Throttleable, j.Idempotent, j.Checkpoints = true, true, true }),
		"queued u, queued small, throttle t-a") // 8 cores at a quarter free 6
	is.Equal(yields(func(j *model.JobSpec) { j.Idempotent, j.Checkpoints = true, j.ID == "b" }),
		"queued u, queued small, checkpoint t-b")
	is.Equal(yields(func(j *model.JobSpec) { j.Idempotent = j.ID == "b" }), "queued u, queued small, stop t-b")
	is.Equal(yields(func(j *model.JobSpec) {}), "queued u, queued small") // neither can run again; u waits for their end
}

// Symptom: a job that can never run waited in silence; or all jobs were told
// so while the platform listed half of its VMs. Sequence: jobs larger than any
// VM or quota; a partial list. Cause: no check by shape, or one too eager.
func TestUnplaceableIsToldAtOnce(t *testing.T) {
	is := is.New(t)
	s := board(2)
	s.View.Site.Teams[0].Quota.MilliCPU = 15_000
	queue(s, "wide", model.Batch, 17)
	queue(s, "poor", model.Batch, 16)
	queue(s, "lost", model.Batch, 1).Spec.Pool = "nowhere"
	actions, _ := placement.Jobs(fleet.NewIndex(s), placement.Options{})
	is.Equal(words(actions, nil), "unplaceable wide, unplaceable poor, unplaceable lost")
	is.Equal(actions[0].SetJob.Reason, "can never run: it needs 17.0 cores, 17000 MB; the largest VM of pool p has 16.0 cores, 64000 MB")
	is.Equal(actions[1].SetJob.Reason, "can never run: it needs 16.0 cores, 16000 MB; the quota of team t is 15.0 cores")
	delete(s.VMs, "vm0001")
	delete(s.View.Jobs, "poor")
	delete(s.View.Jobs, "lost")
	is.Equal(jobsOf(s), "queued wide") // the VM that is not listed may be larger
}

// Symptom: the log filled with the same reasons. Sequence: thousands of jobs
// wait, round after round. Cause: each round wrote each job's reason anew.
func TestReasonIsWrittenOnce(t *testing.T) {
	is := is.New(t)
	s := board(1)
	running(s, "r", 0, 16, func(*model.JobSpec) {})
	j := queue(s, "w", model.Normal, 2)
	actions, _ := placement.Jobs(fleet.NewIndex(s), placement.Options{})
	is.Equal(actions[0].SetJob.Reason, "waits for room: no open VM of pool p has 2.0 cores, 2000 MB left")
	j.Reason = actions[0].SetJob.Reason
	is.Equal(jobsOf(s), "")
}

// Symptom: a job ran twice side by side. Sequence: a worker's clock is behind
// ours; its lease ends here first. Cause: the drift margin was not waited for.
func TestLeaseLapsesAfterMargin(t *testing.T) {
	is := is.New(t)
	s := board(1)
	running(s, "r", 0, 1, func(*model.JobSpec) {})
	s.VMs["vm0000"].Health = model.VMDown
	for late, want := range map[time.Duration]string{0: "", state.DriftMargin: "", state.DriftMargin + time.Millisecond: "end t-r"} {
		s.Now = now.Add(time.Minute + late)
		is.Equal(words(placement.Leases(fleet.NewIndex(s), placement.Options{}), nil), want)
	}
	// A healthy VM's lease is renewed in its second half, a stopped task's not.
	s.VMs["vm0000"].Health = model.VMUp
	s.Now = now.Add(50 * time.Second)
	renew := placement.Leases(fleet.NewIndex(s), placement.Options{})[0].RenewTasks
	is.Equal(len(renew.Tasks), 0)
	is.True(renew.AllExcept)
	s.Now = now.Add(61 * time.Second)
	is.Equal(len(placement.Leases(fleet.NewIndex(s), placement.Options{})), 0) // its worker stopped it
	s.Now = now.Add(50 * time.Second)
	s.Gone = map[model.TaskID]bool{"t-r": true}
	is.Equal(len(placement.Leases(fleet.NewIndex(s), placement.Options{})), 0)
}

// Symptom: the same jobs were stopped and started for ever. Sequence: a VM is
// full of jobs that use what they were placed with. Cause: full was taken for
// overloaded.
func TestReliefOnlyForWhatWasNotPlanned(t *testing.T) {
	is := is.New(t)
	s := board(1)
	running(s, "a", 0, 10, func(j *model.JobSpec) { j.Throttleable = true })
	running(s, "b", 0, 6, func(j *model.JobSpec) { j.Throttleable = true })
	v := s.VMs["vm0000"]
	v.Busy, v.UsageAt = model.Resources{MilliCPU: 16_000}, now
	s.Usage = map[model.TaskID]fleet.Usage{"t-a": {Used: model.Resources{MilliCPU: 10_000}, At: now}, "t-b": {Used: model.Resources{MilliCPU: 6000}, At: now}}
	is.Equal(words(nil, placement.Relieve(fleet.NewIndex(s))), "") // full, as planned
	s.Usage["t-a"] = fleet.Usage{Used: model.Resources{MilliCPU: 15_000}, At: now}
	v.Busy.MilliCPU = 21_000
	is.Equal(words(nil, placement.Relieve(fleet.NewIndex(s))), "throttle t-a") // more than planned
	throttled := *s.View.Tasks["t-a"]
	throttled.Throttled = true
	s.View.Tasks["t-a"] = &throttled
	is.Equal(words(nil, placement.Relieve(fleet.NewIndex(s))), "") // use lags: not again at once
}

// Symptom: a large job waited for ever. Sequence: it fails on each VM in turn,
// and instances lie on all of them. Cause: no VM on which it had failed was
// held for its next try.
func TestLargeJobThatFailedEverywhereGetsAVM(t *testing.T) {
	is := is.New(t)
	s := board(2)
	s.View.Site.Services = []model.Service{{ID: "s", Pool: "p", Instances: 2, MinAvailable: 1, Size: model.Resources{MilliCPU: 2000, MemoryMB: 1000}}}
	j := queue(s, "large", model.Normal, 15)
	j.Submitted = now.Add(-time.Hour)
	for i, v := range []model.VMID{"vm0000", "vm0001"} {
		j.FailedOn = append(j.FailedOn, s.VMs[v].Worker)
		id := model.TaskID(fmt.Sprint("i", i))
		s.View.Tasks[id] = &model.Task{ID: id, Service: "s", Ordinal: i, VM: v, Size: s.View.Site.Services[0].Size, State: model.TaskRunning, LeaseUntil: now.Add(time.Minute)}
		s.Serving[id] = true
	}
	is.Equal(words(nil, placement.Evacuate(fleet.NewIndex(s), placement.Options{})), "stop i0")
}

// Symptom: a rack took a service below its budget. Sequence: instances start
// on an empty pool. Cause: they were packed, not spread.
func TestInstancesSpread(t *testing.T) {
	is := is.New(t)
	s := board(24)
	s.View.Site.Services = []model.Service{{ID: "s", Pool: "p", Instances: 6, MinAvailable: 5, Size: model.Resources{MilliCPU: 1000, MemoryMB: 1000}}}
	ix := fleet.NewIndex(s)
	zones, racks := map[int]int{}, map[int]int{}
	for _, a := range placement.Instances(ix) {
		v := ix.VM(a.StartTask.Task.VM)
		zones[v.Zone]++
		racks[v.Rack]++
		is.True(strings.HasPrefix(string(a.StartTask.Task.ID), "s.")) // no region, no prefix
	}
	is.Equal(len(racks), 6)
	is.Equal(zones, map[int]int{0: 2, 1: 2, 2: 2})
}

// Symptom: jobs were moved again by a wave that had just moved them. Sequence:
// a wave is on; half of the VMs went through it. Cause: new work went to VMs
// that were still to be drained.
func TestNewWorkGoesWhereTheWaveWent(t *testing.T) {
	is := is.New(t)
	s := board(4)
	s.View.Site.Waves = []model.Wave{{ID: "w", Pools: []model.PoolID{"p"}, Start: 1}}
	s.View.Maintained = map[model.VMID]*model.Maintained{"vm0002": {VM: "vm0002", Wave: "w", At: 2}}
	queue(s, "j", model.Normal, 2)
	is.Equal(jobsOf(s), "start j on vm0002")
}

// Symptom: batch work of other teams never ran. Sequence: one team submits
// thousands of jobs first. Cause: the queue was served in order of arrival.
func TestTeamsShareTheQueue(t *testing.T) {
	is := is.New(t)
	s := board(1)
	s.View.Site.Teams = []model.Team{{ID: "t"}, {ID: "zlate"}}
	for i := range 50 {
		queue(s, model.JobID(fmt.Sprintf("a%02d", i)), model.Batch, 4)
	}
	queue(s, "z", model.Batch, 4).Spec.Team = "zlate"
	is.True(strings.Contains(jobsOf(s), "start z"))
}
