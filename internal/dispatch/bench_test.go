package dispatch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// BenchmarkRoundInAPeak is a round of 350 workers with 16 runs each, of which 20
// have listed new ends, while 2,000 steps wait.
func BenchmarkRoundInAPeak(b *testing.B) {
	w := newWorld(3)
	w.trouble = 0
	w.workers = nil
	for i := range 350 {
		f := &fakeWorker{address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250)}
		w.workers = append(w.workers, f)
		w.bear(f)
		f.worker.Capacity = workload.Resources{CPU: 32_000, MemoryMB: 131_072}
		w.report(f)
	}
	for i := range 2700 {
		steps := []workload.StepSpec{{Count: 8, Need: workload.Resources{CPU: 2000, MemoryMB: 100}, EstimatedMS: 1000}}
		w.apply(&workload.Command{AtMS: w.now.Milliseconds(), Submit: []workload.Submit{{
			ID: workload.JobID(fmt.Sprintf("%016d", i)), Queue: workload.QueueID{Host: "h", Prefix: "/q/"}, Spec: workload.JobSpec{Steps: steps}}}})
	}
	ctx := context.Background()
	settle := func() {
		w.now += 10 * time.Millisecond
		for _, l := range w.leader.links {
			for c, ok := l.nextCall(); ok; c, ok = l.nextCall() {
				l.perform(ctx, c)
			}
		}
	}
	for range 30 {
		w.leader.round(ctx, w.term)
		settle()
	}
	for _, l := range w.leader.links {
		l.hold(ctx)
	}
	b.ResetTimer()
	for i := 0; b.Loop(); i++ {
		b.StopTimer()
		for k := range 20 {
			f := w.workers[(i*20+k)%len(w.workers)]
			if running := f.worker.Running(); len(running) > 0 {
				f.worker.End(running[0], workload.EndStopped)
			}
			w.leader.links[f.worker.ID].hold(ctx)
		}
		w.now += 10 * time.Millisecond
		for _, f := range w.workers {
			w.leader.links[f.worker.ID].contact = w.now
		}
		b.StartTimer()
		w.leader.round(ctx, w.term)
		b.StopTimer()
		settle()
		b.StartTimer()
	}
}
