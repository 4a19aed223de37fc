package workload

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Tables holds the replicated state and the fields derived from it. Readers access
// it under the lock of the Machine and must not modify it.
type Tables struct {
	Term   uint64
	Config *Config
	// Queues holds every queue that was ever configured. A queue that is no longer
	// configured keeps its last settings, so that its jobs still run.
	Queues  map[QueueID]*Queue
	Jobs    map[JobID]*Job
	Workers map[WorkerID]*Worker
	Waves   map[int64]*Wave
	// Ordered holds when an order for a VM was last announced in a command, before it
	// was sent to the platform, by the leader's time of day in Unix milliseconds.
	Ordered map[VMID]int64
	// OrderAppliedAt holds when this process applied the last of these commands, by
	// its own monotonic clock. It isn't replicated, and is empty without a clock.
	OrderAppliedAt map[VMID]time.Duration

	// Sequences holds the number of the last report that updated each worker, 0 if
	// unknown.
	Sequences map[WorkerID]uint64
	// Losses holds the runs lost with workers that may still come back, Suspects
	// the tasks under which workers crashed.
	Losses   map[WorkerID][]Loss
	Suspects map[TaskRef]*Suspect

	// The fields below are derived from those above.

	// unconfirmedLosses counts Losses by task: the workers lost under it that may
	// still come back.
	unconfirmedLosses map[TaskRef]int

	// Live holds the jobs that are not final, by queue, in order of acceptance.
	Live map[QueueID][]*Job
	// Runs holds the runs that may be running on each worker, Used the resources
	// that they are charged for.
	Runs map[WorkerID]map[RunRef]bool
	Used map[WorkerID]Resources
	// RunKinds counts the runs on each worker by how they affect other runs.
	RunKinds map[WorkerID]RunKinds
	// Changes counts the changes of each worker's runs.
	Changes map[WorkerID]uint64
	// Stopping holds the runs that their task or job no longer needs, with their
	// workers.
	Stopping map[RunRef]WorkerID
	// footprint is the memory that Jobs take by estimate, in bytes.
	footprint int64
}

// RunKinds counts the runs on a worker by how they affect other runs there.
type RunKinds struct {
	// LongRunning counts runs that last until the job is cancelled,
	// LatencySensitive those with a latency target, BestEffort those that use
	// what others leave.
	LongRunning, LatencySensitive, BestEffort int
}

func (k *RunKinds) add(s *StepSpec, n int) {
	if s.LongRunning {
		k.LongRunning += n
	}
	if s.TargetMS > 0 {
		k.LatencySensitive += n
	}
	if s.BestEffort {
		k.BestEffort += n
	}
}

// countRun adds a run to the derived counts of a worker, or removes it if n is -1.
func (t *Tables) countRun(worker WorkerID, spec *StepSpec, n int) {
	kinds := t.RunKinds[worker]
	kinds.add(spec, n)
	t.RunKinds[worker] = kinds
	t.Changes[worker]++
}

func newTables() *Tables {
	return &Tables{
		Queues: map[QueueID]*Queue{}, Jobs: map[JobID]*Job{},
		Workers: map[WorkerID]*Worker{}, Waves: map[int64]*Wave{}, Ordered: map[VMID]int64{}, OrderAppliedAt: map[VMID]time.Duration{},
		Sequences: map[WorkerID]uint64{},
		Losses:    map[WorkerID][]Loss{}, Suspects: map[TaskRef]*Suspect{}, unconfirmedLosses: map[TaskRef]int{},
		Live: map[QueueID][]*Job{}, Runs: map[WorkerID]map[RunRef]bool{},
		Used: map[WorkerID]Resources{}, RunKinds: map[WorkerID]RunKinds{}, Changes: map[WorkerID]uint64{}, Stopping: map[RunRef]WorkerID{},
	}
}

// Task returns the task of a reference with its job and step. Task and step are
// nil if the task is unknown or its occurrence is done, all three if the job is
// unknown.
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

// HasPool reports whether the configuration in force has a pool.
func (t *Tables) HasPool(name string) bool {
	return t.Config != nil && slices.ContainsFunc(t.Config.Pools, func(p Pool) bool { return p.Name == name })
}

// HasRun reports whether a run is committed on a worker.
func (t *Tables) HasRun(worker WorkerID, run RunRef) bool { return t.Runs[worker][run] }

// Pending returns the number of live jobs of a queue that have started nothing yet,
// not counting repeated jobs.
func (t *Tables) Pending(queue QueueID) int {
	n := 0
	for _, job := range t.Live[queue] {
		if job.State == JobQueued && job.Spec.Repeat == nil {
			n++
		}
	}
	return n
}

// addRun adds a run to its task and to the derived tables.
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
	t.countRun(worker, spec, 1)
}

// removeRun removes a run; it returns false if the run or its task is unknown.
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
	t.countRun(worker, spec, -1)
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

// finish makes a job final. Its runs are to be stopped, except those that
// keepsRunning exempts.
func (t *Tables) finish(job *Job, state JobState, nowMS int64) {
	job.State = state
	job.EndedMS = nowMS
	t.stopFinalRuns(job)
	t.clearSuspects(job.ID)
	t.Live[job.Queue] = slices.DeleteFunc(t.Live[job.Queue], func(j *Job) bool { return j == job })
	t.compactJob(job)
}

// stopFinalRuns marks the runs of a final job as no longer needed.
func (t *Tables) stopFinalRuns(job *Job) {
	job.eachTask(func(ref TaskRef, _ *Step, task *Task) {
		if !job.keepsRunning(ref) {
			t.stopRuns(ref, task)
		}
	})
}

// keepsRunning reports whether a task goes on although its job has failed. The
// tasks of a long-running step with MaxUnavailable serve their own users, and the
// failed task may already use up the limit. Only cancelling the job stops them.
func (j *Job) keepsRunning(ref TaskRef) bool {
	spec := &j.Spec.Steps[ref.Step]
	return j.State == JobFailed && spec.LongRunning && spec.MaxUnavailable > 0
}

// MayCancel reports whether cancelling a job still has an effect.
func (j *Job) MayCancel() bool {
	return !j.State.Final() || j.State == JobFailed && j.IsActive()
}

// compactJob drops the spec and the occurrences of a final job without runs, as
// only its state is still needed.
func (t *Tables) compactJob(job *Job) {
	if job.State.Final() && !job.IsActive() {
		t.resize(job, func() {
			job.Spec = JobSpec{}
			job.Occurrences = nil
		})
	}
}

// rebuildDerived computes the derived fields after the tables were read from a
// snapshot.
func (t *Tables) rebuildDerived() {
	for _, job := range t.sortedJobs() {
		job.work = job.Spec.work()
		t.footprint += job.footprint()
		if !job.State.Final() {
			t.Live[job.Queue] = append(t.Live[job.Queue], job)
		}
		job.eachTask(func(ref TaskRef, _ *Step, task *Task) {
			for _, run := range task.Runs {
				t.indexRun(job, RunRef{Task: ref, Attempt: run.Attempt}, run.Worker)
			}
			if task.Done || job.State.Final() && !job.keepsRunning(ref) {
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
