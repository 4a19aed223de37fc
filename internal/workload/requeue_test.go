package workload

import (
	"testing"

	"github.com/matryer/is"
)

// neverStarted releases an attempt whose start was refused.
func (l *log) neverStarted(task TaskRef, attempt int) {
	run := RunRef{Task: task, Attempt: attempt}
	l.do(&Command{AtMS: 2000, NeverStarted: []RunRef{run}, Releases: []Release{{Worker: "w", Run: run}}})
}

func (l *log) pending() (n int) {
	l.Read(func(t *Tables) { n = t.Pending(QueueID{Host: "h", Prefix: "/q/"}) })
	return n
}

// Guards against a number of waiting jobs that is too low: jobs whose starts were all
// refused counted as begun.
func TestJobWhoseStartsAreRefusedIsQueuedAgain(t *testing.T) {
	is := is.New(t)
	l := newLog()
	l.submit("j", step(2))
	first, second := TaskRef{Job: "j"}, TaskRef{Job: "j", Index: 1}
	l.start(first, 1)
	l.start(second, 1)
	is.Equal(l.pending(), 0)
	l.neverStarted(first, 1)
	is.Equal(l.pending(), 0) // the other start is not refused yet
	l.neverStarted(second, 1)
	is.Equal(l.job("j").State, JobQueued)
	is.Equal(l.pending(), 1)
	l.neverStarted(second, 1) // committed again
	is.Equal(l.pending(), 1)
	l.start(first, 2)
	is.Equal(l.job("j").State, JobRunning)
}

// Guards against a job that is shown as queued although a task of it has ended.
func TestJobWithProgressIsNotQueuedAgain(t *testing.T) {
	for name, kind := range map[string]EndKind{"done": EndDone, "failed": EndFailed} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := newLog()
			l.submit("j", step(2))
			first, second := TaskRef{Job: "j"}, TaskRef{Job: "j", Index: 1}
			l.start(first, 1)
			l.end(1, first, 1, kind)
			l.start(second, 1)
			l.neverStarted(second, 1)
			is.Equal(l.job("j").State, JobRunning)
			is.Equal(l.pending(), 0)
		})
	}
}
