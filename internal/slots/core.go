package slots

import (
	"time"

	"github.com/comfreyloom/comfreyloom/internal/admission"
	"github.com/comfreyloom/comfreyloom/internal/balance"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/slots/lending"
)

// core manages the slots of one service at one entry VM: which request gets the
// next one, which slots are lent and which are borrowed. It is deterministic:
// its user provides the lock and the clock and makes the calls to peers.
type core struct {
	config   coreConfig
	service  model.Service
	set      *balance.Set
	queue    *admission.Queue[*waiter]
	borrower *lending.Borrower
	lender   *lending.Lender
	// shares holds this entry VM's own slots by instance, connectionShares how
	// many connections it may open to each.
	shares           map[model.InstanceID]int
	connectionShares map[model.InstanceID]int
	live             []model.NodeID
	// confirmed is true if a quorum recently confirmed the list of live entry VMs.
	confirmed bool
	losses    lossTracker
	// handovers holds the slots that other entry VMs handed over when they
	// stopped, incarnations the latest known incarnation of each entry VM.
	handovers    map[model.NodeID]handover
	incarnations map[model.NodeID]uint64
	// takenOver lists the entry VMs whose shares this one uses.
	takenOver []model.NodeID
	// unrecovered are the entry VMs that have not yet reported which slots they
	// hold from an earlier process of this one. Until all have, this entry VM uses
	// none of its own share.
	unrecovered map[model.NodeID]bool
	started     model.Instant
	// lastTakeOver is when shares of lost entry VMs were last taken over,
	// lastRecoveryRequest when the unrecovered entry VMs were last sent a request.
	lastTakeOver        model.Instant
	lastRecoveryRequest model.Instant
	// recentTimeouts holds how long recent requests had until their deadlines.
	recentTimeouts recentMax
	// rotation is the index in the configured nodes of the first node that the
	// method lenders considers.
	rotation   int
	lastDemand demand
	idleLoans  idleWindow
	// needsTick is true if a tick is needed before the next regular one.
	needsTick      bool
	pendingEffects effects
	// overruns is the number of instances at which the last check found more
	// slots in use than allowed; handedOver is true once this entry VM's share was
	// handed over to others.
	overruns   int
	handedOver bool
}

// coreConfig holds the settings of a core, which never change.
type coreConfig struct {
	self        model.NodeID
	zone        model.ZoneID
	nodes       []model.NodeID
	incarnation uint64
	lending     lending.Options
	admission   admission.Options
	balance     balance.Options
	random      func(n int) int
	// lendingEnabled is true if there are peers to lend to and borrow from.
	lendingEnabled bool
	// takeOverAfter is how long an entry VM must be lost before others use its
	// share; negative means never.
	takeOverAfter time.Duration
}

// effects are the messages that the user of the core must send after a step.
type effects struct {
	calls   []peerCall
	replies []lending.DueReply
}

// peerCall is a request to another entry VM.
type peerCall struct {
	to      model.NodeID
	request lending.Request
}

// waiter is a waiting request. respond is called exactly once, with a slot or
// with the reason why there is none.
type waiter struct {
	request SlotRequest
	respond func(balance.Use, *admission.Refusal)
}

type ticket = admission.Ticket[*waiter]

func newCore(c coreConfig, s model.Service, now model.Instant) *core {
	k := &core{
		config:           c,
		service:          s,
		set:              balance.New(c.balance, c.zone, c.random),
		queue:            admission.NewQueue[*waiter](c.admission),
		lender:           lending.NewLender(c.lending),
		shares:           map[model.InstanceID]int{},
		connectionShares: map[model.InstanceID]int{},
		started:          now,
		live:             c.nodes,

		handovers:    map[model.NodeID]handover{},
		incarnations: map[model.NodeID]uint64{},
	}
	k.config.lending = c.lending.WithDefaults()
	k.borrower = lending.NewBorrower(c.self, c.incarnation, c.lending, k.excess)
	k.unrecovered = map[model.NodeID]bool{}
	for _, n := range c.nodes {
		if c.lendingEnabled && n != c.self && !c.lending.Rules.SkipRecovery {
			k.unrecovered[n] = true
		}
	}
	return k
}

// ownSlots returns how many of this entry VM's own slots of an instance are not
// lent.
func (k *core) ownSlots(i model.InstanceID) int {
	if len(k.unrecovered) > 0 || k.handedOver {
		return 0
	}
	return max(0, k.shares[i]-k.lender.Lent(i))
}

// excess returns how many slots of an instance are in use beyond this entry VM's
// own.
func (k *core) excess(i model.InstanceID) int {
	instance := k.set.Get(i)
	if instance == nil {
		return 0
	}
	return max(0, instance.InUse-k.ownSlots(i))
}

// updateAllowed sets how many slots of an instance new requests may use.
func (k *core) updateAllowed(i model.InstanceID) {
	instance := k.set.Get(i)
	if instance == nil {
		return
	}
	instance.Own = k.ownSlots(i)
	instance.Allowed = instance.Own + k.borrower.Usable(i)
}

func (k *core) updateAllAllowed() {
	for _, i := range k.set.Listed() {
		k.updateAllowed(i.Upstream.Instance)
	}
}

// update applies the announced instances and the settings of the service.
func (k *core) update(s model.Service, list []model.Upstream, now model.Instant) {
	k.service = s
	k.set.Update(list, now)
	listed := map[model.InstanceID]bool{}
	for _, u := range list {
		listed[u.Instance] = true
		k.shares[u.Instance] = k.shareOf(k.config.self, u)
		k.connectionShares[u.Instance] = balance.Share(min(s.Connections, u.Connections), k.config.nodes, k.config.self, k.hashKey(u.Instance))
	}
	for _, c := range k.borrower.Instances() {
		if !listed[c.Instance] {
			k.borrower.DropInstance(c.Instance)
		}
	}
	for i := range k.shares {
		if !listed[i] && k.set.Get(i) == nil && k.lender.Lent(i) == 0 {
			delete(k.shares, i)
			delete(k.connectionShares, i)
		}
	}
	k.updateAllAllowed()
	k.distribute(now)
}

// hashKey returns the key of an instance in the rendezvous hash.
func (k *core) hashKey(i model.InstanceID) string { return string(k.service.ID) + "/" + string(i) }

// shareOf returns an entry VM's static share of an instance's slots.
func (k *core) shareOf(n model.NodeID, u model.Upstream) int {
	return balance.Share(min(k.service.Slots, u.Slots), k.config.nodes, n, k.hashKey(u.Instance))
}

// acquire grants a slot at once, refuses the request or queues it.
func (k *core) acquire(w *waiter, now model.Instant) (balance.Use, *ticket, *admission.Refusal) {
	if use, ok := k.tryGrant(w.request, now); ok {
		return use, nil, nil
	}
	if len(k.set.Listed()) == 0 {
		return balance.Use{}, nil, noInstanceRefusal()
	}
	t := &ticket{Value: w, Priority: w.request.Priority, Deadline: w.request.Deadline}
	refusal, shed := k.queue.Offer(t, k.concurrency(), k.service.QueueLimit, now)
	if shed != nil {
		shed.Ticket.Value.respond(balance.Use{}, shed.Refusal)
	}
	if refusal != nil {
		return balance.Use{}, nil, refusal
	}
	k.recentTimeouts.add(w.request.Deadline.Sub(now), now)
	k.distribute(now)
	return balance.Use{}, t, nil
}

// tryGrant takes a free slot, unless a request of the same or a higher priority
// is already waiting for one.
func (k *core) tryGrant(request SlotRequest, now model.Instant) (balance.Use, bool) {
	if now >= request.Deadline {
		return balance.Use{}, false
	}
	if k.queue.Len() > 0 {
		for p := request.Priority; p <= model.Urgent; p++ {
			if k.queue.Waiting(p) > 0 {
				return balance.Use{}, false
			}
		}
	}
	return k.pick(request, now)
}

// pick takes a slot. A request that may run longer than was promised to the
// lenders must not start on a loan: after the lease has ended, lenders count the
// loan only for the promised time.
func (k *core) pick(request SlotRequest, now model.Instant) (balance.Use, bool) {
	preference := balance.Preference{Avoid: request.Avoid, Priority: request.Priority}
	if k.borrower.Total() > 0 {
		preference.OwnOnly = request.Deadline.Sub(now) > k.borrower.PromisedRun()
	}
	return k.set.Pick(preference, now)
}

// release returns a slot and records the outcome of the attempt.
func (k *core) release(u balance.Use, o Outcome, now model.Instant) {
	k.set.Done(u, o, now)
	k.queue.Rate().Observe(now.Sub(u.Started))
	id := u.Instance.Upstream.Instance
	k.borrower.ReleaseRecalled(id)
	k.updateAllowed(id)
	k.distribute(now)
}

// cancel removes a request from the queue. It reports false if the request has
// already been granted or refused.
func (k *core) cancel(t *ticket) bool { return k.queue.Remove(t) }

// noInstanceRefusal is the refusal while no instance of the service serves.
func noInstanceRefusal() *admission.Refusal {
	return &admission.Refusal{Reason: "no instance of the service serves", RetryAfter: noInstanceRetry}
}

// handleTick drops requests that can no longer run and expires loans.
func (k *core) handleTick(now model.Instant) {
	if len(k.set.Listed()) == 0 {
		k.refuseAll(now)
	}
	for _, dropped := range k.queue.Sweep(k.concurrency(), now) {
		dropped.Ticket.Value.respond(balance.Use{}, dropped.Refusal)
	}
	if k.config.lendingEnabled {
		k.borrower.ExpireLoans(now)
		k.lender.ExpireLoans(now)
		k.takeOverShares(now)
		k.requestRecovery(now)
		k.updateAllAllowed()
	}
	k.distribute(now)
}

// refuseAll refuses all waiting requests: no instance is left to wait for.
func (k *core) refuseAll(now model.Instant) {
	for t := k.queue.First(now); t != nil; t = k.queue.First(now) {
		k.queue.Remove(t)
		t.Value.respond(balance.Use{}, noInstanceRefusal())
	}
}

// idle reports whether no request waits, no slot is lent or borrowed, and no
// recovery is pending.
func (k *core) idle() bool {
	return k.queue.Len() == 0 && k.lender.Idle() && k.borrower.Idle() && len(k.unrecovered) == 0
}

// concurrency returns how many requests run at once here when all slots are in
// use.
func (k *core) concurrency() int { return max(k.set.InUse(), 1) }

// takeEffects returns the pending effects and clears them.
func (k *core) takeEffects() effects {
	out := k.pendingEffects
	k.pendingEffects = effects{}
	return out
}
