package workload

import "slices"

// apply applies a command. It returns the reason when the command as a whole is
// refused, an empty string otherwise.
func (t *Tables) apply(index uint64, c *Command) string {
	if c.Term != 0 && c.Term < t.Term {
		return "a later leader has taken over"
	}
	if c.StartTerm {
		t.Term = c.Term
		t.openAll()
	}
	t.applyConfig(c.Config)
	for i := range c.Submit {
		t.submit(index, &c.Submit[i], c.AtMS)
	}
	for _, id := range c.Cancel {
		t.cancel(id, c.AtMS)
	}
	t.applyWorkers(c)
	for _, d := range c.Due {
		t.beginOccurrence(d)
	}
	t.startAll(c.Starts)
	t.applyWaves(c)
	for _, id := range c.Ordered {
		t.Ordered[id] = c.AtMS
	}
	if c.ForgetBeforeMS != 0 {
		t.dropEndedJobs(c.ForgetBeforeMS)
	}
	return ""
}

func (t *Tables) applyWorkers(c *Command) {
	for i := range c.Workers {
		var sequence uint64
		if i < len(c.Sequences) {
			sequence = c.Sequences[i]
		}
		t.putWorker(c.Workers[i], sequence)
	}
	for i := range c.Ends {
		t.recordEnd(&c.Ends[i], c.AtMS)
	}
	t.applyLosses(c)
	for _, r := range c.Releases {
		t.release(r.Worker, r.Run, c.AtMS)
	}
	for _, id := range c.EndedWorkers {
		t.removeWorker(id, c.AtMS)
	}
	for _, run := range c.NeverStarted {
		t.requeue(run.Task.Job)
	}
	for _, id := range c.Close {
		t.setClosed(id, true)
	}
	for _, id := range c.Open {
		t.setClosed(id, false)
	}
}

func (t *Tables) applyLosses(c *Command) {
	for _, loss := range c.Lost {
		t.recordLoss(loss)
	}
	for _, id := range c.Crashed {
		t.recordCrash(id, c.AtMS)
	}
	for _, id := range c.Returned {
		t.dropLosses(id)
	}
	for _, run := range c.NeverStarted {
		t.uncountSuspectStart(run)
	}
	for _, task := range c.Cleared {
		delete(t.Suspects, task)
	}
}

// setClosed closes or opens a worker for starts. Once it is closed, starts that
// the leader decided on earlier are refused as well: the VM is about to be taken
// away.
func (t *Tables) setClosed(id WorkerID, closed bool) {
	if old := t.Workers[id]; old != nil && old.Closed != closed {
		changed := *old
		changed.Closed = closed
		t.Workers[id] = &changed
	}
}

// openAll reopens all workers, as the orders that the previous leader planned no
// longer apply. If an order was carried out, its worker has ended and reports that.
func (t *Tables) openAll() {
	for id := range t.Workers {
		t.setClosed(id, false)
	}
}

// applyConfig puts a configuration in force if its version is higher than the
// current one.
func (t *Tables) applyConfig(c *Config) {
	if c == nil || (t.Config != nil && c.Version <= t.Config.Version) {
		return
	}
	t.Config = c
	for i := range c.Queues {
		t.Queues[c.Queues[i].ID] = &c.Queues[i]
	}
}

// submit adds a job unless its ID exists already, so that a resend has no effect.
func (t *Tables) submit(index uint64, s *Submit, nowMS int64) {
	if t.Jobs[s.ID] != nil || t.Queues[s.Queue] == nil {
		return
	}
	job := &Job{ID: s.ID, Queue: s.Queue, Spec: s.Spec, Order: index, AcceptedMS: nowMS}
	job.work = job.Spec.work()
	if s.Spec.Repeat == nil {
		job.Occurrences = []*Occurrence{newOccurrence(&job.Spec, 0)}
		job.Next = 1
	}
	t.Jobs[job.ID] = job
	t.footprint += job.footprint()
	t.Live[job.Queue] = append(t.Live[job.Queue], job)
	t.completeIfDone(job, nowMS)
}

func (t *Tables) cancel(id JobID, nowMS int64) {
	if job := t.Jobs[id]; job != nil && job.MayCancel() {
		t.finish(job, JobCancelled, nowMS)
	}
}

// beginOccurrence begins the next occurrence of a job; a repeated command has no
// effect.
func (t *Tables) beginOccurrence(d DueOccurrence) {
	job := t.Jobs[d.Job]
	if job == nil || job.State.Final() || job.Spec.Repeat == nil {
		return
	}
	if d.K != job.Next || d.K >= job.Spec.Repeat.Times {
		return
	}
	t.resize(job, func() { job.Occurrences = append(job.Occurrences, newOccurrence(&job.Spec, d.K)) })
	job.Next++
}

// putWorker adds or updates a worker. The capacity from a report that is older
// than the last one applied is ignored. The number of the last committed end never
// decreases, and a draining worker stays draining.
func (t *Tables) putWorker(w Worker, sequence uint64) {
	if old := t.Workers[w.ID]; old != nil {
		if sequence < t.Sequences[w.ID] {
			w.Capacity = old.Capacity
		}
		w.Acked = max(w.Acked, old.Acked)
		w.Draining = w.Draining || old.Draining
		w.Closed = old.Closed
	}
	t.Workers[w.ID] = &w
	if sequence > t.Sequences[w.ID] {
		t.Sequences[w.ID] = sequence
	}
}

// recordEnd applies the end of a run. Ends are applied in the order of their
// numbers; one that was applied before has no effect.
func (t *Tables) recordEnd(e *End, nowMS int64) {
	worker := t.Workers[e.Worker]
	if worker == nil || e.Number <= worker.Acked {
		return
	}
	worker.Acked = e.Number
	t.Changes[e.Worker]++
	if job := t.Jobs[e.Run.Task.Job]; job != nil && job.Spec.Steps != nil {
		t.endTask(job, e, nowMS)
	}
}

func (t *Tables) endTask(job *Job, e *End, nowMS int64) {
	_, step, task := t.Task(e.Run.Task)
	if task == nil {
		return
	}
	t.removeRun(e.Worker, e.Run)
	spec := &job.Spec.Steps[e.Run.Task.Step]
	if e.Checkpoint != "" && spec.Checkpoints {
		storeCheckpoint(spec, step, task, e.Checkpoint)
	}
	if job.State.Final() {
		t.compactJob(job)
		return
	}
	switch {
	case e.Kind == EndDone && !spec.LongRunning:
		t.taskDone(job, spec, step, e.Run.Task)
	case e.Kind == EndFailed && !spec.LongRunning:
		t.taskFailed(job, spec, step, task, nowMS)
	}
	if e.Kind == EndDone || e.Kind == EndFailed {
		delete(t.Suspects, e.Run.Task) // the run ended and the worker did not crash
	}
	t.failIfExhausted(job, e.Run.Task, task, nowMS)
	t.completeIfDone(job, nowMS)
}

// storeCheckpoint stores progress. All members of a gang resume from the same
// checkpoint.
func storeCheckpoint(spec *StepSpec, step *Step, task *Task, value string) {
	if !spec.Gang {
		task.Checkpoint = value
		return
	}
	for i := range step.Tasks {
		step.Tasks[i].Checkpoint = value
	}
}

// taskDone marks a task done; when one member of a gang is done, all are.
func (t *Tables) taskDone(job *Job, spec *StepSpec, step *Step, ref TaskRef) {
	for i := range step.Tasks {
		if (i != ref.Index && !spec.Gang) || step.Tasks[i].Done {
			continue
		}
		step.Tasks[i].Done = true
		step.Done++
		member := ref
		member.Index = i
		t.stopRuns(member, &step.Tasks[i])
	}
	t.dropDoneOccurrences(job)
}

// dropDoneOccurrences removes the occurrences of a repeated job that are done and
// have no runs left.
func (t *Tables) dropDoneOccurrences(job *Job) {
	if job.Spec.Repeat == nil {
		return
	}
	t.resize(job, func() {
		job.Occurrences = slices.DeleteFunc(job.Occurrences, func(o *Occurrence) bool {
			return o.isDone(&job.Spec) && !o.isActive()
		})
	})
}

func (o *Occurrence) isDone(spec *JobSpec) bool {
	for i := range o.Steps {
		if o.Steps[i].Done < spec.Steps[i].Count {
			return false
		}
	}
	return true
}

func (o *Occurrence) isActive() bool {
	for i := range o.Steps {
		if o.Steps[i].Active > 0 {
			return true
		}
	}
	return false
}

// taskFailed counts a failed attempt, for a gang at all its members, and fails the
// job when the queue allows no more.
func (t *Tables) taskFailed(job *Job, spec *StepSpec, step *Step, task *Task, nowMS int64) {
	task.Failures++
	if spec.Gang {
		for i := range step.Tasks {
			step.Tasks[i].Failures = task.Failures
		}
	}
	queue := t.Queues[job.Queue]
	if !task.Done && queue != nil && queue.MaxAttempts > 0 && task.Failures >= queue.MaxAttempts {
		t.finish(job, JobFailed, nowMS)
	}
}

// completeIfDone completes a job when every task of every occurrence is done.
func (t *Tables) completeIfDone(job *Job, nowMS int64) {
	if job.State.Final() {
		return
	}
	t.dropDoneOccurrences(job)
	if r := job.Spec.Repeat; r != nil && job.Next < r.Times {
		return
	}
	for _, o := range job.Occurrences {
		if !o.isDone(&job.Spec) {
			return
		}
	}
	t.finish(job, JobCompleted, nowMS)
}

func (t *Tables) release(worker WorkerID, run RunRef, nowMS int64) {
	if !t.removeRun(worker, run) {
		return
	}
	job, _, task := t.Task(run.Task)
	if job.State.Final() {
		t.compactJob(job)
		return
	}
	t.failIfExhausted(job, run.Task, task, nowMS)
	t.dropDoneOccurrences(job)
}

// requeue marks a job as queued again if its starts have come to nothing: it has no run
// left, and nothing in the tables shows that a task has ever begun.
func (t *Tables) requeue(id JobID) {
	job := t.Jobs[id]
	if job == nil || job.State != JobRunning || job.Spec.Repeat != nil || job.IsActive() || job.HasProgress() {
		return
	}
	job.State = JobQueued
}

// removeWorker removes a worker whose incarnation has ended, with all its runs.
func (t *Tables) removeWorker(id WorkerID, nowMS int64) {
	for run := range t.Runs[id] {
		t.release(id, run, nowMS)
	}
	t.dropLosses(id)
	delete(t.Workers, id)
	delete(t.Sequences, id)
	delete(t.Runs, id)
	delete(t.Used, id)
	delete(t.RunKinds, id)
	delete(t.Changes, id)
}

func (t *Tables) applyWaves(c *Command) {
	if c.Wave != nil && t.Waves[c.Wave.ID] == nil {
		c.Wave.AcceptedMS = c.AtMS
		t.Waves[c.Wave.ID] = c.Wave
	}
	for _, b := range c.Begun {
		w := t.Waves[b.Wave]
		if w == nil {
			continue
		}
		for i := range w.VMs {
			if w.VMs[i].ID == b.VM {
				w.VMs[i].Begun = true
			}
		}
	}
}

// dropEndedJobs removes the jobs that ended before a time.
func (t *Tables) dropEndedJobs(beforeMS int64) {
	for id, job := range t.Jobs {
		if job.State.Final() && job.EndedMS < beforeMS && !job.IsActive() {
			delete(t.Jobs, id)
			t.footprint -= job.footprint()
		}
	}
}
