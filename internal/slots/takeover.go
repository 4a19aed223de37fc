package slots

import (
	"slices"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/balance"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/slots/lending"
)

// DefaultReclaimAfter is when the share of a lost entry VM is used by others.
const DefaultReclaimAfter = 15 * time.Second

// members takes in which entry VMs are live, and whether a quorum confirmed it.
func (k *core) members(live []model.NodeID, confirmed bool, now model.Instant) {
	k.live = live
	k.confirmed = confirmed
	k.lost.update(k.config.nodes, live, now)
}

// lossTracker remembers since when entry VMs are gone.
type lossTracker struct {
	gone map[model.NodeID]model.Instant
}

func (t *lossTracker) update(nodes, live []model.NodeID, now model.Instant) {
	if t.gone == nil {
		t.gone = map[model.NodeID]model.Instant{}
	}
	for _, n := range nodes {
		_, known := t.gone[n]
		switch {
		case slices.Contains(live, n):
			delete(t.gone, n)
		case !known:
			t.gone[n] = now
		}
	}
}

// since reports whether a node is gone for at least d.
func (t *lossTracker) since(n model.NodeID, d time.Duration, now model.Instant) bool {
	at, gone := t.gone[n]
	return gone && now.Sub(at) >= d
}

// handover is what an entry VM that stopped left to this one.
type handover struct {
	incarnation uint64
	slots       []lending.Count
}

// successor names who uses the slots of a lost entry VM at an instance: one
// for each by rendezvous hash, so that two don't take the same ones.
func (k *core) successor(successors []model.NodeID, lost model.NodeID, i model.InstanceID) model.NodeID {
	return balance.Rank(successors, k.key(i)+"/"+string(lost))[0]
}

// takeOver uses the shares of entry VMs that stopped and left theirs, or are
// lost for long while most entry VMs are in contact. Otherwise their slots
// would lie idle until somebody repairs them.
func (k *core) takeOver(now model.Instant) {
	if now.Sub(k.tookOverAt) < k.config.lending.Lease/3 {
		return
	}
	k.tookOverAt = now
	k.takenOver = nil
	successors := k.successors(now)
	for _, n := range k.config.nodes {
		left, stopped := k.handovers[n]
		switch {
		case !slices.Contains(successors, n):
			k.take(n, k.portion(successors, n), now)
		case stopped && k.majority():
			k.take(n, left.slots, now)
		}
	}
}

// take uses slots of an entry VM that is gone.
func (k *core) take(from model.NodeID, slots []lending.Count, now model.Instant) {
	k.book.TakeOver(from, slots, k.run(), now)
	k.takenOver = append(k.takenOver, from)
}

// majority reports whether this entry VM is in contact with more than half of
// all. One that is cut off leaves alone what others may use meanwhile.
func (k *core) majority() bool { return k.confirmed && 2*len(k.live) > len(k.config.nodes) }

// successors are the entry VMs that are not lost for long.
func (k *core) successors(now model.Instant) []model.NodeID {
	after := k.config.reclaimAfter
	if after < 0 || len(k.lost.gone) == 0 || !k.majority() {
		return k.config.nodes
	}
	after = max(after, k.waitOut())
	var successors []model.NodeID
	for _, n := range k.config.nodes {
		if !k.lost.since(n, after, now) {
			successors = append(successors, n)
		}
	}
	return successors
}

// waitOut is when the loans that an entry VM gave or took have lapsed and the
// requests on them have ended, whoever lost contact first.
func (k *core) waitOut() time.Duration { return 2*k.config.lending.Lease + k.maxRun() }

// portion is the part of a lost entry VM's share that falls to this one.
func (k *core) portion(successors []model.NodeID, lost model.NodeID) []lending.Count {
	var out []lending.Count
	for _, i := range k.set.Listed() {
		id := i.Upstream.Instance
		if k.successor(successors, lost, id) == k.config.self {
			out = append(out, lending.Count{Instance: id, Slots: k.shareOf(lost, i.Upstream)})
		}
	}
	return out
}

// handOver leaves the own share to the others when this entry VM stops. What is
// lent or in use stays out of it.
func (k *core) handOver() {
	var successors []model.NodeID
	for _, n := range k.config.nodes {
		if n != k.config.self && slices.Contains(k.live, n) {
			successors = append(successors, n)
		}
	}
	if len(successors) == 0 {
		return
	}
	left := map[model.NodeID][]lending.Count{}
	for _, i := range k.set.Listed() {
		id := i.Upstream.Instance
		if n := k.own(id) - i.InUse; n > 0 {
			successor := k.successor(successors, k.config.self, id)
			left[successor] = append(left[successor], lending.Count{Instance: id, Slots: n})
		}
	}
	k.handedOver = true
	k.recountAll()
	for _, n := range successors {
		if len(left[n]) > 0 {
			r := lending.Request{Service: k.service.ID, Borrower: k.config.self, Incarnation: k.config.incarnation, Handover: left[n], Receiver: k.processes[n]}
			k.out.sends = append(k.out.sends, send{n, r})
		}
	}
}

// receiveHandover takes in what an entry VM left that stops.
func (k *core) receiveHandover(r lending.Request, now model.Instant) {
	if r.Receiver != k.config.incarnation || !k.known(r) {
		return
	}
	k.handovers[r.Borrower] = handover{r.Incarnation, r.Handover}
	k.tookOverAt = 0
	k.takeOver(now)
	k.recountAll()
	k.settle(now)
}

// known takes note of the process that a message comes from, and reports
// false when a later one was heard of: what an earlier process left ends when
// a later one starts.
func (k *core) known(r lending.Request) bool {
	if r.Incarnation < k.processes[r.Borrower] {
		return false
	}
	k.processes[r.Borrower] = r.Incarnation
	if left, ok := k.handovers[r.Borrower]; ok && left.incarnation < r.Incarnation {
		delete(k.handovers, r.Borrower)
	}
	return true
}

// recoverGrace is how long after its start an entry VM waits for another one
// that is not live to say what it holds: as long as a lease.
const recoverGrace = 2

// recoverTries is how often it asks again within a lease.
const recoverTries = 10

// recover asks the other entry VMs what they hold of the shares of an earlier
// process of this one. Without it a restarted entry VM would use slots that
// are still lent.
func (k *core) recover(now model.Instant) {
	if len(k.unrecovered) == 0 {
		return
	}
	if now.Sub(k.asked) < k.config.lending.Lease/recoverTries {
		return
	}
	k.asked = now
	age := now.Sub(k.started)
	old := age >= recoverGrace*k.config.lending.Lease
	if !k.majority() {
		old = k.config.reclaimAfter > 0 && age >= max(k.config.reclaimAfter, k.waitOut())
	}
	for _, n := range k.config.nodes {
		if !k.unrecovered[n] {
			continue
		}
		if old && !slices.Contains(k.live, n) {
			delete(k.unrecovered, n)
			continue
		}
		k.out.sends = append(k.out.sends, send{n, lending.Request{
			Service: k.service.ID, Borrower: k.config.self, Incarnation: k.config.incarnation, Recover: true,
		}})
	}
}

// recovered takes in what another entry VM holds of an earlier process here.
func (k *core) recovered(from model.NodeID, r lending.Reply, now model.Instant) {
	if !k.unrecovered[from] {
		return
	}
	if r.Debt != nil {
		k.ledger.Adopt(from, *r.Debt, now)
		k.processes[from] = max(k.processes[from], r.Debt.Incarnation)
	}
	delete(k.unrecovered, from)
	k.recountAll()
	k.settle(now)
}

// holding answers what is held of another entry VM that restarted.
func (k *core) holding(r lending.Request) lending.Reply {
	k.known(r)
	return lending.Reply{Debt: k.book.Restarted(r.Borrower)}
}
