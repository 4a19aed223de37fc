package slots

import (
	"time"

	"github.com/comfreyloom/comfreyloom/internal/admission"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/slots/lending"
)

// maxSkips bounds how many waiting requests are skipped because the only free
// slot is at an instance that they can't use.
const maxSkips = 8

// distribute hands out free slots, recalls lent slots that are needed here,
// requests more from other entry VMs and sends the replies that are due.
func (k *core) distribute(now model.Instant) {
	k.needsTick = false
	k.allocate(now)
	if !k.config.lendingEnabled {
		return
	}
	k.recallSlots(now)
	k.planRequests(now)
	k.pendingEffects.replies = append(k.pendingEffects.replies, k.lender.DueReplies(now)...)
	k.needsTick = k.needsTick || k.borrower.RequestDueSoon()
}

// allocate gives the free slots to requests that wait here and at borrowers:
// the higher class first, within a class the longer wait.
func (k *core) allocate(now model.Instant) {
	k.lender.ExpireUrgentDemand(now)
	localDone := k.queue.Len() == 0
	var skip map[model.NodeID]bool
	for {
		demand, remote := k.lender.BestDemand(skip)
		if localDone && !remote {
			return
		}
		if !localDone && (!remote || k.localPrecedes(demand, now)) {
			localDone = !k.grantOne(now) || k.queue.Len() == 0
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

// localPrecedes reports whether the next request of the queue precedes a request
// at a borrower.
func (k *core) localPrecedes(d lending.Demand, now model.Instant) bool {
	t := k.queue.First(now)
	if t == nil {
		return false
	}
	localClass := classOf(t.Priority)
	if localClass != d.Class {
		return localClass > d.Class
	}
	return t.Entered <= d.Since.Add(k.localMargin(localClass))
}

// grantOne gives a slot to the first waiting request that can use one.
func (k *core) grantOne(now model.Instant) bool {
	granted := false
	skips := 0
	k.queue.Each(now, func(t *ticket) bool {
		if !k.queue.Expired(t, now) {
			use, ok := k.pick(t.Value.request, now)
			if ok {
				k.queue.Take(t)
				t.Value.respond(use, nil)
				granted = true
				return false
			}
		}
		skips++
		return skips < maxSkips
	})
	return granted
}

// lendOne lends one free slot of this entry VM's own. A few free slots are
// reserved for local requests, unless the borrower's request is urgent.
func (k *core) lendOne(d lending.Demand, now model.Instant) bool {
	if len(k.unrecovered) > 0 {
		return false
	}
	if d.Class != classOf(model.Urgent) && k.set.TotalFreeSlots(now) <= k.reservedSlots() {
		return false
	}
	best, mostFree := model.InstanceID(""), 0
	for _, i := range k.set.Listed() {
		id := i.Upstream.Instance
		free := k.set.FreeSlots(i, now)
		if k.config.lending.Rules.LendSlotsInUse {
			free = max(free, 1)
		}
		if free > mostFree && k.ownSlots(id) > 0 && !k.lender.AvoidsInstance(d.Node, id) {
			best, mostFree = id, free
		}
	}
	if mostFree == 0 {
		return false
	}
	k.lender.Lend(d, best)
	k.updateAllowed(best)
	return true
}

// reserveShare is the number of slots in use here for which one free slot is
// reserved.
const reserveShare = 8

// reservedSlots returns how many free slots are reserved for local requests.
func (k *core) reservedSlots() int {
	inUse := k.set.InUse()
	return (inUse + reserveShare - 1) / reserveShare
}

// recallSlots recalls lent slots for requests that wait here and for urgent ones
// that wait at another borrower.
func (k *core) recallSlots(now model.Instant) {
	if k.lender.Total() == 0 {
		return
	}
	need := 0
	for _, p := range []model.Priority{model.Urgent, model.Normal, model.Batch} {
		oldest, ok := k.queue.Oldest(p)
		if !ok {
			continue
		}
		need += k.queue.Waiting(p)
		k.lender.Recall(classOf(p), oldest.Add(-k.localMargin(classOf(p))), need, "")
	}
	if d, ok := k.lender.BestDemand(nil); ok && d.Class == classOf(model.Urgent) {
		k.lender.Recall(d.Class, d.Since, need+1, d.Node)
	}
}

// localMargin returns how much longer a request at another entry VM must have
// waited than a local one of the same class to precede it. Without this margin
// slots would constantly move between entry VMs.
func (k *core) localMargin(class int) time.Duration {
	if class == classOf(model.Urgent) {
		return k.config.lending.UrgentLocalMargin
	}
	return k.config.lending.LocalMargin
}

// classOf returns the index of a priority in the messages of lending.
func classOf(p model.Priority) int { return admission.Class(p) }

// receiveRequest processes a request of a borrower. The reply is among the
// effects of this step or a later one.
func (k *core) receiveRequest(r lending.Request, now model.Instant) error {
	if err := k.lender.Receive(r, now); err != nil {
		return err
	}
	k.recordIncarnation(r)
	k.updateAllAllowed()
	k.distribute(now)
	return nil
}

// receiveReply processes a lender's reply.
func (k *core) receiveReply(lender model.NodeID, number uint64, r lending.Reply, now model.Instant) {
	if !k.borrower.ApplyReply(lender, number, r, now) {
		return
	}
	k.updateAllAllowed()
	k.distribute(now)
}

// requestFailed records that a request got no reply.
func (k *core) requestFailed(lender model.NodeID, number uint64, now model.Instant) {
	k.borrower.RequestFailed(lender, number)
	k.distribute(now)
}
