// Package estimate judges what tasks really need. Declared sizes are far off,
// in both directions, and measured use lags.
package estimate

import (
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

const (
	// Warmup is how long a task runs before its measured use says anything
	// about what it will need.
	Warmup = 2 * time.Minute
	// FreshFor is how long a measurement counts as fresh.
	FreshFor = 90 * time.Second
	// seenMargin is added to fresh measured use, as a share.
	seenMargin = 0.15
	// reclaimFloor is the share of the placed size that stays charged however
	// little a task was seen to use: it may grow later.
	reclaimFloor = 0.5
	// ThrottledShare is what a throttled task keeps of its processor share.
	ThrottledShare = 0.25
)

// Seen is what a task was measured to use, and when. The zero value means
// that nothing was measured.
type Seen struct {
	Used model.Resources
	At   model.Instant
}

// Charge returns what a running task is taken to need of its worker: the
// larger of its placed size and what was last seen, until a fresh measurement
// after the warm-up allows less.
func Charge(t *model.Task, seen Seen, now model.Instant) model.Resources {
	charge := t.Size.Max(seen.Used)
	if fresh(t, seen, now) {
		charge = reclaim(t.Size, seen.Used)
	}
	if t.Throttled {
		charge.MilliCPU = min(charge.MilliCPU, throttledCPU(t.Size.MilliCPU))
	}
	return charge
}

// ThrottleGain is the processor share in thousandths of a core that
// throttling a task frees.
func ThrottleGain(charge int64, size int64) int64 {
	return max(0, charge-throttledCPU(size))
}

func throttledCPU(size int64) int64 { return int64(float64(size) * ThrottledShare) }

func fresh(t *model.Task, seen Seen, now model.Instant) bool {
	return seen.At >= t.Started.Add(Warmup) && now.Sub(seen.At) <= FreshFor
}

// reclaim charges what was seen with a margin, at least reclaimFloor of the
// placed size and, by the margin alone, never more than it. Accelerators are whole devices and stay as placed.
func reclaim(size, used model.Resources) model.Resources {
	charge := used.Scale(1 + seenMargin).Max(size.Scale(reclaimFloor))
	most := size.Max(used)
	charge.MilliCPU, charge.MemoryMB = min(charge.MilliCPU, most.MilliCPU), min(charge.MemoryMB, most.MemoryMB)
	charge.Accelerators = size.Accelerators
	return charge
}
