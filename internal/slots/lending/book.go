package lending

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Book is the borrower's side: what it holds of each lender's slots.
type Book struct {
	options Options
	self    model.NodeID
	// incarnation is of this process.
	incarnation uint64
	// excess is how many slots of an instance are in use beyond the part that
	// is this entry VM's own; only so many loans can be in use.
	excess func(i model.InstanceID) int
	debts  map[model.NodeID]*debt
	// order lists the debts by lender, so that every run decides the same.
	order  []*debt
	usable map[model.InstanceID]int
	held   map[model.InstanceID]int
	total  int
}

// debt is what is held of one lender.
type debt struct {
	lender model.NodeID
	number uint64
	// open says that a reply to the latest request may still come.
	open    bool
	sent    model.Instant
	expires model.Instant
	told    [Classes]int
	usable  map[model.InstanceID]int
	held    map[model.InstanceID]int
	total   int
	// reported is the total that the lender counts, as far as is known here.
	reported int
	// run is promised to the lender, asked waits for its reply.
	run   time.Duration
	asked time.Duration
}

// NewBook returns an empty book. Excess tells how many slots of an instance
// are in use beyond this entry VM's own.
func NewBook(self model.NodeID, incarnation uint64, o Options, excess func(model.InstanceID) int) *Book {
	return &Book{
		options: o.WithDefaults(), self: self, incarnation: incarnation, excess: excess,
		debts: map[model.NodeID]*debt{}, usable: map[model.InstanceID]int{}, held: map[model.InstanceID]int{},
	}
}

// Usable is how many borrowed slots of an instance new work may start on, next
// to those that are this entry VM's own.
func (b *Book) Usable(i model.InstanceID) int { return b.usable[i] }

// Held is how many borrowed slots of an instance count as in use or usable.
func (b *Book) Held(i model.InstanceID) int { return b.held[i] }

// Total is how many borrowed slots are held.
func (b *Book) Total() int { return b.total }

// Promised is the least run that was promised to the lenders of usable loans:
// a request that may run longer must not start on a loan.
func (b *Book) Promised() time.Duration {
	least := maxSpan
	for _, d := range b.order {
		if len(d.usable) > 0 {
			least = min(least, d.run)
		}
	}
	return least
}

// Restarted says what is held of a lender whose process restarted. Replies of
// the earlier process that are still on their way are void from now on: the new
// one would not know of the slots in them.
func (b *Book) Restarted(lender model.NodeID) *Debt {
	d := b.debts[lender]
	if d == nil {
		return &Debt{Incarnation: b.incarnation}
	}
	d.open = false
	return &Debt{Held: d.holdings(), RunMS: d.run.Milliseconds(), Incarnation: b.incarnation, Number: d.number}
}

func (b *Book) debt(lender model.NodeID) *debt {
	d := b.debts[lender]
	if d == nil {
		d = &debt{lender: lender, usable: map[model.InstanceID]int{}, held: map[model.InstanceID]int{}}
		b.debts[lender] = d
		b.order = append(b.order, d)
		slices.SortFunc(b.order, func(x, y *debt) int { return cmp.Compare(x.lender, y.lender) })
	}
	return d
}

// Request makes the next request to a lender. Run is the longest time that a
// request may take which starts on a loan; wait says whether the lender may
// hold the reply.
func (b *Book) Request(lender model.NodeID, wanted [Classes]int, run time.Duration, wait bool, now model.Instant) Request {
	d := b.debt(lender)
	d.number++
	d.open = true
	d.sent = now
	d.told = wanted
	d.reported = d.total
	d.asked = run
	if d.total > 0 {
		d.asked = max(run, d.run)
	}
	r := Request{
		Borrower: b.self, Incarnation: b.incarnation, Number: d.number,
		Held: d.holdings(), Wanted: wanted, RunMS: d.asked.Milliseconds(),
	}
	if wait {
		r.WaitMS = b.options.HoldReply.Milliseconds()
	}
	return r
}

func (d *debt) holdings() []Holding {
	var out []Holding
	for _, c := range counts(d.held) {
		out = append(out, Holding{Instance: c.Instance, Slots: c.Slots, Usable: d.usable[c.Instance]})
	}
	return out
}

// Apply takes in the reply to a request. It reports false for a reply to any
// but the latest one: the lender has counted anew since.
func (b *Book) Apply(lender model.NodeID, number uint64, r Reply, now model.Instant) bool {
	d := b.debts[lender]
	if d == nil || ((number != d.number || !d.open) && !b.options.Rules.ApplyStale) {
		return false
	}
	d.open = false
	lease := span(r.LeaseMS)
	d.expires = d.sent.Add(lease - lease/driftShare)
	d.run = d.asked
	usable := map[model.InstanceID]int{}
	if now < d.expires {
		for _, c := range r.Loans {
			usable[c.Instance] += c.Slots
		}
	}
	b.setUsable(d, usable)
	// The lender counts what it granted; what is given back must be told.
	d.reported = max(d.reported, d.total)
	return true
}

// TakeOver uses the share of an entry VM that is lost, like a loan from it, so
// that it finds out when it comes back.
func (b *Book) TakeOver(lost model.NodeID, share []Count, run time.Duration, now model.Instant) {
	d := b.debt(lost)
	d.open = false
	d.run = max(d.run, run)
	d.expires = now.Add(b.options.Lease)
	usable := map[model.InstanceID]int{}
	for _, c := range share {
		usable[c.Instance] += c.Slots
	}
	b.setUsable(d, usable)
}

// Drop stops the use of loans at an instance that takes no new work.
func (b *Book) Drop(i model.InstanceID) {
	for _, d := range b.order {
		if n := d.usable[i]; n > 0 {
			d.usable[i] = 0
			b.usable[i] -= n
			b.settle(d, i)
		}
	}
}

// Instances lists the instances of which slots are held.
func (b *Book) Instances() []Count { return counts(b.held) }

// Fail says that no reply to a request will come.
func (b *Book) Fail(lender model.NodeID, number uint64) {
	if d := b.debts[lender]; d != nil && number == d.number {
		d.open = false
	}
}

// Lapse ends the use of loans that were not renewed.
func (b *Book) Lapse(now model.Instant) {
	for _, d := range b.order {
		if now >= d.expires && len(d.usable) > 0 && !b.options.Rules.UseLapsed {
			b.setUsable(d, map[model.InstanceID]int{})
		}
	}
}

// setUsable makes usable what new work may start on. Slots beyond it stay
// held while requests run on them: the lender must go on to count them.
func (b *Book) setUsable(d *debt, usable map[model.InstanceID]int) {
	touched := map[model.InstanceID]bool{}
	for i, n := range d.usable {
		b.usable[i] -= n
		touched[i] = true
	}
	d.usable = usable
	for i, n := range usable {
		b.usable[i] += n
		touched[i] = true
	}
	for _, c := range counts(d.held) {
		touched[c.Instance] = true
	}
	for i := range touched {
		b.settle(d, i)
		if b.usable[i] == 0 {
			delete(b.usable, i)
		}
	}
}

// settle drops what is held of an instance beyond what is usable or in use.
func (b *Book) settle(d *debt, i model.InstanceID) {
	running := 0
	if !b.options.Rules.ForgetRunning {
		// What other lenders' slots can't cover runs on this one's.
		running = min(d.held[i], max(0, b.excess(i)-(b.held[i]-d.held[i])))
	}
	held := max(d.usable[i], running)
	b.held[i] += held - d.held[i]
	b.total += held - d.held[i]
	d.total += held - d.held[i]
	d.held[i] = held
	if held == 0 {
		delete(d.held, i)
	}
	if b.held[i] == 0 {
		delete(b.held, i)
	}
}

// Released drops recalled slots of an instance that came free.
func (b *Book) Released(i model.InstanceID) {
	if b.held[i] == 0 || b.held[i] == b.usable[i] {
		return
	}
	for _, d := range b.order {
		if d.held[i] > d.usable[i] {
			b.settle(d, i)
		}
	}
}

// GiveBack stops the use of up to n loans that are idle. Idle says how many
// slots of an instance are free, whoever they belong to.
func (b *Book) GiveBack(n int, idle func(model.InstanceID) int) int {
	given := 0
	for _, d := range b.order {
		for _, c := range counts(d.usable) {
			back := min(c.Slots, idle(c.Instance), n-given)
			if back <= 0 {
				continue
			}
			given += back
			b.usable[c.Instance] -= back
			d.usable[c.Instance] -= back
			b.settle(d, c.Instance)
		}
	}
	return given
}
