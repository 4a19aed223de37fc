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

// serviceState is the core of one service with its lock, the calls of
// borrowers that wait for a reply, and its own calls to other entry VMs.
type serviceState struct {
	dispatcher *Dispatcher
	id         model.ServiceID
	// dropped says that the manifest no longer has the service.
	dropped atomic.Bool

	mu       sync.Mutex
	core     *core
	revision uint64
	pending  map[model.NodeID]pendingCall
	// seen is the status that the last log lines told of.
	seen status
}

// pendingCall is a borrower's call that waits for its reply.
type pendingCall struct {
	incarnation uint64
	number      uint64
	reply       chan lending.Reply
}

// answer is what a request in the queue gets.
type answer struct {
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
		lend: c.Peer != nil && len(c.Nodes) > 1, reclaimAfter: c.ReclaimAfter,
	}, service, now)
	k.core.started = d.started
	k.core.members(c.Members(), c.Confirmed(), now)
	k.load(now)
	return k
}

// load takes in the announced instances.
func (k *serviceState) load(now model.Instant) {
	registry := k.dispatcher.config.Registry
	k.revision = registry.Revision()
	k.core.update(k.core.service, registry.Serving(k.id), now)
}

// step runs f on the core and does what the core asks for.
func (k *serviceState) step(f func(now model.Instant)) {
	out, again, idle := k.locked(f)
	if !idle {
		k.dispatcher.wake()
	}
	for _, s := range out.sends {
		k.call(s)
	}
	if again {
		k.dispatcher.tickSoon()
	}
}

// locked runs f on the core. The clock is read under the lock: read before it, a
// request could bring the core a time before that of the one which overtook
// it, and ages would be negative. The lock is given back even by a panic:
// otherwise every later request of the service would wait for ever.
func (k *serviceState) locked(f func(now model.Instant)) (out effects, again, idle bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.dispatcher.config.Now()
	if k.dispatcher.config.Registry.Revision() != k.revision {
		k.load(now)
	}
	f(now)
	out = k.core.effects()
	k.deliver(out.answers)
	return out, k.core.again, k.core.idle()
}

// deliver hands replies to the calls that wait for them.
func (k *serviceState) deliver(answers []lending.Answer) {
	for _, a := range answers {
		waiting, ok := k.pending[a.Node]
		if ok && waiting.incarnation == a.Incarnation && waiting.number == a.Number {
			waiting.reply <- a.Reply
			delete(k.pending, a.Node)
		}
	}
}

// acquire grants at once, refuses at once, or waits in the queue.
func (k *serviceState) acquire(ctx context.Context, ask Ask) (*Grant, error) {
	if grant := k.acquireNow(ask); grant != nil {
		return grant, nil
	}
	answers := make(chan answer, 1)
	w := &waiter{ask: ask, answer: func(u balance.Use, r *admission.Refusal) { answers <- answer{u, r} }}
	var got answer
	var t *ticket
	k.step(func(now model.Instant) { got.use, t, got.refusal = k.core.ask(w, now) })
	if t != nil {
		k.dispatcher.counters.queued.Inc(1)
		select {
		case got = <-answers:
		case <-ctx.Done():
			return nil, k.abandon(t, answers, ctx.Err())
		}
	}
	if got.refusal != nil {
		k.dispatcher.counters.refuse(t != nil)
		return nil, &Rejection{Reason: got.refusal.Reason, RetryAfter: got.refusal.RetryAfter}
	}
	return k.grant(ask, got.use), nil
}

// acquireNow is the short way of a request that needs not wait.
func (k *serviceState) acquireNow(ask Ask) *Grant {
	use, ok := k.tryNow(ask)
	if !ok {
		return nil
	}
	return k.grant(ask, use)
}

func (k *serviceState) tryNow(ask Ask) (balance.Use, bool) {
	config := &k.dispatcher.config
	k.mu.Lock()
	defer k.mu.Unlock()
	if config.Registry.Revision() != k.revision {
		return balance.Use{}, false
	}
	return k.core.grantNow(ask, config.Now())
}

// abandon takes a request whose caller went away out of the queue. A grant
// that came at the same moment goes back.
func (k *serviceState) abandon(t *ticket, answers <-chan answer, cause error) error {
	k.dispatcher.counters.abandoned.Inc(1)
	waited := false
	k.step(func(model.Instant) { waited = k.core.cancel(t) })
	if waited {
		return cause
	}
	if got := <-answers; got.refusal == nil {
		k.free(got.use, Abandoned)
	}
	return cause
}

// grant wraps a slot in use. Only the first release counts. The lock is not
// held here, so the instance's own record, which an announcement may change at
// this moment, is not read.
func (k *serviceState) grant(ask Ask, use balance.Use) *Grant {
	k.dispatcher.counters.granted.Inc(1)
	var released atomic.Bool
	return NewGrant(use.Upstream, func(o Outcome) {
		if released.Swap(true) {
			k.dispatcher.counters.twice.Inc(1)
			return
		}
		k.free(use, o)
		k.dispatcher.leaveTeam(ask.Team)
	})
}

// free gives a slot back.
func (k *serviceState) free(use balance.Use, o Outcome) {
	k.dispatcher.counters.outcome(o)
	k.step(func(now model.Instant) { k.core.done(use, o, now) })
}

// idle reports whether nothing waits, is lent or is borrowed.
func (k *serviceState) idle() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.core.idle()
}

// tick takes in the manifest and the members, and moves time on.
func (k *serviceState) tick(members []model.NodeID, confirmed bool) {
	service, known := k.dispatcher.config.Services.Service(k.id)
	k.dropped.Store(!known)
	k.step(func(now model.Instant) {
		if known && changed(service, k.core.service) {
			k.core.update(service, k.dispatcher.config.Registry.Serving(k.id), now)
		}
		k.core.members(members, confirmed, now)
		k.core.tick(now)
	})
}

// inspect counts and logs broken invariants, logs changes of state, and returns
// the status.
func (k *serviceState) inspect() status {
	k.mu.Lock()
	broken := k.core.check()
	before := k.seen
	k.seen = k.core.status()
	after := k.seen
	k.mu.Unlock()
	log := k.dispatcher.config.Log.WithField("service", string(k.id))
	for _, what := range broken {
		k.dispatcher.counters.broken.Inc(1)
		log.Error("invariant broken: " + what)
	}
	logChanges(log, before, after)
	return after
}

// changed compares what the core uses of a service.
func changed(a, b model.Service) bool {
	return a.Slots != b.Slots || a.Connections != b.Connections || a.QueueLimit != b.QueueLimit || a.Timeout != b.Timeout
}
