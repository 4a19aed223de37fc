package slots

import (
	"slices"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/slots/lending"
)

const (
	// overRequestFactor is how many slots are requested for each one that is
	// needed: a lender may have none.
	overRequestFactor = 2
	// maxDoublings bounds how often the number of lenders that get a request
	// doubles.
	maxDoublings = 6
)

// idleWindow holds the minimum number of idle slots since its start.
type idleWindow struct {
	start   model.Instant
	minIdle int
}

// demand is what the queue needs from other entry VMs: how many slots for each
// class, and how long the oldest request of each has waited.
type demand struct {
	wanted [lending.Classes]int
	age    [lending.Classes]time.Duration
}

func (n demand) empty() bool { return n.wanted == [lending.Classes]int{} }

// planRequests sends the requests that are due to lenders: for more slots, to
// renew loans or to return slots.
func (k *core) planRequests(now model.Instant) {
	k.returnIdleLoans(now)
	needed := k.demand(now)
	if needed.empty() && k.borrower.Idle() {
		k.lastDemand = demand{}
		return
	}
	if k.lastDemand.wanted[classOf(model.Urgent)] == 0 && !needed.empty() {
		k.rotation = k.config.random(len(k.config.nodes))
	}
	k.lastDemand = needed
	lenders := k.lenders()
	minInterval := k.minInterval(needed)
	for position, lender := range lenders {
		part := k.demandForLender(needed, position, len(lenders))
		if k.borrower.RequestDue(lender, part, minInterval, now) {
			k.requestSlots(lender, part, now)
		}
	}
	k.needsTick = k.needsTick || !needed.empty()
}

// The minimum interval between two requests for more slots to one lender is the
// wait so far divided by intervalShare, at most maxIntervalFactor spacings.
const (
	intervalShare     = 16
	maxIntervalFactor = 25
)

// minInterval returns the minimum time between two requests for more slots to
// one lender: the longer requests have waited, the less a message can gain.
// Demand for urgent requests is sent without this delay.
func (k *core) minInterval(needed demand) time.Duration {
	if needed.wanted[classOf(model.Urgent)] > 0 {
		return 0
	}
	age := slices.Max(needed.age[:])
	return min(age/intervalShare, maxIntervalFactor*k.config.lending.Spacing)
}

// requestSlots sends a lender the slots that are held and wanted.
func (k *core) requestSlots(lender model.NodeID, wanted [lending.Classes]int, now model.Instant) {
	r := k.borrower.NextRequest(lender, wanted, k.promisedRun(), true, now)
	r.Service = k.service.ID
	if len(r.Held) == 0 && wanted == [lending.Classes]int{} {
		r.WaitMS = 0
	}
	for _, p := range []model.Priority{model.Batch, model.Normal, model.Urgent} {
		if oldest, ok := k.queue.Oldest(p); ok {
			r.OldestMS[classOf(p)] = now.Sub(oldest).Milliseconds()
		}
	}
	r.Avoid = k.avoidedInstances(now)
	k.pendingEffects.calls = append(k.pendingEffects.calls, peerCall{lender, r})
}

// avoidedInstances returns the instances of which no slot is wanted: ejected or
// busy ones, and those where this entry VM's own and borrowed slots already take
// all connections that it may open.
func (k *core) avoidedInstances(now model.Instant) []model.InstanceID {
	var out []model.InstanceID
	for _, i := range k.set.Listed() {
		id := i.Upstream.Instance
		if k.set.Unavailable(i, now) || i.Own+k.borrower.Held(id) >= k.connectionShares[id] {
			out = append(out, id)
		}
	}
	return out
}

// demand computes what is needed from other entry VMs. A short wait for one of
// this entry VM's own slots isn't worth a message.
func (k *core) demand(now model.Instant) demand {
	var n demand
	if k.queue.Len() == 0 {
		return n
	}
	rate := k.queue.Rate()
	ahead := 0
	for _, p := range []model.Priority{model.Urgent, model.Normal, model.Batch} {
		waiting := k.queue.Waiting(p)
		oldest, ok := k.queue.Oldest(p)
		if !ok {
			continue
		}
		ahead += waiting
		age := now.Sub(oldest)
		expected := max(rate.ExpectedWait(ahead-1, k.concurrency()), age)
		if rate.Mean() > 0 && expected <= k.config.lending.BorrowAfter {
			k.needsTick = true
			continue
		}
		if p != model.Urgent {
			// Lent slots are being recalled. Borrowing instead would leave this entry
			// VM's slots with others and their slots here.
			waiting -= k.lender.Total()
		}
		if waiting > 0 {
			n.wanted[classOf(p)] = waiting
			n.age[classOf(p)] = age
		}
	}
	return n
}

// demandForLender returns the part of the demand that is sent to the lender at a
// position. For each class few lenders get a request at first, and their number
// doubles every two spacings while the oldest request of the class waits.
// Requesting one slot from all lenders would get one from each.
func (k *core) demandForLender(total demand, position, lenders int) [lending.Classes]int {
	var part [lending.Classes]int
	for c, wanted := range total.wanted {
		doublings := min(max(int(total.age[c]/(2*k.config.lending.Spacing)), 0), maxDoublings)
		targets := min(lenders, overRequestFactor*wanted<<doublings)
		if position < targets {
			part[c] = (overRequestFactor*wanted + targets - 1) / targets
		}
	}
	return part
}

// lenders returns the live entry VMs other than this one. The list starts at a
// position that changes, so that entry VMs don't all send their first request to
// the same lender.
func (k *core) lenders() []model.NodeID {
	nodes := k.config.nodes
	out := make([]model.NodeID, 0, len(nodes))
	for n := range nodes {
		node := nodes[(n+k.rotation)%len(nodes)]
		if node != k.config.self && slices.Contains(k.live, node) {
			out = append(out, node)
		}
	}
	return out
}

// returnIdleLoans returns the borrowed slots that stayed idle for a whole
// window.
func (k *core) returnIdleLoans(now model.Instant) {
	if k.borrower.Total() == 0 {
		k.idleLoans = idleWindow{now, 0}
		return
	}
	idle := k.set.TotalFreeSlots(now)
	k.idleLoans.minIdle = min(k.idleLoans.minIdle, idle)
	if now.Sub(k.idleLoans.start) < k.config.lending.KeepIdle {
		return
	}
	if k.idleLoans.minIdle > 0 {
		k.borrower.ReturnIdle(k.idleLoans.minIdle, func(i model.InstanceID) int {
			instance := k.set.Get(i)
			if instance == nil {
				return 0
			}
			return k.ownSlots(i) + k.borrower.Usable(i) - instance.InUse
		})
		k.updateAllAllowed()
	}
	k.idleLoans = idleWindow{now, k.set.TotalFreeSlots(now)}
}

// returnAllLoans returns all idle borrowed slots; it is called at a stop.
func (k *core) returnAllLoans(now model.Instant) {
	for _, c := range k.borrower.Instances() {
		k.borrower.DropInstance(c.Instance)
	}
	k.updateAllAllowed()
	for _, lender := range k.lenders() {
		if k.borrower.MustReportReturn(lender) {
			k.requestSlots(lender, [lending.Classes]int{}, now)
		}
	}
}
