package workload

import (
	"testing"

	"github.com/matryer/is"
)

// A start that was decided before a worker's capacity shrank and is committed
// afterwards must not exceed the new capacity; a gang then doesn't start in part.
func TestStartIsCheckedAgainstCapacityAtCommit(t *testing.T) {
	is := is.New(t)
	l := newLog()
	gang := step(2)
	gang.Gang = true
	l.submit("gang", gang)
	l.submit("single", step(1))
	l.do(&Command{Workers: []Worker{{ID: "w", Pool: "p", Capacity: Resources{CPU: 150, MemoryMB: 4000}}}})
	l.do(&Command{Starts: []Start{
		{Worker: "w", Run: RunRef{Task: TaskRef{Job: "gang", Index: 0}, Attempt: 1}},
		{Worker: "w", Run: RunRef{Task: TaskRef{Job: "gang", Index: 1}, Attempt: 1}},
		{Worker: "w", Run: RunRef{Task: TaskRef{Job: "single"}, Attempt: 1}},
	}})
	is.Equal(l.job("gang").State, JobQueued)
	is.Equal(l.job("single").State, JobRunning)
	l.submit("next", step(1))
	l.start(TaskRef{Job: "next"}, 1)
	is.Equal(l.job("next").State, JobQueued)
}
