package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// turn takes one round of the leader with a look at the worker.
func (w *world) turn(l *link, after time.Duration) {
	ctx := context.Background()
	w.pass(after)
	if l.mustHold() {
		l.hold(ctx)
	}
	w.leader.round(ctx, w.term)
	for c, ok := l.nextCall(); ok; c, ok = l.nextCall() {
		l.perform(ctx, c)
	}
}

// Symptom: a job stays running for ever though its worker is well and idle.
// Sequence: a start goes to a worker that is cut off; its leases pass and the
// run is given up, but the log takes no command; the worker comes back, then
// the log. Cause: the run is not sent again, as it is given up, and its end is not
// certain any more, as the worker's lease is renewed.
func TestARunThatWasGivenUpIsReleasedLater(t *testing.T) {
	is := is.New(t)
	w := newWorld(3)
	w.trouble = 0
	f := w.workers[0]
	w.report(f)
	l := w.leader.links[f.worker.ID]
	w.turn(l, 10*time.Millisecond)
	w.turn(l, 10*time.Millisecond)
	w.apply(&workload.Command{Submit: []workload.Submit{{ID: "j", Queue: workload.QueueID{Host: "h", Prefix: "/q/"},
		Spec: workload.JobSpec{Steps: []workload.StepSpec{{Count: 1, Need: workload.Resources{CPU: 100}}}}}}})
	f.cut = true
	for range 40 {
		w.turn(l, 100*time.Millisecond) // the start gets no answer
	}
	w.refuse = true
	for range 60 {
		w.turn(l, 100*time.Millisecond)
	}
	f.cut = false
	for range 10 {
		w.turn(l, 100*time.Millisecond)
	}
	is.Equal(len(f.worker.Running()), 0) // it must not start under the old attempt
	w.refuse = false
	for range 40 {
		w.turn(l, 100*time.Millisecond)
	}
	is.Equal(len(f.worker.Running()), 1)
	is.True(f.worker.Running()[0].Attempt > 1)
}
