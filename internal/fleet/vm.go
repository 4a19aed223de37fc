package fleet

import (
	"cmp"
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Block is the reason why a VM takes no new work; the zero value, Open, means
// that it does.
type Block uint8

const (
	// Open: the VM takes new work.
	Open Block = iota
	// BlockAbsent: the VM has an entry, but the platform does not list it.
	BlockAbsent
	// BlockNoEntry: the platform lists the VM, but no entry assigns it to a pool
	// or to the spares.
	BlockNoEntry
	// BlockSpare: the VM is a shared spare.
	BlockSpare
	// BlockMoving: the VM is moving from one pool to another.
	BlockMoving
	// BlockPermit: the VM is under maintenance.
	BlockPermit
	// BlockQuarantine: distinct jobs failed on the VM.
	BlockQuarantine
	// BlockDrained: the platform starts no task on the VM.
	BlockDrained
	// BlockUnhealthy: the VM is down or rebooting, or its heartbeat is late.
	BlockUnhealthy
	blockCount
)

var blockNames = [blockCount]string{"open", "not listed by the platform", "not entered in a pool", "shared spare",
	"moving between pools", "under maintenance", "quarantined", "drained", "not healthy"}

// String returns the text used in status.
func (b Block) String() string {
	if b >= blockCount {
		return "invalid"
	}
	return blockNames[b]
}

// VM joins the records about one VM. They are shared with the snapshot and must
// not be changed.
type VM struct {
	ID model.VMID
	// Listed is nil when the platform does not list the VM.
	Listed *model.VM
	// Owner is nil when the VM has no entry.
	Owner      *model.Ownership
	Permit     *model.Permit
	Quarantine *model.Quarantine
	// Tasks are the tasks recorded on the VM, in no order; see SortedTasks.
	Tasks []*model.Task
	// Running holds details of each of Tasks, in the same order.
	Running []RunningTask
	// Used is the sum of the charges of its tasks; see estimate.Charge.
	Used model.Resources
	// Block is the reason why the VM takes no new work.
	Block Block
	// Zone and Rack are the numbers of the VM's failure domains, from 0; -1
	// when the VM is not listed.
	Zone, Rack int
	// Maintained is set when the VM has been through its pool's current wave.
	Maintained bool
	// attributed is the sum of the charges of the tasks that the VM's measured
	// use covers; unattributed is the measured use beyond it.
	unattributed, attributed model.Resources
	// plannedStarts counts the tasks that Plan added in this round.
	plannedStarts int
}

// RunningTask is a task with the details that decisions often need.
type RunningTask struct {
	Task *model.Task
	// Job is nil for an instance, or when the job is no longer recorded.
	Job *model.Job
	// Charge is the estimated need of the task; see estimate.Charge.
	Charge model.Resources
}

// Cancelled reports whether the task's job was cancelled.
func (r *RunningTask) Cancelled() bool { return r.Job != nil && r.Job.Cancelled }

// Preemptible reports whether the task is of a job that can be preempted without
// losing anything for good.
func (r *RunningTask) Preemptible() bool { return r.Job != nil && Preemptible(r.Job, r.Task) }

// Capacity returns the capacity of the VM; it is zero when the VM is not listed.
func (v *VM) Capacity() model.Resources {
	if v.Listed == nil {
		return model.Resources{}
	}
	return v.Listed.Capacity
}

// Free returns the free capacity of the VM; single resources may be negative.
func (v *VM) Free() model.Resources { return v.Capacity().Minus(v.Used).Minus(v.unattributed) }

// Healthy reports whether the platform lists the VM as up.
func (v *VM) Healthy() bool { return v.Listed != nil && v.Listed.Health == model.VMUp }

// Idle reports whether no task is recorded on the VM.
func (v *VM) Idle() bool { return len(v.Tasks) == 0 }

// Pool returns the pool of the VM's entry; it is empty for a spare or without
// an entry.
func (v *VM) Pool() model.PoolID {
	if v.Owner == nil {
		return ""
	}
	return v.Owner.Pool
}

// Moving reports whether the VM is moving to another pool or to the spares.
func (v *VM) Moving() bool { return v.Owner != nil && v.Owner.Moving }

// Destination returns the pool that the VM serves once its move, if any, is done.
func (v *VM) Destination() model.PoolID {
	if v.Moving() {
		return v.Owner.Target
	}
	return v.Pool()
}

// SortedTasks returns the VM's tasks in the order of their IDs.
func (v *VM) SortedTasks() []*model.Task {
	sorted := slices.Clone(v.Tasks)
	slices.SortFunc(sorted, func(a, b *model.Task) int { return cmp.Compare(a.ID, b.ID) })
	return sorted
}

// Generation returns the generation of the VM's entry; 0 when it has none.
func (v *VM) Generation() uint64 {
	if v.Owner == nil {
		return 0
	}
	return v.Owner.Generation
}

// block determines why the VM takes no new work. When several causes apply, the
// one that is likely to last longest wins.
func (v *VM) block() Block {
	switch {
	case v.Listed == nil:
		return BlockAbsent
	case v.Owner == nil:
		return BlockNoEntry
	case v.Owner.Moving:
		return BlockMoving
	case v.Owner.Pool == "":
		return BlockSpare
	case v.Permit != nil:
		return BlockPermit
	case v.Quarantine != nil:
		return BlockQuarantine
	case v.Listed.Drained:
		return BlockDrained
	case v.Listed.Health != model.VMUp:
		return BlockUnhealthy
	}
	return Open
}
