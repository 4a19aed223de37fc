package workload

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Tables is the state. Readers get it under the machine's lock and change nothing.
type Tables struct {
	Term   uint64
	Config *Config
	// Queues holds every queue that was ever configured; one that is no longer
	// configured keeps its last form, so that its jobs are still carried out.
	Queues  map[QueueID]*Queue
	Jobs    map[JobID]*Job
	Workers map[WorkerID]*Worker
	Waves   map[int64]*Wave
	// Ordered is when an order for a VM was last given to the platform, by the
	// leader's time of day in Unix milliseconds.
	Ordered map[MachineID]int64
	// Learnt is when this process applied the last of these orders, by its own
	// steady clock. It is not replicated; without a clock it stays empty.
	Learnt map[MachineID]time.Duration

	// Sequences is the number of the last report of each worker that changed
	// something, 0 where it is not known.
	Sequences map[WorkerID]uint64
	// Losses holds the runs lost with a worker that may still come back, Suspects
	// the tasks under which workers crashed.
	Losses   map[WorkerID][]Loss
	Suspects map[TaskRef]*Suspect

	// What follows is derived from the above.

	// missing counts Losses by task: the workers lost under it that may come back.
	missing map[TaskRef]int

	// Live holds the jobs that are not final, by queue, in order of acceptance.
	Live map[QueueID][]*Job
	// Runs holds what may run on each worker; Used is the room it takes.
	Runs map[WorkerID]map[RunRef]bool
	Used map[WorkerID]Resources
	// Kinds counts the runs on each worker by what they are to others.
	Kinds map[WorkerID]Kinds
	// Changes counts the changes of the runs of each worker.
	Changes map[WorkerID]uint64
	// Stopping holds the runs whose task or job needs them no more.
	Stopping map[RunRef]WorkerID
}

// Kinds counts runs by what they are to others on the same worker.
type Kinds struct {
	// Lasting run until their job is cancelled, Serving have a latency target,
	// Filling take what others leave.
	Lasting, Serving, Filling int
}

func (k *Kinds) add(s *StepSpec, n int) {
	if s.Lasting {
		k.Lasting += n
	}
	if s.TargetMS > 0 {
		k.Serving += n
	}
	if s.Fills {
		k.Filling += n
	}
}

// count enters or takes off (n is -1) a run in what is derived for a worker.
func (t *Tables) count(worker WorkerID, spec *StepSpec, n int) {
	kinds := t.Kinds[worker]
	kinds.add(spec, n)
	t.Kinds[worker] = kinds
	t.Changes[worker]++
}

func newTables() *Tables {
	return &Tables{
		Queues: map[QueueID]*Queue{}, Jobs: map[JobID]*Job{},
		Workers: map[WorkerID]*Worker{}, Waves: map[int64]*Wave{}, Ordered: map[MachineID]int64{}, Learnt: map[MachineID]time.Duration{},
		Sequences: map[WorkerID]uint64{},
		Losses:    map[WorkerID][]Loss{}, Suspects: map[TaskRef]*Suspect{}, missing: map[TaskRef]int{},
		Live: map[QueueID][]*Job{}, Runs: map[WorkerID]map[RunRef]bool{},
		Used: map[WorkerID]Resources{}, Kinds: map[WorkerID]Kinds{}, Changes: map[WorkerID]uint64{}, Stopping: map[RunRef]WorkerID{},
	}
}

// Task returns the task that a reference names with its step and job; nil
// when it is unknown or its occurrence is over.
func (t *Tables) Task(ref TaskRef) (*Job, *Step, *Task) {
	job := t.Jobs[ref.Job]
	if job == nil {
		return nil, nil, nil
	}
	o := job.Find(ref.Occurrence)
	if o == nil || ref.Step < 0 || ref.Step >= len(o.Steps) {
		return job, nil, nil
	}
	step := &o.Steps[ref.Step]
	if ref.Index < 0 || ref.Index >= len(step.Tasks) {
		return job, nil, nil
	}
	return job, step, &step.Tasks[ref.Index]
}

// HasPool says whether the configuration in force names a pool.
func (t *Tables) HasPool(name string) bool {
	return t.Config != nil && slices.ContainsFunc(t.Config.Pools, func(p Pool) bool { return p.Name == name })
}

// HasRun says whether a run is committed on a worker.
func (t *Tables) HasRun(worker WorkerID, run RunRef) bool { return t.Runs[worker][run] }

// Pending counts the live jobs of a queue of which nothing has started. Jobs
// that repeat don't count.
func (t *Tables) Pending(queue QueueID) int {
	n := 0
	for _, job := range t.Live[queue] {
		if job.State == JobQueued && job.Spec.Repeat == nil {
			n++
		}
	}
	return n
}

// addRun enters a run in the task and in what is derived.
func (t *Tables) addRun(job *Job, step *Step, task *Task, ref RunRef, worker WorkerID) {
	if len(task.Runs) == 0 {
		step.Active++
	}
	task.Runs = append(task.Runs, Run{Worker: worker, Attempt: ref.Attempt})
	t.indexRun(job, ref, worker)
}

func (t *Tables) indexRun(job *Job, ref RunRef, worker WorkerID) {
	if t.Runs[worker] == nil {
		t.Runs[worker] = map[RunRef]bool{}
	}
	t.Runs[worker][ref] = true
	spec := &job.Spec.Steps[ref.Task.Step]
	t.Used[worker] = t.Used[worker].Plus(spec.Charge())
	t.count(worker, spec, 1)
}

// removeRun takes a run off; false when it was not there.
func (t *Tables) removeRun(worker WorkerID, ref RunRef) bool {
	if !t.Runs[worker][ref] {
		return false
	}
	job, step, task := t.Task(ref.Task)
	delete(t.Runs[worker], ref)
	delete(t.Stopping, ref)
	if task == nil {
		return false
	}
	spec := &job.Spec.Steps[ref.Task.Step]
	t.Used[worker] = t.Used[worker].Minus(spec.Charge())
	t.count(worker, spec, -1)
	task.Runs = slices.DeleteFunc(task.Runs, func(r Run) bool {
		return r.Worker == worker && r.Attempt == ref.Attempt
	})
	if len(task.Runs) == 0 {
		step.Active--
	}
	return true
}

// stopRuns marks all runs of a task as no longer needed.
func (t *Tables) stopRuns(ref TaskRef, task *Task) {
	for _, run := range task.Runs {
		t.Stopping[RunRef{Task: ref, Attempt: run.Attempt}] = run.Worker
		t.Changes[run.Worker]++
	}
}

// eachTask calls f for every task of a job's live occurrences.
func (j *Job) eachTask(f func(ref TaskRef, step *Step, task *Task)) {
	for _, o := range j.Occurrences {
		for s := range o.Steps {
			for i := range o.Steps[s].Tasks {
				ref := TaskRef{Job: j.ID, Occurrence: o.K, Step: s, Index: i}
				f(ref, &o.Steps[s], &o.Steps[s].Tasks[i])
			}
		}
	}
}

// finish makes a job final. What still runs of it is to be stopped, but for what
// outlives it.
func (t *Tables) finish(job *Job, state JobState, nowMS int64) {
	job.State = state
	job.EndedMS = nowMS
	t.stopFinal(job)
	t.clearSuspects(job.ID)
	t.Live[job.Queue] = slices.DeleteFunc(t.Live[job.Queue], func(j *Job) bool { return j == job })
	t.shrink(job)
}

// stopFinal marks the runs of a final job as no longer needed.
func (t *Tables) stopFinal(job *Job) {
	job.eachTask(func(ref TaskRef, _ *Step, task *Task) {
		if !job.outlives(ref) {
			t.stopRuns(ref, task)
		}
	})
}

// outlives says whether a task works on though its job has failed. The tasks of a
// lasting step serve users of their own, and with the one that failed as many are
// away as the step allows: only the caller's cancelling ends them.
func (j *Job) outlives(ref TaskRef) bool {
	spec := &j.Spec.Steps[ref.Step]
	return j.State == JobFailed && spec.Lasting && spec.MaxUnavailable > 0
}

// MayCancel says whether cancelling a job still changes something.
func (j *Job) MayCancel() bool {
	return !j.State.Final() || j.State == JobFailed && j.IsActive()
}

// shrink drops the steps of a final job of which nothing runs any more: only
// its state is asked for then.
func (t *Tables) shrink(job *Job) {
	if job.State.Final() && !job.IsActive() {
		job.Spec = JobSpec{}
		job.Occurrences = nil
	}
}

// derive computes what is derived, after the tables were read from a snapshot.
func (t *Tables) derive() {
	for _, job := range t.sortedJobs() {
		job.work = job.Spec.work()
		if !job.State.Final() {
			t.Live[job.Queue] = append(t.Live[job.Queue], job)
		}
		job.eachTask(func(ref TaskRef, _ *Step, task *Task) {
			for _, run := range task.Runs {
				t.indexRun(job, RunRef{Task: ref, Attempt: run.Attempt}, run.Worker)
			}
			if task.Done || job.State.Final() && !job.outlives(ref) {
				t.stopRuns(ref, task)
			}
		})
	}
}

// sortedJobs returns all jobs in order of acceptance.
func (t *Tables) sortedJobs() []*Job {
	return slices.SortedFunc(maps.Values(t.Jobs), func(a, b *Job) int {
		if a.Order != b.Order {
			return cmp.Compare(a.Order, b.Order)
		}
		return cmp.Compare(a.ID, b.ID)
	})
}
