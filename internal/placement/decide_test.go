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

// emptySite returns n VMs of 16 cores in pool p without any tasks.
func emptySite(n int) *fleet.Snapshot {
	view := &state.View{Index: 5, Owners: map[model.VMID]*model.Ownership{}, Jobs: map[model.JobID]*model.Job{}, Tasks: map[model.TaskID]*model.Task{},
		Site: &model.Site{Revision: 1, Pools: []model.Pool{{ID: "p", MaxVMs: n, Shape: shape}}, Teams: []model.Team{{ID: "t", Quota: model.Resources{MilliCPU: 40_000}}}}}
	s := &fleet.Snapshot{Now: now, View: view, VMs: map[model.VMID]*model.VM{}, Serving: map[model.TaskID]bool{}}
	for _, v := range siteVMs(n, 3, shape) {
		s.VMs[v.ID] = v
		view.Owners[v.ID] = &model.Ownership{VM: v.ID, Pool: "p", Generation: 1}
	}
	return s
}

// addQueuedJob adds a queued job that declares the given number of cores.
func addQueuedJob(s *fleet.Snapshot, id model.JobID, p model.Priority, cores int64) *model.Job {
	j := &model.Job{State: model.JobQueued, Submitted: now.Add(time.Duration(len(s.View.Jobs)) * time.Millisecond), Spec: model.JobSpec{
		ID: id, Team: "t", Pool: "p", Priority: p, Declared: model.Resources{MilliCPU: cores * 1000, MemoryMB: cores * 1000}}}
	s.View.Jobs[id] = j
	return j
}

// addRunningJob adds a running batch job on a VM.
func addRunningJob(s *fleet.Snapshot, id model.JobID, vm int, cores int64, set func(*model.JobSpec)) {
	j := addQueuedJob(s, id, model.Batch, cores)
	j.State = model.JobRunning
	set(&j.Spec)
	v := s.VMs[model.VMID(fmt.Sprintf("vm%04d", vm))]
	t := &model.Task{ID: model.TaskID("t-" + id), Job: id, VM: v.ID, Worker: v.Worker, Size: j.Spec.Declared, Priority: model.Batch,
		State: model.TaskRunning, Started: now.Add(-time.Minute), LeaseUntil: now.Add(time.Minute)}
	s.View.Tasks[t.ID] = t
}

// summarize formats decisions for comparison.
func summarize(actions []state.Action, planned []placement.PlannedAction) string {
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
	for _, a := range planned {
		out = append(out, fmt.Sprintf("%s %s", a.Kind, a.Task.ID))
	}
	return strings.Join(out, ", ")
}

func decideJobs(s *fleet.Snapshot) string {
	return summarize(placement.Jobs(fleet.NewIndex(s), placement.Options{}))
}

// A large job that fits on no VM must not block the smaller jobs behind it in
// the queue.
func TestWaitingJobDoesNotBlockOthers(t *testing.T) {
	is := is.New(t)
	s := emptySite(1)
	addRunningJob(s, "r", 0, 8, func(*model.JobSpec) {})
	addQueuedJob(s, "large", model.Normal, 12)
	addQueuedJob(s, "small", model.Normal, 4)
	is.Equal(decideJobs(s), "queued large, start small on vm0000")
}

// Batch work must be preempted for an urgent job, in the order throttle,
// checkpoint, stop: a stop where a throttle would do loses work.
func TestPreemptionOrder(t *testing.T) {
	is := is.New(t)
	preempted := func(set func(*model.JobSpec)) string {
		s := emptySite(1)
		addRunningJob(s, "a", 0, 8, set)
		addRunningJob(s, "b", 0, 7, set)
		addQueuedJob(s, "u", model.Urgent, 5)
		addQueuedJob(s, "small", model.Batch, 1) // must not take the reserved capacity
		return decideJobs(s)
	}
	is.Equal(preempted(func(j *model.JobSpec) { j.Throttleable, j.Idempotent, j.Checkpoints = true, true, true }),
		"queued u, queued small, throttle t-a") // throttling 8 cores to a quarter frees 6
	is.Equal(preempted(func(j *model.JobSpec) { j.Idempotent, j.Checkpoints = true, j.ID == "b" }),
		"queued u, queued small, checkpoint t-b")
	is.Equal(preempted(func(j *model.JobSpec) { j.Idempotent = j.ID == "b" }), "queued u, queued small, stop t-b")
	is.Equal(preempted(func(j *model.JobSpec) {}), "queued u, queued small") // neither can run again; u waits for their end
}

// A job larger than any VM or than its quota must be marked unplaceable at
// once, but not while the platform's list of VMs is incomplete.
func TestUnplaceableJobIsRejectedAtOnce(t *testing.T) {
	is := is.New(t)
	s := emptySite(2)
	s.View.Site.Teams[0].Quota.MilliCPU = 15_000
	addQueuedJob(s, "wide", model.Batch, 17)
	addQueuedJob(s, "poor", model.Batch, 16)
	addQueuedJob(s, "lost", model.Batch, 1).Spec.Pool = "nowhere"
	actions, _ := placement.Jobs(fleet.NewIndex(s), placement.Options{})
	is.Equal(summarize(actions, nil), "unplaceable wide, unplaceable poor, unplaceable lost")
	is.Equal(actions[0].SetJob.Reason, "can never run: it needs 17.0 cores, 17000 MB; the largest VM of pool p has 16.0 cores, 64000 MB")
	is.Equal(actions[1].SetJob.Reason, "can never run: it needs 16.0 cores, 16000 MB; the quota of team t is 15.0 cores")
	delete(s.VMs, "vm0001")
	delete(s.View.Jobs, "poor")
	delete(s.View.Jobs, "lost")
	is.Equal(decideJobs(s), "queued wide") // the VM that is not listed may be larger
}

// An unchanged reason must not be written again: with thousands of waiting jobs
// each round would fill the log.
func TestReasonIsWrittenOnce(t *testing.T) {
	is := is.New(t)
	s := emptySite(1)
	addRunningJob(s, "r", 0, 16, func(*model.JobSpec) {})
	j := addQueuedJob(s, "w", model.Normal, 2)
	actions, _ := placement.Jobs(fleet.NewIndex(s), placement.Options{})
	is.Equal(actions[0].SetJob.Reason, "waits for room: no open VM of pool p has 2.0 cores, 2000 MB left")
	j.Reason = actions[0].SetJob.Reason
	is.Equal(decideJobs(s), "")
}

// A task may be ended only after its lease and the drift margin. If the
// worker's clock is behind, the job would otherwise run twice at the same time.
func TestLeaseLapsesAfterMargin(t *testing.T) {
	is := is.New(t)
	s := emptySite(1)
	addRunningJob(s, "r", 0, 1, func(*model.JobSpec) {})
	s.VMs["vm0000"].Health = model.VMDown
	for late, want := range map[time.Duration]string{0: "", state.DriftMargin: "", state.DriftMargin + time.Millisecond: "end t-r"} {
		s.Now = now.Add(time.Minute + late)
		is.Equal(summarize(placement.Leases(fleet.NewIndex(s), placement.Options{}), nil), want)
	}
	// The lease on a healthy VM is renewed in its second half, that of a
	// stopped task is not.
	s.VMs["vm0000"].Health = model.VMUp
	s.Now = now.Add(50 * time.Second)
	renew := placement.Leases(fleet.NewIndex(s), placement.Options{})[0].RenewTasks
	is.Equal(len(renew.Tasks), 0)
	is.True(renew.AllExcept)
	s.Now = now.Add(61 * time.Second)
	is.Equal(len(placement.Leases(fleet.NewIndex(s), placement.Options{})), 0) // its worker stopped it
	s.Now = now.Add(50 * time.Second)
	s.NotRunning = map[model.TaskID]bool{"t-r": true}
	is.Equal(len(placement.Leases(fleet.NewIndex(s), placement.Options{})), 0)
}

// A VM full of jobs that use what they were placed with is not overloaded:
// relief would stop and start the same jobs forever.
func TestNoReliefForPlannedUsage(t *testing.T) {
	is := is.New(t)
	s := emptySite(1)
	addRunningJob(s, "a", 0, 10, func(j *model.JobSpec) { j.Throttleable = true })
	addRunningJob(s, "b", 0, 6, func(j *model.JobSpec) { j.Throttleable = true })
	v := s.VMs["vm0000"]
	v.Usage, v.UsageAt = model.Resources{MilliCPU: 16_000}, now
	s.Usage = map[model.TaskID]fleet.Usage{"t-a": {Used: model.Resources{MilliCPU: 10_000}, At: now}, "t-b": {Used: model.Resources{MilliCPU: 6000}, At: now}}
	is.Equal(summarize(nil, placement.Relieve(fleet.NewIndex(s))), "") // full, as planned
	s.Usage["t-a"] = fleet.Usage{Used: model.Resources{MilliCPU: 15_000}, At: now}
	v.Usage.MilliCPU = 21_000
	is.Equal(summarize(nil, placement.Relieve(fleet.NewIndex(s))), "throttle t-a") // more than planned
	throttled := *s.View.Tasks["t-a"]
	throttled.Throttled = true
	s.View.Tasks["t-a"] = &throttled
	is.Equal(summarize(nil, placement.Relieve(fleet.NewIndex(s))), "") // usage lags: not again at once
}

// A large job that failed on every VM, all of which run instances, must have
// one of these VMs held for its next attempt, or it waits forever.
func TestVMIsHeldForLargeJobThatFailedEverywhere(t *testing.T) {
	is := is.New(t)
	s := emptySite(2)
	s.View.Site.Services = []model.Service{{ID: "s", Pool: "p", Instances: 2, MinAvailable: 1, Size: model.Resources{MilliCPU: 2000, MemoryMB: 1000}}}
	j := addQueuedJob(s, "large", model.Normal, 15)
	j.Submitted = now.Add(-time.Hour)
	for i, v := range []model.VMID{"vm0000", "vm0001"} {
		j.FailedOn = append(j.FailedOn, s.VMs[v].Worker)
		id := model.TaskID(fmt.Sprint("i", i))
		s.View.Tasks[id] = &model.Task{ID: id, Service: "s", Ordinal: i, VM: v, Size: s.View.Site.Services[0].Size, State: model.TaskRunning, LeaseUntil: now.Add(time.Minute)}
		s.Serving[id] = true
	}
	is.Equal(summarize(nil, placement.Evacuate(fleet.NewIndex(s), placement.Options{})), "stop i0")
}

// Instances must be spread, not packed, so that the loss of one rack does not
// bring the service below its budget.
func TestInstancesSpread(t *testing.T) {
	is := is.New(t)
	s := emptySite(24)
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

// During a wave new work must go to VMs that were already maintained, or the
// wave has to move it again.
func TestNewWorkPrefersMaintainedVMs(t *testing.T) {
	is := is.New(t)
	s := emptySite(4)
	s.View.Site.Waves = []model.Wave{{ID: "w", Pools: []model.PoolID{"p"}, Start: 1}}
	s.View.Maintained = map[model.VMID]*model.Maintained{"vm0002": {VM: "vm0002", Wave: "w", At: 2}}
	addQueuedJob(s, "j", model.Normal, 2)
	is.Equal(decideJobs(s), "start j on vm0002")
}

// A team that submits thousands of jobs first must not delay the jobs of other
// teams.
func TestTeamsShareTheQueue(t *testing.T) {
	is := is.New(t)
	s := emptySite(1)
	s.View.Site.Teams = []model.Team{{ID: "t"}, {ID: "zlate"}}
	for i := range 50 {
		addQueuedJob(s, model.JobID(fmt.Sprintf("a%02d", i)), model.Batch, 4)
	}
	addQueuedJob(s, "z", model.Batch, 4).Spec.Team = "zlate"
	is.True(strings.Contains(decideJobs(s), "start z"))
}
