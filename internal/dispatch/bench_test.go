package dispatch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// BenchmarkRoundAtPeakLoad measures a round of 350 workers with 16 runs each,
// of which 20 have listed new ends, while 2,000 steps wait.
func BenchmarkRoundAtPeakLoad(b *testing.B) {
	sim := newSimulation(3)
	sim.faultPercent = 0
	sim.workers = nil
	for i := range 350 {
		f := &fakeWorker{address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250)}
		sim.workers = append(sim.workers, f)
		sim.startIncarnation(f)
		f.worker.Capacity = workload.Resources{CPU: 32_000, MemoryMB: 131_072}
		sim.report(f)
	}
	for i := range 2700 {
		steps := []workload.StepSpec{{Count: 8, Need: workload.Resources{CPU: 2000, MemoryMB: 100}, EstimatedMS: 1000}}
		sim.apply(&workload.Command{AtMS: sim.now.Milliseconds(), Submit: []workload.Submit{{
			ID: workload.JobID(fmt.Sprintf("%016d", i)), Queue: workload.QueueID{Host: "h", Prefix: "/q/"}, Spec: workload.JobSpec{Steps: steps}}}})
	}
	ctx := context.Background()
	settle := func() {
		sim.now += 10 * time.Millisecond
		for _, l := range sim.leader.links {
			for c, ok := l.nextCall(); ok; c, ok = l.nextCall() {
				l.perform(ctx, c)
			}
		}
	}
	for range 30 {
		sim.leader.round(ctx, sim.term)
		settle()
	}
	for _, l := range sim.leader.links {
		l.hold(ctx)
	}
	b.ResetTimer()
	for i := 0; b.Loop(); i++ {
		b.StopTimer()
		for k := range 20 {
			f := sim.workers[(i*20+k)%len(sim.workers)]
			if running := f.worker.Running(); len(running) > 0 {
				f.worker.End(running[0], workload.EndStopped)
			}
			sim.leader.links[f.worker.ID].hold(ctx)
		}
		sim.now += 10 * time.Millisecond
		for _, f := range sim.workers {
			sim.leader.links[f.worker.ID].lastContact = sim.now
		}
		b.StartTimer()
		sim.leader.round(ctx, sim.term)
		b.StopTimer()
		settle()
		b.StartTimer()
	}
}
