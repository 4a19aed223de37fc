package standin

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/platform"
)

// Platform is the simulated platform. It is safe for concurrent use and implements
// platform.Client without network faults; see Unreliable for those.
type Platform struct {
	mu         sync.Mutex
	config     Config
	random     *rand.Rand
	now        model.Instant
	events     eventQueue
	eventCount uint64

	revision uint64
	term     uint64
	vms      map[model.VMID]*vm
	// vmOrder is the order of addition. It makes lists and random choices
	// deterministic.
	vmOrder []model.VMID
	removed []removal
	tasks   map[model.TaskID]*task
	// changes lists the changes of tasks by revision. An entry is stale if the
	// task has a later revision.
	changes  []change
	answers  map[model.CommandID]platform.Answer
	progress map[model.JobID]time.Duration
	faulty   map[model.WorkerID]bool
	hooks    []func()
	tally    Tally
}

type vm struct {
	VM
	health      model.VMHealth
	healthSince model.Instant
	boot        int
	drained     bool
	fence       platform.Fence
	revision    uint64
	// disconnected VMs can't reach the platform, but their tasks keep running.
	disconnected bool
	tasks        map[model.TaskID]*task
	// taskFence is the highest ownership generation among accepted starts.
	taskFence uint64
	// epoch invalidates scheduled events from before the last failure or reboot.
	epoch int
}

type removal struct {
	vm       model.VMID
	revision uint64
}

type change struct {
	revision uint64
	task     model.TaskID
}

type task struct {
	id       model.TaskID
	spec     platform.TaskSpec
	vm       *vm
	lease    model.Instant
	ended    platform.TaskEnd
	endedAt  model.Instant
	revision uint64
	// hidden withholds the end from reports: while the VM is disconnected, or until
	// the lease expires if the VM failed.
	hidden    bool
	throttled bool
	stopping  bool
	work      Work
	// remaining is the remaining work at the instant remainingAt.
	remaining   time.Duration
	remainingAt model.Instant
	start       model.Instant
	// epoch invalidates ends that were scheduled earlier.
	epoch int
}

// New returns a platform on which all VMs have been up since instant 0.
func New(config Config) *Platform {
	p := &Platform{
		config:   config.withDefaults(),
		random:   rand.New(rand.NewPCG(config.Seed, config.Seed^0x9e3779b97f4a7c15)),
		now:      config.Start,
		vms:      map[model.VMID]*vm{},
		tasks:    map[model.TaskID]*task{},
		answers:  map[model.CommandID]platform.Answer{},
		progress: map[model.JobID]time.Duration{},
		faulty:   map[model.WorkerID]bool{},
		tally:    newTally(),
	}
	for _, v := range config.VMs {
		p.addVM(v)
	}
	return p
}

// Run advances the platform in real time until ctx is cancelled.
func (p *Platform) Run(ctx context.Context) {
	ticker := time.NewTicker(advanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.Advance(p.config.Now())
		}
	}
}

// Now returns the platform's time.
func (p *Platform) Now() model.Instant {
	defer p.lock()()
	return p.now
}

// Advance runs all events that are due up to an instant.
func (p *Platform) Advance(until model.Instant) {
	defer p.lock()()
	p.advance(until)
}

// lock locks the platform and advances it if it runs in real time. The returned
// function unlocks it and then calls the queued hooks.
func (p *Platform) lock() func() {
	p.mu.Lock()
	if p.config.Now != nil {
		p.advance(p.config.Now())
	}
	return func() {
		hooks := p.hooks
		p.hooks = nil
		p.mu.Unlock()
		for _, hook := range hooks {
			hook()
		}
	}
}

func (p *Platform) advance(until model.Instant) {
	for len(p.events) > 0 && p.events[0].at <= until {
		e := heap.Pop(&p.events).(event)
		p.now = max(p.now, e.at)
		e.run()
	}
	p.now = max(p.now, until)
}

func (p *Platform) after(delay time.Duration, run func()) { p.at(p.now.Add(delay), run) }

func (p *Platform) at(when model.Instant, run func()) {
	p.eventCount++
	heap.Push(&p.events, event{at: when, sequence: p.eventCount, run: run})
}

func (p *Platform) nextRevision() uint64 {
	p.revision++
	return p.revision
}

func (p *Platform) addVM(spec VM) {
	if _, exists := p.vms[spec.ID]; !exists {
		p.vmOrder = append(p.vmOrder, spec.ID)
	}
	p.vms[spec.ID] = &vm{VM: spec, health: model.VMUp, boot: 1, revision: p.nextRevision(), tasks: map[model.TaskID]*task{}}
}

func (v *vm) bootID() string { return fmt.Sprintf("%s-boot-%d", v.ID, v.boot) }

func (p *Platform) setHealth(v *vm, health model.VMHealth) {
	v.health = health
	v.healthSince = p.now
	v.revision = p.nextRevision()
}

type event struct {
	at       model.Instant
	sequence uint64
	run      func()
}

// eventQueue is a heap by instant, then by order of insertion.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}
