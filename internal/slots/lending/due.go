package lending

import (
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Quiet reports whether nothing is held and no lender needs to hear anything.
func (b *Book) Quiet() bool {
	for _, d := range b.order {
		if d.open || d.total > 0 || d.reported > 0 {
			return false
		}
	}
	return true
}

// Due reports whether a request to a lender is called for, given what is
// wanted of it now. Patience is the least time between two requests that want
// more, unless they want a higher class.
func (b *Book) Due(lender model.NodeID, wanted [Classes]int, patience time.Duration, now model.Instant) bool {
	d := b.debts[lender]
	none := [Classes]int{}
	if d == nil {
		return wanted != none
	}
	quiet := now.Sub(d.sent)
	if quiet < b.options.Spacing {
		return false
	}
	if d.total < d.reported {
		return true
	}
	if !d.open && quiet < patience && highestClass(wanted) <= highestClass(d.told) {
		return false
	}
	if !d.open {
		return wanted != none || d.total > 0
	}
	if wanted == none {
		return d.told != none && quiet >= cancelSpacings*b.options.Spacing
	}
	told := d.told
	if quiet >= urgentLife*b.options.Spacing {
		told[Classes-1] = 0 // The lender has dropped it.
	}
	return highestClass(wanted) > highestClass(told)
}

// cancelSpacings is how many spacings a demand that has gone is left standing:
// the queue of a busy service empties and fills all the time.
const cancelSpacings = 5

// urgentLife is how many spacings an urgent demand counts at a lender. It is
// met within that time somewhere, as a rule; what stood longer would draw
// slots that are no longer needed, and a message to cancel it would come as
// late.
const urgentLife = 5

// highestClass is the highest class of which slots are wanted; -1 for none.
func highestClass(wanted [Classes]int) int {
	for c := Classes - 1; c >= 0; c-- {
		if wanted[c] > 0 {
			return c
		}
	}
	return -1
}

// Owes reports whether the lender was told of more than is held now.
func (b *Book) Owes(lender model.NodeID) bool {
	d := b.debts[lender]
	return d != nil && d.total < d.reported
}

// Waits reports whether a request will be due once the spacing is over.
func (b *Book) Waits() bool {
	for _, d := range b.order {
		if d.total < d.reported || (!d.open && d.total > 0) {
			return true
		}
	}
	return false
}
