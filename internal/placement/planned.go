package placement

import (
	"fmt"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// ActionKind is the command that the platform executes on a running task.
type ActionKind uint8

const (
	// Throttle reduces the task's processor share; UpdateTask records it.
	Throttle ActionKind = iota + 1
	// Unthrottle restores the full share; UpdateTask records it.
	Unthrottle
	// Checkpoint saves the task's progress and stops it.
	Checkpoint
	// Stop ends the task gracefully; EndTask records the outcome.
	Stop
)

var actionKindNames = [...]string{"", "throttle", "unthrottle", "checkpoint", "stop"}

// String returns the name used in status and counters.
func (k ActionKind) String() string {
	if int(k) >= len(actionKindNames) {
		return "invalid"
	}
	return actionKindNames[k]
}

// ActionCause is why an action on a task is planned.
type ActionCause uint8

const (
	// ForUrgent: an urgent job or an instance needs the capacity.
	ForUrgent ActionCause = iota + 1
	// ForPressure: the VM is near its limit.
	ForPressure
	// ForMove: the VM moves to another pool, or the task does not belong on it.
	ForMove
	// ForCancel: the job was cancelled.
	ForCancel
	// ForSpread: one VM carries more instances than the service can spare.
	ForSpread
	// ForCapacity: the VM has free capacity again, or is cleared for a large
	// job.
	ForCapacity
)

// PlannedAction is a command for the platform about one task. It is planned
// again in each round until the state shows that it was carried out.
type PlannedAction struct {
	Kind   ActionKind
	Cause  ActionCause
	Task   *model.Task
	Reason string
}

// Moved reports whether the stop counts as a relocation.
func (a *PlannedAction) Moved() bool {
	return (a.Kind == Stop || a.Kind == Checkpoint) && a.Cause != ForCancel
}

// String describes the planned action for logs.
func (a *PlannedAction) String() string { return fmt.Sprintf("%s %s: %s", a.Kind, a.Task.ID, a.Reason) }
