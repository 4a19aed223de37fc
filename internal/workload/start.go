package workload

// startAll commits runs; the members of one gang all or none.
func (t *Tables) startAll(starts []Start) {
	for len(starts) > 0 {
		n := t.gangPrefixLen(starts)
		if n == 1 || t.gangFits(starts[:n]) {
			for i := range starts[:n] {
				t.start(&starts[i])
			}
		}
		starts = starts[n:]
	}
}

// gangPrefixLen returns how many starts at the beginning of a list belong to the
// same gang; 1 if the first one is not of a gang.
func (t *Tables) gangPrefixLen(starts []Start) int {
	first := starts[0].Run
	job, step, _ := t.Task(first.Task)
	if step == nil || !job.Spec.Steps[first.Task.Step].Gang {
		return 1
	}
	n := 1
	for n < len(starts) && sameGang(first, starts[n].Run) {
		n++
	}
	return n
}

func sameGang(a, b RunRef) bool {
	return a.Task.Job == b.Task.Job && a.Task.Occurrence == b.Task.Occurrence && a.Task.Step == b.Task.Step && a.Attempt == b.Attempt
}

// gangFits reports whether all members of a gang fit into the free capacity of
// their workers.
func (t *Tables) gangFits(starts []Start) bool {
	taken := map[WorkerID]Resources{}
	for i := range starts {
		worker := t.Workers[starts[i].Worker]
		if worker == nil {
			return false
		}
		charge := t.Jobs[starts[i].Run.Task.Job].Spec.Steps[starts[i].Run.Task.Step].Charge()
		taken[worker.ID] = taken[worker.ID].Plus(charge)
		if !taken[worker.ID].Fits(worker.Capacity.Minus(t.Used[worker.ID])) {
			return false
		}
	}
	return true
}

// start commits a run if it is still valid. The leader decided on a state that may
// have changed since.
func (t *Tables) start(s *Start) {
	job, step, task := t.Task(s.Run.Task)
	worker := t.Workers[s.Worker]
	if worker == nil || worker.Draining || worker.Closed {
		return
	}
	if task == nil || job.State.Final() || task.Done || s.Run.Attempt <= task.Attempt {
		return
	}
	spec := &job.Spec.Steps[s.Run.Task.Step]
	if len(task.Runs) > 0 && (!spec.Speculative || len(task.Runs) > 1 || task.Runs[0].Worker == s.Worker) {
		return
	}
	if !job.Find(s.Run.Task.Occurrence).Ready(&job.Spec, s.Run.Task.Step) {
		return
	}
	if !spec.Charge().Fits(worker.Capacity.Minus(t.Used[s.Worker])) {
		return
	}
	task.Attempt = s.Run.Attempt
	job.State = JobRunning
	t.countSuspectStart(s.Run.Task)
	t.addRun(job, step, task, s.Run, s.Worker)
}
