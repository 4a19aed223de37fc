package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// fillOne makes one worker run a task that takes all of it, with another that waits.
func fillOne(w *world) (*fakeWorker, *link) {
	w.trouble = 0
	f := w.workers[0]
	w.report(f)
	l := w.leader.links[f.worker.ID]
	for _, id := range []workload.JobID{"first", "next"} {
		w.apply(&workload.Command{Submit: []workload.Submit{{ID: id, Queue: workload.QueueID{Host: "h", Prefix: "/q/"},
			Spec: workload.JobSpec{Steps: []workload.StepSpec{{Count: 1, Need: f.worker.Capacity}}}}}})
	}
	ctx := context.Background()
	for range 5 {
		w.now += 10 * time.Millisecond
		l.hold(ctx)
		w.leader.round(ctx, w.term)
		for c, ok := l.nextCall(); ok; c, ok = l.nextCall() {
			l.perform(ctx, c)
		}
	}
	return f, l
}

// Symptom: in a peak each core stands idle for the time of a commit between two
// tasks. Sequence: a task ends on a full worker, another waits. Cause: the room
// was given on only after the commit that took note of the end.
func TestRoomIsGivenOnWithTheEnd(t *testing.T) {
	is := is.New(t)
	w := newWorld(3)
	f, l := fillOne(w)
	is.Equal(len(f.worker.Running()), 1)
	first := f.worker.Running()[0]
	f.worker.End(first, workload.EndDone)
	l.hold(context.Background())
	before := w.index
	w.leader.round(context.Background(), w.term)
	is.Equal(w.index, before+1)
	w.machine.Read(func(t *workload.Tables) {
		is.Equal(len(t.Runs[f.worker.ID]), 1)
		is.True(!t.Runs[f.worker.ID][first])
		is.Equal(t.Used[f.worker.ID], f.worker.Capacity)
	})
}

// Symptom: a worker gets more than it has room for. Sequence: an end and a
// release of one run, or the end of a run that is not committed there. Cause:
// its room counted twice, or though it was never taken.
func TestFreedRoomIsCountedOnce(t *testing.T) {
	is := is.New(t)
	w := newWorld(3)
	f, _ := fillOne(w)
	run := f.worker.Running()[0]
	other := run
	other.Attempt++
	command := &workload.Command{
		Ends:     []workload.End{{Worker: f.worker.ID, Number: 1, Run: run}, {Worker: f.worker.ID, Number: 2, Run: other}},
		Releases: []workload.Release{{Worker: f.worker.ID, Run: run}},
	}
	w.machine.Read(func(t *workload.Tables) {
		is.Equal(freed(t, command)[f.worker.ID], f.worker.Capacity)
	})
}
