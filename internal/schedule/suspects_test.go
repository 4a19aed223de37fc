package schedule

import (
	"testing"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// crashWorkers makes workers crash under the first task of a job.
func (s *site) crashWorkers(id workload.JobID, crashes int) {
	task := workload.TaskRef{Job: id}
	for i := range crashes {
		worker := workload.WorkerID("lost-" + string(rune('a'+i)))
		run := workload.RunRef{Task: task, Attempt: i + 1}
		s.apply(&workload.Command{Workers: []workload.Worker{{ID: worker, Pool: "other", Capacity: workload.Resources{CPU: coresEach, MemoryMB: memoryEach}}}})
		s.apply(&workload.Command{Starts: []workload.Start{{Worker: worker, Run: run}}})
		s.apply(&workload.Command{
			Lost: []workload.Loss{{Worker: worker, Run: run}}, Crashed: []workload.WorkerID{worker}, EndedWorkers: []workload.WorkerID{worker},
		})
	}
}

// startsOf returns the workers on which a plan starts tasks of a job.
func startsOf(p Plan, id workload.JobID) (at []workload.WorkerID) {
	for _, s := range p.Starts {
		if s.Run.Task.Job == id {
			at = append(at, s.Worker)
		}
	}
	return at
}

// When a third worker crashes under a task, other tasks must not be running on it.
func TestSuspectStartsIsolated(t *testing.T) {
	is := is.New(t)
	s := newSite()
	s.submit("bad", tasks(1, 1000))
	s.crashWorkers("bad", 2)
	s.submit("sound", tasks(10, 1000))
	plan := s.plan()
	at := startsOf(plan, "bad")
	is.Equal(len(at), 1)
	is.Equal(counts(plan)[at[0]], 1)
	is.Equal(len(startsOf(plan, "sound")), 10)

	s.apply(&workload.Command{Starts: plan.Starts})
	s.workers[at[0]] = Worker{Usable: true, RecentRuns: 1, Isolating: true}
	s.submit("next", tasks(3, 1000))
	is.Equal(counts(s.plan())[at[0]], 0) // nothing is started beside it
}

// When every worker has recent runs, a busy pool reserves one worker for a suspect,
// and no more.
func TestWorkerIsReservedForSuspect(t *testing.T) {
	is := is.New(t)
	s := newSite()
	old := tasks(16, 1500)
	old.MaxPerWorker = 4
	s.submit("old", old)
	s.apply(&workload.Command{Starts: s.plan().Starts})
	for id := range s.workers {
		s.workers[id] = Worker{Usable: true, RecentRuns: 4}
	}
	s.workers["w2"] = Worker{Usable: true, RecentRuns: 1}
	s.submit("bad", tasks(1, 1000))
	s.crashWorkers("bad", 2)
	s.submit("sound", tasks(20, 1000))
	plan := s.plan()
	is.Equal(len(startsOf(plan, "bad")), 0)
	is.Equal(counts(plan)["w2"], 0)
	is.Equal(len(startsOf(plan, "sound")), 6)

	s.workers["w2"] = Worker{Usable: true}
	is.Equal(startsOf(s.plan(), "bad"), []workload.WorkerID{"w2"})
}

// A suspect that can't be isolated must not wait for ever, as it may be healthy.
func TestSuspectIsolationWaitIsBounded(t *testing.T) {
	is := is.New(t)
	s := newSite()
	for id := range s.workers {
		s.workers[id] = Worker{Usable: true, RecentRuns: 1}
	}
	s.submit("bad", tasks(1, 1000))
	s.crashWorkers("bad", 2)
	is.Equal(len(s.plan().Starts), 0)
	s.overdue = map[workload.TaskRef]bool{{Job: "bad"}: true}
	is.Equal(len(s.plan().Starts), 1)
}

// Tasks that have lost one worker each are placed on different workers, so that the
// next crash shows which of them caused it.
func TestTasksWithOneLostWorkerAreKeptApart(t *testing.T) {
	is := is.New(t)
	s := newSite()
	for _, id := range []workload.JobID{"one", "two", "three"} {
		s.submit(string(id), tasks(1, 1000))
		s.crashWorkers(id, 1)
	}
	is.Equal(len(counts(s.plan())), 3)
}

// A suspect that is a member of a gang must not share its worker with another task.
func TestSuspectInGangStartsIsolated(t *testing.T) {
	is := is.New(t)
	s := newSite()
	gang := tasks(3, 1000)
	gang.Gang = true
	s.submit("bad", gang)
	s.crashWorkers("bad", 2)
	s.submit("sound", tasks(6, 1000))
	plan := s.plan()
	is.Equal(len(startsOf(plan, "bad")), 3)
	for _, start := range plan.Starts {
		if start.Run.Task.Job == "bad" && start.Run.Task.Index == 0 {
			is.Equal(counts(plan)[start.Worker], 1)
		}
	}
}
