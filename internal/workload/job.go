package workload

import "fmt"

// JobID names a job; the caller chooses it.
type JobID string

// WorkerID names one incarnation of a worker.
type WorkerID string

// MachineID names a VM of the platform, through all incarnations of its worker.
type MachineID string

// Resources are what a task needs or a worker offers.
type Resources struct {
	_ struct{} `cbor:",toarray"`
	// CPU is in thousandths of a core, MemoryMB in MiB, GPU in devices.
	CPU, MemoryMB, GPU int64
}

// Plus returns the sum.
func (r Resources) Plus(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, MemoryMB: r.MemoryMB + o.MemoryMB, GPU: r.GPU + o.GPU}
}

// Minus returns the difference.
func (r Resources) Minus(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, MemoryMB: r.MemoryMB - o.MemoryMB, GPU: r.GPU - o.GPU}
}

// Fits says whether r is within o in every part.
func (r Resources) Fits(o Resources) bool {
	return r.CPU <= o.CPU && r.MemoryMB <= o.MemoryMB && r.GPU <= o.GPU
}

// JobSpec is a job as the caller handed it in.
type JobSpec struct {
	_ struct{} `cbor:",toarray"`
	// Payload is what each task is started with; opaque here.
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

// StepSpec is one step of a job: Count equal tasks.
type StepSpec struct {
	_     struct{} `cbor:",toarray"`
	Count int
	Need  Resources
	// EstimatedMS is the caller's rough guess of a task's run time.
	EstimatedMS int64
	// DependsOn lists earlier steps whose tasks must all be done first.
	DependsOn []int
	// Image names the program; tasks of one image behave alike.
	Image string
	// Label must be among the worker's labels, empty for any worker.
	Label string
	// DataRack is where the data lies; elsewhere tasks take several times as long.
	DataRack string
	// MaxPerWorker bounds the tasks of one occurrence on one worker; 0 for no bound.
	MaxPerWorker int
	// TargetMS is the latency that a lasting task must stay below; 0 for none.
	TargetMS int64
	// MaxUnavailable bounds how many tasks of a lasting step may be away at
	// once by our doing; 0 when the caller states no bound.
	MaxUnavailable int
	// Checkpoints: a task saves its progress and can resume from it.
	Checkpoints bool
	// Gang: tasks only work when all of them are present, and end together.
	Gang bool
	// SameRack: tasks are several times slower on more than one rack.
	SameRack bool
	// Speculative: two copies of a task may run; the first end counts.
	Speculative bool
	// Lasting: tasks run until the job is cancelled.
	Lasting bool
	// Fills: processor time is taken from what other tasks leave, and is not
	// counted against the worker.
	Fills bool
}

// Charge is what a task takes of a worker's room.
func (s *StepSpec) Charge() Resources {
	need := s.Need
	if s.Fills {
		need.CPU = 0
	}
	return need
}

// TaskRef names a task: occurrence, step and index count from 0.
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

// RunRef names a run: one attempt at a task.
type RunRef struct {
	_       struct{} `cbor:",toarray"`
	Task    TaskRef
	Attempt int
}

// JobState is how far a job has come.
type JobState uint8

// The states of a job; those from Completed on are final.
const (
	JobQueued JobState = iota
	JobRunning
	JobCompleted
	JobFailed
	JobCancelled
)

// Final says that nothing of the job may be started any more.
func (s JobState) Final() bool { return s >= JobCompleted }

// String names the state for log lines.
func (s JobState) String() string {
	names := [...]string{"queued", "running", "completed", "failed", "cancelled"}
	if int(s) < len(names) {
		return names[s]
	}
	return fmt.Sprintf("state %d", uint8(s))
}

// Job is an accepted job. Occurrences holds those that are not done yet.
type Job struct {
	_     struct{} `cbor:",toarray"`
	ID    JobID
	Queue QueueID
	// Spec is emptied once the job is final and nothing of it runs.
	Spec  JobSpec
	State JobState
	// Order is the log index of the acceptance; AcceptedMS and EndedMS are the
	// leader's time of day.
	Order       uint64
	AcceptedMS  int64
	EndedMS     int64
	Occurrences []*Occurrence
	// Next is the number of the first occurrence that has not begun.
	Next int

	// work is derived from the spec; see Work.
	work int64
}

// Work estimates the processor time of one occurrence of the steps that end,
// in thousandths of a core times milliseconds.
func (j *Job) Work() int64 { return j.work }

// typicalMS stands for the run time of a task without an estimate.
const typicalMS = 1000

// RunMS estimates the run time of a task, in milliseconds.
func (s *StepSpec) RunMS() int64 {
	if s.EstimatedMS > 0 {
		return s.EstimatedMS
	}
	return typicalMS
}

func (s *JobSpec) work() int64 {
	var work int64
	for i := range s.Steps {
		if !s.Steps[i].Lasting {
			work += int64(s.Steps[i].Count) * s.Steps[i].Charge().CPU * s.Steps[i].RunMS()
		}
	}
	return work
}

// Occurrence is one pass through the steps of a job.
type Occurrence struct {
	_     struct{} `cbor:",toarray"`
	K     int
	Steps []Step
}

// Step is the progress of one step.
type Step struct {
	_     struct{} `cbor:",toarray"`
	Tasks []Task
	// Done counts the tasks that are done, Active those that have a run.
	Done, Active int
}

// Task is the progress of one task.
type Task struct {
	_    struct{} `cbor:",toarray"`
	Done bool
	// Failures counts the runs that ended failed, Attempt is the highest
	// attempt given out.
	Failures, Attempt int
	// Checkpoint is the latest saved progress, empty for none.
	Checkpoint string
	Runs       []Run
}

// Run is an attempt that may run on a worker.
type Run struct {
	_       struct{} `cbor:",toarray"`
	Worker  WorkerID
	Attempt int
}

// Find returns the occurrence with number k, nil when it is done or has not begun.
func (j *Job) Find(k int) *Occurrence {
	for _, o := range j.Occurrences {
		if o.K == k {
			return o
		}
	}
	return nil
}

// Ready says whether all steps that a step depends on are done.
func (o *Occurrence) Ready(spec *JobSpec, step int) bool {
	for _, before := range spec.Steps[step].DependsOn {
		if o.Steps[before].Done < spec.Steps[before].Count {
			return false
		}
	}
	return true
}

// IsActive says whether anything of the job may still run.
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
