package lending

import (
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// DropUrgent forgets the urgent demand that is too old to be still there.
func (l *Ledger) DropUrgent(now model.Instant) {
	if l.wanted == 0 {
		return
	}
	for _, b := range l.order {
		if b.wanted[Classes-1] > 0 && now >= b.urgentUntil {
			wanted := b.wanted
			wanted[Classes-1] = 0
			l.want(b, wanted)
		}
	}
}

// Demand is the best unmet demand of the borrowers whose reply is held.
type Demand struct {
	Node  model.NodeID
	Class int
	Since model.Instant
}

// Best returns the highest class that is wanted, and within it the longest
// wait. Skip names borrowers to pass over.
func (l *Ledger) Best(skip map[model.NodeID]bool) (Demand, bool) {
	var best Demand
	found := false
	if l.wanted == 0 {
		return best, false
	}
	for _, b := range l.order {
		c := b.class()
		if c < 0 || !b.pending || skip[b.node] {
			continue
		}
		if !found || c > best.Class || (c == best.Class && b.since[c] < best.Since) {
			best = Demand{b.node, c, b.since[c]}
			found = true
		}
	}
	return best, found
}

// class is the highest class that the borrower wants; -1 for none.
func (b *borrower) class() int { return highestClass(b.wanted) }

// Avoids reports whether a borrower has no use for an instance.
func (l *Ledger) Avoids(node model.NodeID, i model.InstanceID) bool {
	return slices.Contains(l.borrowers[node].avoid, i)
}

// Lend gives one slot to a borrower whose reply is held.
func (l *Ledger) Lend(d Demand, i model.InstanceID) {
	b := l.borrowers[d.Node]
	b.counted[i]++
	b.allowed[i]++
	b.total++
	b.wanted[d.Class]--
	b.offered = true
	l.lent[i]++
	l.total++
	l.wanted--
}

// Recall takes back up to need slots for a request of class that waits since
// an instant, from borrowers whose reply is held and whose own requests don't
// go before it. Slots in use come back when their requests end. It returns how
// many are on their way back. Nothing is taken from the borrower except, for
// which the slots are called back.
func (l *Ledger) Recall(class int, since model.Instant, need int, except model.NodeID) int {
	coming := 0
	for _, b := range l.order {
		coming += b.recalled
	}
	for _, b := range l.order {
		if coming >= need {
			break
		}
		if b.offered {
			continue // What was just lent to it must get there first.
		}
		theirs := b.class()
		if !b.pending || b.node == except || theirs > class || (theirs == class && b.since[theirs] < since) {
			continue
		}
		coming += b.recall(need - coming)
	}
	return coming
}

func (b *borrower) recall(need int) int {
	taken := 0
	for _, c := range counts(b.allowed) {
		n := min(c.Slots, need-taken)
		b.allowed[c.Instance] -= n
		taken += n
	}
	if taken > 0 {
		b.recalled += taken
		b.offered = true
	}
	return taken
}
