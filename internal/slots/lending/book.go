package lending

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Borrower is the borrower's side of lending at one entry VM: it records the
// slots borrowed from each lender.
type Borrower struct {
	options Options
	self    model.NodeID
	// incarnation identifies this process.
	incarnation uint64
	// excess returns how many slots of an instance are in use beyond this entry
	// VM's own. At most that many borrowed slots can be in use.
	excess  func(i model.InstanceID) int
	lenders map[model.NodeID]*lenderRecord
	// sorted lists the records by lender, which makes decisions deterministic.
	sorted []*lenderRecord
	usable map[model.InstanceID]int
	held   map[model.InstanceID]int
	total  int
}

// lenderRecord holds the slots borrowed from one lender and the state of the
// exchange with it.
type lenderRecord struct {
	lender model.NodeID
	// number is that of the latest request.
	number uint64
	// awaitingReply is true while a reply to the latest request may still come.
	awaitingReply bool
	sentAt        model.Instant
	expiresAt     model.Instant
	lastWanted    [Classes]int
	usable        map[model.InstanceID]int
	held          map[model.InstanceID]int
	total         int
	// reportedTotal is the total that the lender counts, as far as is known here.
	reportedTotal int
	// promisedRun is the longest run of a request that was promised to the lender;
	// pendingRun is promised by the request that awaits its reply.
	promisedRun time.Duration
	pendingRun  time.Duration
}

// NewBorrower returns a borrower without loans. The function excess returns how
// many slots of an instance are in use beyond this entry VM's own.
func NewBorrower(self model.NodeID, incarnation uint64, o Options, excess func(model.InstanceID) int) *Borrower {
	return &Borrower{
		options: o.WithDefaults(), self: self, incarnation: incarnation, excess: excess,
		lenders: map[model.NodeID]*lenderRecord{}, usable: map[model.InstanceID]int{}, held: map[model.InstanceID]int{},
	}
}

// Usable returns the number of borrowed slots of an instance that new requests
// may use, in addition to this entry VM's own.
func (b *Borrower) Usable(i model.InstanceID) int { return b.usable[i] }

// Held returns the number of borrowed slots of an instance that are in use or
// usable.
func (b *Borrower) Held(i model.InstanceID) int { return b.held[i] }

// Total returns the number of borrowed slots held at all instances.
func (b *Borrower) Total() int { return b.total }

// PromisedRun returns the shortest run time that was promised to the lenders of
// usable loans. A request that may run longer must not start on a loan.
func (b *Borrower) PromisedRun() time.Duration {
	shortest := maxDuration
	for _, rec := range b.sorted {
		if len(rec.usable) > 0 {
			shortest = min(shortest, rec.promisedRun)
		}
	}
	return shortest
}

// LenderRestarted returns what is held of a lender whose process restarted.
// Replies of the earlier process that are still in flight are ignored from now
// on: the new process doesn't know of the slots that they grant.
func (b *Borrower) LenderRestarted(lender model.NodeID) *Recovery {
	rec := b.lenders[lender]
	if rec == nil {
		return &Recovery{Incarnation: b.incarnation}
	}
	rec.awaitingReply = false
	return &Recovery{Held: rec.holdings(), RunMS: rec.promisedRun.Milliseconds(), Incarnation: b.incarnation, Number: rec.number}
}

func (b *Borrower) record(lender model.NodeID) *lenderRecord {
	rec := b.lenders[lender]
	if rec == nil {
		rec = &lenderRecord{lender: lender, usable: map[model.InstanceID]int{}, held: map[model.InstanceID]int{}}
		b.lenders[lender] = rec
		b.sorted = append(b.sorted, rec)
		slices.SortFunc(b.sorted, func(x, y *lenderRecord) int { return cmp.Compare(x.lender, y.lender) })
	}
	return rec
}

// NextRequest builds the next request to a lender. Run is the longest time that
// a request started on a loan may take; wait lets the lender hold the reply.
func (b *Borrower) NextRequest(lender model.NodeID, wanted [Classes]int, run time.Duration, wait bool, now model.Instant) Request {
	rec := b.record(lender)
	rec.number++
	rec.awaitingReply = true
	rec.sentAt = now
	rec.lastWanted = wanted
	rec.reportedTotal = rec.total
	rec.pendingRun = run
	if rec.total > 0 {
		rec.pendingRun = max(run, rec.promisedRun)
	}
	r := Request{
		Borrower: b.self, Incarnation: b.incarnation, Number: rec.number,
		Held: rec.holdings(), Wanted: wanted, RunMS: rec.pendingRun.Milliseconds(),
	}
	if wait {
		r.WaitMS = b.options.HoldReply.Milliseconds()
	}
	return r
}

func (rec *lenderRecord) holdings() []Holding {
	var out []Holding
	for _, c := range counts(rec.held) {
		out = append(out, Holding{Instance: c.Instance, Slots: c.Slots, Usable: rec.usable[c.Instance]})
	}
	return out
}

// ApplyReply processes the reply to the latest request. It reports false for a
// reply to an earlier one: the lender has updated its records since.
func (b *Borrower) ApplyReply(lender model.NodeID, number uint64, r Reply, now model.Instant) bool {
	rec := b.lenders[lender]
	if rec == nil || ((number != rec.number || !rec.awaitingReply) && !b.options.Rules.ApplyStaleReplies) {
		return false
	}
	rec.awaitingReply = false
	lease := durationOf(r.LeaseMS)
	rec.expiresAt = rec.sentAt.Add(lease - lease/clockDriftShare)
	rec.promisedRun = rec.pendingRun
	usable := map[model.InstanceID]int{}
	if now < rec.expiresAt {
		for _, c := range r.Loans {
			usable[c.Instance] += c.Slots
		}
	}
	b.setUsable(rec, usable)
	// The lender counts what it granted, so later returns must be reported to it.
	rec.reportedTotal = max(rec.reportedTotal, rec.total)
	return true
}

// TakeOver uses the share of a lost entry VM. It is recorded like a loan, so
// that the entry VM learns of it when it comes back.
func (b *Borrower) TakeOver(lost model.NodeID, share []SlotCount, run time.Duration, now model.Instant) {
	rec := b.record(lost)
	rec.awaitingReply = false
	rec.promisedRun = max(rec.promisedRun, run)
	rec.expiresAt = now.Add(b.options.Lease)
	usable := map[model.InstanceID]int{}
	for _, c := range share {
		usable[c.Instance] += c.Slots
	}
	b.setUsable(rec, usable)
}

// DropInstance makes the borrowed slots of an instance that takes no new work
// unusable.
func (b *Borrower) DropInstance(i model.InstanceID) {
	for _, rec := range b.sorted {
		if n := rec.usable[i]; n > 0 {
			rec.usable[i] = 0
			b.usable[i] -= n
			b.updateHeld(rec, i)
		}
	}
}

// Instances lists the instances with borrowed slots.
func (b *Borrower) Instances() []SlotCount { return counts(b.held) }

// RequestFailed records that no reply to a request will come.
func (b *Borrower) RequestFailed(lender model.NodeID, number uint64) {
	if rec := b.lenders[lender]; rec != nil && number == rec.number {
		rec.awaitingReply = false
	}
}

// ExpireLoans makes loans unusable whose lease was not renewed.
func (b *Borrower) ExpireLoans(now model.Instant) {
	for _, rec := range b.sorted {
		if now >= rec.expiresAt && len(rec.usable) > 0 && !b.options.Rules.UseExpired {
			b.setUsable(rec, map[model.InstanceID]int{})
		}
	}
}

// setUsable replaces the slots of a lender that new requests may use. Other
// slots stay held while requests run on them, because the lender must continue
// to count them.
func (b *Borrower) setUsable(rec *lenderRecord, usable map[model.InstanceID]int) {
	touched := map[model.InstanceID]bool{}
	for i, n := range rec.usable {
		b.usable[i] -= n
		touched[i] = true
	}
	rec.usable = usable
	for i, n := range usable {
		b.usable[i] += n
		touched[i] = true
	}
	for _, c := range counts(rec.held) {
		touched[c.Instance] = true
	}
	for i := range touched {
		b.updateHeld(rec, i)
		if b.usable[i] == 0 {
			delete(b.usable, i)
		}
	}
}

// updateHeld drops the held slots of an instance that are neither usable nor in
// use.
func (b *Borrower) updateHeld(rec *lenderRecord, i model.InstanceID) {
	running := 0
	if !b.options.Rules.DropSlotsInUse {
		// Requests that other lenders' slots can't account for run on this one's.
		running = min(rec.held[i], max(0, b.excess(i)-(b.held[i]-rec.held[i])))
	}
	held := max(rec.usable[i], running)
	b.held[i] += held - rec.held[i]
	b.total += held - rec.held[i]
	rec.total += held - rec.held[i]
	rec.held[i] = held
	if held == 0 {
		delete(rec.held, i)
	}
	if b.held[i] == 0 {
		delete(b.held, i)
	}
}

// ReleaseRecalled drops recalled slots of an instance that are no longer in use.
func (b *Borrower) ReleaseRecalled(i model.InstanceID) {
	if b.held[i] == 0 || b.held[i] == b.usable[i] {
		return
	}
	for _, rec := range b.sorted {
		if rec.held[i] > rec.usable[i] {
			b.updateHeld(rec, i)
		}
	}
}

// ReturnIdle returns up to n idle borrowed slots and reports how many. The
// function idle returns the free slots of an instance, own and borrowed.
func (b *Borrower) ReturnIdle(n int, idle func(model.InstanceID) int) int {
	returned := 0
	for _, rec := range b.sorted {
		for _, c := range counts(rec.usable) {
			returnable := min(c.Slots, idle(c.Instance), n-returned)
			if returnable <= 0 {
				continue
			}
			returned += returnable
			b.usable[c.Instance] -= returnable
			rec.usable[c.Instance] -= returnable
			b.updateHeld(rec, c.Instance)
		}
	}
	return returned
}
