package dispatch

import "github.com/comfreyloom/comfreyloom/internal/workload"

// freedCapacity is what the ends and releases of a command free on each
// worker. They take effect before the starts of the same command, so that the
// capacity is reused in the commit that records the end. Otherwise the next task
// would wait for a second commit, at peak load on every core in use.
func freedCapacity(t *workload.Tables, c *workload.Command) map[workload.WorkerID]workload.Resources {
	freed := map[workload.WorkerID]workload.Resources{}
	counted := map[workload.RunRef]bool{}
	add := func(worker workload.WorkerID, run workload.RunRef) {
		if counted[run] || !t.Runs[worker][run] {
			return
		}
		counted[run] = true
		if job := t.Jobs[run.Task.Job]; job != nil {
			freed[worker] = freed[worker].Plus(job.Spec.Steps[run.Task.Step].Charge())
		}
	}
	for i := range c.Ends {
		add(c.Ends[i].Worker, c.Ends[i].Run)
	}
	for i := range c.Releases {
		add(c.Releases[i].Worker, c.Releases[i].Run)
	}
	return freed
}
