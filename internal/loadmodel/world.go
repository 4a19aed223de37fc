package loadmodel

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/capacity"
	"github.com/comfreyloom/comfreyloom/internal/schedule"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

const (
	// step is how far time passes at once: about a round of the leader.
	step = 20 * time.Millisecond
	// fleetSteps is how many steps lie between two decisions about VMs, 60 ms.
	fleetSteps = 3
	// orderDelay is from a decision to the start of a task: a commit and a call.
	orderDelay = 25 * time.Millisecond
	// moveTime is how long a VM is away for a move, with its announcement;
	// maintenanceTime for maintenance.
	moveTime        = 1600 * time.Millisecond
	maintenanceTime = 2100 * time.Millisecond
	// ordersPerSecond is what the platform takes.
	ordersPerSecond = 57.0
	// settle is how long jobs may still end after the last one came.
	settle = 15 * time.Second
	// begin is when a run starts on the steady clock; 0 means never in places.
	begin = time.Hour
)

const standbyPool = "standby"

var vmRoom = workload.Resources{CPU: 32_000, MemoryMB: 65_536}

// ending is a run that will be done at a time.
type ending struct {
	at     time.Duration
	worker workload.WorkerID
	run    workload.RunRef
}

type endings []ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at < e[j].at }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(ending)) }
func (e *endings) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// arrival is a job on its way through the model.
type arrival struct {
	drawn
	pool int
	at   time.Duration
	done time.Duration
}

// vmState is a VM as the platform sees it, with what the leader remembers.
type vmState struct {
	capacity.VM
	// backAt is when it is up again, 0 while it is.
	backAt    time.Duration
	flight    capacity.InFlightOrder
	flying    bool
	idleSince time.Duration
	ends      uint64
}

// world is a run of a pattern.
type world struct {
	pattern  Pattern
	random   *rand.Rand
	now      time.Duration
	machine  *workload.Machine
	index    uint64
	turnsOf  []int
	vms      []*vmState
	byWorker map[workload.WorkerID]*vmState
	closing  map[workload.MachineID]capacity.Closing
	demand   *capacity.Demand
	running  endings
	jobs     map[workload.JobID]*arrival
	// all holds the same in the order in which they came, so that sums repeat.
	all    []*arrival
	open   map[workload.JobID]bool
	births int
	tokens float64
	result Result
	budget []float64
	earned []float64
}

// Rules switches single mechanisms off, to see what each is worth.
type Rules = capacity.Rules

// Result is what a run came to.
type Result struct {
	// InTime is the worth earned as a share of what could be earned.
	InTime float64
	// Worst is the same over the two worst spans of two seconds.
	Worst float64
	// VMSeconds are those of VMs in pools while jobs arrive or run, Moves the
	// orders for VMs.
	VMSeconds float64
	Moves     int
	// WaveTime is from the start of the wave to its last maintenance; 0 for none.
	WaveTime time.Duration
	// Jobs counts those that came.
	Jobs int
}

// Play runs a pattern under a seed.
func Play(p Pattern, seed uint64, rules Rules) Result {
	w := newWorld(p, seed, rules)
	for w.now < begin+p.Length || len(w.open) > 0 && w.now < begin+p.Length+settle {
		w.tick()
	}
	return w.sum()
}

func newWorld(p Pattern, seed uint64, rules Rules) *world {
	random := rand.New(rand.NewPCG(seed, 17))
	w := &world{
		pattern: p, random: random, now: begin, machine: workload.NewMachine(),
		byWorker: map[workload.WorkerID]*vmState{}, closing: map[workload.MachineID]capacity.Closing{},
		jobs: map[workload.JobID]*arrival{}, open: map[workload.JobID]bool{},
	}
	w.turnsOf = p.turns(random)
	spans := int((p.Length+2*time.Second-1)/(2*time.Second)) + 1
	w.budget, w.earned = make([]float64, spans), make([]float64, spans)
	config := &workload.Config{Version: 1, Pools: []workload.Pool{{Name: standbyPool, Standby: true}}}
	for i := range p.Kinds {
		config.Pools = append(config.Pools, workload.Pool{Name: poolName(i)})
		config.Queues = append(config.Queues, workload.Queue{
			ID: queueOf(i), Pool: poolName(i), TimeoutMS: 1, MaxAttempts: 2,
			TargetFactor: targetFactor, TargetLatencyMS: targetLatency.Milliseconds(),
		})
	}
	w.apply(&workload.Command{Config: config})
	for i := range p.VMs + p.Standby {
		vm := &vmState{VM: capacity.VM{Machine: workload.MachineID("m-" + strconv.Itoa(i)), Pool: standbyPool, State: capacity.Down, Capacity: vmRoom}}
		w.vms = append(w.vms, vm)
		if i < p.VMs {
			vm.Pool = poolName(i % len(p.Kinds))
			w.bear(vm)
		}
	}
	w.machine.Read(func(t *workload.Tables) { w.demand = capacity.NewDemand(t, w.now, w.nowMS()) })
	w.demand.Rules = rules
	return w
}

func poolName(i int) string { return "pool-" + strconv.Itoa(i) }

func queueOf(i int) workload.QueueID {
	return workload.QueueID{Host: "h", Prefix: "/" + poolName(i) + "/"}
}

func (w *world) nowMS() int64 { return w.now.Milliseconds() }

func (w *world) apply(c *workload.Command) {
	c.AtMS = w.nowMS()
	data, err := workload.Encode(c)
	if err != nil {
		panic(err) // a fault of the model
	}
	w.index++
	w.machine.Apply(w.index, data)
}

// bear announces a worker on a VM.
func (w *world) bear(vm *vmState) {
	w.births++
	vm.State, vm.Worker, vm.backAt, vm.ends, vm.idleSince = capacity.Up, workload.WorkerID(fmt.Sprintf("i-%d", w.births)), 0, 0, w.now
	w.byWorker[vm.Worker] = vm
	w.apply(&workload.Command{Workers: []workload.Worker{{ID: vm.Worker, Pool: vm.Pool, Address: string(vm.Machine), Capacity: vm.Capacity}}})
}

func (w *world) tick() {
	w.now += step
	w.arrive()
	w.finish()
	w.returnVMs()
	w.schedule()
	if int(w.now/step)%fleetSteps == 0 {
		w.decideFleet()
	}
	for _, vm := range w.vms {
		if vm.Pool != standbyPool {
			w.result.VMSeconds += step.Seconds()
		}
	}
}

// arrive hands in the jobs of this step.
func (w *world) arrive() {
	since := w.now - begin
	if since == w.pattern.WaveAt && w.pattern.Wave > 0 {
		w.startWave()
	}
	if since > w.pattern.Length {
		return
	}
	turnOf := w.turnsOf[min(int(since/max(w.pattern.Turn, step)), len(w.turnsOf)-1)]
	for pool := range w.pattern.Kinds {
		for expected := w.pattern.rate(pool, turnOf) * step.Seconds(); w.random.Float64() < expected; expected-- {
			w.submit(pool)
		}
	}
}

func (w *world) submit(pool int) {
	kind := &w.pattern.Kinds[pool]
	a := &arrival{drawn: kind.draw(w.random), pool: pool, at: w.now}
	id := workload.JobID(fmt.Sprintf("%016x", len(w.jobs)))
	w.jobs[id], w.open[id] = a, true
	w.all = append(w.all, a)
	w.apply(&workload.Command{Submit: []workload.Submit{{ID: id, Queue: queueOf(pool), Spec: a.spec}}})
}

// finish takes note of the runs that are done.
func (w *world) finish() {
	var ends []workload.End
	for len(w.running) > 0 && w.running[0].at <= w.now {
		e := heap.Pop(&w.running).(ending)
		vm := w.byWorker[e.worker]
		vm.ends++
		ends = append(ends, workload.End{Worker: e.worker, Number: vm.ends, Run: e.run, Kind: workload.EndDone})
	}
	if len(ends) == 0 {
		return
	}
	w.apply(&workload.Command{Ends: ends})
	w.machine.Read(func(t *workload.Tables) {
		for _, e := range ends {
			id := e.Run.Task.Job
			if w.open[id] && t.Jobs[id].State.Final() {
				delete(w.open, id)
				w.jobs[id].done = w.now
			}
		}
		for _, vm := range w.vms {
			if len(t.Runs[vm.Worker]) > 0 {
				vm.idleSince = 0
			} else if vm.idleSince == 0 {
				vm.idleSince = w.now
			}
		}
	})
}

func (w *world) schedule() {
	var plan schedule.Plan
	w.machine.Read(func(t *workload.Tables) {
		soft := make(map[workload.WorkerID]schedule.Worker, len(t.Workers))
		for id := range t.Workers {
			_, closing := w.closing[w.byWorker[id].Machine]
			soft[id] = schedule.Worker{Usable: true, Closing: closing}
		}
		plan = schedule.Make(schedule.Input{
			Tables: t, Workers: soft, NowMS: w.nowMS(), MaxStarts: 1000,
			Advice: func(schedule.StepRef) *schedule.Advice { return nil },
		})
	})
	if len(plan.Starts) == 0 {
		return
	}
	w.apply(&workload.Command{Starts: plan.Starts})
	for _, s := range plan.Starts {
		w.byWorker[s.Worker].idleSince = 0
		task := s.Run.Task
		heap.Push(&w.running, ending{at: w.now + orderDelay + w.jobs[task.Job].runs[task.Step][task.Index], worker: s.Worker, run: s.Run})
	}
}

// sum closes the account.
func (w *world) sum() Result {
	r := w.result
	r.Jobs = len(w.jobs)
	var owed, earned float64
	for _, a := range w.all {
		worth, objective, took := w.pattern.Kinds[a.pool].Worth, a.objective(), a.done-a.at
		span := int((a.at - begin) / (2 * time.Second))
		got := 0.0
		switch {
		case a.done == 0 || took > lateTimes*objective:
		case took <= objective:
			got = worth
		default:
			got = worth * lateShare
		}
		owed, earned = owed+worth, earned+got
		w.budget[span] += worth
		w.earned[span] += got
	}
	r.InTime = earned / owed
	r.Worst = worst(w.budget, w.earned)
	return r
}

// worst returns the share earned in the two worst spans together.
func worst(owed, earned []float64) float64 {
	first, second := 1.0, 1.0
	for i := range owed {
		if owed[i] == 0 {
			continue
		}
		share := earned[i] / owed[i]
		switch {
		case share < first:
			first, second = share, first
		case share < second:
			second = share
		}
	}
	return (first + second) / 2
}
