package membership

import (
	"fmt"
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Check returns the invariants that are or were broken, in words; empty
// unless the program or the settings have a fault.
func (c *Core) Check(now model.Instant) []string {
	broken := slices.Clone(c.broken)
	if c.ever && c.at > now {
		broken = append(broken, fmt.Sprintf("confirmed at %d, which is after now (%d)", c.at, now))
	}
	if c.ready(now) && c.local.Applied < c.index {
		broken = append(broken, fmt.Sprintf("ready with applied index %d below the confirmed %d", c.local.Applied, c.index))
	}
	if !slices.Equal(c.view.Live, sorted(c.view.Live)) {
		broken = append(broken, "the view is not sorted or names a process twice")
	}
	return broken
}
