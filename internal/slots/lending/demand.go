package lending

import (
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// ExpireUrgentDemand drops urgent demand that was reported too long ago to be
// current.
func (l *Lender) ExpireUrgentDemand(now model.Instant) {
	if l.wanted == 0 {
		return
	}
	for _, b := range l.sorted {
		if b.wanted[Classes-1] > 0 && now >= b.urgentUntil {
			wanted := b.wanted
			wanted[Classes-1] = 0
			l.setWanted(b, wanted)
		}
	}
}

// Demand is the unmet demand of one borrower whose reply is held.
type Demand struct {
	Node  model.NodeID
	Class int
	// Since is when the borrower's oldest request of the class was queued.
	Since model.Instant
}

// BestDemand returns the demand of the highest class and, within a class, the
// one that has waited longest. Borrowers in skip are left out.
func (l *Lender) BestDemand(skip map[model.NodeID]bool) (Demand, bool) {
	var best Demand
	found := false
	if l.wanted == 0 {
		return best, false
	}
	for _, b := range l.sorted {
		c := b.wantedClass()
		if c < 0 || !b.replyPending || skip[b.node] {
			continue
		}
		if !found || c > best.Class || (c == best.Class && b.waitingSince[c] < best.Since) {
			best = Demand{b.node, c, b.waitingSince[c]}
			found = true
		}
	}
	return best, found
}

// wantedClass returns the highest class that the borrower wants; -1 for none.
func (b *borrowerRecord) wantedClass() int { return highestClass(b.wanted) }

// AvoidsInstance reports whether a borrower can't use slots of an instance.
func (l *Lender) AvoidsInstance(node model.NodeID, i model.InstanceID) bool {
	return slices.Contains(l.borrowers[node].avoid, i)
}

// Lend lends one slot to a borrower whose reply is held.
func (l *Lender) Lend(d Demand, i model.InstanceID) {
	b := l.borrowers[d.Node]
	b.lent[i]++
	b.usable[i]++
	b.total++
	b.wanted[d.Class]--
	b.replyDue = true
	l.lent[i]++
	l.total++
	l.wanted--
}

// Recall recalls up to need slots for a request of the given class that has
// waited since the given instant. It recalls from borrowers whose reply is held
// and whose own requests don't precede it, but not from the borrower except,
// which gets the slots. Slots in use come back when their requests end. Recall
// returns how many recalled slots are still to come back.
func (l *Lender) Recall(class int, since model.Instant, need int, except model.NodeID) int {
	returning := 0
	for _, b := range l.sorted {
		returning += b.recalled
	}
	for _, b := range l.sorted {
		if returning >= need {
			break
		}
		if b.replyDue {
			continue // The borrower must first receive what was just lent to it.
		}
		theirClass := b.wantedClass()
		if !b.replyPending || b.node == except || theirClass > class || (theirClass == class && b.waitingSince[theirClass] < since) {
			continue
		}
		returning += b.recall(need - returning)
	}
	return returning
}

// recall makes up to need lent slots unusable for new requests.
func (b *borrowerRecord) recall(need int) int {
	taken := 0
	for _, c := range counts(b.usable) {
		n := min(c.Slots, need-taken)
		b.usable[c.Instance] -= n
		taken += n
	}
	if taken > 0 {
		b.recalled += taken
		b.replyDue = true
	}
	return taken
}
