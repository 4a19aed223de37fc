package dispatch

import "github.com/comfreyloom/comfreyloom/internal/workload"

// freed is the room that the ends and releases of a command free on each
// worker. They take effect before the starts of the same command, so that room
// is given on with the commit that takes note of the end: a task that follows
// would else wait for a second commit, in a peak on every core in use.
func freed(t *workload.Tables, c *workload.Command) map[workload.WorkerID]workload.Resources {
	room := map[workload.WorkerID]workload.Resources{}
	counted := map[workload.RunRef]bool{}
	add := func(worker workload.WorkerID, run workload.RunRef) {
		if counted[run] || !t.Runs[worker][run] {
			return
		}
		counted[run] = true
		if job := t.Jobs[run.Task.Job]; job != nil {
			room[worker] = room[worker].Plus(job.Spec.Steps[run.Task.Step].Charge())
		}
	}
	for i := range c.Ends {
		add(c.Ends[i].Worker, c.Ends[i].Run)
	}
	for i := range c.Releases {
		add(c.Releases[i].Worker, c.Releases[i].Run)
	}
	return room
}
