// Package fleet decides which pool each VM serves and holds the snapshot that
// every decision about the fleet reads.
package fleet

import (
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

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
}
