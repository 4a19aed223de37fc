package workload

import (
	"testing"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/codec"
)

var suspectTask = TaskRef{Job: "j"}

// crashLog returns a log with a job of two tasks.
func crashLog() *log {
	l := newLog()
	l.submit("j", step(2))
	return l
}

// startOn starts an attempt of the first task on a new worker.
func (l *log) startOn(id WorkerID, attempt int) {
	l.do(&Command{AtMS: 1000, Workers: []Worker{{ID: id, Pool: "p", Capacity: Resources{CPU: 100, MemoryMB: 10}}}})
	l.do(&Command{AtMS: 1000, Starts: []Start{{Worker: id, Run: RunRef{Task: suspectTask, Attempt: attempt}}}})
}

func lossOn(id WorkerID, attempt int, ageMS int64, isolated bool) []Loss {
	return []Loss{{Worker: id, Run: RunRef{Task: suspectTask, Attempt: attempt}, AgeMS: ageMS, Isolated: isolated}}
}

// crash commits that a worker crashed under its run.
func (l *log) crash(id WorkerID, attempt int, ageMS int64, isolated bool) {
	l.do(&Command{AtMS: 2000, Lost: lossOn(id, attempt, ageMS, isolated), Crashed: []WorkerID{id}, EndedWorkers: []WorkerID{id}})
}

func (l *log) lostWorkers() (lost int) {
	l.Read(func(t *Tables) { lost = t.LostWorkers(suspectTask) })
	return lost
}

// A crash that is committed again, because the outcome of the first proposal was
// unknown, must not count twice.
func TestRepeatedCrashCountsOnce(t *testing.T) {
	is := is.New(t)
	l := crashLog()
	l.startOn("a", 1)
	l.crash("a", 1, 0, true)
	l.crash("a", 1, 0, true)
	is.Equal(l.lostWorkers(), 1)
	is.Equal(l.job("j").State, JobRunning)
}

// A worker that was cut off and comes back has not crashed, so its tasks are not
// suspects.
func TestReturningWorkerDidNotCrash(t *testing.T) {
	is := is.New(t)
	l := crashLog()
	for i, id := range []WorkerID{"a", "b", "c", "d", "e", "f"} {
		l.startOn(id, i+1)
		run := RunRef{Task: suspectTask, Attempt: i + 1}
		l.do(&Command{AtMS: 2000, Lost: lossOn(id, i+1, 0, true), Releases: []Release{{Worker: id, Run: run}}})
		is.Equal(l.lostWorkers(), 1) // until the worker is known to be alive
		l.do(&Command{AtMS: 3000, Returned: []WorkerID{id}})
		is.Equal(l.lostWorkers(), 0)
	}
	is.Equal(l.job("j").State, JobRunning)
}

// A worker that was draining, or closed for an order to the platform, did not
// crash.
func TestDrainingOrClosedWorkerDidNotCrash(t *testing.T) {
	is := is.New(t)
	l := crashLog()
	l.startOn("a", 1)
	l.do(&Command{Workers: []Worker{{ID: "a", Pool: "p", Draining: true}}})
	l.crash("a", 1, 0, true)
	l.startOn("b", 2)
	l.do(&Command{Close: []WorkerID{"b"}})
	l.crash("b", 2, 0, true)
	is.Equal(l.lostWorkers(), 0)
}

// A job fails after two crashes of workers soon after its task was started in
// isolation.
func TestJobFailsAfterTwoIsolatedCrashes(t *testing.T) {
	for name, isolated := range map[string][]bool{"at once": {true, true}, "beside other runs first": {false, false, true, true}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := crashLog()
			for i, a := range isolated {
				is.Equal(l.job("j").State != JobFailed, true)
				id := WorkerID(rune('a' + i))
				l.startOn(id, i+1)
				l.crash(id, i+1, 0, a)
			}
			is.Equal(l.job("j").State, JobFailed)
			is.Equal(l.lostWorkers(), 0)
		})
	}
}

// Even if no crash was isolated, a task must not get more than two further starts
// after three crashes.
func TestStartsAfterThreeCrashesAreBounded(t *testing.T) {
	is := is.New(t)
	l := crashLog()
	starts := 0
	for ; l.job("j").State != JobFailed && starts < 10; starts++ {
		id := WorkerID(rune('a' + starts))
		l.startOn(id, starts+1)
		l.crash(id, starts+1, 0, false)
	}
	is.Equal(starts, lossThreshold+maxRetries)
}

// A run that ends while its worker lives, or that lasts long enough, clears its
// task: a healthy long-running task outlives many workers.
func TestSuspectIsCleared(t *testing.T) {
	for name, clear := range map[string]func(*log){
		"failed": func(l *log) {
			l.do(&Command{Ends: []End{{Worker: "b", Number: 1, Run: RunRef{Task: suspectTask, Attempt: 2}, Kind: EndFailed}}})
		},
		"proven": func(l *log) { l.do(&Command{Cleared: []TaskRef{suspectTask}}) },
		"lost after long": func(l *log) {
			l.crash("b", 2, ClearAfterMS, false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := crashLog()
			l.startOn("a", 1)
			l.crash("a", 1, 0, true)
			l.startOn("b", 2)
			is.Equal(l.lostWorkers(), 1)
			clear(l)
			is.Equal(l.lostWorkers(), 0)
		})
	}
}

// The counts of suspects must survive a restart of all core VMs.
func TestSuspectsSurviveSnapshot(t *testing.T) {
	is := is.New(t)
	l := crashLog()
	l.startOn("a", 1)
	l.crash("a", 1, 0, true)
	l.startOn("b", 2)
	l.do(&Command{AtMS: 2500, Lost: lossOn("b", 2, 0, false), Releases: []Release{{Worker: "b", Run: RunRef{Task: suspectTask, Attempt: 2}}}})
	data, err := l.Snapshot()
	is.NoErr(err)
	restored := NewMachine()
	is.NoErr(restored.Restore(data))
	restored.Read(func(tables *Tables) {
		is.Equal(tables.LostWorkers(suspectTask), 2)
	})
	again, err := restored.Snapshot()
	is.NoErr(err)
	is.Equal(again, data)
}

// A site must start from the snapshots of the previous build.
func TestSnapshotOfPreviousVersionIsRead(t *testing.T) {
	is := is.New(t)
	data, err := codec.Marshal(snapshotV1{Version: 1, Index: 7, Term: 3, Jobs: []*Job{{ID: "j", Queue: QueueID{Host: "h"}, Order: 1}}})
	is.NoErr(err)
	m := NewMachine()
	is.NoErr(m.Restore(data))
	is.Equal(m.Applied(), uint64(7))
	m.Read(func(tables *Tables) { is.Equal(tables.Jobs["j"].Order, uint64(1)) })
}

// After a restart the remaining tasks of a failed long-running job keep running,
// and still end when the caller cancels the job.
func TestRestartKeepsRestOfLongRunningStep(t *testing.T) {
	is := is.New(t)
	l := newLog()
	longRunning := step(2)
	longRunning.LongRunning, longRunning.MaxUnavailable = true, 1
	l.submit("j", longRunning)
	other := TaskRef{Job: "j", Index: 1}
	l.start(other, 1)
	for i, id := range []WorkerID{"a", "b"} {
		l.startOn(id, i+1)
		l.crash(id, i+1, 0, true)
	}
	is.Equal(l.job("j").State, JobFailed)
	data, err := l.Snapshot()
	is.NoErr(err)
	is.NoErr(l.Restore(data))
	stopping := func() (n int) {
		l.Read(func(tables *Tables) { n = len(tables.Stopping) })
		return n
	}
	is.Equal(stopping(), 0)
	l.do(&Command{AtMS: 3000, Cancel: []JobID{"j"}})
	is.Equal(stopping(), 1)
	l.do(&Command{Releases: []Release{{Worker: "w", Run: RunRef{Task: other, Attempt: 1}}}})
	is.Equal(len(l.job("j").Occurrences), 0)
}
