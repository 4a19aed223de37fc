package controller

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/platform"
	"github.com/comfreyloom/comfreyloom/internal/platform/standin"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// Jobs fit no VM or quota, fail on every worker, lose their worker, or belong
// to a team whose quota the manifest lowers while they run. Each must reach its
// correct final state: such a job must not be retried forever, nor stopped.
func TestJobOutcomesAcrossManifestChanges(t *testing.T) {
	is := is.New(t)
	s := settledSim(t, 41, simOptions{platform: standin.Config{Behaviour: func(p platform.TaskSpec) standin.Work {
		return standin.Work{Runtime: 3 * time.Minute, Used: p.Size, Fails: p.Kind == "bad"}
	}}})
	submit := func(id string, change func(*model.JobSpec)) {
		spec := job(id, "drafts", model.Normal, cores(1), 3*time.Minute)
		change(&spec)
		s.submit(spec)
	}
	submit("large", func(j *model.JobSpec) { j.Declared = cores(17) })
	submit("bad", func(j *model.JobSpec) { j.Kind = "bad" })
	submit("once", func(j *model.JobSpec) { j.Idempotent = false })
	submit("again", func(*model.JobSpec) {})
	for i := range 20 {
		submit(fmt.Sprint("good", i), func(*model.JobSpec) {})
	}
	s.stepChecked(t, 5*time.Second)
	is.Equal(s.view().Jobs["large"].State, model.JobUnplaceable) // reported at once
	is.True(strings.Contains(s.view().Jobs["large"].Reason, "largest VM"))
	failedVM := s.taskOf("once").VM
	s.platform.Fail(standin.OneVM(failedVM))
	// The quota falls below what already runs: no job is stopped, and no further
	// job starts.
	s.applyChange(t, 20*time.Second, func(m *model.Site) {
		m.Teams[0].Quota, m.Teams[0].MaxJobs = cores(2), 5
	})
	result, err := s.log.Propose(context.Background(), state.Command{ID: "over", At: s.platform.Now(), SubmitJob: &state.SubmitJob{Spec: job("over", "drafts", model.Normal, cores(1), time.Minute)}})
	is.NoErr(err)
	is.True(strings.Contains(string(result.Refused), "which is its most"))
	wide := job("wide", "drafts", model.Normal, cores(3), time.Minute)
	wide.Team = "offices"
	s.submit(wide)
	s.stepChecked(t, 5*time.Second)
	s.applyChange(t, 5*time.Second, func(m *model.Site) { m.Teams[1].Quota = cores(2) })
	is.Equal(s.view().Jobs["wide"].State, model.JobRunning) // started before its quota fell
	s.applyChange(t, 60*time.Minute, func(m *model.Site) { m.Teams = smallSite().Teams })
	is.Equal(s.view().Jobs["once"].State, model.JobOutcomeUnknown)
	is.Equal(s.platform.Tally().Starts["once"], 1)
	is.Equal(s.view().Jobs["bad"].State, model.JobHeld)
	is.Equal(len(s.view().Jobs["bad"].FailedOn), 3)
	for i := range 20 {
		is.Equal(s.view().Jobs[model.JobID(fmt.Sprint("good", i))].State, model.JobDone)
	}
	is.Equal(s.view().Jobs["again"].State, model.JobDone)
	s.platform.Repair(standin.OneVM(failedVM))
	// A worker that fails every task is detected and gets no more work.
	brokenWorker := sortedTasks(s.view(), func(t *model.Task) bool { return t.Service == "checks" })[0].Worker
	s.platform.InjectWorkerFault(brokenWorker)
	for i := range 60 {
		submit(fmt.Sprint("more", i), func(*model.JobSpec) {})
	}
	s.stepChecked(t, 30*time.Minute)
	is.True(s.view().Quarantines[brokenWorker] != nil)
	for i := range 60 {
		is.Equal(s.view().Jobs[model.JobID(fmt.Sprint("more", i))].State, model.JobDone)
	}
}

// taskOf returns the task of a running job.
func (s *sim) taskOf(id model.JobID) *model.Task {
	for _, t := range s.view().Tasks {
		if t.Job == id {
			return t
		}
	}
	panic("no task of job " + string(id))
}
