package agent

import (
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/node"
	"github.com/comfreyloom/comfreyloom/internal/registry"
)

// announcedTasks returns the tasks of the announced instances that aren't
// leaving: the instance's name is the ID of its task.
func announcedTasks(r *registry.Registry) map[model.TaskID]bool {
	set := map[model.TaskID]bool{}
	for _, u := range r.All() {
		if !u.Leaving {
			set[model.TaskID(u.Instance)] = true
		}
	}
	return set
}

// announcer records announcements in the registry and triggers an immediate push
// of changes to the other entry VMs. Renewals are sent later, in batches.
type announcer struct {
	*registry.Registry
	registrySync *node.RegistrySync
}

// Announce registers or renews an instance.
func (a announcer) Announce(u model.Upstream, now model.Instant) (registry.Lease, error) {
	defer a.notifyIfChanged(a.ChangeVersion())
	return a.Registry.Announce(u, now)
}

// Withdraw withdraws an instance's announcement.
func (a announcer) Withdraw(s model.ServiceID, i model.InstanceID, incarnation uint64, now model.Instant) error {
	defer a.notifyIfChanged(a.ChangeVersion())
	return a.Registry.Withdraw(s, i, incarnation, now)
}

func (a announcer) notifyIfChanged(changed uint64) {
	if a.ChangeVersion() != changed {
		a.registrySync.Notify()
	}
}

// monotonicClock returns a clock that starts at the wall clock and then advances
// with elapsed time only: a step of the wall clock would expire, or extend, the
// leases of all instances.
func monotonicClock() func() time.Time {
	start := time.Now()
	return func() time.Time { return start.Add(time.Since(start)) }
}
