package fleet

import (
	"cmp"
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Block says why a VM takes no new work. The zero value means that it does.
type Block uint8

const (
	// Open: the VM takes new work.
	Open Block = iota
	// BlockAbsent: it has an entry, but the platform does not list it.
	BlockAbsent
	// BlockNoEntry: the platform lists it, but no entry says where it belongs.
	BlockNoEntry
	// BlockSpare: it is a shared spare.
	BlockSpare
	// BlockMoving: it is on its way from one pool to another.
	BlockMoving
	// BlockPermit: it is under maintenance.
	BlockPermit
	// BlockQuarantine: distinct jobs failed on it.
	BlockQuarantine
	// BlockDrained: the platform starts no task on it.
	BlockDrained
	// BlockUnhealthy: it is down, rebooting, or its heartbeat is late.
	BlockUnhealthy
	blockCount
)

var blockNames = [blockCount]string{"open", "not listed by the platform", "not entered in a pool", "shared spare",
	"moving between pools", "under maintenance", "quarantined", "drained", "not healthy"}

// String returns the words used in status.
func (b Block) String() string {
	if b >= blockCount {
		return "invalid"
	}
	return blockNames[b]
}

// VM joins what is known about one VM. Its maps and records are shared with
// the snapshot and must not be changed.
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
	// Running says more about each of Tasks, in the same order.
	Running []Running
	// Used is what its tasks are taken to need, as estimate.Charge says.
	Used model.Resources
	// Block says why the VM takes no new work.
	Block Block
	// Zone and Rack number the failure domains of the site from 0; -1 when
	// the VM is not listed.
	Zone, Rack int
	// Maintained says that the VM went through the wave that is on in its pool.
	Maintained bool
	// measured is the part of the VM's measured use that its tasks' charges,
	// which sum up to explained, do not explain.
	measured, explained model.Resources
	// placed counts the tasks that Plan added in this round.
	placed int
}

// Running is a task with what decisions ask of it again and again.
type Running struct {
	Task *model.Task
	// Job is nil for an instance, or when the job is no longer recorded.
	Job *model.Job
	// Charge is what the task is taken to need, as estimate.Charge says.
	Charge model.Resources
}

// Cancelled reports whether the task's job was cancelled.
func (r *Running) Cancelled() bool { return r.Job != nil && r.Job.Cancelled }

// Yields reports whether the task is of a job that can make room without a
// loss that can't be undone.
func (r *Running) Yields() bool { return r.Job != nil && Yields(r.Job, r.Task) }

// Capacity is what the VM offers; zero when it is not listed.
func (v *VM) Capacity() model.Resources {
	if v.Listed == nil {
		return model.Resources{}
	}
	return v.Listed.Capacity
}

// Free is what is left of the VM; members may be negative.
func (v *VM) Free() model.Resources { return v.Capacity().Minus(v.Used).Minus(v.measured) }

// Healthy reports whether the platform lists the VM as up.
func (v *VM) Healthy() bool { return v.Listed != nil && v.Listed.Health == model.VMUp }

// Idle reports whether no task is recorded on the VM.
func (v *VM) Idle() bool { return len(v.Tasks) == 0 }

// Pool is the pool of the VM's entry; empty for a spare or when it has none.
func (v *VM) Pool() model.PoolID {
	if v.Owner == nil {
		return ""
	}
	return v.Owner.Pool
}

// Moving reports whether the VM is on its way to another pool.
func (v *VM) Moving() bool { return v.Owner != nil && v.Owner.Moving }

// Destination is the pool that the VM serves once its move, if any, is done.
func (v *VM) Destination() model.PoolID {
	if v.Moving() {
		return v.Owner.Target
	}
	return v.Pool()
}

// SortedTasks returns the VM's tasks by ID.
func (v *VM) SortedTasks() []*model.Task {
	sorted := slices.Clone(v.Tasks)
	slices.SortFunc(sorted, func(a, b *model.Task) int { return cmp.Compare(a.ID, b.ID) })
	return sorted
}

// Generation is the generation of the VM's entry; 0 when it has none.
func (v *VM) Generation() uint64 {
	if v.Owner == nil {
		return 0
	}
	return v.Owner.Generation
}

// block works out why the VM takes no new work, the most lasting cause first.
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
