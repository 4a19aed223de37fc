package lending

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Lender is the lender's side of lending at one entry VM: it records which of
// its own slots are lent and which borrowers want more.
type Lender struct {
	options   Options
	borrowers map[model.NodeID]*borrowerRecord
	// sorted lists the borrowers by name, which makes decisions deterministic.
	sorted []*borrowerRecord
	lent   map[model.InstanceID]int
	total  int
	wanted int
}

// borrowerRecord holds the loans and the demand of one entry VM.
type borrowerRecord struct {
	node        model.NodeID
	incarnation uint64
	number      uint64
	// lent counts the slots that it may have in use, usable those that it may
	// start new requests on.
	lent         map[model.InstanceID]int
	usable       map[model.InstanceID]int
	total        int
	wanted       [Classes]int
	waitingSince [Classes]model.Instant
	avoid        []model.InstanceID
	promisedRun  time.Duration
	// leaseEnds is when the leases end, loanEnds when the requests started under
	// them have ended too.
	leaseEnds model.Instant
	loanEnds  model.Instant
	// urgentUntil is when the urgent demand is dropped.
	urgentUntil model.Instant
	// replyPending is true while a request awaits its reply, which is held until
	// holdUntil at most.
	replyPending bool
	holdUntil    model.Instant
	// replyDue is true when the reply must be sent now.
	replyDue bool
	// recalled is how many slots were recalled and not yet returned.
	recalled int
}

// NewLender returns a lender without loans.
func NewLender(o Options) *Lender {
	return &Lender{options: o.WithDefaults(), borrowers: map[model.NodeID]*borrowerRecord{}, lent: map[model.InstanceID]int{}}
}

// Lent returns the number of slots of an instance that count as lent.
func (l *Lender) Lent(i model.InstanceID) int { return l.lent[i] }

// Total returns the number of slots lent at all instances.
func (l *Lender) Total() int { return l.total }

// Idle reports whether nothing is lent and no reply is held.
func (l *Lender) Idle() bool {
	for _, b := range l.sorted {
		if b.total > 0 || b.replyPending {
			return false
		}
	}
	return true
}

// Receive processes a request. It replaces the record of what the borrower
// holds and keeps the borrower's demand until the reply is sent. The error is
// ErrStaleRequest.
func (l *Lender) Receive(r Request, now model.Instant) error {
	if err := l.CheckRequest(r); err != nil {
		return err
	}
	b := l.borrowers[r.Borrower]
	if b == nil {
		b = l.addBorrower(r.Borrower)
	}
	b.incarnation = r.Incarnation
	b.number = r.Number
	l.setHeld(b, r.Held)
	b.promisedRun = durationOf(r.RunMS)
	b.avoid = r.Avoid
	l.setWanted(b, r.Wanted)
	for c, ms := range r.OldestMS {
		b.waitingSince[c] = now.Add(-durationOf(ms))
	}
	b.urgentUntil = now.Add(urgentIntervals * l.options.Spacing)
	b.replyPending = true
	b.holdUntil = now.Add(min(durationOf(r.WaitMS), l.options.HoldReply))
	b.replyDue = r.WaitMS <= 0
	l.extendLease(b, now)
	return nil
}

// CheckRequest returns ErrStaleRequest for a request that a later one has
// overtaken.
func (l *Lender) CheckRequest(r Request) error {
	b := l.borrowers[r.Borrower]
	if b != nil && !l.options.Rules.AcceptStaleRequests && isStale(b, r) {
		return ErrStaleRequest
	}
	return nil
}

// isStale reports whether the request was sent before one that was already
// received. A late copy could list slots that were returned since, or lack some
// that were granted since.
func isStale(b *borrowerRecord, r Request) bool {
	if r.Incarnation != b.incarnation {
		return r.Incarnation < b.incarnation
	}
	return r.Number <= b.number
}

// AdoptLoans records the slots that a borrower holds from an earlier process of
// this lender.
func (l *Lender) AdoptLoans(node model.NodeID, recovery Recovery, now model.Instant) {
	b := l.borrowers[node]
	if b == nil {
		b = l.addBorrower(node)
	}
	if isStale(b, Request{Incarnation: recovery.Incarnation, Number: recovery.Number + 1}) {
		return // A later request has already reported them.
	}
	b.incarnation = recovery.Incarnation
	b.number = recovery.Number
	b.promisedRun = durationOf(recovery.RunMS)
	l.setHeld(b, recovery.Held)
	l.extendLease(b, now)
}

func (l *Lender) addBorrower(node model.NodeID) *borrowerRecord {
	b := &borrowerRecord{node: node}
	l.borrowers[node] = b
	l.sorted = append(l.sorted, b)
	slices.SortFunc(l.sorted, func(a, b *borrowerRecord) int { return cmp.Compare(a.node, b.node) })
	return b
}

// setHeld replaces the record of the slots that a borrower holds.
func (l *Lender) setHeld(b *borrowerRecord, held []Holding) {
	for i, n := range b.lent {
		l.lent[i] -= n
		if l.lent[i] == 0 {
			delete(l.lent, i)
		}
	}
	l.total -= b.total
	b.lent = map[model.InstanceID]int{}
	b.usable = map[model.InstanceID]int{}
	b.total = 0
	b.recalled = 0
	for _, h := range held {
		if h.Slots <= 0 {
			continue
		}
		b.lent[h.Instance] += h.Slots
		b.usable[h.Instance] += h.Usable
		l.lent[h.Instance] += h.Slots
		b.total += h.Slots
		b.recalled += h.Slots - h.Usable
	}
	l.total += b.total
}

func (l *Lender) setWanted(b *borrowerRecord, wanted [Classes]int) {
	for c := range wanted {
		l.wanted += wanted[c] - b.wanted[c]
	}
	b.wanted = wanted
}

// extendLease restarts the lease of a borrower's loans.
func (l *Lender) extendLease(b *borrowerRecord, now model.Instant) {
	b.leaseEnds = now.Add(l.options.Lease)
	b.loanEnds = max(b.loanEnds, b.leaseEnds.Add(b.promisedRun))
	if l.options.Rules.FreeAtLeaseEnd {
		b.loanEnds = b.leaseEnds
	}
}

// DueReply is a reply to send now.
type DueReply struct {
	Node        model.NodeID
	Incarnation uint64
	Number      uint64
	Reply       Reply
}

// DueReplies returns the replies that are due: those that grant or recall slots
// and those that must not be held any longer.
func (l *Lender) DueReplies(now model.Instant) []DueReply {
	var due []DueReply
	for _, b := range l.sorted {
		if !b.replyPending || (!b.replyDue && now < b.holdUntil) {
			continue
		}
		b.replyPending = false
		b.replyDue = false
		l.setWanted(b, [Classes]int{})
		l.extendLease(b, now)
		due = append(due, DueReply{b.node, b.incarnation, b.number, Reply{
			Loans: counts(b.usable), LeaseMS: l.options.Lease.Milliseconds(),
		}})
	}
	return due
}

// DropPending drops a request whose sender no longer waits for the reply.
func (l *Lender) DropPending(node model.NodeID, number uint64) {
	if b := l.borrowers[node]; b != nil && b.number == number {
		b.replyPending = false
		l.setWanted(b, [Classes]int{})
	}
}

// ExpireLoans ends loans whose lease has ended and on which no request can still
// run.
func (l *Lender) ExpireLoans(now model.Instant) {
	for _, b := range l.sorted {
		if b.replyPending || now < b.leaseEnds {
			continue
		}
		// A borrower that doesn't respond won't return recalled slots before the
		// loan ends. They must not count towards the slots that Recall expects
		// back, or it would recall too few from other borrowers.
		b.recalled = 0
		if now >= b.loanEnds && b.total > 0 {
			l.setHeld(b, nil)
		}
	}
}

// counts lists the instances with slots, sorted by name.
func counts(m map[model.InstanceID]int) []SlotCount {
	var out []SlotCount
	for i, n := range m {
		if n > 0 {
			out = append(out, SlotCount{Instance: i, Slots: n})
		}
	}
	slices.SortFunc(out, func(a, b SlotCount) int { return cmp.Compare(a.Instance, b.Instance) })
	return out
}
