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

// defaultSeeds is how many seeds a normal run simulates. COMFREYLOOM_SEEDS
// overrides it.
const defaultSeeds = 40

func seeds(t *testing.T) int {
	t.Helper()
	if n, err := strconv.Atoi(os.Getenv("COMFREYLOOM_SEEDS")); err == nil {
		return n
	}
	return defaultSeeds
}

// fakeWorker is an address with a sequence of incarnations.
type fakeWorker struct {
	address  string
	worker   *standin.Worker
	sequence uint64
	// reportDue is when a simulated site has it report next.
	reportDue time.Duration
	// partitioned: nothing from the leader arrives, and the worker continues to
	// run.
	partitioned bool
	// restartAt is when the next incarnation starts after a crash, 0 while one is
	// up.
	restartAt time.Duration
	// draining: it reports that it will end. leavesBy is when it ends without an
	// acknowledgement of its notice, 0 before it sends one.
	draining bool
	leavesBy time.Duration
	// listenerClosed: its address refuses connections, and it continues to run.
	listenerClosed bool
}

// startIncarnation replaces the incarnation at an address.
func (sim *simulation) startIncarnation(f *fakeWorker) {
	if f.worker != nil {
		f.worker.Terminated = true
	}
	sim.incarnations++
	id := workload.WorkerID(fmt.Sprintf("i-%d", sim.incarnations))
	f.worker = standin.New(id, f.address, workload.Resources{CPU: 2000, MemoryMB: 1000}, 0.98+0.02*sim.random.Float64(), sim.now)
	f.sequence, f.restartAt, f.reportDue = 0, 0, 0
	f.draining, f.leavesBy, f.listenerClosed = false, 0, false
	f.worker.StopTime, f.worker.LapseTime = sim.stopTime, sim.lapseTime
	if sim.endsPerList > 0 {
		f.worker.EndsPerList = sim.endsPerList
	}
	if sim.advisor != nil {
		f.worker.CheckTicket = sim.advisor.checkTicket(id)
	}
	f.worker.OnEnd = func(e workload.End) {
		if e.Kind == workload.EndDone {
			sim.unackedDone[e.Run.Task] = append(sim.unackedDone[e.Run.Task], e.Run)
		}
	}
	f.worker.OnAck = func(e workload.End, held bool) {
		switch e.Kind {
		case workload.EndDone:
			sim.done[e.Run.Task] = sim.done[e.Run.Task] || held
			if held && sim.startedAfter[e.Run] != 0 {
				sim.reportViolation("%s was done with attempt %d before attempt %d started", e.Run.Task, e.Run.Attempt, sim.startedAfter[e.Run])
			}
		case workload.EndFailed:
			sim.failed[e.Run.Task]++
		}
	}
}

// fakeNet carries calls to the workers, and loses or delays some.
type fakeNet struct{ sim *simulation }

var _ workers.Client = fakeNet{}

// deliver finds the incarnation that a call reaches. It returns an error if the
// call gets no reply.
func (n fakeNet) deliver(kind callKind, to workers.Target, deliverLate func(*standin.Worker)) (*standin.Worker, workers.Refusal, error) {
	for _, f := range n.sim.workers {
		if f.address != to.Address {
			continue
		}
		if n.sim.decide != nil && (n.sim.decideFor == nil || n.sim.decideFor == f) {
			fate := n.sim.decide(kind)
			if fate.late > 0 {
				n.delay(f, to, fate.late, deliverLate)
			}
			switch {
			case fate.refusal != workers.Accepted:
				return nil, fate.refusal, nil
			case fate.late > 0:
				return nil, 0, &workers.CallError{Verdict: model.MayHaveRun, Err: io.EOF}
			}
		}
		if (f.restartAt > 0 || f.listenerClosed) && !f.partitioned {
			return nil, 0, &workers.CallError{Verdict: model.NotRun, NotListening: true, Err: io.EOF}
		}
		if f.partitioned || n.sim.chance(n.sim.faultPercent/3) {
			return nil, 0, &workers.CallError{Verdict: model.MayHaveRun, Err: io.EOF}
		}
		if n.sim.chance(n.sim.faultPercent / 3) {
			n.delay(f, to, time.Duration(2000+n.sim.random.IntN(10000))*time.Millisecond, deliverLate)
			return nil, 0, &workers.CallError{Verdict: model.MayHaveRun, Err: io.EOF}
		}
		if n.sim.chance(n.sim.faultPercent / 10) {
			return nil, 0, &workers.CallError{Verdict: model.NotRun, Err: io.EOF}
		}
		if f.worker.ID != to.ID {
			return nil, workers.RefusedIncarnation, nil
		}
		if n.sim.refusePercent > 0 && n.sim.chance(n.sim.refusePercent) {
			return nil, workers.RefusedBusy, nil
		}
		if n.sim.unclearPercent > 0 && n.sim.chance(n.sim.unclearPercent) {
			return nil, n.replyUnclearly(f, to, deliverLate), nil
		}
		return f.worker, workers.Accepted, nil
	}
	return nil, 0, &workers.CallError{Verdict: model.NotRun, Err: io.EOF}
}

// replyUnclearly carries a call out at once, later, both or not at all.
func (n fakeNet) replyUnclearly(f *fakeWorker, to workers.Target, carryOut func(*standin.Worker)) workers.Refusal {
	if n.sim.chance(40) {
		carryOut(f.worker)
	}
	if n.sim.chance(40) {
		n.delay(f, to, time.Duration(2000+n.sim.random.IntN(10000))*time.Millisecond, carryOut)
	}
	return workers.OutcomeUnclear
}

// delay has the incarnation that a call is addressed to carry it out later.
func (n fakeNet) delay(f *fakeWorker, to workers.Target, by time.Duration, deliverLate func(*standin.Worker)) {
	n.sim.delayed = append(n.sim.delayed, delayedCall{at: n.sim.now + by, do: func() {
		if f.worker.ID == to.ID {
			deliverLate(f.worker)
		}
	}})
}

// lostReply returns an error if the call was carried out and its reply is
// lost.
func (n fakeNet) lostReply() error {
	if n.sim.chance(n.sim.faultPercent / 3) {
		return &workers.CallError{Verdict: model.MayHaveRun, Err: io.EOF}
	}
	return nil
}

func (n fakeNet) Start(_ context.Context, to workers.Target, o workers.StartOrder) (workers.Reply, error) {
	start := func(worker *standin.Worker) workers.Reply {
		before := len(worker.Running())
		a := worker.Start(o, n.sim.now)
		if len(worker.Running()) > before {
			n.sim.checkStart(worker, o.Run)
			n.sim.crashOnStart(worker, o.Run)
		}
		return a
	}
	n.sim.checkStartOrder(to)
	n.sim.makeOtherSteps()
	defer n.sim.makeOtherSteps()
	worker, refusal, err := n.deliver(callStart, to, func(worker *standin.Worker) { start(worker) })
	if err != nil || refusal != workers.Accepted {
		return workers.Reply{Refusal: refusal}, err
	}
	reply := start(worker)
	if worker.Terminated && n.sim.chance(50) {
		return workers.Reply{}, &workers.CallError{Verdict: model.MayHaveRun, Err: io.EOF}
	}
	return reply, n.lostReply()
}

func (n fakeNet) Stop(_ context.Context, to workers.Target, run workload.RunRef, fence uint64) (workers.Reply, error) {
	n.sim.makeOtherSteps()
	defer n.sim.makeOtherSteps()
	worker, refusal, err := n.deliver(callStop, to, func(worker *standin.Worker) { worker.Stop(run, fence, n.sim.now) })
	if err != nil || refusal != workers.Accepted {
		return workers.Reply{Refusal: refusal}, err
	}
	if n.sim.onStop != nil && slices.Contains(worker.Running(), run) && !worker.IsStopping(run) {
		n.sim.onStop(worker, run)
	}
	return worker.Stop(run, fence, n.sim.now), n.lostReply()
}

func (n fakeNet) Hold(_ context.Context, to workers.Target, o workers.HoldOrder) (workers.List, error) {
	sentAt := n.sim.now
	n.sim.makeOtherSteps()
	worker, refusal, err := n.deliver(callHold, to, func(worker *standin.Worker) { worker.Hold(o, n.sim.now) })
	if err != nil || refusal != workers.Accepted {
		return workers.List{Reply: workers.Reply{Refusal: refusal}}, err
	}
	list := worker.Hold(o, n.sim.now)
	if n.sim.unreadablePercent > 0 && n.sim.chance(n.sim.unreadablePercent) {
		n.sim.corruptRow(&list)
	}
	n.sim.makeOtherSteps()
	if n.sim.now-sentAt > time.Duration(o.WaitMS)*time.Millisecond+holdSlack {
		return workers.List{}, &workers.CallError{Verdict: model.MayHaveRun, Err: context.DeadlineExceeded}
	}
	return list, n.lostReply()
}

// corruptRow makes one row of a list unreadable, in the form in which the
// adapter passes it on.
func (sim *simulation) corruptRow(list *workers.List) {
	list.UnreadableRows = 1
	row := sim.random.IntN(len(list.Running) + len(list.Ends) + 1)
	switch {
	case row < len(list.Running):
		list.Running = slices.Delete(list.Running, row, row+1)
	case row < len(list.Running)+len(list.Ends):
		gap := row - len(list.Running)
		list.Ends = slices.Delete(list.Ends, gap, gap+1)
		list.EndsAfterGap = len(list.Ends) - gap
	}
}

func (n fakeNet) Pace(_ context.Context, to workers.Target, _ workload.RunRef, _ int, _ uint64) (workers.Reply, error) {
	_, refusal, err := n.deliver(callPace, to, func(*standin.Worker) {})
	return workers.Reply{Refusal: refusal}, err
}

// checkStartOrder checks a start when it is sent.
func (sim *simulation) checkStartOrder(to workers.Target) {
	sim.machine.Read(func(t *workload.Tables) {
		if w := t.Workers[to.ID]; w != nil && w.Draining {
			sim.reportViolation("a start is sent to %s, which drains", to.ID)
		}
	})
}

// checkStart checks a start when its worker carries it out.
func (sim *simulation) checkStart(worker *standin.Worker, run workload.RunRef) {
	if sim.done[run.Task] {
		sim.reportViolation("%s started on %s after its end was acknowledged", run.Task, worker.ID)
	}
	sim.machine.Read(func(t *workload.Tables) {
		job := t.Jobs[run.Task.Job]
		if job.Spec.Steps == nil {
			return // the job has ended and its runs don't count any more
		}
		for _, done := range sim.unackedDone[run.Task] {
			if !job.Spec.Steps[run.Task.Step].Speculative {
				sim.startedAfter[done] = run.Attempt
			}
		}
		if sim.failed[run.Task] >= 3 {
			sim.reportViolation("%s started after 3 failures", run.Task)
		}
		for _, before := range job.Spec.Steps[run.Task.Step].DependsOn {
			for i := range job.Spec.Steps[before].Count {
				ref := run.Task
				ref.Step, ref.Index = before, i
				if o := job.Find(0); o != nil && !o.Steps[before].Tasks[i].Done {
					sim.reportViolation("%s started before %s was done", run.Task, ref)
				}
			}
		}
	})
}

// checkInvariants checks what runs now.
func (sim *simulation) checkInvariants() {
	count := map[workload.TaskRef]int{}
	for _, f := range sim.workers {
		used := workload.Resources{}
		for _, r := range f.worker.Running() {
			count[r.Task]++
			sim.machine.Read(func(t *workload.Tables) {
				if job := t.Jobs[r.Task.Job]; job.Spec.Steps != nil {
					used = used.Plus(job.Spec.Steps[r.Task.Step].Charge())
				}
			})
		}
		if !sim.capacityChanges && !used.Fits(f.worker.Capacity) {
			sim.reportViolation("%s holds %+v", f.worker.ID, used)
		}
	}
	for task, n := range count {
		sim.machine.Read(func(t *workload.Tables) {
			job := t.Jobs[task.Job]
			copies := job.Spec.Steps != nil && job.Spec.Steps[task.Step].Speculative
			if n > 1 && !copies {
				sim.reportViolation("%s runs %d times", task, n)
			}
		})
	}
}

func (sim *simulation) reportViolation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf(format, args...))
}
