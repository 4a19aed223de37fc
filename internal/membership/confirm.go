package membership

import (
	"fmt"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// confirmation is the latest confirmation whose index this process has applied,
// and the later ones that are pending.
type confirmation struct {
	// startedAt is the time of the first Update; 0 before.
	startedAt model.Instant
	// confirmedIndex was committed as of confirmedAt, if hasConfirmation.
	hasConfirmation bool
	confirmedIndex  uint64
	confirmedAt     model.Instant
	// pendingConfirmations are later ones whose index is not yet applied here,
	// oldest first.
	pendingConfirmations []commitPoint
}

// commitPoint is an index that a quorum confirmed as committed at an instant.
type commitPoint struct {
	index uint64
	at    model.Instant
}

// recordConfirmation records that a quorum confirmed an index at an instant. If
// too many are pending, the new one is dropped, because the oldest is reached
// first.
//
// A confirmation from before the start of this process is ignored: its
// predecessor may have served a later index, which this process has not applied
// if it restarted with an empty disk. The VM would then be ready with an older
// revision than before its restart, for at most ConfirmLimit. A confirmation
// from after the start covers everything that the predecessor had applied.
func (c *confirmation) recordConfirmation(index uint64, at model.Instant) {
	if at < c.startedAt {
		return
	}
	last := c.confirmedAt
	if n := len(c.pendingConfirmations); n > 0 {
		last = c.pendingConfirmations[n-1].at
	}
	if (c.hasConfirmation || len(c.pendingConfirmations) > 0) && at <= last {
		return
	}
	if len(c.pendingConfirmations) < maxPendingConfirmations {
		c.pendingConfirmations = append(c.pendingConfirmations, commitPoint{index, at})
	}
}

// completePending completes the pending confirmations whose index is applied.
// The others must not count: a restarted process would serve an old state.
func (c *confirmation) completePending(applied uint64, skipCatchUp bool) {
	for len(c.pendingConfirmations) > 0 && (c.pendingConfirmations[0].index <= applied || skipCatchUp) {
		c.hasConfirmation = true
		c.confirmedIndex, c.confirmedAt = max(c.confirmedIndex, c.pendingConfirmations[0].index), c.pendingConfirmations[0].at
		c.pendingConfirmations = c.pendingConfirmations[1:]
	}
}

// ready reports whether this process may take requests.
func (c *Core) ready(now model.Instant) bool {
	return c.hasConfirmation && now.Sub(c.confirmedAt) <= ConfirmLimit && !c.local.Leaving
}

// Status returns the status of this process at now. It is based on the state
// that the last Update passed, so a caller that needs the current one calls
// Update first.
func (c *Core) Status(now model.Instant) Status {
	s := Status{Ready: c.ready(now)}
	if c.hasConfirmation {
		s.ConfirmationAge = now.Sub(c.confirmedAt)
	}
	if len(c.pendingConfirmations) > 0 {
		s.BehindFor = now.Sub(c.pendingConfirmations[0].at)
	}
	cycle := c.interval*time.Duration(len(c.members)) + c.interval
	for _, name := range c.members {
		p := c.peers[name]
		if p == nil {
			continue
		}
		if p.lastContact != 0 && now.Sub(p.lastContact) <= cycle {
			s.Responsive++
		} else {
			s.Unresponsive = append(s.Unresponsive, name)
		}
	}
	if !s.Ready {
		s.Reason = c.unreadyReason(s)
	}
	return s
}

// unreadyReason describes why this process is not ready. It distinguishes a
// process that is cut off from a site without a leader.
func (c *Core) unreadyReason(s Status) string {
	switch {
	case c.local.Leaving:
		return "stopping"
	case s.Responsive == 0 && len(s.Unresponsive) > 0:
		return "cut off: hears no other process"
	case len(c.pendingConfirmations) > 0:
		return fmt.Sprintf("catching up: applied index %d, committed are %d", c.local.Applied, c.pendingConfirmations[0].index)
	case !c.hasConfirmation:
		return fmt.Sprintf("not yet confirmed by a quorum; hears %d of %d processes", s.Responsive, s.Responsive+len(s.Unresponsive))
	default:
		return fmt.Sprintf("no quorum confirmed the state for %v; hears %d of %d processes",
			s.ConfirmationAge.Round(time.Millisecond), s.Responsive, s.Responsive+len(s.Unresponsive))
	}
}
