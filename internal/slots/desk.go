package slots

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/comfreyloom/comfreyloom/internal/admission"
	"github.com/comfreyloom/comfreyloom/internal/balance"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// desk hands out the slots of one service at this entry VM.
type desk struct {
	dispatcher *Dispatcher
	id         model.ServiceID
	// dropped says that the manifest no longer has the service.
	dropped atomic.Bool

	mu       sync.Mutex
	service  model.Service
	set      *balance.Set
	queue    *admission.Queue[*waiter]
	revision uint64
	fresh    bool
}

// waiter is one Acquire that waits in the queue. Its answer comes exactly once.
type waiter struct {
	ask    Ask
	answer chan answer
}

type answer struct {
	grant *Grant
	use   balance.Use
	err   error
}

func newDesk(d *Dispatcher, service model.Service) *desk {
	return &desk{
		dispatcher: d,
		id:         service.ID,
		service:    service,
		set:        balance.New(d.config.Balance, d.config.Zone, d.config.Random),
		queue:      admission.NewQueue[*waiter](d.config.Admission),
	}
}

// acquire grants at once, refuses at once, or waits in the queue.
func (k *desk) acquire(ctx context.Context, ask Ask) (*Grant, error) {
	now := k.dispatcher.config.Now()
	k.mu.Lock()
	k.refresh(now)
	if grant := k.grantNow(ask, now); grant != nil {
		k.mu.Unlock()
		return grant, nil
	}
	ticket, err := k.enqueue(ask, now)
	k.mu.Unlock()
	if err != nil {
		return nil, err
	}
	select {
	case a := <-ticket.Value.answer:
		return a.grant, a.err
	case <-ctx.Done():
		return nil, k.abandon(ticket, ctx.Err())
	}
}

// grantNow takes a free slot, unless a request of the same or a higher
// priority waits for it already.
func (k *desk) grantNow(ask Ask, now model.Instant) *Grant {
	if now >= ask.Deadline {
		return nil
	}
	for p := ask.Priority; p <= model.Urgent; p++ {
		if k.queue.Waiting(p) > 0 {
			return nil
		}
	}
	use, ok := k.set.Pick(ask.Avoid, ask.Priority, now)
	if !ok {
		return nil
	}
	return k.grant(ask, use)
}

func (k *desk) enqueue(ask Ask, now model.Instant) (*admission.Ticket[*waiter], error) {
	counters := k.dispatcher.counters
	if len(k.set.Listed()) == 0 {
		counters.refused.Inc(1)
		return nil, &Rejection{Reason: "no instance of the service serves", RetryAfter: noInstanceRetry}
	}
	ticket := &admission.Ticket[*waiter]{
		Value:    &waiter{ask: ask, answer: make(chan answer, 1)},
		Priority: ask.Priority,
		Deadline: ask.Deadline,
	}
	refusal, shed := k.queue.Offer(ticket, k.slots(), k.service.QueueLimit, now)
	if shed != nil {
		counters.shed.Inc(1)
		k.reject(*shed)
	}
	if refusal != nil {
		counters.refused.Inc(1)
		return nil, &Rejection{Reason: refusal.Reason, RetryAfter: refusal.RetryAfter}
	}
	counters.queued.Inc(1)
	return ticket, nil
}

// reject gives a request that left the queue unrun its final answer at once.
func (k *desk) reject(dropped admission.Dropped[*waiter]) {
	rejection := &Rejection{Reason: dropped.Refusal.Reason, RetryAfter: dropped.Refusal.RetryAfter}
	dropped.Ticket.Value.answer <- answer{err: rejection}
}

// abandon takes a request whose caller went away out of the queue. A grant
// that came at the same moment goes back.
func (k *desk) abandon(t *admission.Ticket[*waiter], cause error) error {
	k.mu.Lock()
	waited := k.queue.Remove(t)
	k.mu.Unlock()
	k.dispatcher.counters.abandoned.Inc(1)
	if waited {
		return cause
	}
	a := <-t.Value.answer
	if a.grant != nil {
		k.free(a.use, Abandoned)
	}
	return cause
}

// slots is how many requests of the service run at once through this entry VM
// when all its slots are in use.
func (k *desk) slots() int { return max(k.set.InUse(), 1) }

// grant wraps a slot in use. Releasing it serves the queue.
func (k *desk) grant(ask Ask, use balance.Use) *Grant {
	k.dispatcher.counters.granted.Inc(1)
	var released atomic.Bool
	return NewGrant(use.Instance.Upstream, func(o Outcome) {
		if released.Swap(true) {
			k.dispatcher.counters.twice.Inc(1)
			return
		}
		k.free(use, o)
		k.dispatcher.leaveTeam(ask.Team)
	})
}

// free gives a slot back and serves the queue.
func (k *desk) free(use balance.Use, o Outcome) {
	now := k.dispatcher.config.Now()
	k.dispatcher.counters.outcome(o)
	k.mu.Lock()
	k.set.Done(use, o, now)
	k.queue.Rate().Observe(now.Sub(use.Started))
	k.serve(now)
	k.mu.Unlock()
}

// maxSkips bounds how many waiting requests are passed over because the only
// free slot is at the instance which they avoid.
const maxSkips = 8

// serve grants free slots to the queue, in its order.
func (k *desk) serve(now model.Instant) {
	if k.queue.Len() == 0 {
		return
	}
	skips := 0
	again := true
	for again {
		again = false
		k.queue.Each(now, func(t *admission.Ticket[*waiter]) bool {
			if now >= t.Deadline {
				return true
			}
			use, ok := k.set.Pick(t.Value.ask.Avoid, t.Priority, now)
			if !ok {
				skips++
				return t.Value.ask.Avoid != "" && skips < maxSkips
			}
			k.queue.Take(t)
			t.Value.answer <- answer{grant: k.grant(t.Value.ask, use), use: use}
			again = true
			return false
		})
	}
}

// tick takes in changes, drops what can't run any more and serves the queue.
func (k *desk) tick() {
	now := k.dispatcher.config.Now()
	service, known := k.dispatcher.config.Services.Service(k.id)
	k.dropped.Store(!known)
	k.mu.Lock()
	defer k.mu.Unlock()
	if known && !k.sameLimits(service) {
		k.fresh = false
	}
	if known {
		k.service = service
	}
	k.refresh(now)
	for _, dropped := range k.queue.Sweep(k.slots(), now) {
		k.dispatcher.counters.expired.Inc(1)
		k.reject(dropped)
	}
	k.serve(now)
	k.check()
}

func (k *desk) sameLimits(s model.Service) bool {
	return s.Slots == k.service.Slots && s.Connections == k.service.Connections
}

// refresh takes in the announced instances when they changed.
func (k *desk) refresh(now model.Instant) {
	revision := k.dispatcher.config.Registry.Revision()
	if k.fresh && revision == k.revision {
		return
	}
	k.fresh = true
	k.revision = revision
	k.set.Update(k.dispatcher.config.Registry.Serving(k.id), now)
	for _, i := range k.set.Listed() {
		i.Allowed = k.share(i.Upstream)
	}
}

// share is this entry VM's static share of an instance's slots.
func (k *desk) share(u model.Upstream) int {
	limit := min(k.service.Slots, u.Slots)
	key := string(u.Service) + "/" + string(u.Instance)
	return balance.Share(limit, k.dispatcher.config.Nodes, k.dispatcher.config.Self, key)
}

// check counts and logs broken invariants.
func (k *desk) check() {
	for _, what := range append(k.set.Check(), k.queue.Check()...) {
		k.dispatcher.counters.broken.Inc(1)
		k.dispatcher.config.Log.WithField("service", string(k.id)).Error("invariant broken: " + what)
	}
}
