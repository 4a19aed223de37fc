package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/text"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	"github.com/comfreyloom/comfreyloom/internal/control"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
	"github.com/comfreyloom/comfreyloom/internal/workers"
	"github.com/comfreyloom/comfreyloom/internal/workers/standin"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

var discardLogger = &log.Logger{Handler: text.New(io.Discard), Level: log.FatalLevel}

// simulation is a site in one goroutine: a control log that loses replies,
// workers that follow the protocol, and a sequence of leaders. Every step
// checks the invariants as the workers see them.
type simulation struct {
	random  *rand.Rand
	now     time.Duration
	machine *workload.Machine
	index   uint64
	term    uint64
	leader  *Dispatcher
	workers []*fakeWorker
	delayed []delayedCall
	jobs    []workload.JobID
	// done holds the tasks whose end was acknowledged, failed how often one was
	// acknowledged as failed.
	done       map[workload.TaskRef]bool
	failed     map[workload.TaskRef]int
	violations []string
	// faultPercent controls the share of calls and commits that fail.
	faultPercent int
	incarnations int
	// refuseProposals makes the log reject all commands.
	refuseProposals bool
	// crashers holds the jobs whose first task crashes each worker that starts it.
	crashers map[workload.JobID]*crasher
	// skipBudget switches the availability budget off at each leader. onStop is
	// called for each stop that arrives.
	skipBudget bool
	onStop     func(*standin.Worker, workload.RunRef)
	// stopTime is how long the workers take to stop a run, knownStopTime what the
	// leaders take it for.
	stopTime, knownStopTime time.Duration
	// lapseTime is how long the workers take to end the runs of an expired lease.
	lapseTime time.Duration
	// capacityChanges: runs may exceed a capacity that has shrunk after their
	// start.
	capacityChanges bool
	// unreadablePercent is the share of lists with a row that can't be read.
	unreadablePercent int
	// endsPerList is how many ends a worker lists at once, 0 for the protocol's number.
	endsPerList int
	// unackedDone holds the runs that ended as done and whose end may not be
	// acknowledged yet, startedAfter the attempt that started after such a run.
	unackedDone  map[workload.TaskRef][]workload.RunRef
	startedAfter map[workload.RunRef]int
	// refusePercent is the share of calls of each kind that a worker refuses and has done
	// nothing for.
	refusePercent int
	// unclearPercent is the share of calls whose reply does not say what became of them.
	unclearPercent int
	// decide returns what becomes of a call, nil to leave that to chance. decideFor is the
	// worker whose calls it decides about, nil for all.
	decide    func(callKind) fate
	decideFor *fakeWorker
	// leaves: workers drain and leave. closesListeners: from then on their addresses may
	// refuse connections while their runs go on, and accept them again.
	leaves, closesListeners bool
	// maxJobs bounds the jobs that are submitted. calmPercent is the share of the ends,
	// partitions and notices that are left out.
	maxJobs, calmPercent int
	// lateReportPercent is the share of reports that arrive seconds late.
	lateReportPercent int
	// callsOverlap: other steps happen while a call is on its way. callsUnderway is how
	// many calls are.
	callsOverlap  bool
	callsUnderway int
	// platform carries out orders for VMs, nil without any.
	platform *fakePlatform
	// reportInterval is the time between two reports of a worker, 0 for each round.
	reportInterval time.Duration
	// advisor decides which workers may run a step, nil without one.
	advisor *fakeAdvisor
	// proposing lets one goroutine at a time use the control log.
	proposing sync.Mutex
}

// callHold is the kind of a call for the lists, which is not queued.
const callHold callKind = 0

// fate is what becomes of a call: it is refused, or it is carried out later, without a
// reply unless it is refused as well. The zero fate has it carried out.
type fate struct {
	refusal workers.Refusal
	late    time.Duration
}

type delayedCall struct {
	at time.Duration
	do func()
}

func newSimulation(seed uint64) *simulation {
	sim := &simulation{
		random: rand.New(rand.NewPCG(seed, 7)), now: time.Hour, machine: workload.NewMachine(),
		done: map[workload.TaskRef]bool{}, failed: map[workload.TaskRef]int{}, faultPercent: 12, maxJobs: 60,
		crashers:    map[workload.JobID]*crasher{},
		unackedDone: map[workload.TaskRef][]workload.RunRef{}, startedAfter: map[workload.RunRef]int{},
	}
	for i := range 4 {
		sim.workers = append(sim.workers, &fakeWorker{address: fmt.Sprintf("10.0.0.%d:80", i)})
		sim.startIncarnation(sim.workers[i])
	}
	sim.apply(&workload.Command{Config: &workload.Config{
		Version: 1, Pools: []workload.Pool{{Name: "p"}},
		Queues: []workload.Queue{{ID: workload.QueueID{Host: "h", Prefix: "/q/"}, Pool: "p", MaxAttempts: 3, TimeoutMS: 1}},
	}})
	sim.elect()
	return sim
}

func (sim *simulation) apply(c *workload.Command) {
	data, err := workload.Encode(c)
	if err != nil {
		panic(err)
	}
	sim.index++
	sim.machine.Apply(sim.index, data)
}

// elect replaces the leader. Calls of the previous one may still be in flight.
func (sim *simulation) elect() {
	sim.term++
	if sim.leader != nil {
		sim.leader.endTerm()
	}
	d := New(Config{
		Self: "leader", Log: &fakeLog{sim: sim, term: sim.term}, Machine: sim.machine, Workers: fakeNet{sim},
		Lease: 5 * time.Second, LeaseMax: 6 * time.Second, StopTime: sim.knownStopTime, Now: func() time.Duration { return sim.now },
		WallMS: func() int64 { return sim.now.Milliseconds() }, Logger: discardLogger, Metrics: metrics.NewRegistry(),
	})
	d.launch = func(context.Context, *link) {}
	d.pause = func(_ context.Context, wait time.Duration) { sim.tick(wait, func(*fakeWorker) {}) }
	d.skipBudget = sim.skipBudget
	if sim.advisor != nil {
		d.config.Advisor = sim.advisor
	}
	sim.leader = d
	sim.apply(&workload.Command{Term: sim.term, StartTerm: true})
	d.beginTerm(context.Background(), sim.term, &conc.WaitGroup{})
	if sim.platform != nil {
		sim.usePlatform()
	}
}

// fakeLog is the control log as one leader sees it.
type fakeLog struct {
	sim  *simulation
	term uint64
}

func (l *fakeLog) Status() control.LogStatus {
	return control.LogStatus{Term: l.term, Leads: l.term == l.sim.term, Confirmed: l.term == l.sim.term}
}

func (l *fakeLog) Propose(_ context.Context, c *workload.Command) error {
	sim := l.sim
	sim.proposing.Lock()
	defer sim.proposing.Unlock()
	if l.term != sim.term || sim.refuseProposals || sim.chance(sim.faultPercent/4) {
		return state.ErrNotProposed
	}
	c.AtMS = sim.now.Milliseconds() // as the real log does
	sim.apply(c)
	if sim.chance(sim.faultPercent / 4) {
		return state.ErrOutcomeUnknown
	}
	return nil
}

func (sim *simulation) chance(percent int) bool { return sim.random.IntN(100) < percent }

// step performs one random action.
func (sim *simulation) step() {
	ctx := context.Background()
	kind := sim.random.IntN(14)
	if sim.callsUnderway > 0 && (kind == 7 || kind == 8) {
		return // a link requests one list at a time
	}
	switch kind {
	case 0, 1:
		sim.advance(time.Duration(sim.random.IntN(300)) * time.Millisecond)
	case 2, 3:
		sim.leader.round(ctx, sim.term)
		sim.seekAdvice(ctx)
	case 4, 5, 6:
		if l := sim.anyLink(); l != nil {
			if c, ok := l.nextCall(); ok {
				l.perform(ctx, c)
			}
		}
	case 7, 8:
		if l := sim.anyLink(); l != nil && l.mustHold() {
			l.hold(ctx)
		}
	case 9:
		sim.submit()
	case 10:
		sim.report(sim.workers[sim.random.IntN(len(sim.workers))])
	case 11, 12:
		sim.endSomeRun()
	default:
		sim.injectFault()
	}
	sim.checkInvariants()
}

// staysCalm reports whether an event is left out, so that workers keep their runs.
func (sim *simulation) staysCalm() bool { return sim.calmPercent > 0 && sim.chance(sim.calmPercent) }

// injectFault performs one of the rarer events, or none.
func (sim *simulation) injectFault() {
	f := sim.workers[sim.random.IntN(len(sim.workers))]
	switch sim.random.IntN(12) {
	case 5, 6, 7:
		if sim.leaves {
			sim.drainOrLeave(f)
		}
	case 8:
		if sim.platform != nil {
			sim.orderSomeVM()
		}
	case 9, 10, 11:
		if sim.platform != nil {
			sim.fleetRound()
		}
	case 0:
		sim.elect()
	case 1:
		sim.startIncarnation(f)
	case 2, 3:
		f.partitioned = !f.partitioned && !sim.staysCalm()
	case 4:
		if len(sim.jobs) > 0 {
			sim.apply(&workload.Command{AtMS: sim.now.Milliseconds(), Cancel: []workload.JobID{sim.jobs[sim.random.IntN(len(sim.jobs))]}})
		}
	}
}

// advance advances the clock and performs the calls that were delayed until
// then.
func (sim *simulation) advance(d time.Duration) {
	until := sim.now + d
	for {
		next := slices.IndexFunc(sim.delayed, func(c delayedCall) bool { return c.at <= until })
		if next < 0 {
			break
		}
		c := sim.delayed[next]
		sim.delayed = slices.Delete(sim.delayed, next, next+1)
		sim.now = max(sim.now, c.at)
		sim.expire()
		c.do()
		sim.checkInvariants()
	}
	sim.now = until
	sim.endLeaving()
	sim.restartCrashed()
	sim.expire()
}

func (sim *simulation) expire() {
	for _, f := range sim.workers {
		f.worker.Expire(sim.now)
	}
}

func (sim *simulation) anyLink() *link {
	var all []workload.WorkerID
	for id := range sim.leader.links {
		all = append(all, id)
	}
	if len(all) == 0 {
		return nil
	}
	slices.Sort(all)
	return sim.leader.links[all[sim.random.IntN(len(all))]]
}

func (sim *simulation) submit() {
	if len(sim.jobs) > sim.maxJobs {
		return
	}
	id := workload.JobID(fmt.Sprintf("job-%d", len(sim.jobs)))
	sim.jobs = append(sim.jobs, id)
	step := func() workload.StepSpec {
		return workload.StepSpec{
			Count: 1 + sim.random.IntN(4), Need: workload.Resources{CPU: int64(100 + sim.random.IntN(400)), MemoryMB: 10},
			Speculative: sim.chance(10), Checkpoints: sim.chance(30), MaxPerWorker: sim.random.IntN(3),
		}
	}
	spec := workload.JobSpec{Steps: []workload.StepSpec{step(), step()}}
	spec.Steps[1].DependsOn = []int{0}
	sim.apply(&workload.Command{AtMS: sim.now.Milliseconds(), Submit: []workload.Submit{
		{ID: id, Queue: workload.QueueID{Host: "h", Prefix: "/q/"}, Spec: spec}}})
}

// endSomeRun ends a run at a worker.
func (sim *simulation) endSomeRun() {
	f := sim.workers[sim.random.IntN(len(sim.workers))]
	running := f.worker.Running()
	if len(running) == 0 || sim.staysCalm() {
		return
	}
	slices.SortFunc(running, func(a, b workload.RunRef) int { return compareText(a.Task.String(), b.Task.String()) })
	kind := workload.EndDone
	if sim.chance(5) {
		kind = workload.EndFailed
	}
	f.worker.End(running[sim.random.IntN(len(running))], kind)
}

func compareText(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// report sends a worker's report to the leader.
func (sim *simulation) report(f *fakeWorker) {
	if f.restartAt > 0 {
		return
	}
	f.sequence++
	r := control.Report{
		Worker:   workload.Worker{ID: f.worker.ID, Pool: "p", Address: f.address, Capacity: f.worker.Capacity, Draining: f.draining},
		Sequence: f.sequence, ClockMS: f.worker.ClockMS(sim.now),
	}
	if sim.lateReportPercent > 0 && sim.chance(sim.lateReportPercent) {
		at := sim.now + time.Duration(100+sim.random.IntN(8000))*time.Millisecond
		sim.delayed = append(sim.delayed, delayedCall{at: at, do: func() { sim.sendReport(r) }})
		return
	}
	sim.sendReport(r)
}

func (sim *simulation) sendReport(r control.Report) {
	err := sim.leader.Report(context.Background(), r)
	if err != nil && !errors.Is(err, state.ErrNotProposed) && !errors.Is(err, state.ErrOutcomeUnknown) {
		panic(err)
	}
}

func TestVerdictOfWrappedCallError(t *testing.T) {
	err := &workers.CallError{Verdict: model.NotRun, Err: io.EOF}
	if !workers.NotSent(fmt.Errorf("wrapped: %w", err)) || workers.NotSent(io.EOF) {
		t.Fatal("the verdict of a wrapped error is lost")
	}
}
