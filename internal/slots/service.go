package slots

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/comfreyloom/comfreyloom/internal/admission"
	"github.com/comfreyloom/comfreyloom/internal/balance"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/slots/lending"
)

// serviceState holds the core of one service with its lock and the calls of
// borrowers that wait for a reply. It makes the core's calls to other entry VMs.
type serviceState struct {
	dispatcher *Dispatcher
	id         model.ServiceID
	// dropped is true if the manifest no longer contains the service.
	dropped atomic.Bool

	mu       sync.Mutex
	core     *core
	revision uint64
	pending  map[model.NodeID]pendingCall
	// loggedStatus is the status at which changes were last logged.
	loggedStatus status
}

// pendingCall is a borrower's call that waits for its reply.
type pendingCall struct {
	incarnation uint64
	number      uint64
	reply       chan lending.Reply
}

// acquireResult is a slot or the reason why there is none.
type acquireResult struct {
	use     balance.Use
	refusal *admission.Refusal
}

func newServiceState(d *Dispatcher, service model.Service) *serviceState {
	c := d.config
	k := &serviceState{dispatcher: d, id: service.ID, pending: map[model.NodeID]pendingCall{}}
	now := c.Now()
	k.core = newCore(coreConfig{
		self: c.Self, zone: c.Zone, nodes: c.Nodes, incarnation: c.Incarnation,
		lending: c.Lending, admission: c.Admission, balance: c.Balance, random: c.Random,
		lendingEnabled: c.Peer != nil && len(c.Nodes) > 1, takeOverAfter: c.TakeOverAfter,
	}, service, now)
	k.core.started = d.started
	k.core.members(c.Members(), c.Confirmed(), now)
	k.load(now)
	return k
}

// load applies the announced instances.
func (k *serviceState) load(now model.Instant) {
	registry := k.dispatcher.config.Registry
	k.revision = registry.Revision()
	k.core.update(k.core.service, registry.Serving(k.id), now)
}

// step runs f on the core and carries out the core's effects.
func (k *serviceState) step(f func(now model.Instant)) {
	out, again, idle := k.stepLocked(f)
	if !idle {
		k.dispatcher.wake()
	}
	for _, s := range out.calls {
		k.callPeer(s)
	}
	if again {
		k.dispatcher.tickSoon()
	}
}

// stepLocked runs f on the core under the lock. The clock is read under the lock
// too: if it were read before, a request could pass an earlier time to the core
// than one that took the lock first, and ages would be negative. The lock is
// released even after a panic: otherwise every later request of the service
// would block forever.
func (k *serviceState) stepLocked(f func(now model.Instant)) (out effects, again, idle bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.dispatcher.config.Now()
	if k.dispatcher.config.Registry.Revision() != k.revision {
		k.load(now)
	}
	f(now)
	out = k.core.takeEffects()
	k.deliver(out.replies)
	return out, k.core.needsTick, k.core.idle()
}

// deliver passes replies to the calls that wait for them.
func (k *serviceState) deliver(replies []lending.DueReply) {
	for _, a := range replies {
		call, ok := k.pending[a.Node]
		if ok && call.incarnation == a.Incarnation && call.number == a.Number {
			call.reply <- a.Reply
			delete(k.pending, a.Node)
		}
	}
}

// acquire grants or refuses a slot at once, or waits in the queue.
func (k *serviceState) acquire(ctx context.Context, request SlotRequest) (*Grant, error) {
	if grant := k.tryAcquire(request); grant != nil {
		return grant, nil
	}
	results := make(chan acquireResult, 1)
	w := &waiter{request: request, respond: func(u balance.Use, r *admission.Refusal) { results <- acquireResult{u, r} }}
	var result acquireResult
	var t *ticket
	k.step(func(now model.Instant) { result.use, t, result.refusal = k.core.acquire(w, now) })
	if t != nil {
		k.dispatcher.counters.queued.Inc(1)
		select {
		case result = <-results:
		case <-ctx.Done():
			return nil, k.abandon(t, results, ctx.Err())
		}
	}
	if result.refusal != nil {
		k.dispatcher.counters.refuse(t != nil)
		return nil, &Rejection{Reason: result.refusal.Reason, RetryAfter: result.refusal.RetryAfter}
	}
	return k.grant(request, result.use), nil
}

// tryAcquire is the fast path of a request that doesn't have to wait.
func (k *serviceState) tryAcquire(request SlotRequest) *Grant {
	use, ok := k.tryGrant(request)
	if !ok {
		return nil
	}
	return k.grant(request, use)
}

// tryGrant takes a free slot, unless the registry has changed and the core must
// be updated first.
func (k *serviceState) tryGrant(request SlotRequest) (balance.Use, bool) {
	config := &k.dispatcher.config
	k.mu.Lock()
	defer k.mu.Unlock()
	if config.Registry.Revision() != k.revision {
		return balance.Use{}, false
	}
	return k.core.tryGrant(request, config.Now())
}

// abandon removes a request whose context has ended from the queue. A slot that
// was granted at the same moment is released.
func (k *serviceState) abandon(t *ticket, results <-chan acquireResult, cause error) error {
	k.dispatcher.counters.abandoned.Inc(1)
	wasQueued := false
	k.step(func(model.Instant) { wasQueued = k.core.cancel(t) })
	if wasQueued {
		return cause
	}
	if result := <-results; result.refusal == nil {
		k.release(result.use, Abandoned)
	}
	return cause
}

// grant wraps a slot in use. Only the first release has an effect. The lock is
// not held here, so the instance's own record must not be read: an announcement
// may change it at the same time.
func (k *serviceState) grant(request SlotRequest, use balance.Use) *Grant {
	k.dispatcher.counters.granted.Inc(1)
	var released atomic.Bool
	return NewGrant(use.Upstream, func(o Outcome) {
		if released.Swap(true) {
			k.dispatcher.counters.releasedTwice.Inc(1)
			return
		}
		k.release(use, o)
		k.dispatcher.leaveTeam(request.Team)
	})
}

// release returns a slot.
func (k *serviceState) release(use balance.Use, o Outcome) {
	k.dispatcher.counters.outcome(o)
	k.step(func(now model.Instant) { k.core.release(use, o, now) })
}

// idle reports whether the core is idle.
func (k *serviceState) idle() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.core.idle()
}

// tick applies the manifest and the members and runs the core's tick.
func (k *serviceState) tick(members []model.NodeID, confirmed bool) {
	service, known := k.dispatcher.config.Services.Service(k.id)
	k.dropped.Store(!known)
	k.step(func(now model.Instant) {
		if known && serviceChanged(service, k.core.service) {
			k.core.update(service, k.dispatcher.config.Registry.Serving(k.id), now)
		}
		k.core.members(members, confirmed, now)
		k.core.handleTick(now)
	})
}

// inspect counts and logs violated invariants, logs status changes and returns the
// status.
func (k *serviceState) inspect() status {
	k.mu.Lock()
	violations := k.core.checkInvariants()
	before := k.loggedStatus
	k.loggedStatus = k.core.status()
	after := k.loggedStatus
	k.mu.Unlock()
	log := k.dispatcher.config.Log.WithField("service", string(k.id))
	for _, violation := range violations {
		k.dispatcher.counters.violations.Inc(1)
		log.Error("invariant broken: " + violation)
	}
	logChanges(log, before, after)
	return after
}

// serviceChanged reports whether settings of a service that the core uses
// differ.
func serviceChanged(a, b model.Service) bool {
	return a.Slots != b.Slots || a.Connections != b.Connections || a.QueueLimit != b.QueueLimit || a.Timeout != b.Timeout
}
