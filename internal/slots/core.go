package slots

import (
	"time"

	"github.com/comfreyloom/comfreyloom/internal/admission"
	"github.com/comfreyloom/comfreyloom/internal/balance"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/slots/lending"
)

// core decides about the slots of one service at one entry VM: who gets the
// next one, what is lent, what is borrowed. It is pure: a lock, a clock and the
// calls to peers are its caller's.
type core struct {
	config  coreConfig
	service model.Service
	set     *balance.Set
	queue   *admission.Queue[*waiter]
	book    *lending.Book
	ledger  *lending.Ledger
	// shares are this entry VM's own slots by instance, rooms how many
	// connections it may open to each.
	shares map[model.InstanceID]int
	rooms  map[model.InstanceID]int
	live   []model.NodeID
	// confirmed says that live is what a quorum confirmed lately.
	confirmed bool
	lost      lossTracker
	// handovers are what others left to this entry VM when they stopped,
	// processes the latest incarnation heard of each.
	handovers map[model.NodeID]handover
	processes map[model.NodeID]uint64
	// takenOver are the entry VMs whose share is used here.
	takenOver []model.NodeID
	// unrecovered are the entry VMs that have not said yet what they hold of
	// an earlier process of this one; until then no share is used.
	unrecovered map[model.NodeID]bool
	started     model.Instant
	// tookOverAt and asked are when shares of lost entry VMs were last taken over,
	// and when the unrecovered ones were last asked.
	tookOverAt model.Instant
	asked      model.Instant
	// given is what requests were given lately.
	given    longest
	rotation int
	asking   need
	spare    idleWindow
	again    bool
	out      effects
	// overruns is at how many instances the last check saw more in use than
	// allowed; handedOver says that the own share was left to others.
	overruns   int
	handedOver bool
}

// coreConfig is what stays the same for a core.
type coreConfig struct {
	self        model.NodeID
	zone        model.ZoneID
	nodes       []model.NodeID
	incarnation uint64
	lending     lending.Options
	admission   admission.Options
	balance     balance.Options
	random      func(n int) int
	// lend says that there are peers to lend to and borrow from.
	lend bool
	// reclaimAfter is when the share of a lost entry VM is used by others;
	// negative means never.
	reclaimAfter time.Duration
}

// effects are what a step of the core asks its caller to do.
type effects struct {
	sends   []send
	answers []lending.Answer
}

// send is a request to a lender.
type send struct {
	to      model.NodeID
	request lending.Request
}

// waiter is one request that waits. Its answer comes exactly once: a slot, or
// why there is none.
type waiter struct {
	ask    Ask
	answer func(balance.Use, *admission.Refusal)
}

type ticket = admission.Ticket[*waiter]

func newCore(c coreConfig, s model.Service, now model.Instant) *core {
	k := &core{
		config:  c,
		service: s,
		set:     balance.New(c.balance, c.zone, c.random),
		queue:   admission.NewQueue[*waiter](c.admission),
		ledger:  lending.NewLedger(c.lending),
		shares:  map[model.InstanceID]int{},
		rooms:   map[model.InstanceID]int{},
		started: now,
		live:    c.nodes,

		handovers: map[model.NodeID]handover{},
		processes: map[model.NodeID]uint64{},
	}
	k.config.lending = c.lending.WithDefaults()
	k.book = lending.NewBook(c.self, c.incarnation, c.lending, k.excess)
	k.unrecovered = map[model.NodeID]bool{}
	for _, n := range c.nodes {
		if c.lend && n != c.self && !c.lending.Rules.SkipRecovery {
			k.unrecovered[n] = true
		}
	}
	return k
}

// own is the part of an instance's slots that is this entry VM's and not lent.
func (k *core) own(i model.InstanceID) int {
	if len(k.unrecovered) > 0 || k.handedOver {
		return 0
	}
	return max(0, k.shares[i]-k.ledger.Lent(i))
}

// excess is how many slots of an instance are in use beyond the own ones.
func (k *core) excess(i model.InstanceID) int {
	instance := k.set.Get(i)
	if instance == nil {
		return 0
	}
	return max(0, instance.InUse-k.own(i))
}

// recount sets how many slots of an instance new work may start on.
func (k *core) recount(i model.InstanceID) {
	instance := k.set.Get(i)
	if instance == nil {
		return
	}
	instance.Own = k.own(i)
	instance.Allowed = instance.Own + k.book.Usable(i)
}

func (k *core) recountAll() {
	for _, i := range k.set.Listed() {
		k.recount(i.Upstream.Instance)
	}
}

// update takes in the announced instances or a change of the service.
func (k *core) update(s model.Service, list []model.Upstream, now model.Instant) {
	k.service = s
	k.set.Update(list, now)
	listed := map[model.InstanceID]bool{}
	for _, u := range list {
		listed[u.Instance] = true
		k.shares[u.Instance] = k.shareOf(k.config.self, u)
		k.rooms[u.Instance] = balance.Share(min(s.Connections, u.Connections), k.config.nodes, k.config.self, k.key(u.Instance))
	}
	for _, c := range k.book.Instances() {
		if !listed[c.Instance] {
			k.book.Drop(c.Instance)
		}
	}
	for i := range k.shares {
		if !listed[i] && k.set.Get(i) == nil && k.ledger.Lent(i) == 0 {
			delete(k.shares, i)
			delete(k.rooms, i)
		}
	}
	k.recountAll()
	k.settle(now)
}

// key names an instance in the rendezvous hash.
func (k *core) key(i model.InstanceID) string { return string(k.service.ID) + "/" + string(i) }

// shareOf is an entry VM's static share of an instance's slots.
func (k *core) shareOf(n model.NodeID, u model.Upstream) int {
	return balance.Share(min(k.service.Slots, u.Slots), k.config.nodes, n, k.key(u.Instance))
}

// ask grants a slot at once, or refuses, or queues the request.
func (k *core) ask(w *waiter, now model.Instant) (balance.Use, *ticket, *admission.Refusal) {
	if use, ok := k.grantNow(w.ask, now); ok {
		return use, nil, nil
	}
	if len(k.set.Listed()) == 0 {
		return balance.Use{}, nil, noInstance()
	}
	t := &ticket{Value: w, Priority: w.ask.Priority, Deadline: w.ask.Deadline}
	refusal, shed := k.queue.Offer(t, k.slots(), k.service.QueueLimit, now)
	if shed != nil {
		shed.Ticket.Value.answer(balance.Use{}, shed.Refusal)
	}
	if refusal != nil {
		return balance.Use{}, nil, refusal
	}
	k.given.add(w.ask.Deadline.Sub(now), now)
	k.settle(now)
	return balance.Use{}, t, nil
}

// grantNow takes a free slot, unless a request of the same or a higher
// priority waits for it already.
func (k *core) grantNow(ask Ask, now model.Instant) (balance.Use, bool) {
	if now >= ask.Deadline {
		return balance.Use{}, false
	}
	if k.queue.Len() > 0 {
		for p := ask.Priority; p <= model.Urgent; p++ {
			if k.queue.Waiting(p) > 0 {
				return balance.Use{}, false
			}
		}
	}
	return k.pick(ask, now)
}

// pick takes a slot. A request that may run longer than was promised to the
// lenders must not start on a loan: they count a loan only so long after it
// lapsed.
func (k *core) pick(ask Ask, now model.Instant) (balance.Use, bool) {
	wish := balance.Preference{Avoid: ask.Avoid, Priority: ask.Priority}
	if k.book.Total() > 0 {
		wish.OwnOnly = ask.Deadline.Sub(now) > k.book.Promised()
	}
	return k.set.Pick(wish, now)
}

// done gives a slot back.
func (k *core) done(u balance.Use, o Outcome, now model.Instant) {
	k.set.Done(u, o, now)
	k.queue.Rate().Observe(now.Sub(u.Started))
	id := u.Instance.Upstream.Instance
	k.book.Released(id)
	k.recount(id)
	k.settle(now)
}

// cancel takes a request out of the queue; false when it got its answer.
func (k *core) cancel(t *ticket) bool { return k.queue.Remove(t) }

func noInstance() *admission.Refusal {
	return &admission.Refusal{Reason: "no instance of the service serves", RetryAfter: noInstanceRetry}
}

// tick drops what can't run any more and moves time on for the loans.
func (k *core) tick(now model.Instant) {
	if len(k.set.Listed()) == 0 {
		k.dropAll(now)
	}
	for _, dropped := range k.queue.Sweep(k.slots(), now) {
		dropped.Ticket.Value.answer(balance.Use{}, dropped.Refusal)
	}
	if k.config.lend {
		k.book.Lapse(now)
		k.ledger.Tick(now)
		k.takeOver(now)
		k.recover(now)
		k.recountAll()
	}
	k.settle(now)
}

// dropAll refuses all that waits: there is no instance left to wait for.
func (k *core) dropAll(now model.Instant) {
	for t := k.queue.First(now); t != nil; t = k.queue.First(now) {
		k.queue.Remove(t)
		t.Value.answer(balance.Use{}, noInstance())
	}
}

// idle reports whether nothing waits, is lent or is borrowed.
func (k *core) idle() bool {
	return k.queue.Len() == 0 && k.ledger.Quiet() && k.book.Quiet() && len(k.unrecovered) == 0
}

// slots is how many requests run at once here when all slots are in use.
func (k *core) slots() int { return max(k.set.InUse(), 1) }

// effects returns what is to be done and forgets it.
func (k *core) effects() effects {
	out := k.out
	k.out = effects{}
	return out
}
