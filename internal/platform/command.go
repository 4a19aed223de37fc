package platform

import (
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// CommandKind is what a command does. Its value is used on the wire.
type CommandKind string

const (
	// Drain stops the platform from starting tasks on the VM.
	Drain CommandKind = "drain"
	// Undrain ends a drain that was not followed by a reboot.
	Undrain CommandKind = "undrain"
	// Reboot restarts the VM if its boot ID is still the one in the command.
	Reboot CommandKind = "reboot"
	// Return ends the maintenance of a VM that was rebooted.
	Return CommandKind = "return"
	// Start runs a task on a worker until its lease expires.
	Start CommandKind = "start"
	// Renew extends the leases of several tasks to the same instant.
	Renew CommandKind = "renew"
	// Checkpoint saves a task's progress for its job and ends the task.
	Checkpoint CommandKind = "checkpoint"
	// Throttle sets whether a task runs with a reduced share of the processor.
	Throttle CommandKind = "throttle"
	// Stop ends a task. A task that has not started yet never starts.
	Stop CommandKind = "stop"
)

// ForVM reports whether the command is for a VM rather than for tasks.
func (k CommandKind) ForVM() bool {
	switch k {
	case Drain, Undrain, Reboot, Return:
		return true
	default:
		return false
	}
}

// Step is the position of a command in the maintenance of a VM. A command is
// refused once a later step of the same generation was accepted.
func (k CommandKind) Step() int {
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

// Fence orders the commands for one object. The platform stores the highest fence
// that it accepted and refuses lower ones, so that a delayed command of an earlier
// decision or of a replaced leader has no effect.
type Fence struct {
	// Term is the controller's term.
	Term uint64 `json:"term"`
	// Generation is the generation of the permit for VM commands, and the
	// generation of the VM's ownership for tasks.
	Generation uint64 `json:"generation"`
	// Step orders the VM commands of one generation; see CommandKind.Step.
	Step int `json:"step,omitempty"`
}

// Before reports whether f belongs to an earlier decision about the same VM than o.
func (f Fence) Before(o Fence) bool {
	if f.Generation != o.Generation {
		return f.Generation < o.Generation
	}
	return f.Step < o.Step
}

// Command is one command to the platform. Kind determines which of the other
// fields are used.
type Command struct {
	ID    model.CommandID `json:"id"`
	Kind  CommandKind     `json:"kind"`
	Fence Fence           `json:"fence"`

	// VM is set for VM commands and for Start.
	VM model.VMID `json:"vm,omitempty"`
	// BootID is set for Reboot: the boot ID that the VM must still have.
	BootID string `json:"boot_id,omitempty"`

	// Task is set for Start, Checkpoint, Throttle and Stop.
	Task model.TaskID `json:"task,omitempty"`
	// Tasks is set for Renew.
	Tasks []model.TaskID `json:"tasks,omitempty"`
	// LeaseUntil is set for Start and Renew. The worker ends the task at this
	// instant of its own clock; clocks agree within the drift margin.
	LeaseUntil model.Instant `json:"lease_until_ms,omitempty"`
	// Throttled is set for Throttle.
	Throttled bool `json:"throttled,omitempty"`
	// Spec is set for Start.
	Spec *TaskSpec `json:"spec,omitempty"`
}

// TaskSpec specifies a task.
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

// Code is the result of a command.
type Code string

const (
	// Accepted: the command took effect now or when it first arrived.
	Accepted Code = "accepted"
	// Stale: a command of a later decision was accepted before. No effect.
	Stale Code = "stale"
	// Refused: the platform can't carry it out (unknown object, not enough free
	// capacity, expired lease, other boot ID). No effect. A task whose start was
	// refused never runs.
	Refused Code = "refused"
	// Busy: the platform can't carry it out now. No effect; retry later.
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
