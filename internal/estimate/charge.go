// Package estimate estimates what tasks really need. Declared sizes are far off in
// both directions, and measured use lags behind.
package estimate

import (
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

const (
	// Warmup is how long a task must run before its measured use shows what it will
	// need.
	Warmup = 2 * time.Minute
	// FreshFor is how long a measurement is considered fresh.
	FreshFor = 90 * time.Second
	// usageMargin is added to fresh measured use, as a share of it.
	usageMargin = 0.15
	// reclaimFloor is the share of the placed size that stays charged however
	// little a task was measured to use, as its use may grow later.
	reclaimFloor = 0.5
	// ThrottledShare is the share of its processor size that a throttled task keeps.
	ThrottledShare = 0.25
)

// Usage is what a task was measured to use, and when. The zero value means that
// nothing was measured.
type Usage struct {
	Used model.Resources
	At   model.Instant
}

// Charge returns the resources that a running task is assumed to need on its
// worker: the larger of its placed size and its last measured use, until a fresh
// measurement after the warm-up allows less.
func Charge(t *model.Task, measured Usage, now model.Instant) model.Resources {
	charge := t.Size.Max(measured.Used)
	if fresh(t, measured, now) {
		charge = reclaim(t.Size, measured.Used)
	}
	if t.Throttled {
		charge.MilliCPU = min(charge.MilliCPU, throttledCPU(t.Size.MilliCPU))
	}
	return charge
}

// ThrottleGain returns the processor capacity, in thousandths of a core, that
// throttling a task frees.
func ThrottleGain(charge int64, size int64) int64 {
	return max(0, charge-throttledCPU(size))
}

func throttledCPU(size int64) int64 { return int64(float64(size) * ThrottledShare) }

func fresh(t *model.Task, measured Usage, now model.Instant) bool {
	return measured.At >= t.Started.Add(Warmup) && now.Sub(measured.At) <= FreshFor
}

// reclaim returns the measured use plus a margin, at least reclaimFloor of the
// placed size. The margin alone never raises the charge above the placed size.
// Accelerators are whole devices and stay as placed.
func reclaim(size, used model.Resources) model.Resources {
	charge := used.Scale(1 + usageMargin).Max(size.Scale(reclaimFloor))
	limit := size.Max(used)
	charge.MilliCPU, charge.MemoryMB = min(charge.MilliCPU, limit.MilliCPU), min(charge.MemoryMB, limit.MemoryMB)
	charge.Accelerators = size.Accelerators
	return charge
}
