package slots

import (
	"slices"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/balance"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/slots/lending"
)

// DefaultTakeOverAfter is how long an entry VM must be lost before others use its
// share.
const DefaultTakeOverAfter = 15 * time.Second

// members sets which entry VMs are live and whether a quorum confirmed it.
func (k *core) members(live []model.NodeID, confirmed bool, now model.Instant) {
	k.live = live
	k.confirmed = confirmed
	k.losses.update(k.config.nodes, live, now)
}

// lossTracker records since when entry VMs have been lost.
type lossTracker struct {
	lostAt map[model.NodeID]model.Instant
}

func (t *lossTracker) update(nodes, live []model.NodeID, now model.Instant) {
	if t.lostAt == nil {
		t.lostAt = map[model.NodeID]model.Instant{}
	}
	for _, n := range nodes {
		_, known := t.lostAt[n]
		switch {
		case slices.Contains(live, n):
			delete(t.lostAt, n)
		case !known:
			t.lostAt[n] = now
		}
	}
}

// lostFor reports whether a node has been lost for at least d.
func (t *lossTracker) lostFor(n model.NodeID, d time.Duration, now model.Instant) bool {
	at, lost := t.lostAt[n]
	return lost && now.Sub(at) >= d
}

// handover holds the slots that an entry VM handed over when it stopped.
type handover struct {
	incarnation uint64
	slots       []lending.SlotCount
}

// successor returns the entry VM that uses the slots of a lost one at an
// instance. The rendezvous hash selects exactly one, so that two entry VMs don't
// use the same slots.
func (k *core) successor(successors []model.NodeID, lost model.NodeID, i model.InstanceID) model.NodeID {
	return balance.Rank(successors, k.hashKey(i)+"/"+string(lost))[0]
}

// takeOverShares uses the slots that stopped entry VMs handed over and the
// shares of entry VMs that have been lost for long, both only with a majority.
// Otherwise these slots would stay idle until the entry VMs are repaired.
func (k *core) takeOverShares(now model.Instant) {
	if now.Sub(k.lastTakeOver) < k.config.lending.Lease/3 {
		return
	}
	k.lastTakeOver = now
	k.takenOver = nil
	successors := k.successors(now)
	for _, n := range k.config.nodes {
		handedOver, stopped := k.handovers[n]
		switch {
		case !slices.Contains(successors, n):
			k.useShare(n, k.inheritedSlots(successors, n), now)
		case stopped && k.hasMajority():
			k.useShare(n, handedOver.slots, now)
		}
	}
}

// useShare uses slots of an entry VM that is lost or has stopped.
func (k *core) useShare(from model.NodeID, slots []lending.SlotCount, now model.Instant) {
	k.borrower.TakeOver(from, slots, k.promisedRun(), now)
	k.takenOver = append(k.takenOver, from)
}

// hasMajority reports whether this entry VM is in contact with more than half of
// all. A partitioned one must not use slots that others may use.
func (k *core) hasMajority() bool { return k.confirmed && 2*len(k.live) > len(k.config.nodes) }

// successors returns the entry VMs that have not been lost for long.
func (k *core) successors(now model.Instant) []model.NodeID {
	after := k.config.takeOverAfter
	if after < 0 || len(k.losses.lostAt) == 0 || !k.hasMajority() {
		return k.config.nodes
	}
	after = max(after, k.loanEndTimeout())
	var successors []model.NodeID
	for _, n := range k.config.nodes {
		if !k.losses.lostFor(n, after, now) {
			successors = append(successors, n)
		}
	}
	return successors
}

// loanEndTimeout returns the time after which the loans that an entry VM gave or
// took have expired and the requests on them have ended, whichever side lost
// contact first.
func (k *core) loanEndTimeout() time.Duration { return 2*k.config.lending.Lease + k.maxRun() }

// inheritedSlots returns the part of a lost entry VM's share that this one uses.
func (k *core) inheritedSlots(successors []model.NodeID, lost model.NodeID) []lending.SlotCount {
	var out []lending.SlotCount
	for _, i := range k.set.Listed() {
		id := i.Upstream.Instance
		if k.successor(successors, lost, id) == k.config.self {
			out = append(out, lending.SlotCount{Instance: id, Slots: k.shareOf(lost, i.Upstream)})
		}
	}
	return out
}

// handOverShare hands this entry VM's share over to others when it stops, except
// for the slots that are lent or in use.
func (k *core) handOverShare() {
	var successors []model.NodeID
	for _, n := range k.config.nodes {
		if n != k.config.self && slices.Contains(k.live, n) {
			successors = append(successors, n)
		}
	}
	if len(successors) == 0 {
		return
	}
	slotsFor := map[model.NodeID][]lending.SlotCount{}
	for _, i := range k.set.Listed() {
		id := i.Upstream.Instance
		if n := k.ownSlots(id) - i.InUse; n > 0 {
			successor := k.successor(successors, k.config.self, id)
			slotsFor[successor] = append(slotsFor[successor], lending.SlotCount{Instance: id, Slots: n})
		}
	}
	k.handedOver = true
	k.updateAllAllowed()
	for _, n := range successors {
		if len(slotsFor[n]) > 0 {
			r := lending.Request{Service: k.service.ID, Borrower: k.config.self, Incarnation: k.config.incarnation, Handover: slotsFor[n], Receiver: k.incarnations[n]}
			k.pendingEffects.calls = append(k.pendingEffects.calls, peerCall{n, r})
		}
	}
}

// receiveHandover records the slots that a stopping entry VM hands over.
func (k *core) receiveHandover(r lending.Request, now model.Instant) {
	if r.Receiver != k.config.incarnation || !k.recordIncarnation(r) {
		return
	}
	k.handovers[r.Borrower] = handover{r.Incarnation, r.Handover}
	k.lastTakeOver = 0
	k.takeOverShares(now)
	k.updateAllAllowed()
	k.distribute(now)
}

// recordIncarnation records the process that sent a message. It reports false if
// a later process of that entry VM is already known. What an earlier process
// handed over ends when a later one starts.
func (k *core) recordIncarnation(r lending.Request) bool {
	if r.Incarnation < k.incarnations[r.Borrower] {
		return false
	}
	k.incarnations[r.Borrower] = r.Incarnation
	if handedOver, ok := k.handovers[r.Borrower]; ok && handedOver.incarnation < r.Incarnation {
		delete(k.handovers, r.Borrower)
	}
	return true
}

// recoverGraceLeases is how long after its start an entry VM waits for others
// that are not live to report what they hold, as a multiple of the lease.
const recoverGraceLeases = 2

// recoverTriesPerLease is how often the recovery request is sent within a lease.
const recoverTriesPerLease = 10

// requestRecovery asks the other entry VMs which slots they hold from an earlier
// process of this one. Otherwise a restarted entry VM would use slots that are
// still lent.
func (k *core) requestRecovery(now model.Instant) {
	if len(k.unrecovered) == 0 {
		return
	}
	if now.Sub(k.lastRecoveryRequest) < k.config.lending.Lease/recoverTriesPerLease {
		return
	}
	k.lastRecoveryRequest = now
	uptime := now.Sub(k.started)
	graceOver := uptime >= recoverGraceLeases*k.config.lending.Lease
	if !k.hasMajority() {
		graceOver = k.config.takeOverAfter > 0 && uptime >= max(k.config.takeOverAfter, k.loanEndTimeout())
	}
	for _, n := range k.config.nodes {
		if !k.unrecovered[n] {
			continue
		}
		if graceOver && !slices.Contains(k.live, n) {
			delete(k.unrecovered, n)
			continue
		}
		k.pendingEffects.calls = append(k.pendingEffects.calls, peerCall{n, lending.Request{
			Service: k.service.ID, Borrower: k.config.self, Incarnation: k.config.incarnation, Recover: true,
		}})
	}
}

// receiveRecovery records which slots another entry VM holds from an earlier
// process of this one.
func (k *core) receiveRecovery(from model.NodeID, r lending.Reply, now model.Instant) {
	if !k.unrecovered[from] {
		return
	}
	if r.Recovery != nil {
		k.lender.AdoptLoans(from, *r.Recovery, now)
		k.incarnations[from] = max(k.incarnations[from], r.Recovery.Incarnation)
	}
	delete(k.unrecovered, from)
	k.updateAllAllowed()
	k.distribute(now)
}

// recoveryReply returns the slots that are held of an entry VM that restarted.
func (k *core) recoveryReply(r lending.Request) lending.Reply {
	k.recordIncarnation(r)
	return lending.Reply{Recovery: k.borrower.LenderRestarted(r.Borrower)}
}
