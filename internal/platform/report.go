package platform

import (
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Cursor is a position in a list of changes. The zero value requests the
// complete list.
type Cursor string

// VMReport is the platform's report of one VM and the worker on it.
type VMReport struct {
	VM       model.VMID      `json:"vm"`
	Worker   model.WorkerID  `json:"worker"`
	Zone     model.ZoneID    `json:"availability_zone"`
	Rack     model.RackID    `json:"rack"`
	Capacity model.Resources `json:"capacity"`
	// Health is "up", "down", "rebooting" or "unknown".
	Health string `json:"health"`
	// HealthSince is when Health last changed.
	HealthSince model.Instant `json:"health_since_ms"`
	BootID      string        `json:"boot_id"`
	Drained     bool          `json:"drained"`
	// Fence is the highest fence that was accepted for the VM.
	Fence Fence `json:"fence"`
	// Revision grows with every change; a report with a lower one is older.
	Revision uint64 `json:"revision"`
}

// VMList is a list of VMs that changed since a cursor.
type VMList struct {
	// Full is true if VMs is the complete list: a VM that isn't in it has been
	// removed.
	Full bool `json:"full"`
	// Since is the cursor of the request.
	Since Cursor `json:"since,omitempty"`
	Next  Cursor `json:"next"`
	// At is when the list was made; a list made before another is older.
	At      model.Instant `json:"at_ms"`
	VMs     []VMReport    `json:"vms"`
	Removed []model.VMID  `json:"removed,omitempty"`
}

// TaskEnd is how a task ended; it is empty while the task runs.
type TaskEnd string

const (
	// Succeeded: the task ended with success.
	Succeeded TaskEnd = "succeeded"
	// Failed: the task ended without success.
	Failed TaskEnd = "failed"
	// Stopped: a Stop ended it.
	Stopped TaskEnd = "stopped"
	// Checkpointed: a Checkpoint ended it; the job's next task continues from there.
	Checkpointed TaskEnd = "checkpointed"
	// Lapsed: its lease expired.
	Lapsed TaskEnd = "lapsed"
	// NeverStarted: its start was refused, or it was stopped before it started.
	NeverStarted TaskEnd = "never-started"
)

// TaskReport is the platform's report of one task.
type TaskReport struct {
	Task   model.TaskID   `json:"task"`
	Worker model.WorkerID `json:"worker"`
	// Ended is empty while the task runs.
	Ended     TaskEnd `json:"ended,omitempty"`
	Throttled bool    `json:"throttled,omitempty"`
	// Revision grows with every change of the task except renewals.
	Revision uint64 `json:"revision"`
}

// TaskList is a list of tasks that changed since a cursor.
type TaskList struct {
	// Full is true if Tasks holds all tasks that the platform runs or retains.
	Full bool `json:"full"`
	// Since is the cursor of the request.
	Since Cursor `json:"since,omitempty"`
	Next  Cursor `json:"next"`
	// At is when the list was made.
	At    model.Instant `json:"at_ms"`
	Tasks []TaskReport  `json:"tasks"`
}

// Usage is the measured use of one task. Measurements arrive with a delay.
type Usage struct {
	Task   model.TaskID    `json:"task"`
	Worker model.WorkerID  `json:"worker"`
	VM     model.VMID      `json:"vm"`
	Used   model.Resources `json:"used"`
	At     model.Instant   `json:"at_ms"`
}

// UsageList is the list of measurements since a cursor.
type UsageList struct {
	Next  Cursor  `json:"next"`
	Usage []Usage `json:"usage"`
}

// healthNames maps the protocol's names to the health of a VM.
var healthNames = map[string]model.VMHealth{
	"up": model.VMUp, "down": model.VMDown, "rebooting": model.VMRebooting, "unknown": model.VMUnknown,
}

// HealthName returns the protocol's name of a VM's health.
func HealthName(h model.VMHealth) string {
	for name, health := range healthNames {
		if health == h {
			return name
		}
	}
	return "unknown"
}

// ParseHealth is the inverse of HealthName. A name that this build doesn't know
// yields VMUnknown, for which nothing is permitted.
func ParseHealth(name string) model.VMHealth { return healthNames[name] }
