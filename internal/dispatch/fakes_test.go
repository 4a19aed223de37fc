package dispatch

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/workers"
	"github.com/comfreyloom/comfreyloom/internal/workers/standin"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// defaultSeeds is how many seeds a normal run plays; COMFREYLOOM_SEEDS sets more.
const defaultSeeds = 40

func seeds(t *testing.T) int {
	t.Helper()
	if n, err := strconv.Atoi(os.Getenv("COMFREYLOOM_SEEDS")); err == nil {
		return n
	}
	return defaultSeeds
}

// fakeWorker is an address with one incarnation after the other.
type fakeWorker struct {
	address  string
	worker   *standin.Worker
	sequence uint64
	// cut: nothing from the leader arrives; the worker runs on.
	cut bool
	// down is when the next incarnation begins after a crash; 0 while one is up.
	down time.Duration
}

// bear replaces the incarnation at an address.
func (w *world) bear(f *fakeWorker) {
	if f.worker != nil {
		f.worker.Dead = true
	}
	w.births++
	id := workload.WorkerID(fmt.Sprintf("i-%d", w.births))
	f.worker = standin.New(id, f.address, workload.Resources{CPU: 2000, MemoryMB: 1000}, 0.98+0.02*w.random.Float64(), w.now)
	f.sequence, f.down = 0, 0
	f.worker.Acked = func(e workload.End, held bool) {
		switch e.Kind {
		case workload.EndDone:
			w.done[e.Run.Task] = w.done[e.Run.Task] || held
		case workload.EndFailed:
			w.failed[e.Run.Task]++
		}
	}
}

// fakeNet carries calls to the workers, and loses or holds up some.
type fakeNet struct{ w *world }

var _ workers.Calls = fakeNet{}

// deliver finds the incarnation that a call reaches; false for no answer.
func (n fakeNet) deliver(to workers.Target, late func(*standin.Worker)) (*standin.Worker, workers.Refusal, error) {
	for _, f := range n.w.workers {
		if f.address != to.Address {
			continue
		}
		if f.down > 0 {
			return nil, 0, &workers.CallError{Verdict: model.NotRun, Err: io.EOF}
		}
		if f.cut || n.w.chance(n.w.trouble/3) {
			return nil, 0, &workers.CallError{Verdict: model.MayHaveRun, Err: io.EOF}
		}
		if n.w.chance(n.w.trouble / 3) {
			at := n.w.now + time.Duration(2000+n.w.random.IntN(10000))*time.Millisecond
			n.w.late = append(n.w.late, lateCall{at: at, do: func() {
				if f.worker.ID == to.ID {
					late(f.worker)
				}
			}})
			return nil, 0, &workers.CallError{Verdict: model.MayHaveRun, Err: io.EOF}
		}
		if n.w.chance(n.w.trouble / 10) {
			return nil, 0, &workers.CallError{Verdict: model.NotRun, Err: io.EOF}
		}
		if f.worker.ID != to.ID {
			return nil, workers.RefusedIncarnation, nil
		}
		return f.worker, workers.Accepted, nil
	}
	return nil, 0, &workers.CallError{Verdict: model.NotRun, Err: io.EOF}
}

// lostAnswer says that a call was carried out and its answer got lost.
func (n fakeNet) lostAnswer() error {
	if n.w.chance(n.w.trouble / 3) {
		return &workers.CallError{Verdict: model.MayHaveRun, Err: io.EOF}
	}
	return nil
}

func (n fakeNet) Start(_ context.Context, to workers.Target, o workers.StartOrder) (workers.Answer, error) {
	start := func(worker *standin.Worker) workers.Answer {
		before := len(worker.Running())
		a := worker.Start(o, n.w.now)
		if len(worker.Running()) > before {
			n.w.started(worker, o.Run)
			n.w.crashUnder(worker, o.Run)
		}
		return a
	}
	worker, refusal, err := n.deliver(to, func(worker *standin.Worker) { start(worker) })
	if err != nil || refusal != workers.Accepted {
		return workers.Answer{Refusal: refusal}, err
	}
	answer := start(worker)
	if worker.Dead && n.w.chance(50) {
		return workers.Answer{}, &workers.CallError{Verdict: model.MayHaveRun, Err: io.EOF}
	}
	return answer, n.lostAnswer()
}

func (n fakeNet) Stop(_ context.Context, to workers.Target, run workload.RunRef, fence uint64) (workers.Answer, error) {
	worker, refusal, err := n.deliver(to, func(worker *standin.Worker) { worker.Stop(run, fence, n.w.now) })
	if err != nil || refusal != workers.Accepted {
		return workers.Answer{Refusal: refusal}, err
	}
	if n.w.stopping != nil && slices.Contains(worker.Running(), run) {
		n.w.stopping(worker, run)
	}
	return worker.Stop(run, fence, n.w.now), n.lostAnswer()
}

func (n fakeNet) Hold(_ context.Context, to workers.Target, o workers.HoldOrder) (workers.List, error) {
	worker, refusal, err := n.deliver(to, func(worker *standin.Worker) { worker.Hold(o, n.w.now) })
	if err != nil || refusal != workers.Accepted {
		return workers.List{Answer: workers.Answer{Refusal: refusal}}, err
	}
	list := worker.Hold(o, n.w.now)
	if n.w.garble > 0 && n.w.chance(n.w.garble) {
		n.w.garbleOne(&list)
	}
	return list, n.lostAnswer()
}

// garbleOne makes one row of a list unreadable, as the adapter passes it on.
func (w *world) garbleOne(list *workers.List) {
	list.Unread = 1
	row := w.random.IntN(len(list.Running) + len(list.Ends) + 1)
	switch {
	case row < len(list.Running):
		list.Running = slices.Delete(list.Running, row, row+1)
	case row < len(list.Running)+len(list.Ends):
		gap := row - len(list.Running)
		list.Ends = slices.Delete(list.Ends, gap, gap+1)
		list.EndsAfterGap = len(list.Ends) - gap
	}
}

func (n fakeNet) Pace(context.Context, workers.Target, workload.RunRef, int, uint64) (workers.Answer, error) {
	return workers.Answer{}, nil
}

// started checks a start as its worker carries it out.
func (w *world) started(worker *standin.Worker, run workload.RunRef) {
	if w.done[run.Task] {
		w.breaks("%s started on %s after its end was acknowledged", run.Task, worker.ID)
	}
	w.machine.Read(func(t *workload.Tables) {
		job := t.Jobs[run.Task.Job]
		if job.Spec.Steps == nil {
			return // the job is over and nothing of it counts any more
		}
		if w.failed[run.Task] >= 3 {
			w.breaks("%s started after 3 failures", run.Task)
		}
		for _, before := range job.Spec.Steps[run.Task.Step].DependsOn {
			for i := range job.Spec.Steps[before].Count {
				ref := run.Task
				ref.Step, ref.Index = before, i
				if o := job.Find(0); o != nil && !o.Steps[before].Tasks[i].Done {
					w.breaks("%s started before %s was done", run.Task, ref)
				}
			}
		}
	})
}

// check looks at what runs now.
func (w *world) check() {
	count := map[workload.TaskRef]int{}
	for _, f := range w.workers {
		used := workload.Resources{}
		for _, r := range f.worker.Running() {
			count[r.Task]++
			w.machine.Read(func(t *workload.Tables) {
				if job := t.Jobs[r.Task.Job]; job.Spec.Steps != nil {
					used = used.Plus(job.Spec.Steps[r.Task.Step].Charge())
				}
			})
		}
		if !w.roomChanges && !used.Fits(f.worker.Capacity) {
			w.breaks("%s holds %+v", f.worker.ID, used)
		}
	}
	for task, n := range count {
		w.machine.Read(func(t *workload.Tables) {
			job := t.Jobs[task.Job]
			copies := job.Spec.Steps != nil && job.Spec.Steps[task.Step].Speculative
			if n > 1 && !copies {
				w.breaks("%s runs %d times", task, n)
			}
		})
	}
}

func (w *world) breaks(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf(format, args...))
}
