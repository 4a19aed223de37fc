package workload

import (
	"cmp"
	"maps"
	"slices"
)

// Loss is a run that ended with its worker, of which no end was listed.
type Loss struct {
	_      struct{} `cbor:",toarray"`
	Worker WorkerID
	Run    RunRef
	// AgeMS is for how long the run was known to be there when the worker last
	// answered, 0 when nothing shows that it began.
	AgeMS int64
	// Alone: the worker was lost soon after the start of this run, and of no other.
	Alone bool
}

// Suspect counts the workers that crashed under a task, one after the other.
type Suspect struct {
	_    struct{} `cbor:",toarray"`
	Task TaskRef
	// Crashes counts them all, Alone those under which the task ran alone.
	Crashes, Alone int
	// Later counts the starts since lostMost workers were lost, those that may
	// still come back included.
	Later int
}

const (
	// aloneMost is the number of crashes with the task alone that show that it is
	// the cause. One happens to sound tasks.
	aloneMost = 2
	// laterMost bounds the starts after lostMost lost workers, if crashesLeast of
	// them are known to be over.
	lostMost     = 3
	laterMost    = 2
	crashesLeast = 2
	// IsolateFrom is the number of workers lost under a task from which on it
	// is started alone on a worker.
	IsolateFrom = 2
	// ProvenMS is for how long a run must last, in milliseconds, for the crashes
	// before it to count no more: a task of weeks outlives many workers.
	ProvenMS = 20_000
	// TrialMS is for how long after its start a run may be what crashes its
	// worker, in milliseconds. Nothing else is started beside a suspect meanwhile.
	TrialMS = 500
)

// isGuilty says whether the crashes show that the task is their cause.
func (s *Suspect) isGuilty() bool { return s.Alone >= aloneMost }

// isSpent says whether no further start may follow. Of the workers lost before
// its last starts one may not be known to be over yet.
func (s *Suspect) isSpent() bool { return s.Crashes >= crashesLeast && s.Later >= laterMost }

// Suspicion returns how many workers were lost under a task in a row, those that
// may still come back included.
func (t *Tables) Suspicion(ref TaskRef) int {
	lost := t.missing[ref]
	if s := t.Suspects[ref]; s != nil {
		lost += s.Crashes
	}
	return lost
}

// HasSuspicions says whether a worker was lost under any live task.
func (t *Tables) HasSuspicions() bool { return len(t.Suspects)+len(t.missing) > 0 }

// EachSuspicion calls f for every task under which workers were lost, in no order.
func (t *Tables) EachSuspicion(f func(ref TaskRef, lost int)) {
	for ref, s := range t.Suspects {
		f(ref, s.Crashes+t.missing[ref])
	}
	for ref, m := range t.missing {
		if t.Suspects[ref] == nil {
			f(ref, m)
		}
	}
}

// lose notes a run that leaves the tables with its worker. It counts as a crash
// once it is certain that the worker is over.
func (t *Tables) lose(loss Loss) {
	if t.Workers[loss.Worker] == nil || !t.Runs[loss.Worker][loss.Run] {
		return
	}
	t.Losses[loss.Worker] = append(t.Losses[loss.Worker], loss)
	t.missing[loss.Run.Task]++
}

// dropLosses forgets what was lost with a worker: it is back, or it was ended in
// good order.
func (t *Tables) dropLosses(id WorkerID) []Loss {
	losses := t.Losses[id]
	delete(t.Losses, id)
	for i := range losses {
		task := losses[i].Run.Task
		t.missing[task]--
		if t.missing[task] == 0 {
			delete(t.missing, task)
		}
	}
	return losses
}

// crashed counts the crash of a worker for each task that was lost with it. One
// that had said that it would leave did not crash.
func (t *Tables) crashed(id WorkerID, nowMS int64) {
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
	if loss.AgeMS >= ProvenMS {
		delete(t.Suspects, ref)
		return
	}
	s := t.Suspects[ref]
	if s == nil {
		s = &Suspect{Task: ref}
		t.Suspects[ref] = s
	}
	s.Crashes++
	if loss.Alone {
		s.Alone++
	}
	if s.isGuilty() {
		t.finish(job, JobFailed, nowMS)
	}
}

// countStart counts a start against what a suspect may still have.
func (t *Tables) countStart(ref TaskRef) {
	if t.Suspicion(ref) < lostMost {
		return
	}
	if t.Suspects[ref] == nil {
		t.Suspects[ref] = &Suspect{Task: ref}
	}
	t.Suspects[ref].Later++
}

// uncountStart takes back what countStart counted for a run that never began. A
// command that is applied again finds the run released.
func (t *Tables) uncountStart(run RunRef) {
	_, _, task := t.Task(run.Task)
	if task == nil || !slices.ContainsFunc(task.Runs, func(r Run) bool { return r.Attempt == run.Attempt }) {
		return
	}
	if s := t.Suspects[run.Task]; s != nil && s.Later > 0 {
		s.Later--
	}
}

// giveUpSpent fails a job when a run of a suspect that may have no further start
// has ended without showing that the task is sound.
func (t *Tables) giveUpSpent(job *Job, ref TaskRef, task *Task, nowMS int64) {
	s := t.Suspects[ref]
	if s != nil && s.isSpent() && len(task.Runs) == 0 && !task.Done && !job.State.Final() {
		t.finish(job, JobFailed, nowMS)
	}
}

// clearSuspects forgets the suspects of a job that is over.
func (t *Tables) clearSuspects(id JobID) {
	maps.DeleteFunc(t.Suspects, func(ref TaskRef, _ *Suspect) bool { return ref.Job == id })
}

func (t *Tables) sortedSuspects() []*Suspect {
	return slices.SortedFunc(maps.Values(t.Suspects), func(a, b *Suspect) int { return a.Task.Compare(b.Task) })
}

// sortedLosses returns the losses by worker; those of one stay in their order.
func (t *Tables) sortedLosses() []Loss {
	var all []Loss
	for _, id := range slices.Sorted(maps.Keys(t.Losses)) {
		all = append(all, t.Losses[id]...)
	}
	return all
}

// Compare orders references.
func (t TaskRef) Compare(o TaskRef) int {
	return cmp.Or(
		cmp.Compare(t.Job, o.Job), cmp.Compare(t.Occurrence, o.Occurrence),
		cmp.Compare(t.Step, o.Step), cmp.Compare(t.Index, o.Index),
	)
}
