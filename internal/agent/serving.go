package agent

import (
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/node"
	"github.com/comfreyloom/comfreyloom/internal/registry"
)

// serving lists the instances that announced themselves, by the task that each
// of them is.
func serving(r *registry.Registry) map[model.TaskID]bool {
	set := map[model.TaskID]bool{}
	for _, u := range r.All() {
		if !u.Leaving {
			set[model.TaskID(u.Instance)] = true
		}
	}
	return set
}

// announcer enters announcements in the registry, and has changes pushed to the
// other entry VMs at once. Renewals travel together later.
type announcer struct {
	*registry.Registry
	spreader *node.Spreader
}

// Announce enters or renews an instance.
func (a announcer) Announce(u model.Upstream, now model.Instant) (registry.Lease, error) {
	defer a.nudgeAfter(a.Changed())
	return a.Registry.Announce(u, now)
}

// Withdraw ends an instance's announcement.
func (a announcer) Withdraw(s model.ServiceID, i model.InstanceID, incarnation uint64, now model.Instant) error {
	defer a.nudgeAfter(a.Changed())
	return a.Registry.Withdraw(s, i, incarnation, now)
}

func (a announcer) nudgeAfter(changed uint64) {
	if a.Changed() != changed {
		a.spreader.Nudge()
	}
}

// steadyClock starts at the wall clock and then only follows elapsed time: a
// step of the wall clock would end, or prolong, the leases of all instances.
func steadyClock() func() time.Time {
	start := time.Now()
	return func() time.Time { return start.Add(time.Since(start)) }
}
