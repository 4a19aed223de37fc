package slots

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/admission"
	"github.com/comfreyloom/comfreyloom/internal/balance"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/slots/lending"
)

// tickLength is the duration of one Instant in the simulation. The cores count
// in milliseconds; the finer resolution is needed for delays of half a
// millisecond.
const tickLength = 100 * time.Microsecond

// scaled converts a real duration to the duration that the cores see.
func scaled(d time.Duration) time.Duration { return d * time.Millisecond / tickLength }

// sim runs the cores of all entry VMs in virtual time. Instances queue requests
// in order of arrival once all their slots are in use.
type sim struct {
	random        *rand.Rand
	now           model.Instant
	events        eventHeap
	eventCount    int
	nodes         []model.NodeID
	vms           []*simVM
	instances     map[model.InstanceID]*simInstance
	upstreams     []model.Upstream
	service       model.Service
	takeOverAfter time.Duration
	options       lending.Options
	// cut reports whether messages from a to b are lost; lossPercent is the
	// percentage of other messages that are lost.
	cut         func(a, b int) bool
	lossPercent int
	delay       func() time.Duration
	limit       int
	messages    int
	bytes       int
	countBytes  bool
	overruns    int
	results     int
	arrivals    int
	onStart     func(r *simRequest)
	// alive marks the entry VMs that accept requests; coreDelay returns how long a
	// grant or a release takes between the entry VM of the request and the one of
	// the core.
	alive     []bool
	coreDelay func() time.Duration
	// orphaned is called with the release of a request whose entry VM was lost.
	orphaned func(release func())
	// all lists the requests so far, if a test checks each of them.
	all        []*simRequest
	queueRules admission.Rules
}

type simVM struct {
	index  int
	core   *core
	alive  bool
	starts uint64
	// draining is true while the entry VM stops gracefully.
	draining bool
	inUse    map[*simRequest]bool
	queued   map[*simRequest]*ticket
	pending  map[model.NodeID]func(lending.Reply, bool)
	tickAt   model.Instant
}

type simInstance struct {
	running int
	backlog []*simRequest
}

type simRequest struct {
	vm       int
	origin   int
	priority model.Priority
	arrived  model.Instant
	deadline model.Instant
	work     time.Duration
	use      balance.Use
	results  int
	started  bool
	// resume starts a request that an instance has queued.
	resume func()
	// abort ends a request whose connection was closed; cutOff is true if its
	// entry VM was lost before it could grant or refuse a slot.
	abort  func()
	cutOff bool
}

type event struct {
	at    model.Instant
	order int
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].order < h[j].order)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// after runs f after d of simulated time, as the cores see it.
func (s *sim) after(d time.Duration, f func()) {
	s.eventCount++
	heap.Push(&s.events, event{s.now.Add(d), s.eventCount, f})
}

func (s *sim) runUntil(end model.Instant) {
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

func newSim(seed uint64, vms, instances, slots int) *sim {
	s := &sim{
		random:    rand.New(rand.NewPCG(seed, 1)),
		instances: map[model.InstanceID]*simInstance{},
		cut:       func(a, b int) bool { return false },
		limit:     slots,
		now:       scaledInstant(time.Minute),
		service: model.Service{
			ID: "drafts", Slots: slots, Connections: 64, QueueLimit: 500, Timeout: scaled(4 * time.Second),
		},
		takeOverAfter: scaled(DefaultTakeOverAfter),
		options:       scaledOptions(),
	}
	s.delay = func() time.Duration {
		return scaled(500*time.Microsecond) + time.Duration(s.random.IntN(3))*time.Millisecond
	}
	for n := range vms {
		s.nodes = append(s.nodes, model.NodeID(fmt.Sprintf("n%d", n)))
		s.alive = append(s.alive, true)
	}
	for n := range instances {
		id := model.InstanceID(fmt.Sprintf("i%d", n))
		s.instances[id] = &simInstance{}
		s.upstreams = append(s.upstreams, model.Upstream{Service: "drafts", Instance: id, Incarnation: 1, Slots: slots, Connections: 64})
	}
	return s
}

func scaledInstant(d time.Duration) model.Instant { return model.Instant(0).Add(scaled(d)) }

func scaledOptions() lending.Options {
	o := lending.Options{}.WithDefaults()
	for _, d := range []*time.Duration{&o.Lease, &o.HoldReply, &o.KeepIdle, &o.Spacing, &o.BorrowAfter, &o.LocalMargin, &o.UrgentLocalMargin} {
		*d = scaled(*d)
	}
	return o
}

// start adds the entry VMs; share returns the nodes among which an entry VM's
// shares are computed.
func (s *sim) start(lend bool, share func(n int) []model.NodeID) {
	for n := range s.nodes {
		vm := &simVM{index: n, inUse: map[*simRequest]bool{}}
		s.vms = append(s.vms, vm)
		s.boot(vm, lend, share(n))
	}
}

func (s *sim) boot(vm *simVM, lend bool, nodes []model.NodeID) {
	vm.starts++
	vm.alive = true
	vm.draining = false
	vm.queued = map[*simRequest]*ticket{}
	vm.pending = map[model.NodeID]func(lending.Reply, bool){}
	vm.core = newCore(coreConfig{
		self: s.nodes[vm.index], nodes: nodes, incarnation: vm.starts, lending: s.options,
		admission: admission.Options{AgeingAfter: scaled(time.Second), Rules: s.queueRules},
		random:    s.random.IntN, lendingEnabled: lend, takeOverAfter: s.takeOverAfter,
	}, s.service, s.now)
	s.step(vm, func() { vm.core.update(s.service, s.upstreams, s.now) })
	s.tickLater(vm, vm.starts)
}

func (s *sim) tickLater(vm *simVM, starts uint64) {
	s.after(scaled(tickInterval), func() {
		if vm.alive && vm.starts == starts {
			s.tick(vm)
			s.tickLater(vm, starts)
		}
	})
}

func (s *sim) tick(vm *simVM) {
	var live []model.NodeID
	for n, other := range s.vms {
		if other.alive && !s.cut(vm.index, n) && !s.cut(n, vm.index) {
			live = append(live, s.nodes[n])
		}
	}
	s.step(vm, func() {
		vm.core.members(live, true, s.now)
		vm.core.handleTick(s.now)
	})
}

// step runs f on a core and carries out its effects.
func (s *sim) step(vm *simVM, f func()) {
	f()
	out := vm.core.takeEffects()
	for _, a := range out.replies {
		if reply := vm.pending[a.Node]; reply != nil {
			delete(vm.pending, a.Node)
			reply(a.Reply, true)
		}
	}
	for _, call := range out.calls {
		s.call(vm, call)
	}
	if vm.core.needsTick && vm.tickAt <= s.now {
		vm.tickAt = s.now.Add(vm.core.config.lending.Spacing)
		starts := vm.starts
		s.after(vm.core.config.lending.Spacing, func() {
			if vm.alive && vm.starts == starts {
				s.tick(vm)
			}
		})
	}
}

// call delivers a request and its reply; either may be lost.
func (s *sim) call(from *simVM, c peerCall) {
	to := s.vms[s.indexOf(c.to)]
	s.addRequestBytes(c)
	starts := from.starts
	finished := false
	finish := func(r lending.Reply, ok bool) {
		if finished || !from.alive || from.starts != starts {
			return
		}
		finished = true
		s.step(from, func() {
			switch {
			case !ok:
				from.core.requestFailed(c.to, c.request.Number, s.now)
			case len(c.request.Handover) > 0:
			case c.request.Recover:
				from.core.receiveRecovery(c.to, r, s.now)
			default:
				from.core.receiveReply(c.to, c.request.Number, r, s.now)
			}
		})
	}
	sendReply := func(r lending.Reply, ok bool) { s.deliver(from.index, to.index, func() { finish(r, ok) }) }
	s.after(scaled(callTimeout)+holdTime(c), func() { finish(lending.Reply{}, false) })
	s.deliver(from.index, to.index, func() {
		if !to.alive {
			return
		}
		if c.request.Recover {
			sendReply(to.core.recoveryReply(c.request), true)
			return
		}
		if len(c.request.Handover) > 0 {
			s.step(to, func() { to.core.receiveHandover(c.request, s.now) })
			return
		}
		if to.core.lender.CheckRequest(c.request) != nil {
			sendReply(lending.Reply{}, false)
			return
		}
		if previous := to.pending[c.request.Borrower]; previous != nil {
			previous(lending.Reply{}, false)
		}
		to.pending[c.request.Borrower] = sendReply
		s.step(to, func() { _ = to.core.receiveRequest(c.request, s.now) })
	})
}

// addRequestBytes counts the bytes of a request if countBytes is set.
func (s *sim) addRequestBytes(c peerCall) {
	if s.countBytes {
		data, _ := lending.EncodeRequest(c.request)
		s.bytes += len(data)
	}
}

func holdTime(c peerCall) time.Duration { return time.Duration(c.request.WaitMS) * time.Millisecond }

// deliver runs f after the delay of a message, unless the message is lost. It
// may run f a second time, as for a duplicated message.
func (s *sim) deliver(from, to int, f func()) {
	s.messages++
	if s.cut(from, to) || s.random.IntN(100) < s.lossPercent {
		return
	}
	s.after(s.delay(), f)
	if s.lossPercent > 0 && s.random.IntN(100) < s.lossPercent {
		s.after(s.delay()+scaled(time.Duration(s.random.IntN(2000))*time.Millisecond), f)
	}
}

func (s *sim) indexOf(n model.NodeID) int {
	for i, known := range s.nodes {
		if known == n {
			return i
		}
	}
	panic("unknown node " + n)
}
