package placement

import (
	"math"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Weights of the score; a lower score is better, 1 is a whole VM left over.
const (
	// acceleratorWaste keeps jobs without accelerators off VMs that have some.
	acceleratorWaste = 2.0
	// pendingWave keeps new work off VMs that the wave has still to drain:
	// it would be moved.
	pendingWave = 1.5
	// drainedBefore keeps jobs off VMs that are drained before they end.
	drainedBefore = 1.5
	// imbalance keeps processors and memory from being stranded.
	imbalance = 0.25
)

// weigher scores VMs that have room for a job.
type weigher struct {
	ix *fleet.Index
	o  Options
}

func (w *weigher) score(p *fleet.Pool, v *fleet.VM, j *model.Job, size, free model.Resources) float64 {
	capacity := v.Capacity()
	cpu := leftShare(free.MilliCPU-size.MilliCPU, capacity.MilliCPU)
	memory := leftShare(free.MemoryMB-size.MemoryMB, capacity.MemoryMB)
	score := (cpu+memory)/2 + imbalance*math.Abs(cpu-memory)
	if j.Spec.Priority == model.Urgent {
		// Urgent work goes where most is left, away from the limits; other
		// work packs, so that VMs stay empty for large jobs, waves and moves.
		score = -score
	}
	if size.Accelerators == 0 && capacity.Accelerators > 0 {
		score += acceleratorWaste
	}
	return score + w.horizon(p, v, j)
}

// horizon weighs what maintenance would do to the job.
func (w *weigher) horizon(p *fleet.Pool, v *fleet.VM, j *model.Job) float64 {
	if w.o.IgnoreWaves {
		return 0
	}
	cost := 0.0
	if p.Wave != nil && !v.Maintained {
		cost += pendingWave
	}
	drain, known := w.o.SoonDrained[v.ID]
	if known && (j.Spec.Runtime == 0 || w.ix.Now().Add(j.Spec.Runtime) > drain) {
		cost += drainedBefore
	}
	return cost
}

func leftShare(left, capacity int64) float64 {
	if capacity <= 0 {
		return 0
	}
	return float64(left) / float64(capacity)
}
