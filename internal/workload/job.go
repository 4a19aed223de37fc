package workload

import (
	"fmt"
	"slices"
)

// JobID identifies a job; the caller chooses it.
type JobID string

// WorkerID identifies one incarnation of a worker.
type WorkerID string

// VMID identifies a VM of the platform; it is the same for all incarnations of
// the worker on the VM.
type VMID string

// Resources are the resources that a task needs or a worker offers.
type Resources struct {
	_ struct{} `cbor:",toarray"`
	// CPU is in thousandths of a core, MemoryMB in MiB, GPU in devices.
	CPU, MemoryMB, GPU int64
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, MemoryMB: r.MemoryMB + o.MemoryMB, GPU: r.GPU + o.GPU}
}

// Minus returns r less o.
func (r Resources) Minus(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, MemoryMB: r.MemoryMB - o.MemoryMB, GPU: r.GPU - o.GPU}
}

// Fits reports whether r is at most o in every resource.
func (r Resources) Fits(o Resources) bool {
	return r.CPU <= o.CPU && r.MemoryMB <= o.MemoryMB && r.GPU <= o.GPU
}

// JobSpec is a job as the caller submitted it.
type JobSpec struct {
	_ struct{} `cbor:",toarray"`
	// Payload is passed to each task at its start; its content is opaque here.
	Payload string
	Steps   []StepSpec
	// Repeat is nil for a job that runs once.
	Repeat *Repeat
}

// Repeat makes all steps of a job run several times.
type Repeat struct {
	_ struct{} `cbor:",toarray"`
	// Times is the number of occurrences, 1 or more.
	Times int
	// FirstMS is the time of day at which occurrence 0 is due, in Unix
	// milliseconds; each further one is due IntervalMS later.
	FirstMS, IntervalMS int64
}

// Due returns when occurrence k is due, in Unix milliseconds.
func (r *Repeat) Due(k int) int64 { return r.FirstMS + int64(k)*r.IntervalMS }

// StepSpec is one step of a job: Count identical tasks.
type StepSpec struct {
	_     struct{} `cbor:",toarray"`
	Count int
	Need  Resources
	// EstimatedMS is the caller's rough estimate of a task's run time.
	EstimatedMS int64
	// DependsOn lists the earlier steps that must be done first.
	DependsOn []int
	// Image names the program; tasks with the same image behave alike.
	Image string
	// Label is a label that the worker must have; empty for any worker.
	Label string
	// DataRack is the rack that holds the data. On other racks tasks take several
	// times as long.
	DataRack string
	// MaxPerWorker limits the tasks of one occurrence on one worker; 0 for no
	// limit.
	MaxPerWorker int
	// TargetMS is the latency that a long-running task must stay below; 0 for none.
	TargetMS int64
	// MaxUnavailable limits how many tasks of a long-running step the leader may make
	// unavailable at once; 0 when the caller states no limit.
	MaxUnavailable int
	// Checkpoints is set when a task saves its progress and can resume from it.
	Checkpoints bool
	// Gang is set when the tasks work only while all of them run, and end together.
	Gang bool
	// SameRack is set when the tasks are several times slower on more than one
	// rack.
	SameRack bool
	// Speculative is set when two copies of a task may run; the first end counts.
	Speculative bool
	// LongRunning is set when the tasks run until the job is cancelled.
	LongRunning bool
	// BestEffort is set when the tasks use the processor time that other tasks
	// leave; it isn't counted against the worker's capacity.
	BestEffort bool
}

// Charge returns the resources that a task takes from a worker's capacity.
func (s *StepSpec) Charge() Resources {
	need := s.Need
	if s.BestEffort {
		need.CPU = 0
	}
	return need
}

// TaskRef identifies a task; occurrence, step and index count from 0.
type TaskRef struct {
	_          struct{} `cbor:",toarray"`
	Job        JobID
	Occurrence int
	Step       int
	Index      int
}

// String returns the reference for log lines.
func (t TaskRef) String() string {
	return fmt.Sprintf("%s/%d/%d/%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// RunRef identifies a run: one attempt at a task.
type RunRef struct {
	_       struct{} `cbor:",toarray"`
	Task    TaskRef
	Attempt int
}

// JobState is the state of a job.
type JobState uint8

// The states of a job; those from JobCompleted on are final.
const (
	JobQueued JobState = iota
	JobRunning
	JobCompleted
	JobFailed
	JobCancelled
)

// Final reports whether no task of the job may be started any more.
func (s JobState) Final() bool { return s >= JobCompleted }

// String returns the name of the state for log lines.
func (s JobState) String() string {
	names := [...]string{"queued", "running", "completed", "failed", "cancelled"}
	if int(s) < len(names) {
		return names[s]
	}
	return fmt.Sprintf("state %d", uint8(s))
}

// Job is an accepted job. Occurrences holds those that have begun and are not done.
type Job struct {
	_     struct{} `cbor:",toarray"`
	ID    JobID
	Queue QueueID
	// Spec is emptied once the job is final and has no runs left.
	Spec  JobSpec
	State JobState
	// Order is the log index at which the job was accepted. AcceptedMS and EndedMS
	// are the leader's time of day in Unix milliseconds.
	Order       uint64
	AcceptedMS  int64
	EndedMS     int64
	Occurrences []*Occurrence
	// Next is the number of the first occurrence that has not begun.
	Next int

	// work is derived from Spec; see Work.
	work int64
}

// Work estimates the processor time of one occurrence, without long-running steps,
// in thousandths of a core times milliseconds.
func (j *Job) Work() int64 { return j.work }

// defaultRunMS is the assumed run time of a task without an estimate.
const defaultRunMS = 1000

// RunMS estimates the run time of a task, in milliseconds.
func (s *StepSpec) RunMS() int64 {
	if s.EstimatedMS > 0 {
		return s.EstimatedMS
	}
	return defaultRunMS
}

func (s *JobSpec) work() int64 {
	var work int64
	for i := range s.Steps {
		if !s.Steps[i].LongRunning {
			work += int64(s.Steps[i].Count) * s.Steps[i].Charge().CPU * s.Steps[i].RunMS()
		}
	}
	return work
}

// Occurrence is one pass through the steps of a job. K is its number, from 0.
type Occurrence struct {
	_     struct{} `cbor:",toarray"`
	K     int
	Steps []Step
}

// Step is the progress of one step.
type Step struct {
	_     struct{} `cbor:",toarray"`
	Tasks []Task
	// Done counts the tasks that are done, Active those that have at least one run.
	Done, Active int
}

// Task is the progress of one task.
type Task struct {
	_    struct{} `cbor:",toarray"`
	Done bool
	// Failures counts the runs that failed, Attempt is the highest attempt number
	// used.
	Failures, Attempt int
	// Checkpoint is the last saved progress, empty for none.
	Checkpoint string
	Runs       []Run
}

// Run is an attempt that may be running on a worker.
type Run struct {
	_       struct{} `cbor:",toarray"`
	Worker  WorkerID
	Attempt int
}

// Find returns the occurrence with number k, nil if it is done or has not begun.
func (j *Job) Find(k int) *Occurrence {
	for _, o := range j.Occurrences {
		if o.K == k {
			return o
		}
	}
	return nil
}

// Ready reports whether all steps that a step depends on are done.
func (o *Occurrence) Ready(spec *JobSpec, step int) bool {
	for _, dependency := range spec.Steps[step].DependsOn {
		if o.Steps[dependency].Done < spec.Steps[dependency].Count {
			return false
		}
	}
	return true
}

// HasProgress reports whether a task of the job is done, has failed or has saved
// progress.
func (j *Job) HasProgress() bool {
	for _, o := range j.Occurrences {
		for i := range o.Steps {
			if slices.ContainsFunc(o.Steps[i].Tasks, Task.hasProgress) {
				return true
			}
		}
	}
	return false
}

func (t Task) hasProgress() bool { return t.Done || t.Failures > 0 || t.Checkpoint != "" }

// EachRun calls f for each run of the job until it returns false. It returns whether f
// did so for none.
func (j *Job) EachRun(f func(worker WorkerID, run RunRef) bool) bool {
	for _, o := range j.Occurrences {
		for s := range o.Steps {
			if o.Steps[s].Active == 0 {
				continue
			}
			for i := range o.Steps[s].Tasks {
				for _, run := range o.Steps[s].Tasks[i].Runs {
					ref := RunRef{Task: TaskRef{Job: j.ID, Occurrence: o.K, Step: s, Index: i}, Attempt: run.Attempt}
					if !f(run.Worker, ref) {
						return false
					}
				}
			}
		}
	}
	return true
}

// IsActive reports whether any task of the job may still be running.
func (j *Job) IsActive() bool {
	for _, o := range j.Occurrences {
		for i := range o.Steps {
			if o.Steps[i].Active > 0 {
				return true
			}
		}
	}
	return false
}

func newOccurrence(spec *JobSpec, k int) *Occurrence {
	o := &Occurrence{K: k, Steps: make([]Step, len(spec.Steps))}
	for i := range o.Steps {
		o.Steps[i].Tasks = make([]Task, spec.Steps[i].Count)
	}
	return o
}
