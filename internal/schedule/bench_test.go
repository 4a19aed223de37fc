package schedule

import (
	"fmt"
	"testing"

	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// BenchmarkPlanInAPeak measures a plan for 350 full workers with some 2,000 waiting
// jobs, when nothing can be started.
func BenchmarkPlanInAPeak(b *testing.B) { benchmarkPlan(b, nil) }

// BenchmarkPlanOfAdvisedSteps measures a plan for 350 idle workers with 2,800 waiting jobs,
// when the advisor has been asked about none or has denied them all.
func BenchmarkPlanOfAdvisedSteps(b *testing.B) {
	deniedAll := &Advice{Denied: map[workload.WorkerID]bool{}}
	for i := range 350 {
		deniedAll.Denied[workload.WorkerID(fmt.Sprintf("w%d", i))] = true
	}
	for name, advice := range map[string]*Advice{"unknown": {}, "denied": deniedAll} {
		b.Run(name, func(b *testing.B) { benchmarkPlan(b, advice) })
	}
}

// benchmarkPlan measures the plan after all that can be started has been. The queue has an
// advisor if there is advice.
func benchmarkPlan(b *testing.B, known *Advice) {
	m := workload.NewMachine()
	index := uint64(0)
	apply := func(c *workload.Command) {
		data, err := workload.Encode(c)
		if err != nil {
			b.Fatal(err)
		}
		index++
		m.Apply(index, data)
	}
	config := &workload.Config{Version: 1, Pools: []workload.Pool{{Name: "p"}}, Queues: []workload.Queue{
		{ID: queueID("/q/"), Pool: "p", MaxAttempts: 3, TargetFactor: 2, TargetLatencyMS: 600, TimeoutMS: 1},
	}}
	if known != nil {
		config.Queues[0].Advisor = &workload.Advisor{ValidMS: 3000}
	}
	states := map[workload.WorkerID]Worker{}
	var all []workload.Worker
	for i := range 350 {
		id := workload.WorkerID(fmt.Sprintf("w%d", i))
		all = append(all, workload.Worker{ID: id, Pool: "p", Capacity: workload.Resources{CPU: 32_000, MemoryMB: 131_072}})
		states[id] = Worker{Usable: true}
	}
	apply(&workload.Command{Config: config, Workers: all})
	for i := range 2800 {
		steps := []workload.StepSpec{tasks(8, 2000+int64(i%7)*300), tasks(8, 2500)}
		steps[1].DependsOn = []int{0}
		apply(&workload.Command{AtMS: 1000, Submit: []workload.Submit{{ID: workload.JobID(fmt.Sprintf("j%d", i)),
			Queue: queueID("/q/"), Spec: workload.JobSpec{Steps: steps}}}})
	}
	advice := func(StepRef) *Advice { return known }
	for {
		var plan Plan
		m.Read(func(t *workload.Tables) {
			plan = Make(Input{Tables: t, Workers: states, NowMS: 1500, MaxStarts: 10_000, Advice: advice})
		})
		if len(plan.Starts) == 0 {
			break
		}
		apply(&workload.Command{Starts: plan.Starts})
	}
	b.ResetTimer()
	for b.Loop() {
		m.Read(func(t *workload.Tables) {
			Make(Input{Tables: t, Workers: states, NowMS: 1500, MaxStarts: 256, Advice: advice})
		})
	}
}
