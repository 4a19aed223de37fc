package workload

import (
	"cmp"
	"maps"
	"slices"
)

// Loss is a run that was lost with its worker: the worker reported no end of it.
type Loss struct {
	_      struct{} `cbor:",toarray"`
	Worker WorkerID
	Run    RunRef
	// AgeMS is how long the run had been seen running when the worker last
	// answered; 0 when nothing shows that it began.
	AgeMS int64
	// Isolated is set when the worker was lost soon after the start of this run
	// and of no other run.
	Isolated bool
}

// Suspect is a task under which workers crashed in a row, with the counts that
// decide when its job fails.
type Suspect struct {
	_    struct{} `cbor:",toarray"`
	Task TaskRef
	// Crashes counts all these crashes, IsolatedCrashes those soon after a start
	// of the task and of no other.
	Crashes, IsolatedCrashes int
	// Retries counts the starts after lossThreshold workers were lost,
	// including workers that may still come back.
	Retries int
}

const (
	// isolatedCrashesToConfirm is the number of isolated crashes that confirm a task
	// as their cause. A single one also happens to healthy tasks.
	isolatedCrashesToConfirm = 2
	// After lossThreshold workers were lost under a task, it gets maxRetries more
	// starts. The limit applies once at least minCrashes workers are known to have
	// crashed.
	lossThreshold = 3
	maxRetries    = 2
	minCrashes    = 2
	// IsolationThreshold is the number of lost workers from which on a task is
	// started in isolation.
	IsolationThreshold = 2
	// ClearAfterMS is how long a run must last, in milliseconds, for its task to be
	// cleared of earlier crashes. A task that runs for weeks outlives many workers.
	ClearAfterMS = 20_000
	// IsolationMS is how long after its start a run may be the cause of a crash
	// of its worker, in milliseconds. Nothing else is started beside an isolated
	// suspect for that time.
	IsolationMS = 500
)

// isConfirmedCause reports whether the crashes show that the task is their cause.
func (s *Suspect) isConfirmedCause() bool { return s.IsolatedCrashes >= isolatedCrashesToConfirm }

// retriesExhausted reports whether the task may not be started again. Crashes may be
// lower than lossThreshold, as one of the lost workers may not be known to have
// ended yet.
func (s *Suspect) retriesExhausted() bool { return s.Crashes >= minCrashes && s.Retries >= maxRetries }

// LostWorkers returns how many workers were lost under a task in a row, including
// workers that may still come back.
func (t *Tables) LostWorkers(ref TaskRef) int {
	lost := t.unconfirmedLosses[ref]
	if s := t.Suspects[ref]; s != nil {
		lost += s.Crashes
	}
	return lost
}

// HasSuspects reports whether a worker was lost under any task of a live job.
func (t *Tables) HasSuspects() bool { return len(t.Suspects)+len(t.unconfirmedLosses) > 0 }

// EachSuspect calls f for every task under which workers were lost, in no
// particular order.
func (t *Tables) EachSuspect(f func(ref TaskRef, lost int)) {
	for ref, s := range t.Suspects {
		f(ref, s.Crashes+t.unconfirmedLosses[ref])
	}
	for ref, lost := range t.unconfirmedLosses {
		if t.Suspects[ref] == nil {
			f(ref, lost)
		}
	}
}

// recordLoss records a run that is lost with its worker. It counts as a crash once
// it is certain that the worker has ended.
func (t *Tables) recordLoss(loss Loss) {
	if t.Workers[loss.Worker] == nil || !t.Runs[loss.Worker][loss.Run] {
		return
	}
	t.Losses[loss.Worker] = append(t.Losses[loss.Worker], loss)
	t.unconfirmedLosses[loss.Run.Task]++
}

// dropLosses removes and returns the losses recorded for a worker. It counts no
// crash: unless the caller counts them, the worker is back or was ended on purpose.
func (t *Tables) dropLosses(id WorkerID) []Loss {
	losses := t.Losses[id]
	delete(t.Losses, id)
	for i := range losses {
		task := losses[i].Run.Task
		t.unconfirmedLosses[task]--
		if t.unconfirmedLosses[task] == 0 {
			delete(t.unconfirmedLosses, task)
		}
	}
	return losses
}

// recordCrash counts the crash of a worker for each task that was lost with it. A
// worker that was draining or closed did not crash.
func (t *Tables) recordCrash(id WorkerID, nowMS int64) {
	worker := t.Workers[id]
	losses := t.dropLosses(id)
	if worker == nil || worker.Draining || worker.Closed {
		return
	}
	for i := range losses {
		t.countCrash(&losses[i], nowMS)
	}
}

func (t *Tables) countCrash(loss *Loss, nowMS int64) {
	ref := loss.Run.Task
	job, _, task := t.Task(ref)
	if task == nil || task.Done || job.State.Final() {
		return
	}
	if loss.AgeMS >= ClearAfterMS {
		delete(t.Suspects, ref)
		return
	}
	s := t.Suspects[ref]
	if s == nil {
		s = &Suspect{Task: ref}
		t.Suspects[ref] = s
	}
	s.Crashes++
	if loss.Isolated {
		s.IsolatedCrashes++
	}
	if s.isConfirmedCause() {
		t.finish(job, JobFailed, nowMS)
	}
}

// countSuspectStart counts a start against the limit of a suspect.
func (t *Tables) countSuspectStart(ref TaskRef) {
	if t.LostWorkers(ref) < lossThreshold {
		return
	}
	if t.Suspects[ref] == nil {
		t.Suspects[ref] = &Suspect{Task: ref}
	}
	t.Suspects[ref].Retries++
}

// uncountSuspectStart reverts countSuspectStart for a run that never began. When a
// command is applied again, the run is released already and nothing is reverted.
func (t *Tables) uncountSuspectStart(run RunRef) {
	_, _, task := t.Task(run.Task)
	if task == nil || !slices.ContainsFunc(task.Runs, func(r Run) bool { return r.Attempt == run.Attempt }) {
		return
	}
	if s := t.Suspects[run.Task]; s != nil && s.Retries > 0 {
		s.Retries--
	}
}

// failIfExhausted fails a job when a suspect without further starts has no run left
// and was not cleared.
func (t *Tables) failIfExhausted(job *Job, ref TaskRef, task *Task, nowMS int64) {
	s := t.Suspects[ref]
	if s != nil && s.retriesExhausted() && len(task.Runs) == 0 && !task.Done && !job.State.Final() {
		t.finish(job, JobFailed, nowMS)
	}
}

// clearSuspects removes the suspects of a job that is final.
func (t *Tables) clearSuspects(id JobID) {
	maps.DeleteFunc(t.Suspects, func(ref TaskRef, _ *Suspect) bool { return ref.Job == id })
}

func (t *Tables) sortedSuspects() []*Suspect {
	return slices.SortedFunc(maps.Values(t.Suspects), func(a, b *Suspect) int { return a.Task.Compare(b.Task) })
}

// sortedLosses returns the losses ordered by worker; those of one worker keep their
// order.
func (t *Tables) sortedLosses() []Loss {
	var all []Loss
	for _, id := range slices.Sorted(maps.Keys(t.Losses)) {
		all = append(all, t.Losses[id]...)
	}
	return all
}

// Compare orders references by job, occurrence, step and index.
func (t TaskRef) Compare(o TaskRef) int {
	return cmp.Or(
		cmp.Compare(t.Job, o.Job), cmp.Compare(t.Occurrence, o.Occurrence),
		cmp.Compare(t.Step, o.Step), cmp.Compare(t.Index, o.Index),
	)
}
