package lending

import (
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Idle reports whether nothing is held and no lender has to be contacted.
func (b *Borrower) Idle() bool {
	for _, rec := range b.sorted {
		if rec.awaitingReply || rec.total > 0 || rec.reportedTotal > 0 {
			return false
		}
	}
	return true
}

// RequestDue reports whether a request to a lender is due, given the slots
// wanted of it now. MinInterval is the minimum time between two requests for
// more slots, unless the later one wants a higher class.
func (b *Borrower) RequestDue(lender model.NodeID, wanted [Classes]int, minInterval time.Duration, now model.Instant) bool {
	rec := b.lenders[lender]
	noDemand := [Classes]int{}
	if rec == nil {
		return wanted != noDemand
	}
	elapsed := now.Sub(rec.sentAt)
	if elapsed < b.options.Spacing {
		return false
	}
	if rec.total < rec.reportedTotal {
		return true
	}
	if !rec.awaitingReply && elapsed < minInterval && highestClass(wanted) <= highestClass(rec.lastWanted) {
		return false
	}
	if !rec.awaitingReply {
		return wanted != noDemand || rec.total > 0
	}
	if wanted == noDemand {
		return rec.lastWanted != noDemand && elapsed >= cancelIntervals*b.options.Spacing
	}
	lastWanted := rec.lastWanted
	if elapsed >= urgentIntervals*b.options.Spacing {
		lastWanted[Classes-1] = 0 // The lender has dropped it.
	}
	return highestClass(wanted) > highestClass(lastWanted)
}

// cancelIntervals is how many spacings pass before demand that no longer exists
// is cancelled: the queue of a busy service empties and fills all the time.
const cancelIntervals = 5

// urgentIntervals is how many spacings a lender considers an urgent demand. It
// is usually met by some lender within that time. After that it would attract
// slots that are no longer needed, and a message to cancel it would arrive just
// as late.
const urgentIntervals = 5

// highestClass returns the highest class for which slots are wanted; -1 for
// none.
func highestClass(wanted [Classes]int) int {
	for c := Classes - 1; c >= 0; c-- {
		if wanted[c] > 0 {
			return c
		}
	}
	return -1
}

// MustReportReturn reports whether the lender counts more slots than are held
// now, so that their return has to be reported to it.
func (b *Borrower) MustReportReturn(lender model.NodeID) bool {
	rec := b.lenders[lender]
	return rec != nil && rec.total < rec.reportedTotal
}

// RequestDueSoon reports whether a request will be due once the spacing has
// passed.
func (b *Borrower) RequestDueSoon() bool {
	for _, rec := range b.sorted {
		if rec.total < rec.reportedTotal || (!rec.awaitingReply && rec.total > 0) {
			return true
		}
	}
	return false
}
