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

// site has twenty VMs in one pool.
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

func ran(h *health.History, j, w int, failed bool) {
	h.Observe(health.Outcome{Subject: health.JobSubject(job(j)), Class: "t/k", Worker: worker(w), Failed: failed, At: now.Add(-time.Minute)})
}

// queued records a job that waits after it failed on workers.
func queued(s *fleet.Snapshot, j int, failedOn ...int) {
	record := &model.Job{Spec: model.JobSpec{ID: job(j), Team: "t", Kind: "k", Pool: "p"}, State: model.JobQueued, Changed: now, Attempts: len(failedOn)}
	for _, w := range failedOn {
		record.FailedOn = append(record.FailedOn, worker(w))
	}
	s.View.Jobs[job(j)] = record
}

// words writes actions for comparison.
func words(actions []state.Action) string {
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

// Symptom: good workers were quarantined and good jobs held. Sequence: one
// worker fails all it starts, one job fails everywhere, both at once. Cause:
// raw rates, which can't tell them apart.
func TestBlameFallsOnTheRightSide(t *testing.T) {
	is := is.New(t)
	s, h := site(), health.NewHistory()
	for j := range 3 { // good jobs that met the bad worker 0 and ran elsewhere
		ran(h, j, 0, true)
		ran(h, j, 1+j, false)
	}
	for w := 1; w <= 3; w++ { // the bad job 9 on good workers
		ran(h, 9, w, true)
	}
	queued(s, 9, 1, 2, 3)
	queued(s, 5, 0) // met the bad worker, and waits
	actions, spared := health.Decide(fleet.NewIndex(s), h, health.Options{})
	is.Equal(words(actions), "quarantine w0, held j9")
	is.Equal(len(spared), 0)
}

// Symptom: all jobs were held after a fault that was not theirs. Sequence:
// storage that all share fails; every task fails on every worker. Cause: three
// failures on three workers convicted a job whatever else failed there.
func TestSharedFaultConvictsNobody(t *testing.T) {
	is := is.New(t)
	s, h := site(), health.NewHistory()
	for j := range 30 {
		for n := range 3 {
			ran(h, j, (j+n)%20, true)
		}
		queued(s, j, j%20, (j+1)%20, (j+2)%20)
	}
	actions, _ := health.Decide(fleet.NewIndex(s), h, health.Options{})
	is.Equal(words(actions), "")
}

// Symptom: half of the pool was in quarantine. Sequence: many workers fail
// jobs that run well elsewhere. Cause: no bound.
func TestQuarantineIsCapped(t *testing.T) {
	is := is.New(t)
	s, h := site(), health.NewHistory()
	for w := range 8 {
		for n := range 3 {
			ran(h, 10*w+n, w, true)
			ran(h, 10*w+n, 15, false)
		}
	}
	ix := fleet.NewIndex(s)
	actions, spared := health.Decide(ix, h, health.Options{})
	is.Equal(words(actions), "quarantine w0, quarantine w1") // a tenth of twenty
	is.Equal(len(spared), 6)
	is.Equal(spared[0].No, health.SiteCap)
}

// Symptom: a repaired worker never came back, or a broken one came back at
// once. Sequence: probes run on a worker in quarantine. Cause: its release did
// not depend on them.
func TestProbesDecideRelease(t *testing.T) {
	is := is.New(t)
	s, h := site(), health.NewHistory()
	q := &model.Quarantine{Worker: worker(0), VM: "vm0", Since: now.Add(-time.Hour), ProbeAt: now.Add(-30 * time.Minute)}
	s.View.Quarantines[worker(0)] = q
	for j := 10; j < 13; j++ { // what convicted it, before the quarantine
		h.Observe(health.Outcome{Subject: health.JobSubject(job(j)), Worker: worker(0), Failed: true, At: q.Since.Add(-time.Minute)})
		ran(h, j, 5, false)
	}
	ran(h, 1, 0, false)
	actions, _ := health.Decide(fleet.NewIndex(s), h, health.Options{})
	is.Equal(words(actions), "") // one success is not enough
	ran(h, 2, 0, true)
	actions, _ = health.Decide(fleet.NewIndex(s), h, health.Options{})
	is.Equal(words(actions), "quarantine w0")
	is.Equal(actions[0].SetQuarantine.Quarantine.ProbeAt, now.Add(2*time.Hour)) // the wait doubles
	ran(h, 3, 0, false)
	ran(h, 4, 0, false)
	actions, _ = health.Decide(fleet.NewIndex(s), h, health.Options{})
	is.Equal(words(actions), "release w0")
	delete(s.View.Quarantines, worker(0))
	actions, _ = health.Decide(fleet.NewIndex(s), h, health.Options{})
	is.Equal(words(actions), "") // old failures don't convict it again
}

// Symptom: a bad worker failed three more jobs after each change of leader.
// Sequence: a new leader has no history. Cause: the jobs' records were not read.
func TestNewLeaderReadsRecords(t *testing.T) {
	is := is.New(t)
	s := site()
	for j := range 3 {
		queued(s, j, 4)
		s.View.Jobs[job(j)].State = model.JobDone
	}
	actions, _ := health.Decide(fleet.NewIndex(s), health.NewHistory(), health.Options{})
	is.Equal(words(actions), "quarantine w4")
}
