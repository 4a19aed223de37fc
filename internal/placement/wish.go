package placement

import (
	"fmt"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// WishKind is a command that the platform is to carry out on a running task.
type WishKind uint8

const (
	// Throttle reduces the task's processor share; UpdateTask records it.
	Throttle WishKind = iota + 1
	// Unthrottle gives the full share back; UpdateTask records it.
	Unthrottle
	// Checkpoint saves the task's progress and stops it.
	Checkpoint
	// Stop ends the task gracefully; EndTask records the outcome.
	Stop
)

var wishNames = [...]string{"", "throttle", "unthrottle", "checkpoint", "stop"}

// String returns the name used in status and counters.
func (k WishKind) String() string {
	if int(k) >= len(wishNames) {
		return "invalid"
	}
	return wishNames[k]
}

// WishCause says for whose sake a task yields.
type WishCause uint8

const (
	// ForUrgent: an urgent job or an instance needs the room.
	ForUrgent WishCause = iota + 1
	// ForPressure: the VM nears its limit.
	ForPressure
	// ForMove: the VM moves to another pool, or the task is on the wrong one.
	ForMove
	// ForCancel: the job was cancelled.
	ForCancel
	// ForSpread: one failure domain carries more instances than the service can spare.
	ForSpread
	// ForRoom: there is room again, or a VM is kept clear for a large job.
	ForRoom
)

// Wish is a command for the platform about one task. The same wish comes back
// in each round until the state shows that it was carried out.
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

// String names the wish for logs.
func (w *Wish) String() string { return fmt.Sprintf("%s %s: %s", w.Kind, w.Task.ID, w.Reason) }
