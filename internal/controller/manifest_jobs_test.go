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

// Symptom: a caller waits for a job of which the fate is known, or is told a
// wrong one.
// Sequence: jobs that fit no VM or quota, that fail everywhere, whose worker is
// lost, or of a team that the manifest cuts down while they run.
// Cause: such a job is tried again for ever, or stopped.
func TestFatesOfJobs(t *testing.T) {
	is := is.New(t)
	s := calmSim(t, 41, simOptions{platform: standin.Config{Behaviour: func(p platform.TaskSpec) standin.Work {
		return standin.Work{Runtime: 3 * time.Minute, Used: p.Size, Fails: p.Kind == "bad"}
	}}})
	one := func(id string, change func(*model.JobSpec)) {
		spec := job(id, "drafts", model.Normal, cores(1), 3*time.Minute)
		change(&spec)
		s.submit(spec)
	}
	one("large", func(j *model.JobSpec) { j.Declared = cores(17) })
	one("bad", func(j *model.JobSpec) { j.Kind = "bad" })
	one("once", func(j *model.JobSpec) { j.Idempotent = false })
	one("again", func(*model.JobSpec) {})
	for i := range 20 {
		one(fmt.Sprint("good", i), func(*model.JobSpec) {})
	}
	s.follow(t, 5*time.Second)
	is.Equal(s.view().Jobs["large"].State, model.JobUnplaceable) // told at once
	is.True(strings.Contains(s.view().Jobs["large"].Reason, "largest VM"))
	ran := s.taskOf("once").VM
	s.platform.Fail(standin.OneVM(ran))
	// The quota falls below what runs; nothing is stopped, nothing more starts.
	s.revise(t, 20*time.Second, func(m *model.Site) {
		m.Teams[0].Quota, m.Teams[0].MaxJobs = cores(2), 5
	})
	result, err := s.log.Propose(context.Background(), state.Command{ID: "over", At: s.platform.Now(), SubmitJob: &state.SubmitJob{Spec: job("over", "drafts", model.Normal, cores(1), time.Minute)}})
	is.NoErr(err)
	is.True(strings.Contains(string(result.Refused), "which is its most"))
	wide := job("wide", "drafts", model.Normal, cores(3), time.Minute)
	wide.Team = "offices"
	s.submit(wide)
	s.follow(t, 5*time.Second)
	s.revise(t, 5*time.Second, func(m *model.Site) { m.Teams[1].Quota = cores(2) })
	is.Equal(s.view().Jobs["wide"].State, model.JobRunning) // began before its quota fell
	s.revise(t, 60*time.Minute, func(m *model.Site) { m.Teams = smallSite().Teams })
	is.Equal(s.view().Jobs["once"].State, model.JobOutcomeUnknown)
	is.Equal(s.platform.Tally().Starts["once"], 1)
	is.Equal(s.view().Jobs["bad"].State, model.JobHeld)
	is.Equal(len(s.view().Jobs["bad"].FailedOn), 3)
	for i := range 20 {
		is.Equal(s.view().Jobs[model.JobID(fmt.Sprint("good", i))].State, model.JobDone)
	}
	is.Equal(s.view().Jobs["again"].State, model.JobDone)
	s.platform.Repair(standin.OneVM(ran))
	// A worker that fails every task is found and left alone.
	broken := sortedTasks(s.view(), func(t *model.Task) bool { return t.Service == "checks" })[0].Worker
	s.platform.Break(broken)
	for i := range 60 {
		one(fmt.Sprint("more", i), func(*model.JobSpec) {})
	}
	s.follow(t, 30*time.Minute)
	is.True(s.view().Quarantines[broken] != nil)
	for i := range 60 {
		is.Equal(s.view().Jobs[model.JobID(fmt.Sprint("more", i))].State, model.JobDone)
	}
}

// taskOf is the task of a job that runs.
func (s *sim) taskOf(id model.JobID) *model.Task {
	for _, t := range s.view().Tasks {
		if t.Job == id {
			return t
		}
	}
	panic("no task of " + string(id))
}
