// Package placement decides on which VM each instance and job runs, which batch
// work is preempted for urgent work, and when a task's lease has lapsed. Its
// decisions are pure functions of a fleet.Index.
package placement

import (
	"fmt"
	"strings"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// RejectReason is the reason why a job or an instance was not placed. The zero
// value means that it was placed.
type RejectReason uint8

const (
	// Placed: nothing prevents the placement.
	Placed RejectReason = iota
	// NoFreeCapacity: no open VM of the pool has enough free capacity now.
	NoFreeCapacity
	// NoOpenVM: no VM of the pool accepts new work now.
	NoOpenVM
	// Reserved: capacity on a VM is reserved for the job until other work there
	// is preempted or ends.
	Reserved
	// QuotaInUse: the team's running jobs leave too little of its quota.
	QuotaInUse
	// FailedHere: the job failed on every open VM that has enough free
	// capacity.
	FailedHere
	// CapacityUnknown: the platform lists none, or not all, of the pool's VMs.
	CapacityUnknown
	// TooLarge: no VM of the pool is large enough; the job can never run.
	TooLarge
	// OverQuota: the job alone exceeds its team's quota; it can never run.
	OverQuota
	// UnknownPool: the manifest has no such pool; the job can never run.
	UnknownPool
	// UnknownTeam: the manifest has no such team; the job can never run.
	UnknownTeam
	rejectReasonCount
)

var rejectReasonNames = [rejectReasonCount]string{"placed", "no-room", "no-open-vm", "reserved", "quota-in-use",
	"failed-here", "capacity-unknown", "too-large", "over-quota", "unknown-pool", "unknown-team"}

// String returns the short name used for counters.
func (r RejectReason) String() string {
	if r >= rejectReasonCount {
		return "invalid"
	}
	return rejectReasonNames[r]
}

// Permanent reports whether waiting can't help, so that the job is marked
// unplaceable at once.
func (r RejectReason) Permanent() bool { return r >= TooLarge && r < rejectReasonCount }

// formatSize formats an amount of resources for people.
func formatSize(r model.Resources) string {
	parts := []string{fmt.Sprintf("%.1f cores", float64(r.MilliCPU)/1000), fmt.Sprintf("%d MB", r.MemoryMB)}
	if r.Accelerators > 0 {
		parts = append(parts, fmt.Sprintf("%d accelerators", r.Accelerators))
	}
	return strings.Join(parts, ", ")
}

// formatQuota formats a quota and omits unlimited dimensions, which are 0.
func formatQuota(q model.Resources) string {
	var parts []string
	if q.MilliCPU > 0 {
		parts = append(parts, fmt.Sprintf("%.1f cores", float64(q.MilliCPU)/1000))
	}
	if q.MemoryMB > 0 {
		parts = append(parts, fmt.Sprintf("%d MB", q.MemoryMB))
	}
	if q.Accelerators > 0 {
		parts = append(parts, fmt.Sprintf("%d accelerators", q.Accelerators))
	}
	return strings.Join(parts, ", ")
}
