// Package fleet decides which pool each VM serves and holds the snapshot that
// every decision about the fleet reads.
package fleet

import (
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// DefaultLease is how long a task's lease lasts unless the snapshot says otherwise.
const DefaultLease = 30 * time.Second

// Snapshot is the immutable input of every decision: the replicated tables,
// what the platform lists, and which instances announced themselves. Decisions
// are pure functions of it that return actions with reasons.
type Snapshot struct {
	Now  model.Instant
	View *state.View
	// VMs is what the platform listed last, by VM.
	VMs map[model.VMID]*model.VM
	// Serving holds the instances that announced themselves as serving. An
	// instance announces under the ID of its task.
	Serving map[model.TaskID]bool
	// Region qualifies the IDs of the tasks that are started; may be empty.
	Region model.RegionID
	// Lease is how long a new or renewed lease lasts; 0 means DefaultLease.
	Lease time.Duration
	// Usage is the last measured use of tasks, which lags; tasks may be missing.
	Usage map[model.TaskID]Usage
	// Absent says since when the platform's list lacks a VM that has an entry,
	// as Absence.Observe keeps it. No entry is dropped while this is empty.
	Absent map[model.VMID]model.Instant
	// Gone are the recorded tasks that the platform says it does not run.
	// Their leases are not renewed, so that they lapse and make room.
	Gone map[model.TaskID]bool
}

// Usage is what a task was measured to use at an instant.
type Usage struct {
	Used model.Resources
	At   model.Instant
}

// Absence keeps since when VMs that have an entry are missing from the
// platform's list. It is soft state: a new leader starts anew, which only
// delays the end of an entry.
type Absence struct {
	since map[model.VMID]model.Instant
}

// Observe takes a complete answer of the platform and returns since when each
// entry's VM is missing. An answer that lists nothing while entries exist is
// taken for a fault of the platform and starts no absence.
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
