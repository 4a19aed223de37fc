package placement

import (
	"fmt"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// WishKind is the command that the platform executes on a running task.
type WishKind uint8

const (
	// Throttle reduces the task's processor share; UpdateTask records it.
	Throttle WishKind = iota + 1
	// Unthrottle restores the full share; UpdateTask records it.
	Unthrottle
	// Checkpoint saves the task's progress and stops it.
	Checkpoint
	// Stop ends the task gracefully; EndTask records the outcome.
	Stop
)

var actionKindNames = [...]string{"", "throttle", "unthrottle", "checkpoint", "stop"}

// String returns the name used in status and counters.
func (k WishKind) String() string {
	if int(k) >= len(actionKindNames) {
		return "invalid"
	}
	return actionKindNames[k]
}

// WishCause is why an action on a task is planned.
type WishCause uint8

const (
	// ForUrgent: an urgent job or an instance needs the capacity.
	ForUrgent WishCause = iota + 1
	// ForPressure: the VM is near its limit.
	ForPressure
	// ForMove: the VM moves to another pool, or the task does not belong on it.
	ForMove
	// ForCancel: the job was cancelled.
	ForCancel
	// ForSpread: one VM carries more instances than the service can spare.
	ForSpread
	// ForRoom: the VM has free capacity again, or is cleared for a large job.
	ForRoom
)

// Wish is a command for the platform about one task. It is planned again in
// each round until the state shows that it was carried out.
type Wish struct {
	Kind   WishKind
	Cause  WishCause
	Task   *model.Task
	Reason string
}

// Moved reports whether the stop counts as a relocation.
func (w *Wish) Moved() bool {
	return (w.Kind == Stop || w.Kind == Checkpoint) && w.Cause != ForCancel
}

// String describes the planned action for logs.
func (w *Wish) String() string { return fmt.Sprintf("%s %s: %s", w.Kind, w.Task.ID, w.Reason) }
