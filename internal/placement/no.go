// Package placement decides on which VM each instance and job runs, which
// batch work yields to urgent work, and when a task's lease has lapsed. Its
// decisions are pure functions of a fleet.Index.
package placement

import (
	"fmt"
	"strings"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// No says why a job or an instance was not placed. The zero value means that
// it was.
type No uint8

const (
	// Placed: there is no obstacle.
	Placed No = iota
	// NoRoom: no open VM of the pool has enough left now.
	NoRoom
	// NoOpenVM: no VM of the pool takes new work now.
	NoOpenVM
	// Reserved: room on a VM is held for the urgent job until other work there yields or ends.
	Reserved
	// QuotaInUse: the team's running jobs leave too little of its quota.
	QuotaInUse
	// FailedHere: the job failed on every open VM that has room.
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
	noCount
)

var noNames = [noCount]string{"placed", "no-room", "no-open-vm", "reserved", "quota-in-use",
	"failed-here", "capacity-unknown", "too-large", "over-quota", "unknown-pool", "unknown-team"}

// String returns the short name used for counters.
func (n No) String() string {
	if n >= noCount {
		return "invalid"
	}
	return noNames[n]
}

// Never reports whether waiting can't help, so that the job is told at once.
func (n No) Never() bool { return n >= TooLarge && n < noCount }

// sizeWords writes an amount for people.
func sizeWords(r model.Resources) string {
	words := []string{fmt.Sprintf("%.1f cores", float64(r.MilliCPU)/1000), fmt.Sprintf("%d MB", r.MemoryMB)}
	if r.Accelerators > 0 {
		words = append(words, fmt.Sprintf("%d accelerators", r.Accelerators))
	}
	return strings.Join(words, ", ")
}

// quotaWords writes a quota; 0 in a dimension is unlimited.
func quotaWords(q model.Resources) string {
	var words []string
	if q.MilliCPU > 0 {
		words = append(words, fmt.Sprintf("%.1f cores", float64(q.MilliCPU)/1000))
	}
	if q.MemoryMB > 0 {
		words = append(words, fmt.Sprintf("%d MB", q.MemoryMB))
	}
	if q.Accelerators > 0 {
		words = append(words, fmt.Sprintf("%d accelerators", q.Accelerators))
	}
	return strings.Join(words, ", ")
}
