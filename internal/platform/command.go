package platform

import (
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Kind names what a command does. Its text form is used on the wire.
type Kind string

const (
	// Drain: the platform starts no further task on the VM.
	Drain Kind = "drain"
	// Undrain ends a drain that no reboot followed.
	Undrain Kind = "undrain"
	// Reboot restarts the VM if its boot ID is still the one named.
	Reboot Kind = "reboot"
	// Return ends the maintenance of a VM that was rebooted.
	Return Kind = "return"
	// Start runs a task on a worker until its lease lapses.
	Start Kind = "start"
	// Renew extends the leases of tasks to one common instant.
	Renew Kind = "renew"
	// Checkpoint saves a task's progress under its job and ends the task.
	Checkpoint Kind = "checkpoint"
	// Throttle sets whether a task runs at reduced processor share.
	Throttle Kind = "throttle"
	// Stop ends a task. A task that never started never will.
	Stop Kind = "stop"
)

// ForVM reports whether the command addresses a VM rather than tasks.
func (k Kind) ForVM() bool {
	switch k {
	case Drain, Undrain, Reboot, Return:
		return true
	default:
		return false
	}
}

// Step orders the commands of one maintenance of a VM. A command is refused
// once a later step of the same generation was accepted.
func (k Kind) Step() int {
	switch k {
	case Drain:
		return 1
	case Reboot:
		return 2
	case Undrain, Return:
		return 3
	default:
		return 0
	}
}

// Fence orders commands for the same object. The platform keeps the highest
// fence that it accepted and refuses what is lower, so that a delayed command
// of an earlier decision or of a leader that was cut off has no effect.
type Fence struct {
	// Term is the controller's term.
	Term uint64 `json:"term"`
	// Generation is that of the permit for VM commands, and that of the VM's
	// ownership for tasks.
	Generation uint64 `json:"generation"`
	// Step orders the VM commands of one generation; see Kind.Step.
	Step int `json:"step,omitempty"`
}

// Before reports whether f is of an earlier decision than o about the same VM.
func (f Fence) Before(o Fence) bool {
	if f.Generation != o.Generation {
		return f.Generation < o.Generation
	}
	return f.Step < o.Step
}

// Command is one order to the platform. Which of the other fields are read
// depends on Kind.
type Command struct {
	ID    model.CommandID `json:"id"`
	Kind  Kind            `json:"kind"`
	Fence Fence           `json:"fence"`

	// VM is set for VM commands and for Start.
	VM model.VMID `json:"vm,omitempty"`
	// BootID is set for Reboot: the boot that is to end.
	BootID string `json:"boot_id,omitempty"`

	// Task is set for Start, Checkpoint, Throttle and Stop.
	Task model.TaskID `json:"task,omitempty"`
	// Tasks is set for Renew.
	Tasks []model.TaskID `json:"tasks,omitempty"`
	// LeaseUntil is set for Start and Renew. The worker ends the task then by
	// its own clock; clocks agree within the drift margin.
	LeaseUntil model.Instant `json:"lease_until_ms,omitempty"`
	// Throttled is set for Throttle.
	Throttled bool `json:"throttled,omitempty"`
	// Spec is set for Start.
	Spec *TaskSpec `json:"spec,omitempty"`
}

// TaskSpec says what a task is to run.
type TaskSpec struct {
	Worker   model.WorkerID  `json:"worker"`
	Pool     model.PoolID    `json:"pool"`
	Service  model.ServiceID `json:"service,omitempty"`
	Ordinal  int             `json:"ordinal,omitempty"`
	Job      model.JobID     `json:"job,omitempty"`
	Kind     string          `json:"kind,omitempty"`
	Size     model.Resources `json:"size"`
	Priority string          `json:"priority"`
	Payload  []byte          `json:"payload,omitempty"`
}

// Code says what became of a command.
type Code string

const (
	// Accepted: the command took effect now or when it was first sent.
	Accepted Code = "accepted"
	// Stale: a command of a later decision was accepted before; no effect.
	Stale Code = "stale"
	// Refused: the platform can't do it (unknown object, no room, lease over,
	// other boot ID); no effect. A task whose start was refused never runs.
	Refused Code = "refused"
	// Busy: not now; no effect, send it again later.
	Busy Code = "busy"
)

// Answer is the platform's answer to one command.
type Answer struct {
	ID     model.CommandID `json:"id"`
	Code   Code            `json:"code"`
	Reason string          `json:"reason,omitempty"`
	// Missing lists the tasks of a Renew that the platform does not run.
	Missing []model.TaskID `json:"missing,omitempty"`
}
