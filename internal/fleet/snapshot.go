// Package fleet decides which pool each VM serves and defines the snapshot that
// every decision about the fleet reads.
package fleet

import (
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// DefaultLease is how long a task's lease lasts unless the snapshot sets Lease.
const DefaultLease = 30 * time.Second

// Snapshot is the immutable input of every decision: the replicated tables,
// the VMs that the platform lists, and the instances that announced
// themselves. Decisions are pure functions of it and return actions with
// reasons.
type Snapshot struct {
	Now  model.Instant
	View *state.View
	// VMs holds the VMs of the platform's last list.
	VMs map[model.VMID]*model.VM
	// Serving holds the instances that announced themselves as serving. An
	// instance announces under the ID of its task.
	Serving map[model.TaskID]bool
	// Region qualifies the IDs of new tasks; it may be empty.
	Region model.RegionID
	// Lease is how long a new or renewed lease lasts; 0 means DefaultLease.
	Lease time.Duration
	// Usage holds the last measured use of tasks. It lags behind, and tasks may
	// be missing.
	Usage map[model.TaskID]Usage
	// Absent holds since when each VM that has an entry is missing from the
	// platform's list, as returned by Absence.Observe. No entry is dropped
	// while it is empty.
	Absent map[model.VMID]model.Instant
	// NotRunning holds the recorded tasks that the platform reports as not running.
	// Their leases are not renewed, so that they lapse and free their capacity.
	NotRunning map[model.TaskID]bool
}

// Usage is the measured use of a task at an instant.
type Usage struct {
	Used model.Resources
	At   model.Instant
}

// Absence tracks since when VMs that have an entry are missing from the
// platform's list. It is not replicated: a new leader starts with none, which
// only delays the dropping of entries.
type Absence struct {
	since map[model.VMID]model.Instant
}

// Observe takes a complete list of the platform's VMs and returns since when
// each VM that has an entry is missing. An empty list while entries exist is
// treated as a fault of the platform: it starts no absence and ends all known
// ones.
func (a *Absence) Observe(now model.Instant, listed map[model.VMID]*model.VM, owners map[model.VMID]*model.Ownership) map[model.VMID]model.Instant {
	next := make(map[model.VMID]model.Instant)
	for id := range owners {
		if _, ok := listed[id]; ok || len(listed) == 0 {
			continue
		}
		since, known := a.since[id]
		if !known {
			since = now
		}
		next[id] = since
	}
	a.since = next
	return next
}
