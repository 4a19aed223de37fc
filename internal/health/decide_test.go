package health_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/health"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

const now = model.Instant(1_000_000_000)

// site returns a snapshot of twenty VMs in one pool.
func site() *fleet.Snapshot {
	view := &state.View{Index: 1, Owners: map[model.VMID]*model.Ownership{}, Jobs: map[model.JobID]*model.Job{},
		Quarantines: map[model.WorkerID]*model.Quarantine{},
		Site:        &model.Site{Revision: 1, Pools: []model.Pool{{ID: "p", MaxVMs: 20}}}}
	s := &fleet.Snapshot{Now: now, View: view, VMs: map[model.VMID]*model.VM{}}
	for i := range 20 {
		id := model.VMID(fmt.Sprint("vm", i))
		s.VMs[id] = &model.VM{ID: id, Worker: worker(i), Health: model.VMUp}
		view.Owners[id] = &model.Ownership{VM: id, Pool: "p", Generation: 1}
	}
	return s
}

func worker(i int) model.WorkerID { return model.WorkerID(fmt.Sprint("w", i)) }

func job(i int) model.JobID { return model.JobID(fmt.Sprint("j", i)) }

func observe(h *health.History, j, w int, failed bool) {
	h.Observe(health.Outcome{Subject: health.JobSubject(job(j)), Class: "t/k", Worker: worker(w), Failed: failed, At: now.Add(-time.Minute)})
}

// queued adds a job that waits after it failed on workers.
func queued(s *fleet.Snapshot, j int, failedOn ...int) {
	record := &model.Job{Spec: model.JobSpec{ID: job(j), Team: "t", Kind: "k", Pool: "p"}, State: model.JobQueued, Changed: now, Attempts: len(failedOn)}
	for _, w := range failedOn {
		record.FailedOn = append(record.FailedOn, worker(w))
	}
	s.View.Jobs[job(j)] = record
}

// formatActions returns the actions as text, for comparison.
func formatActions(actions []state.Action) string {
	var out []string
	for _, a := range actions {
		switch {
		case a.SetJob != nil:
			out = append(out, fmt.Sprintf("%s %s", a.SetJob.State, a.SetJob.Job))
		case a.SetQuarantine.Release:
			out = append(out, fmt.Sprintf("release %s", a.SetQuarantine.Quarantine.Worker))
		default:
			out = append(out, fmt.Sprintf("quarantine %s", a.SetQuarantine.Quarantine.Worker))
		}
	}
	return strings.Join(out, ", ")
}

// Guards against quarantining good workers and holding good jobs when one worker
// fails all its tasks while one job fails everywhere. Raw failure rates can't
// distinguish the two.
func TestBadWorkerAndBadJobAreDistinguished(t *testing.T) {
	is := is.New(t)
	s, h := site(), health.NewHistory()
	for j := range 3 { // good jobs that failed on the bad worker 0 and succeeded elsewhere
		observe(h, j, 0, true)
		observe(h, j, 1+j, false)
	}
	for w := 1; w <= 3; w++ { // the bad job 9 on good workers
		observe(h, 9, w, true)
	}
	queued(s, 9, 1, 2, 3)
	queued(s, 5, 0) // failed on the bad worker and waits
	actions, rejected := health.Decide(fleet.NewIndex(s), h, health.Options{})
	is.Equal(formatActions(actions), "quarantine w0, held j9")
	is.Equal(len(rejected), 0)
}

// Guards against holding all jobs because of a shared fault, such as failed
// storage, that makes every task fail on every worker. Three failures on three
// workers must not be enough to hold a job, whatever else failed there.
func TestSharedFaultHoldsAndQuarantinesNothing(t *testing.T) {
	is := is.New(t)
	s, h := site(), health.NewHistory()
	for j := range 30 {
		for n := range 3 {
			observe(h, j, (j+n)%20, true)
		}
		queued(s, j, j%20, (j+1)%20, (j+2)%20)
	}
	actions, _ := health.Decide(fleet.NewIndex(s), h, health.Options{})
	is.Equal(formatActions(actions), "")
}

// Guards against an unbounded quarantine: half of a pool was in it after many
// workers had failed jobs that succeeded elsewhere.
func TestQuarantineIsCapped(t *testing.T) {
	is := is.New(t)
	s, h := site(), health.NewHistory()
	for w := range 8 {
		for n := range 3 {
			observe(h, 10*w+n, w, true)
			observe(h, 10*w+n, 15, false)
		}
	}
	ix := fleet.NewIndex(s)
	actions, rejected := health.Decide(ix, h, health.Options{})
	is.Equal(formatActions(actions), "quarantine w0, quarantine w1") // a tenth of 20 VMs
	is.Equal(len(rejected), 6)
	is.Equal(rejected[0].Reject, health.SiteCap)
}

// Guards against keeping a repaired worker in quarantine and against releasing a
// bad one at once: the release must depend on the probes that ran on the worker.
func TestProbesDecideRelease(t *testing.T) {
	is := is.New(t)
	s, h := site(), health.NewHistory()
	q := &model.Quarantine{Worker: worker(0), VM: "vm0", Since: now.Add(-time.Hour), ProbeAt: now.Add(-30 * time.Minute)}
	s.View.Quarantines[worker(0)] = q
	for j := 10; j < 13; j++ { // the failures that led to the quarantine
		h.Observe(health.Outcome{Subject: health.JobSubject(job(j)), Worker: worker(0), Failed: true, At: q.Since.Add(-time.Minute)})
		observe(h, j, 5, false)
	}
	observe(h, 1, 0, false)
	actions, _ := health.Decide(fleet.NewIndex(s), h, health.Options{})
	is.Equal(formatActions(actions), "") // one success is not enough
	observe(h, 2, 0, true)
	actions, _ = health.Decide(fleet.NewIndex(s), h, health.Options{})
	is.Equal(formatActions(actions), "quarantine w0")
	is.Equal(actions[0].SetQuarantine.Quarantine.ProbeAt, now.Add(2*time.Hour)) // the delay doubles
	observe(h, 3, 0, false)
	observe(h, 4, 0, false)
	actions, _ = health.Decide(fleet.NewIndex(s), h, health.Options{})
	is.Equal(formatActions(actions), "release w0")
	delete(s.View.Quarantines, worker(0))
	actions, _ = health.Decide(fleet.NewIndex(s), h, health.Options{})
	is.Equal(formatActions(actions), "") // old failures don't lead to another quarantine
}

// Guards against a bad worker failing three more jobs after each change of
// leader: a new leader has no history and must use the records of the jobs.
func TestNewLeaderUsesJobRecords(t *testing.T) {
	is := is.New(t)
	s := site()
	for j := range 3 {
		queued(s, j, 4)
		s.View.Jobs[job(j)].State = model.JobDone
	}
	actions, _ := health.Decide(fleet.NewIndex(s), health.NewHistory(), health.Options{})
	is.Equal(formatActions(actions), "quarantine w4")
}
