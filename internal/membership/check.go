package membership

import (
	"fmt"
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Violations returns the violations of invariants that were recorded so far, and
// those of the current state at now. It is empty unless the program or the
// settings have a fault.
func (c *Core) Violations(now model.Instant) []string {
	violations := slices.Clone(c.violations)
	if c.hasConfirmation && c.confirmedAt > now {
		violations = append(violations, fmt.Sprintf("confirmed at %d, which is after now (%d)", c.confirmedAt, now))
	}
	if c.ready(now) && c.local.Applied < c.confirmedIndex {
		violations = append(violations, fmt.Sprintf("ready with applied index %d below the confirmed %d", c.local.Applied, c.confirmedIndex))
	}
	if !slices.Equal(c.view.Live, sortedByName(c.view.Live)) {
		violations = append(violations, "the view is not sorted or names a process twice")
	}
	return violations
}
