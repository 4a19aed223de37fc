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
	// step is the time step: about one round of the leader.
	step = 20 * time.Millisecond
	// fleetSteps is the number of steps between two decisions about VMs, 60 ms.
	fleetSteps = 3
	// startDelay is the time from a decision to the start of a task: a commit and
	// a call.
	startDelay = 25 * time.Millisecond
	// moveTime is how long a VM is unavailable for a move, including its
	// announcement; maintenanceTime is that for maintenance.
	moveTime        = 1600 * time.Millisecond
	maintenanceTime = 2100 * time.Millisecond
	// ordersPerSecond is the rate limit of the platform.
	ordersPerSecond = 57.0
	// drainTime is how long jobs may still finish after the last submission.
	drainTime = 15 * time.Second
	// startTime is when a run starts on the monotonic clock. It isn't 0, because
	// some fields use 0 for never.
	startTime = time.Hour
)

const standbyPool = "standby"

var vmCapacity = workload.Resources{CPU: 32_000, MemoryMB: 65_536}

// runEnd is the future end of a run.
type runEnd struct {
	at     time.Duration
	worker workload.WorkerID
	run    workload.RunRef
}

type runEndHeap []runEnd

func (e runEndHeap) Len() int           { return len(e) }
func (e runEndHeap) Less(i, j int) bool { return e[i].at < e[j].at }
func (e runEndHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *runEndHeap) Push(x any)        { *e = append(*e, x.(runEnd)) }
func (e *runEndHeap) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// submittedJob is a job with its pool and the times of its submission and end.
type submittedJob struct {
	drawnJob
	pool int
	at   time.Duration
	done time.Duration
}

// vmState is the state of a VM at the platform, with what the leader tracks of it.
type vmState struct {
	capacity.VM
	// backAt is when the VM is up again, 0 while it is up.
	backAt        time.Duration
	order         capacity.InFlightOrder
	orderInFlight bool
	idleSince     time.Duration
	endCount      uint64
}

// simulation is a run of a pattern.
type simulation struct {
	pattern   Pattern
	random    *rand.Rand
	now       time.Duration
	machine   *workload.Machine
	index     uint64
	peakPools []int
	vms       []*vmState
	byWorker  map[workload.WorkerID]*vmState
	closing   map[workload.VMID]capacity.Closing
	demand    *capacity.Demand
	running   runEndHeap
	jobs      map[workload.JobID]*submittedJob
	// all holds the jobs in the order of submission, so that sums are reproducible.
	all          []*submittedJob
	open         map[workload.JobID]bool
	workerStarts int
	tokens       float64
	result       Result
	maxWorth     []float64
	earnedWorth  []float64
}

// Rules disables single mechanisms, to measure the value of each.
type Rules = capacity.Rules

// Result holds the measures of a run.
type Result struct {
	// InTime is the worth earned as a share of the maximum.
	InTime float64
	// WorstShare is the share earned in the two worst intervals of two seconds.
	WorstShare float64
	// VMSeconds sums up the time of VMs in pools while jobs arrive or run; Moves
	// counts the orders to move a VM.
	VMSeconds float64
	Moves     int
	// WaveTime is the time from the start of the wave to the end of its last
	// maintenance; 0 without one.
	WaveTime time.Duration
	// Jobs counts the submitted jobs.
	Jobs int
}

// Simulate simulates a pattern with a seed.
func Simulate(p Pattern, seed uint64, rules Rules) Result {
	sim := newSimulation(p, seed, rules)
	for sim.now < startTime+p.Length || len(sim.open) > 0 && sim.now < startTime+p.Length+drainTime {
		sim.advance()
	}
	return sim.summarize()
}

func newSimulation(p Pattern, seed uint64, rules Rules) *simulation {
	random := rand.New(rand.NewPCG(seed, 17))
	sim := &simulation{
		pattern: p, random: random, now: startTime, machine: workload.NewMachine(),
		byWorker: map[workload.WorkerID]*vmState{}, closing: map[workload.VMID]capacity.Closing{},
		jobs: map[workload.JobID]*submittedJob{}, open: map[workload.JobID]bool{},
	}
	sim.peakPools = p.drawPeaks(random)
	intervals := int((p.Length+2*time.Second-1)/(2*time.Second)) + 1
	sim.maxWorth, sim.earnedWorth = make([]float64, intervals), make([]float64, intervals)
	config := &workload.Config{Version: 1, Pools: []workload.Pool{{Name: standbyPool, Standby: true}}}
	for i := range p.Kinds {
		config.Pools = append(config.Pools, workload.Pool{Name: poolName(i)})
		config.Queues = append(config.Queues, workload.Queue{
			ID: queueOf(i), Pool: poolName(i), TimeoutMS: 1, MaxAttempts: 2,
			TargetFactor: targetFactor, TargetLatencyMS: targetLatency.Milliseconds(),
		})
	}
	sim.apply(&workload.Command{Config: config})
	for i := range p.VMs + p.Standby {
		vm := &vmState{VM: capacity.VM{ID: workload.VMID("m-" + strconv.Itoa(i)), Pool: standbyPool, State: capacity.Down, Capacity: vmCapacity}}
		sim.vms = append(sim.vms, vm)
		if i < p.VMs {
			vm.Pool = poolName(i % len(p.Kinds))
			sim.startWorker(vm)
		}
	}
	sim.machine.Read(func(t *workload.Tables) { sim.demand = capacity.NewDemand(t, sim.now, sim.nowMS()) })
	sim.demand.Rules = rules
	return sim
}

func poolName(i int) string { return "pool-" + strconv.Itoa(i) }

func queueOf(i int) workload.QueueID {
	return workload.QueueID{Host: "h", Prefix: "/" + poolName(i) + "/"}
}

func (sim *simulation) nowMS() int64 { return sim.now.Milliseconds() }

func (sim *simulation) apply(c *workload.Command) {
	c.AtMS = sim.nowMS()
	data, err := workload.Encode(c)
	if err != nil {
		panic(err) // a bug of the model
	}
	sim.index++
	sim.machine.Apply(sim.index, data)
}

// startWorker announces a new worker on a VM.
func (sim *simulation) startWorker(vm *vmState) {
	sim.workerStarts++
	vm.State, vm.Worker, vm.backAt, vm.endCount, vm.idleSince = capacity.Up, workload.WorkerID(fmt.Sprintf("i-%d", sim.workerStarts)), 0, 0, sim.now
	sim.byWorker[vm.Worker] = vm
	sim.apply(&workload.Command{Workers: []workload.Worker{{ID: vm.Worker, Pool: vm.Pool, Address: string(vm.ID), Capacity: vm.Capacity}}})
}

func (sim *simulation) advance() {
	sim.now += step
	sim.submitJobs()
	sim.endRuns()
	sim.returnVMs()
	sim.schedule()
	if int(sim.now/step)%fleetSteps == 0 {
		sim.decideFleet()
	}
	for _, vm := range sim.vms {
		if vm.Pool != standbyPool {
			sim.result.VMSeconds += step.Seconds()
		}
	}
}

// submitJobs submits the jobs of this step.
func (sim *simulation) submitJobs() {
	elapsed := sim.now - startTime
	if elapsed == sim.pattern.WaveStart && sim.pattern.WaveVMs > 0 {
		sim.startWave()
	}
	if elapsed > sim.pattern.Length {
		return
	}
	peakPool := sim.peakPools[min(int(elapsed/max(sim.pattern.PeakPeriod, step)), len(sim.peakPools)-1)]
	for pool := range sim.pattern.Kinds {
		for expected := sim.pattern.rate(pool, peakPool) * step.Seconds(); sim.random.Float64() < expected; expected-- {
			sim.submit(pool)
		}
	}
}

func (sim *simulation) submit(pool int) {
	kind := &sim.pattern.Kinds[pool]
	job := &submittedJob{drawnJob: kind.draw(sim.random), pool: pool, at: sim.now}
	id := workload.JobID(fmt.Sprintf("%016x", len(sim.jobs)))
	sim.jobs[id], sim.open[id] = job, true
	sim.all = append(sim.all, job)
	sim.apply(&workload.Command{Submit: []workload.Submit{{ID: id, Queue: queueOf(pool), Spec: job.spec}}})
}

// endRuns submits the ends of finished runs and records which jobs are done.
func (sim *simulation) endRuns() {
	var ends []workload.End
	for len(sim.running) > 0 && sim.running[0].at <= sim.now {
		e := heap.Pop(&sim.running).(runEnd)
		vm := sim.byWorker[e.worker]
		vm.endCount++
		ends = append(ends, workload.End{Worker: e.worker, Number: vm.endCount, Run: e.run, Kind: workload.EndDone})
	}
	if len(ends) == 0 {
		return
	}
	sim.apply(&workload.Command{Ends: ends})
	sim.machine.Read(func(t *workload.Tables) {
		for _, e := range ends {
			id := e.Run.Task.Job
			if sim.open[id] && t.Jobs[id].State.Final() {
				delete(sim.open, id)
				sim.jobs[id].done = sim.now
			}
		}
		for _, vm := range sim.vms {
			if len(t.Runs[vm.Worker]) > 0 {
				vm.idleSince = 0
			} else if vm.idleSince == 0 {
				vm.idleSince = sim.now
			}
		}
	})
}

func (sim *simulation) schedule() {
	var plan schedule.Plan
	sim.machine.Read(func(t *workload.Tables) {
		workers := make(map[workload.WorkerID]schedule.Worker, len(t.Workers))
		for id := range t.Workers {
			_, closing := sim.closing[sim.byWorker[id].ID]
			workers[id] = schedule.Worker{Usable: true, Closing: closing}
		}
		plan = schedule.Make(schedule.Input{
			Tables: t, Workers: workers, NowMS: sim.nowMS(), MaxStarts: 1000,
			Advice: func(schedule.StepRef) *schedule.Advice { return nil },
		})
	})
	if len(plan.Starts) == 0 {
		return
	}
	sim.apply(&workload.Command{Starts: plan.Starts})
	for _, s := range plan.Starts {
		sim.byWorker[s.Worker].idleSince = 0
		task := s.Run.Task
		heap.Push(&sim.running, runEnd{at: sim.now + startDelay + sim.jobs[task.Job].runs[task.Step][task.Index], worker: s.Worker, run: s.Run})
	}
}

// summarize computes the result of the run.
func (sim *simulation) summarize() Result {
	r := sim.result
	r.Jobs = len(sim.jobs)
	var maxWorth, earned float64
	for _, job := range sim.all {
		worth, objective, took := sim.pattern.Kinds[job.pool].Worth, job.objective(), job.done-job.at
		interval := int((job.at - startTime) / (2 * time.Second))
		value := 0.0
		switch {
		case job.done == 0 || took > maxLateFactor*objective:
		case took <= objective:
			value = worth
		default:
			value = worth * lateShare
		}
		maxWorth, earned = maxWorth+worth, earned+value
		sim.maxWorth[interval] += worth
		sim.earnedWorth[interval] += value
	}
	r.InTime = earned / maxWorth
	r.WorstShare = worstShare(sim.maxWorth, sim.earnedWorth)
	return r
}

// worstShare returns the mean share earned in the two worst intervals.
func worstShare(maximum, earned []float64) float64 {
	first, second := 1.0, 1.0
	for i := range maximum {
		if maximum[i] == 0 {
			continue
		}
		share := earned[i] / maximum[i]
		switch {
		case share < first:
			first, second = share, first
		case share < second:
			second = share
		}
	}
	return (first + second) / 2
}
