package workload

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

// log applies commands to a machine.
type log struct {
	*Machine
	index uint64
}

func newLog() *log {
	l := &log{Machine: NewMachine()}
	l.do(&Command{Config: &Config{Version: 3, Pools: []Pool{{Name: "p"}}, Queues: []Queue{
		{ID: QueueID{Host: "h", Prefix: "/q/"}, Pool: "p", MaxAttempts: 2, TimeoutMS: 1},
		{ID: QueueID{Host: "h", Prefix: "/q/long/"}, Pool: "p", MaxAttempts: 2, TimeoutMS: 1},
	}}})
	l.do(&Command{Workers: []Worker{{ID: "w", Pool: "p", Capacity: Resources{CPU: 4000, MemoryMB: 4000}}}})
	return l
}

func (l *log) do(c *Command) {
	data, err := Encode(c)
	if err != nil {
		panic(err)
	}
	l.index++
	l.Apply(l.index, data)
}

func (l *log) job(id JobID) (job Job) {
	l.Read(func(t *Tables) { job = *t.Jobs[id] })
	return job
}

func (l *log) submit(id JobID, steps ...StepSpec) {
	l.do(&Command{AtMS: 1000, Submit: []Submit{{ID: id, Queue: QueueID{Host: "h", Prefix: "/q/"}, Spec: JobSpec{Steps: steps}}}})
}

func (l *log) start(task TaskRef, attempt int) {
	l.do(&Command{Starts: []Start{{Worker: "w", Run: RunRef{Task: task, Attempt: attempt}}}})
}

func (l *log) end(number uint64, task TaskRef, attempt int, kind EndKind) {
	l.do(&Command{AtMS: 2000, Ends: []End{{Worker: "w", Number: number, Run: RunRef{Task: task, Attempt: attempt}, Kind: kind, Checkpoint: "c"}}})
}

func step(count int, dependsOn ...int) StepSpec {
	return StepSpec{Count: count, Need: Resources{CPU: 100, MemoryMB: 10}, DependsOn: dependsOn, Checkpoints: true}
}

func TestJobRunsThroughItsSteps(t *testing.T) {
	is := is.New(t)
	l := newLog()
	l.submit("j", step(1), step(1, 0))
	is.Equal(l.job("j").State, JobQueued)
	l.start(TaskRef{Job: "j", Step: 1}, 1) // refused: step 0 is not done
	is.Equal(l.job("j").State, JobQueued)
	l.start(TaskRef{Job: "j"}, 1)
	is.Equal(l.job("j").State, JobRunning)
	l.end(1, TaskRef{Job: "j"}, 1, EndDone)
	l.start(TaskRef{Job: "j", Step: 1}, 1)
	l.end(2, TaskRef{Job: "j", Step: 1}, 1, EndDone)
	is.Equal(l.job("j").State, JobCompleted)
	is.Equal(len(l.job("j").Spec.Steps), 0)
	l.Read(func(tables *Tables) {
		is.Equal(tables.Used["w"], Resources{})
		is.Equal(len(tables.Live[QueueID{Host: "h", Prefix: "/q/"}]), 0)
	})
}

// A worker reports an end again when the acknowledgement was lost. Counting it
// twice would fail the job after fewer attempts than the queue allows.
func TestRepeatedEndCountsOnce(t *testing.T) {
	is := is.New(t)
	l := newLog()
	l.submit("j", step(1))
	task := TaskRef{Job: "j"}
	l.start(task, 1)
	l.end(1, task, 1, EndFailed)
	l.end(1, task, 1, EndFailed)
	is.Equal(l.job("j").State, JobRunning)
	l.start(task, 2)
	l.end(2, task, 2, EndFailed)
	is.Equal(l.job("j").State, JobFailed)
}

func TestCancelledJobStopsItsRuns(t *testing.T) {
	is := is.New(t)
	l := newLog()
	l.submit("j", step(2))
	l.start(TaskRef{Job: "j"}, 1)
	l.do(&Command{Cancel: []JobID{"j"}})
	is.Equal(l.job("j").State, JobCancelled)
	l.start(TaskRef{Job: "j", Index: 1}, 1)
	l.Read(func(tables *Tables) {
		is.Equal(len(tables.Runs["w"]), 1)
		is.Equal(len(tables.Stopping), 1)
	})
	l.end(1, TaskRef{Job: "j"}, 1, EndStopped)
	l.Read(func(tables *Tables) { is.Equal(len(tables.Stopping), 0) })
}

func TestGangSharesCheckpointAndEndsTogether(t *testing.T) {
	is := is.New(t)
	l := newLog()
	gang := step(2)
	gang.Gang = true
	l.submit("j", gang)
	l.start(TaskRef{Job: "j"}, 1)
	l.start(TaskRef{Job: "j", Index: 1}, 1)
	l.end(1, TaskRef{Job: "j"}, 1, EndGangBroken)
	is.Equal(l.job("j").Occurrences[0].Steps[0].Tasks[1].Checkpoint, "c")
	l.end(2, TaskRef{Job: "j", Index: 1}, 1, EndDone)
	is.Equal(l.job("j").State, JobCompleted)
}

func TestRepeatedJobBeginsEachOccurrenceOnce(t *testing.T) {
	is := is.New(t)
	l := newLog()
	spec := JobSpec{Steps: []StepSpec{step(1)}, Repeat: &Repeat{Times: 2, FirstMS: 1000, IntervalMS: 500}}
	l.do(&Command{Submit: []Submit{{ID: "j", Queue: QueueID{Host: "h", Prefix: "/q/"}, Spec: spec}}})
	is.Equal(l.job("j").State, JobQueued)
	for _, k := range []int{0, 0, 1, 2} {
		l.do(&Command{Due: []DueOccurrence{{Job: "j", K: k}}})
	}
	is.Equal(len(l.job("j").Occurrences), 2)
	for k := range 2 {
		task := TaskRef{Job: "j", Occurrence: k}
		l.start(task, 1)
		l.end(uint64(k+1), task, 1, EndDone)
	}
	is.Equal(l.job("j").State, JobCompleted)
}

func TestCommandOfEarlierTermIsRefused(t *testing.T) {
	is := is.New(t)
	l := newLog()
	l.submit("j", step(1))
	l.do(&Command{Term: 5, StartTerm: true})
	l.do(&Command{Term: 4, Starts: []Start{{Worker: "w", Run: RunRef{Task: TaskRef{Job: "j"}, Attempt: 1}}}})
	is.Equal(l.job("j").State, JobQueued)
}

// An older configuration that arrives late, or different content under the version
// in force, must not replace the current configuration.
func TestOnlyHigherConfigVersionTakesEffect(t *testing.T) {
	is := is.New(t)
	l := newLog()
	for _, version := range []uint64{2, 3} {
		l.do(&Command{Config: &Config{Version: version, Text: []byte("other")}})
	}
	l.Read(func(tables *Tables) {
		is.Equal(tables.Config.Version, uint64(3))
		is.Equal(len(tables.Config.Queues), 2)
	})
	l.submit("j", step(1))
	l.do(&Command{Config: &Config{Version: 9}})
	l.start(TaskRef{Job: "j"}, 1) // the queue is no longer configured, its jobs still run
	is.Equal(l.job("j").State, JobRunning)
}

func TestSnapshotRestoresEverything(t *testing.T) {
	is := is.New(t)
	l := newLog()
	l.submit("done", step(1))
	l.submit("open", step(2), step(1, 0))
	l.start(TaskRef{Job: "done"}, 1)
	l.end(1, TaskRef{Job: "done"}, 1, EndDone)
	l.start(TaskRef{Job: "open"}, 1)
	l.do(&Command{Wave: &Wave{ID: 1, MaxUnavailable: 1, VMs: []WaveVM{{ID: "m"}}}, Ordered: []VMID{"m"}, AtMS: 5})
	data, err := l.Snapshot()
	is.NoErr(err)
	other := NewMachine()
	is.NoErr(other.Restore(data))
	again, err := other.Snapshot()
	is.NoErr(err)
	is.Equal(string(data), string(again))
	other.Read(func(tables *Tables) {
		is.Equal(tables.Used["w"], Resources{CPU: 100, MemoryMB: 10})
		is.Equal(len(tables.Live[QueueID{Host: "h", Prefix: "/q/"}]), 1)
		is.Equal(tables.Ordered["m"], int64(5))
		is.True(tables.Live[QueueID{Host: "h", Prefix: "/q/"}][0].Work() > 0)
	})
	l.submit("more", step(1))
	older := l.Machine
	is.True(errors.Is(older.Restore(data), ErrStaleSnapshot))
}

func TestRouteMatchesLongestPrefix(t *testing.T) {
	is := is.New(t)
	l := newLog()
	l.Read(func(tables *Tables) {
		is.Equal(tables.Config.Route("h", "/q/long/x").ID.Prefix, "/q/long/")
		is.Equal(tables.Config.Route("h", "/q/x").ID.Prefix, "/q/")
		is.True(tables.Config.Route("other", "/q/x") == nil)
	})
}

func TestValidate(t *testing.T) {
	good := JobSpec{Steps: []StepSpec{step(1)}}
	for name, c := range map[string]struct {
		change func(*JobSpec)
		valid  bool
	}{
		"good":             {func(*JobSpec) {}, true},
		"no steps":         {func(s *JobSpec) { s.Steps = nil }, false},
		"later step":       {func(s *JobSpec) { s.Steps = []StepSpec{step(1, 0)} }, false},
		"no tasks":         {func(s *JobSpec) { s.Steps = []StepSpec{step(0)} }, false},
		"negative need":    {func(s *JobSpec) { s.Steps = []StepSpec{{Count: 1, Need: Resources{CPU: -1}}} }, false},
		"too many tasks":   {func(s *JobSpec) { s.Steps = []StepSpec{step(20_000), step(1)} }, false},
		"too long payload": {func(s *JobSpec) { s.Payload = string(make([]byte, 4001)) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			spec := good
			c.change(&spec)
			is.New(t).Equal(spec.Validate() == nil, c.valid)
		})
	}
}

// The leader may decide on a start, then decide to move the idle VM, and commit the
// start last. Unless the start is also checked when it is applied, the VM is moved
// while a task runs on it.
func TestNothingStartsOnClosedWorker(t *testing.T) {
	is := is.New(t)
	l := newLog()
	l.submit("j", step(1))
	l.do(&Command{Close: []WorkerID{"w"}})
	l.start(TaskRef{Job: "j"}, 1)
	is.Equal(l.job("j").State, JobQueued)
	l.do(&Command{Workers: []Worker{{ID: "w", Pool: "p", Capacity: Resources{CPU: 100, MemoryMB: 10}}}}) // a report does not open it
	l.start(TaskRef{Job: "j"}, 1)
	is.Equal(l.job("j").State, JobQueued)
	l.do(&Command{Open: []WorkerID{"w"}})
	l.start(TaskRef{Job: "j"}, 1)
	is.Equal(l.job("j").State, JobRunning)
	l.do(&Command{Close: []WorkerID{"w"}})
	l.do(&Command{Term: 2, StartTerm: true})
	l.Read(func(tables *Tables) { is.True(!tables.Workers["w"].Closed) })
}

// Only jobs that ended before ForgetBeforeMS are removed.
func TestOnlyEndedJobsAreForgotten(t *testing.T) {
	is := is.New(t)
	l := newLog()
	l.submit("done", step(1))
	l.submit("open", step(1))
	l.start(TaskRef{Job: "done"}, 1)
	l.end(1, TaskRef{Job: "done"}, 1, EndDone) // at 2000
	l.do(&Command{ForgetBeforeMS: 2000})
	l.Read(func(tables *Tables) { is.Equal(len(tables.Jobs), 2) })
	l.do(&Command{ForgetBeforeMS: 2001})
	l.Read(func(tables *Tables) {
		is.Equal(len(tables.Jobs), 1)
		is.True(tables.Jobs["open"] != nil)
	})
}
