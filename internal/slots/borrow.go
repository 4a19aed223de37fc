package slots

import (
	"slices"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/slots/lending"
)

const (
	// askFactor is how many slots are asked for each one that is needed: a
	// lender that was asked may have none.
	askFactor = 2
	// maxWiden bounds how often the number of lenders asked doubles.
	maxWiden = 6
)

// idleWindow finds how many borrowed slots stayed idle for a while.
type idleWindow struct {
	since model.Instant
	least int
}

// need is what the queue wants from elsewhere: how many slots for each class,
// and how long the oldest request of each waits.
type need struct {
	wanted [lending.Classes]int
	age    [lending.Classes]time.Duration
}

func (n need) none() bool { return n.wanted == [lending.Classes]int{} }

// plan decides which lenders to ask, renew with or give back to.
func (k *core) plan(now model.Instant) {
	k.returnIdle(now)
	n := k.need(now)
	if n.none() && k.book.Quiet() {
		k.asking = need{}
		return
	}
	if k.asking.wanted[classOf(model.Urgent)] == 0 && !n.none() {
		k.rotation = k.config.random(len(k.config.nodes))
	}
	k.asking = n
	lenders := k.lenders()
	patience := k.patience(n)
	for position, lender := range lenders {
		told := k.divide(n, position, len(lenders))
		if k.book.Due(lender, told, patience, now) {
			k.request(lender, told, now)
		}
	}
	k.again = k.again || !n.none()
}

// patienceShare is the part of the wait so far that a request for more may add
// to it; maxPatience bounds it.
const (
	patienceShare = 16
	maxPatience   = 25 // spacings
)

// patience is the least time between two requests for more to one lender: the
// longer the queue is, the less a message can gain. Urgent requests don't wait.
func (k *core) patience(n need) time.Duration {
	if n.wanted[classOf(model.Urgent)] > 0 {
		return 0
	}
	age := slices.Max(n.age[:])
	return min(age/patienceShare, maxPatience*k.config.lending.Spacing)
}

// request sends a lender what is held and wanted.
func (k *core) request(lender model.NodeID, wanted [lending.Classes]int, now model.Instant) {
	r := k.book.Request(lender, wanted, k.run(), true, now)
	r.Service = k.service.ID
	if len(r.Held) == 0 && wanted == [lending.Classes]int{} {
		r.WaitMS = 0
	}
	for _, p := range []model.Priority{model.Batch, model.Normal, model.Urgent} {
		if oldest, ok := k.queue.Oldest(p); ok {
			r.OldestMS[classOf(p)] = now.Sub(oldest).Milliseconds()
		}
	}
	r.Avoid = k.avoided(now)
	k.out.sends = append(k.out.sends, send{lender, r})
}

// avoided are the instances of which no slot is wanted: ejected or busy ones,
// and those to which all connections that this entry VM may open are in use.
func (k *core) avoided(now model.Instant) []model.InstanceID {
	var out []model.InstanceID
	for _, i := range k.set.Listed() {
		id := i.Upstream.Instance
		if k.set.Unavailable(i, now) || i.Own+k.book.Held(id) >= k.rooms[id] {
			out = append(out, id)
		}
	}
	return out
}

// need finds what is wanted from elsewhere. A short wait for an own slot is not
// worth a message.
func (k *core) need(now model.Instant) need {
	var n need
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
		expected := max(rate.Wait(ahead-1, k.slots()), age)
		if rate.Mean() > 0 && expected <= k.config.lending.HelpAfter {
			k.again = true
			continue
		}
		if p != model.Urgent {
			// What is lent is on its way back; borrowing instead would leave this
			// entry VM's slots with others, and theirs here.
			waiting -= k.ledger.Total()
		}
		if waiting > 0 {
			n.wanted[classOf(p)] = waiting
			n.age[classOf(p)] = age
		}
	}
	return n
}

// divide is what the lender at a position is told: of each class, few lenders
// are asked at first, and twice as many for each while that its first request
// still waits. Asking all for one slot would draw one from each.
func (k *core) divide(n need, position, lenders int) [lending.Classes]int {
	var told [lending.Classes]int
	for c, wanted := range n.wanted {
		widen := min(max(int(n.age[c]/(2*k.config.lending.Spacing)), 0), maxWiden)
		asked := min(lenders, askFactor*wanted<<widen)
		if position < asked {
			told[c] = (askFactor*wanted + asked - 1) / asked
		}
	}
	return told
}

// lenders are the live entry VMs to ask, and those of whom something is held,
// from a start that changes, so that not all ask the same one first.
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

// returnIdle gives back the borrowed slots that stayed idle for a whole window.
func (k *core) returnIdle(now model.Instant) {
	if k.book.Total() == 0 {
		k.spare = idleWindow{now, 0}
		return
	}
	idle := k.set.TotalFreeSlots(now)
	k.spare.least = min(k.spare.least, idle)
	if now.Sub(k.spare.since) < k.config.lending.KeepIdle {
		return
	}
	if k.spare.least > 0 {
		k.book.GiveBack(k.spare.least, func(i model.InstanceID) int {
			instance := k.set.Get(i)
			if instance == nil {
				return 0
			}
			return k.own(i) + k.book.Usable(i) - instance.InUse
		})
		k.recountAll()
	}
	k.spare = idleWindow{now, k.set.TotalFreeSlots(now)}
}

// giveBackAll gives all idle loans back; for a stop.
func (k *core) giveBackAll(now model.Instant) {
	for _, c := range k.book.Instances() {
		k.book.Drop(c.Instance)
	}
	k.recountAll()
	for _, lender := range k.lenders() {
		if k.book.Owes(lender) {
			k.request(lender, [lending.Classes]int{}, now)
		}
	}
}
