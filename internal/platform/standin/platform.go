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

// Platform is the stand-in. It is safe for concurrent use and implements
// platform.Client without any fault on the way; see Unreliable for those.
type Platform struct {
	mu     sync.Mutex
	config Config
	random *rand.Rand
	now    model.Instant
	events eventQueue
	order  uint64

	revision uint64
	term     uint64
	vms      map[model.VMID]*vm
	// vmOrder keeps lists and random choices deterministic.
	vmOrder []model.VMID
	removed []removal
	tasks   map[model.TaskID]*task
	// changes lists task changes by revision; an entry is stale when the
	// task has a later revision.
	changes  []change
	answers  map[model.CommandID]platform.Answer
	progress map[model.JobID]time.Duration
	bad      map[model.WorkerID]bool
	hooks    []func()
	tally    Tally
}

type vm struct {
	VM
	health   model.VMHealth
	since    model.Instant
	boot     int
	drained  bool
	fence    platform.Fence
	revision uint64
	// silent: cut off from the platform, while its tasks go on.
	silent bool
	tasks  map[model.TaskID]*task
	// taskFence is the highest ownership generation of an accepted start.
	taskFence uint64
	// epoch voids events of an earlier failure or reboot.
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
	ended    platform.Ended
	endedAt  model.Instant
	revision uint64
	// hidden holds back the report while the VM is cut off or dead.
	hidden    bool
	throttled bool
	stopping  bool
	work      Work
	// left is the work left at the instant from.
	left  time.Duration
	from  model.Instant
	start model.Instant
	// epoch voids the event of an earlier end.
	epoch int
}

// New returns a platform on which all VMs are up since long ago.
func New(config Config) *Platform {
	p := &Platform{
		config:   config.withDefaults(),
		random:   rand.New(rand.NewPCG(config.Seed, config.Seed^0x9e3779b97f4a7c15)),
		now:      config.Start,
		vms:      map[model.VMID]*vm{},
		tasks:    map[model.TaskID]*task{},
		answers:  map[model.CommandID]platform.Answer{},
		progress: map[model.JobID]time.Duration{},
		bad:      map[model.WorkerID]bool{},
		tally:    newTally(),
	}
	for _, v := range config.VMs {
		p.addVM(v)
	}
	return p
}

// Run advances in real time until ctx ends.
func (p *Platform) Run(ctx context.Context) {
	ticker := time.NewTicker(advanceEvery)
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

// Now is the platform's time.
func (p *Platform) Now() model.Instant {
	defer p.enter()()
	return p.now
}

// Advance carries out everything that is due until an instant.
func (p *Platform) Advance(until model.Instant) {
	defer p.enter()()
	p.advance(until)
}

// enter locks the platform, brings real time up to date, and returns what
// unlocks it and then calls the hooks that are due.
func (p *Platform) enter() func() {
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
	p.order++
	heap.Push(&p.events, event{at: when, order: p.order, run: run})
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
	v.since = p.now
	v.revision = p.nextRevision()
}

type event struct {
	at    model.Instant
	order uint64
	run   func()
}

// eventQueue is a heap by instant, then by order of insertion.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
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
