package lending

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Ledger is the lender's side: which of its own slots are lent, and who wants more.
type Ledger struct {
	options   Options
	borrowers map[model.NodeID]*borrower
	// order lists the borrowers by name, so that every run decides the same.
	order  []*borrower
	lent   map[model.InstanceID]int
	total  int
	wanted int
}

// borrower is what the lender knows of one entry VM.
type borrower struct {
	node        model.NodeID
	incarnation uint64
	number      uint64
	// counted is what it may have in use, allowed what it may start work on.
	counted map[model.InstanceID]int
	allowed map[model.InstanceID]int
	total   int
	wanted  [Classes]int
	since   [Classes]model.Instant
	avoid   []model.InstanceID
	run     time.Duration
	// lapses is when the leases end, ends when the requests on them have.
	lapses model.Instant
	ends   model.Instant
	// urgentUntil is when the urgent demand is dropped.
	urgentUntil model.Instant
	// pending says that a request waits for its reply, until pendingUntil.
	pending      bool
	pendingUntil model.Instant
	// offered says that the reply should go out now.
	offered bool
	// recalled is how many slots it was told to give back and has not yet.
	recalled int
}

// NewLedger returns an empty ledger.
func NewLedger(o Options) *Ledger {
	return &Ledger{options: o.WithDefaults(), borrowers: map[model.NodeID]*borrower{}, lent: map[model.InstanceID]int{}}
}

// Lent is how many slots of an instance count as lent.
func (l *Ledger) Lent(i model.InstanceID) int { return l.lent[i] }

// Total is how many slots count as lent at all instances.
func (l *Ledger) Total() int { return l.total }

// Quiet reports whether nothing is lent or wanted, and no reply is due.
func (l *Ledger) Quiet() bool {
	for _, b := range l.order {
		if b.total > 0 || b.pending {
			return false
		}
	}
	return true
}

// Receive takes in a request. What the borrower holds is as it says; its
// demand is kept until the reply goes out. The error is ErrStale.
func (l *Ledger) Receive(r Request, now model.Instant) error {
	if err := l.Check(r); err != nil {
		return err
	}
	b := l.borrowers[r.Borrower]
	if b == nil {
		b = l.open(r.Borrower)
	}
	b.incarnation = r.Incarnation
	b.number = r.Number
	l.count(b, r.Held)
	b.run = span(r.RunMS)
	b.avoid = r.Avoid
	l.want(b, r.Wanted)
	for c, ms := range r.OldestMS {
		b.since[c] = now.Add(-span(ms))
	}
	b.urgentUntil = now.Add(urgentLife * l.options.Spacing)
	b.pending = true
	b.pendingUntil = now.Add(min(span(r.WaitMS), l.options.HoldReply))
	b.offered = r.WaitMS <= 0
	l.extend(b, now)
	return nil
}

// Check reports ErrStale for a request that was overtaken by a later one.
func (l *Ledger) Check(r Request) error {
	b := l.borrowers[r.Borrower]
	if b != nil && !l.options.Rules.TakeStale && stale(b, r) {
		return ErrStale
	}
	return nil
}

// stale reports whether the request was sent before one that came already. A
// late copy would tell of slots that were given back, or hide some that were
// granted since.
func stale(b *borrower, r Request) bool {
	if r.Incarnation != b.incarnation {
		return r.Incarnation < b.incarnation
	}
	return r.Number <= b.number
}

// Adopt counts slots that a borrower says it holds of an earlier process here.
func (l *Ledger) Adopt(node model.NodeID, d Debt, now model.Instant) {
	b := l.borrowers[node]
	if b == nil {
		b = l.open(node)
	}
	if stale(b, Request{Incarnation: d.Incarnation, Number: d.Number + 1}) {
		return // A later request told of it already.
	}
	b.incarnation = d.Incarnation
	b.number = d.Number
	b.run = span(d.RunMS)
	l.count(b, d.Held)
	l.extend(b, now)
}

func (l *Ledger) open(node model.NodeID) *borrower {
	b := &borrower{node: node}
	l.borrowers[node] = b
	l.order = append(l.order, b)
	slices.SortFunc(l.order, func(a, b *borrower) int { return cmp.Compare(a.node, b.node) })
	return b
}

// count makes held what the borrower has.
func (l *Ledger) count(b *borrower, held []Holding) {
	for i, n := range b.counted {
		l.lent[i] -= n
		if l.lent[i] == 0 {
			delete(l.lent, i)
		}
	}
	l.total -= b.total
	b.counted = map[model.InstanceID]int{}
	b.allowed = map[model.InstanceID]int{}
	b.total = 0
	b.recalled = 0
	for _, h := range held {
		if h.Slots <= 0 {
			continue
		}
		b.counted[h.Instance] += h.Slots
		b.allowed[h.Instance] += h.Usable
		l.lent[h.Instance] += h.Slots
		b.total += h.Slots
		b.recalled += h.Slots - h.Usable
	}
	l.total += b.total
}

func (l *Ledger) want(b *borrower, wanted [Classes]int) {
	for c := range wanted {
		l.wanted += wanted[c] - b.wanted[c]
	}
	b.wanted = wanted
}

// extend counts the leases from now.
func (l *Ledger) extend(b *borrower, now model.Instant) {
	b.lapses = now.Add(l.options.Lease)
	b.ends = max(b.ends, b.lapses.Add(b.run))
	if l.options.Rules.FreeAtLapse {
		b.ends = b.lapses
	}
}

// Answer is a reply that should go out now.
type Answer struct {
	Node        model.NodeID
	Incarnation uint64
	Number      uint64
	Reply       Reply
}

// Answers returns the replies that are due: with something to say, or held
// for as long as they may be.
func (l *Ledger) Answers(now model.Instant) []Answer {
	var due []Answer
	for _, b := range l.order {
		if !b.pending || (!b.offered && now < b.pendingUntil) {
			continue
		}
		b.pending = false
		b.offered = false
		l.want(b, [Classes]int{})
		l.extend(b, now)
		due = append(due, Answer{b.node, b.incarnation, b.number, Reply{
			Loans: counts(b.allowed), LeaseMS: l.options.Lease.Milliseconds(),
		}})
	}
	return due
}

// DropPending forgets a request whose sender no longer waits for the reply.
func (l *Ledger) DropPending(node model.NodeID, number uint64) {
	if b := l.borrowers[node]; b != nil && b.number == number {
		b.pending = false
		l.want(b, [Classes]int{})
	}
}

// Tick ends loans whose leases and requests are over.
func (l *Ledger) Tick(now model.Instant) {
	for _, b := range l.order {
		if b.pending || now < b.lapses {
			continue
		}
		// Slots on their way back from a borrower that fell silent don't come
		// before the loan ends, so they can't stand for others that would.
		b.recalled = 0
		if now >= b.ends && b.total > 0 {
			l.count(b, nil)
		}
	}
}

// counts lists the instances with slots, by name.
func counts(m map[model.InstanceID]int) []Count {
	var out []Count
	for i, n := range m {
		if n > 0 {
			out = append(out, Count{Instance: i, Slots: n})
		}
	}
	slices.SortFunc(out, func(a, b Count) int { return cmp.Compare(a.Instance, b.Instance) })
	return out
}
