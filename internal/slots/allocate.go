package slots

import (
	"time"

	"github.com/comfreyloom/comfreyloom/internal/admission"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/slots/lending"
)

// maxSkips bounds how many waiting requests are passed over because the only
// free slot is at an instance which they can't use.
const maxSkips = 8

// settle hands out what is free, calls back what is needed here, asks other
// entry VMs for more and sends the replies that are due.
func (k *core) settle(now model.Instant) {
	k.again = false
	k.allocate(now)
	if !k.config.lend {
		return
	}
	k.recall(now)
	k.plan(now)
	k.out.answers = append(k.out.answers, k.ledger.Answers(now)...)
	k.again = k.again || k.book.Waits()
}

// allocate gives the free slots to the requests that wait here and at the
// borrowers: the higher class first, within a class the longer wait.
func (k *core) allocate(now model.Instant) {
	k.ledger.DropUrgent(now)
	blocked := k.queue.Len() == 0
	var skip map[model.NodeID]bool
	for {
		demand, remote := k.ledger.Best(skip)
		if blocked && !remote {
			return
		}
		if !blocked && (!remote || k.localFirst(demand, now)) {
			blocked = !k.grantOne(now) || k.queue.Len() == 0
			continue
		}
		if !k.lendOne(demand, now) {
			if skip == nil {
				skip = map[model.NodeID]bool{}
			}
			skip[demand.Node] = true
		}
	}
}

// localFirst reports whether the next request of the queue goes before a
// request at a borrower.
func (k *core) localFirst(d lending.Demand, now model.Instant) bool {
	t := k.queue.First(now)
	if t == nil {
		return false
	}
	mine := classOf(t.Priority)
	if mine != d.Class {
		return mine > d.Class
	}
	return t.Entered <= d.Since.Add(k.margin(mine))
}

// grantOne gives a slot to the first request that can use one.
func (k *core) grantOne(now model.Instant) bool {
	granted := false
	skips := 0
	k.queue.Each(now, func(t *ticket) bool {
		if !k.queue.Expired(t, now) {
			use, ok := k.pick(t.Value.ask, now)
			if ok {
				k.queue.Take(t)
				t.Value.answer(use, nil)
				granted = true
				return false
			}
		}
		skips++
		return skips < maxSkips
	})
	return granted
}

// lendOne lends a free slot that is this entry VM's own. A few stay here for
// the next request, unless the borrower's is urgent.
func (k *core) lendOne(d lending.Demand, now model.Instant) bool {
	if len(k.unrecovered) > 0 {
		return false
	}
	if d.Class != classOf(model.Urgent) && k.set.TotalFreeSlots(now) <= k.reserve() {
		return false
	}
	best, most := model.InstanceID(""), 0
	for _, i := range k.set.Listed() {
		id := i.Upstream.Instance
		idle := k.set.FreeSlots(i, now)
		if k.config.lending.Rules.LendBlind {
			idle = max(idle, 1)
		}
		if idle > most && k.own(id) > 0 && !k.ledger.Avoids(d.Node, id) {
			best, most = id, idle
		}
	}
	if most == 0 {
		return false
	}
	k.ledger.Lend(d, best)
	k.recount(best)
	return true
}

// reserveShare: one slot stays free for each so many in use here.
const reserveShare = 8

func (k *core) reserve() int {
	inUse := k.set.InUse()
	return (inUse + reserveShare - 1) / reserveShare
}

// recall calls lent slots back for requests that wait here, and for urgent
// ones that wait at another borrower.
func (k *core) recall(now model.Instant) {
	if k.ledger.Total() == 0 {
		return
	}
	need := 0
	for _, p := range []model.Priority{model.Urgent, model.Normal, model.Batch} {
		oldest, ok := k.queue.Oldest(p)
		if !ok {
			continue
		}
		need += k.queue.Waiting(p)
		k.ledger.Recall(classOf(p), oldest.Add(-k.margin(classOf(p))), need, "")
	}
	if d, ok := k.ledger.Best(nil); ok && d.Class == classOf(model.Urgent) {
		k.ledger.Recall(d.Class, d.Since, need+1, d.Node)
	}
}

// margin is how much longer a request elsewhere must have waited to go before
// a local one of the same class; without it slots would move all the time.
func (k *core) margin(class int) time.Duration {
	if class == classOf(model.Urgent) {
		return k.config.lending.UrgentMargin
	}
	return k.config.lending.Margin
}

// classOf is the index of a priority in the messages of lending.
func classOf(p model.Priority) int { return admission.Class(p) }

// receive takes in a request of a borrower. Its answer is among the effects,
// at once or later.
func (k *core) receive(r lending.Request, now model.Instant) error {
	if err := k.ledger.Receive(r, now); err != nil {
		return err
	}
	k.known(r)
	k.recountAll()
	k.settle(now)
	return nil
}

// applied takes in a lender's reply.
func (k *core) applied(lender model.NodeID, number uint64, r lending.Reply, now model.Instant) {
	if !k.book.Apply(lender, number, r, now) {
		return
	}
	k.recountAll()
	k.settle(now)
}

// failed says that a request got no reply.
func (k *core) failed(lender model.NodeID, number uint64, now model.Instant) {
	k.book.Fail(lender, number)
	k.settle(now)
}
