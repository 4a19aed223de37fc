package workload

import "slices"

// apply carries out a command. It returns why the command as a whole had no
// effect, empty when it had.
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
		t.occur(d)
	}
	t.startAll(c.Starts)
	t.applyWaves(c)
	for _, machine := range c.Ordered {
		t.Ordered[machine] = c.AtMS
	}
	if c.ForgetBeforeMS != 0 {
		t.forget(c.ForgetBeforeMS)
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
		t.end(&c.Ends[i], c.AtMS)
	}
	t.applyLosses(c)
	for _, r := range c.Releases {
		t.release(r.Worker, r.Run, c.AtMS)
	}
	for _, id := range c.Gone {
		t.gone(id, c.AtMS)
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
		t.lose(loss)
	}
	for _, id := range c.Crashed {
		t.crashed(id, c.AtMS)
	}
	for _, id := range c.Returned {
		t.dropLosses(id)
	}
	for _, run := range c.Void {
		t.uncountStart(run)
	}
	for _, task := range c.Proven {
		delete(t.Suspects, task)
	}
}

// setClosed closes or opens a worker for starts. A start that the leader
// decided on before, and that is committed after, is refused: its VM would be
// taken away under it.
func (t *Tables) setClosed(id WorkerID, closed bool) {
	if old := t.Workers[id]; old != nil && old.Closed != closed {
		changed := *old
		changed.Closed = closed
		t.Workers[id] = &changed
	}
}

// openAll forgets what the last leader was about to order. If an order was
// carried out, its worker is over and says so.
func (t *Tables) openAll() {
	for id := range t.Workers {
		t.setClosed(id, false)
	}
}

// applyConfig puts a higher version in force; any other changes nothing.
func (t *Tables) applyConfig(c *Config) {
	if c == nil || (t.Config != nil && c.Version <= t.Config.Version) {
		return
	}
	t.Config = c
	for i := range c.Queues {
		t.Queues[c.Queues[i].ID] = &c.Queues[i]
	}
}

// submit enters a job unless it is known, so that a resend changes nothing.
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
	t.Live[job.Queue] = append(t.Live[job.Queue], job)
	t.settle(job, nowMS)
}

func (t *Tables) cancel(id JobID, nowMS int64) {
	if job := t.Jobs[id]; job != nil && job.MayCancel() {
		t.finish(job, JobCancelled, nowMS)
	}
}

// occur begins the next occurrence of a job; a repeated command changes nothing.
func (t *Tables) occur(d Occurring) {
	job := t.Jobs[d.Job]
	if job == nil || job.State.Final() || job.Spec.Repeat == nil {
		return
	}
	if d.K != job.Next || d.K >= job.Spec.Repeat.Times {
		return
	}
	job.Occurrences = append(job.Occurrences, newOccurrence(&job.Spec, d.K))
	job.Next++
}

// putWorker enters a worker or what changed about it, unless a later report came
// before. The number of committed ends and a draining state stay.
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

// end takes note of an end. Ends come in the order of their numbers; one that
// was noted before changes nothing.
func (t *Tables) end(e *End, nowMS int64) {
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
		keepCheckpoint(spec, step, task, e.Checkpoint)
	}
	if job.State.Final() {
		t.shrink(job)
		return
	}
	switch {
	case e.Kind == EndDone && !spec.Lasting:
		t.taskDone(job, spec, step, e.Run.Task)
	case e.Kind == EndFailed && !spec.Lasting:
		t.taskFailed(job, spec, step, task, nowMS)
	}
	if e.Kind == EndDone || e.Kind == EndFailed {
		delete(t.Suspects, e.Run.Task) // it ended and its worker did not
	}
	t.giveUpSpent(job, e.Run.Task, task, nowMS)
	t.settle(job, nowMS)
}

// keepCheckpoint stores progress. The members of a gang resume from one value.
func keepCheckpoint(spec *StepSpec, step *Step, task *Task, value string) {
	if !spec.Gang {
		task.Checkpoint = value
		return
	}
	for i := range step.Tasks {
		step.Tasks[i].Checkpoint = value
	}
}

// taskDone marks a task done; the end of one member of a gang stands for all.
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
	t.dropDone(job)
}

// dropDone takes off the occurrences that are done and of which nothing runs.
func (t *Tables) dropDone(job *Job) {
	if job.Spec.Repeat == nil {
		return
	}
	job.Occurrences = slices.DeleteFunc(job.Occurrences, func(o *Occurrence) bool {
		return o.isDone(&job.Spec) && !o.isActive()
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

// taskFailed counts an attempt; a gang fails as a whole.
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

// settle completes a job of which every task is done.
func (t *Tables) settle(job *Job, nowMS int64) {
	if job.State.Final() {
		return
	}
	t.dropDone(job)
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
		t.shrink(job)
		return
	}
	t.giveUpSpent(job, run.Task, task, nowMS)
	t.dropDone(job)
}

// gone drops a worker whose incarnation is over, with all that ran on it.
func (t *Tables) gone(id WorkerID, nowMS int64) {
	for run := range t.Runs[id] {
		t.release(id, run, nowMS)
	}
	t.dropLosses(id)
	delete(t.Workers, id)
	delete(t.Sequences, id)
	delete(t.Runs, id)
	delete(t.Used, id)
	delete(t.Kinds, id)
	delete(t.Changes, id)
}

func (t *Tables) applyWaves(c *Command) {
	if c.Wave != nil && t.Waves[c.Wave.ID] == nil {
		c.Wave.AskedMS = c.AtMS
		t.Waves[c.Wave.ID] = c.Wave
	}
	for _, b := range c.Begun {
		w := t.Waves[b.Wave]
		if w == nil {
			continue
		}
		for i := range w.Machines {
			if w.Machines[i].Machine == b.Machine {
				w.Machines[i].Begun = true
			}
		}
	}
}

// forget drops jobs that ended before an instant.
func (t *Tables) forget(beforeMS int64) {
	for id, job := range t.Jobs {
		if job.State.Final() && job.EndedMS < beforeMS && !job.IsActive() {
			delete(t.Jobs, id)
		}
	}
}
