package placement

import (
	"math"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Weights of the score. A lower score is better; 1 is a whole VM left free.
const (
	// acceleratorPenalty keeps jobs without accelerators off VMs that have
	// some.
	acceleratorPenalty = 2.0
	// pendingWavePenalty keeps new work off VMs that the wave has yet to drain,
	// where it would have to be moved.
	pendingWavePenalty = 1.5
	// drainPenalty keeps jobs off VMs that are drained before the jobs end.
	drainPenalty = 1.5
	// imbalanceWeight avoids leaving processors without memory or memory
	// without processors, which no task could use.
	imbalanceWeight = 0.25
)

// scorer scores VMs that have enough free capacity for a job.
type scorer struct {
	ix *fleet.Index
	o  Options
}

func (sc *scorer) score(p *fleet.Pool, v *fleet.VM, j *model.Job, size, free model.Resources) float64 {
	capacity := v.Capacity()
	cpu := leftShare(free.MilliCPU-size.MilliCPU, capacity.MilliCPU)
	memory := leftShare(free.MemoryMB-size.MemoryMB, capacity.MemoryMB)
	score := (cpu+memory)/2 + imbalanceWeight*math.Abs(cpu-memory)
	if j.Spec.Priority == model.Urgent {
		// Urgent work goes to the emptiest VM, away from the limits. Other work
		// is packed, so that VMs stay empty for large jobs, waves and moves.
		score = -score
	}
	if size.Accelerators == 0 && capacity.Accelerators > 0 {
		score += acceleratorPenalty
	}
	return score + sc.maintenanceCost(p, v, j)
}

// maintenanceCost scores how maintenance would affect the job.
func (sc *scorer) maintenanceCost(p *fleet.Pool, v *fleet.VM, j *model.Job) float64 {
	if sc.o.IgnoreWaves {
		return 0
	}
	cost := 0.0
	if p.Wave != nil && !v.Maintained {
		cost += pendingWavePenalty
	}
	drain, known := sc.o.SoonDrained[v.ID]
	if known && (j.Spec.Runtime == 0 || sc.ix.Now().Add(j.Spec.Runtime) > drain) {
		cost += drainPenalty
	}
	return cost
}

func leftShare(left, capacity int64) float64 {
	if capacity <= 0 {
		return 0
	}
	return float64(left) / float64(capacity)
}
