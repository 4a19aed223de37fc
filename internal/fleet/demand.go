package fleet

import (
	"fmt"
	"math"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// fillLimit is the share of a VM's capacity that demand counts as usable:
// tasks do not pack without gaps.
const fillLimit = 0.9

// Demand holds how many VMs a pool needs and the figures this is computed from.
type Demand struct {
	Pool *Pool
	// Unit is the average capacity of the pool's VMs, or the pool's shape
	// while none is listed.
	Unit model.Resources
	// Instances is the number of VMs that all wanted instances of the pool's
	// services fill.
	Instances int
	// Running is what running jobs use that can't be preempted: all but batch
	// jobs which can be throttled, checkpointed or run again.
	Running model.Resources
	// Preemptible is what running batch jobs use that can be preempted.
	Preemptible model.Resources
	// Urgent and Waiting are what queued urgent and normal jobs need.
	Urgent, Waiting model.Resources
	// Hard is the number of VMs that instances and urgent jobs need; Floor is
	// the larger of Hard and the pool's minimum size; Want adds waiting jobs
	// and the headroom that the policy's weights ask for.
	Hard, Floor, Want int
	// Headroom is the part of Want that is reserved for failures.
	Headroom int
	// Ready counts the VMs that take work now, Returning those that are
	// expected back without a repair, Incoming those moving into the pool.
	Ready, Returning, Incoming int
	// ReturningSoon is the part of Returning that a pool may wait for instead of
	// taking another VM; see returnWait.
	ReturningSoon int
	// Lost counts the VMs that have been down for longer than Options.LostAfter
	// or are quarantined.
	Lost int
	// staying counts the VMs of the pool that are not moving out, and those
	// moving into it.
	staying int
}

// Describe summarizes the demand in one line for status and reasons.
func (d *Demand) Describe() string {
	return fmt.Sprintf("needs %d (least %d, for instances and urgent jobs %d, headroom %d); has %d ready, %d returning, %d coming, %d lost",
		d.Want, d.Pool.Spec.MinVMs, d.Hard, d.Headroom, d.Ready, d.Returning, d.Incoming, d.Lost)
}

// Surplus returns how many ready VMs the pool has beyond what it wants.
func (d *Demand) Surplus() int { return d.Ready - d.Want }

// Demands computes the demand of each pool, in the order of ix.Pools.
func Demands(ix *Index, o Options) []*Demand {
	o = o.withDefaults()
	demands := make([]*Demand, len(ix.Pools))
	byPool := make(map[model.PoolID]*Demand, len(ix.Pools))
	for i, p := range ix.Pools {
		demands[i] = &Demand{Pool: p}
		byPool[p.Spec.ID] = demands[i]
		demands[i].countVMs(ix, o)
		demands[i].addTasks()
	}
	addQueue(ix, byPool, o)
	for _, d := range demands {
		d.compute(ix, o)
	}
	return demands
}

func (d *Demand) countVMs(ix *Index, o Options) {
	var total model.Resources
	listed := int64(0)
	for _, v := range d.Pool.VMs {
		if v.Listed != nil && !v.Moving() {
			total = total.Plus(v.Capacity())
			listed++
		}
		d.countVM(ix, v, o)
	}
	d.Incoming = len(d.Pool.Incoming)
	d.staying += d.Incoming
	d.Unit = d.Pool.Spec.Shape
	if listed > 0 {
		d.Unit = model.Resources{MilliCPU: total.MilliCPU / listed, MemoryMB: total.MemoryMB / listed, Accelerators: total.Accelerators / listed}
	}
}

func (d *Demand) countVM(ix *Index, v *VM, o Options) {
	if !v.Moving() {
		d.staying++
	}
	switch {
	case v.Moving():
	case v.Block == Open:
		d.Ready++
	case lost(ix, v, o):
		d.Lost++
	default:
		d.Returning++
		if v.Permit != nil || v.Listed != nil && ix.Snap.Now.Sub(v.Listed.HealthSince) < o.returnWait(ix) {
			d.ReturningSoon++
		}
	}
}

// canWait reports whether the pool can wait for its returning VMs instead of
// taking others: no urgent job is queued, and each service has at least one
// available instance more than its minimum.
func (d *Demand) canWait() bool {
	for _, s := range d.Pool.Services {
		if s.Available <= s.Spec.MinAvailable {
			return false
		}
	}
	return d.Urgent.IsZero()
}

// lost reports whether a VM is not expected back without a repair: it has been
// absent, down or without a heartbeat for at least LostAfter, or it is
// quarantined.
func lost(ix *Index, v *VM, o Options) bool {
	switch {
	case v.Permit != nil:
		return false
	case v.Listed == nil:
		since, known := ix.Snap.Absent[v.ID]
		return known && ix.Snap.Now.Sub(since) >= o.LostAfter
	case v.Quarantine != nil:
		return true
	case v.Listed.Health == model.VMUp:
		return false
	}
	return ix.Snap.Now.Sub(v.Listed.HealthSince) >= o.LostAfter
}

func (d *Demand) addTasks() {
	for _, v := range d.Pool.VMs {
		for i := range v.Running {
			d.addTask(&v.Running[i])
		}
	}
}

func (d *Demand) addTask(r *RunningTask) {
	switch {
	case r.Task.Job == "":
	case r.Preemptible():
		d.Preemptible = d.Preemptible.Plus(r.Task.Size)
	default:
		d.Running = d.Running.Plus(r.Task.Size)
	}
}

// Preemptible reports whether a running job can be preempted without losing
// anything for good: it is batch work that can be throttled, checkpointed, or
// stopped and run again.
func Preemptible(job *model.Job, t *model.Task) bool {
	return t.Priority == model.Batch && (job.Spec.Throttleable || job.Spec.Checkpoints || job.Spec.Idempotent)
}

// addQueue adds what queued urgent and normal jobs need. Batch jobs run on the
// capacity that is there and never raise the demand.
func addQueue(ix *Index, byPool map[model.PoolID]*Demand, o Options) {
	for _, j := range ix.Queue {
		d := byPool[j.Spec.Pool]
		if d == nil || ix.StartPlanned(j.Spec.ID) {
			continue
		}
		size := d.Pool.jobDemand(o.size(&j.Spec), d.Unit)
		switch j.Spec.Priority {
		case model.Urgent:
			d.Urgent = d.Urgent.Plus(size)
		case model.Normal:
			d.Waiting = d.Waiting.Plus(size)
		}
	}
}

// jobDemand returns how much a queued job adds to the pool's demand: a whole VM
// when the job is so large that no instance fits beside it, and never more,
// however large its estimate has become.
func (p *Pool) jobDemand(size, unit model.Resources) model.Resources {
	size.MilliCPU, size.MemoryMB = min(size.MilliCPU, unit.MilliCPU), min(size.MemoryMB, unit.MemoryMB)
	if p.NeedsVMWithoutInstances(size, unit) {
		return size.Max(scale(unit, fillLimit))
	}
	return size
}

// NeedsVMWithoutInstances reports whether a job is so large that no instance of the
// pool's services fits beside it on a VM of the given capacity.
func (p *Pool) NeedsVMWithoutInstances(size, capacity model.Resources) bool {
	for _, s := range p.Services {
		if size.Plus(s.Spec.Size).Fits(capacity) {
			return false
		}
	}
	return len(p.Services) > 0
}

// compute derives the numbers of VMs from the resources that were added up.
func (d *Demand) compute(ix *Index, o Options) {
	limit := d.Pool.Spec.MaxVMs
	instances := packInstances(d.Pool.Services, d.Unit)
	jobs := d.Urgent.Plus(d.Running)
	d.Instances = instances.vms
	d.Hard = min(max(instances.vmsFor(jobs, d.Unit), d.minSpread()), limit)
	d.Floor = max(d.Hard, min(d.Pool.Spec.MinVMs, limit))
	kept := scale(d.Preemptible, o.moveShare(ix))
	wanted := max(instances.vmsFor(jobs.Plus(d.Waiting).Plus(kept), d.Unit), d.Floor)
	d.Headroom = d.headroom(ix, o)
	d.Want = min(wanted+d.Headroom, limit)
}

// minSpread returns the number of VMs over which the services must be spread
// so that no VM carries more instances of a service than the service can lose.
func (d *Demand) minSpread() int {
	need := 0
	for _, s := range d.Pool.Services {
		maxUnavailable := s.Spec.Instances - s.Spec.MinAvailable
		if maxUnavailable > 0 {
			need = max(need, (s.Spec.Instances+maxUnavailable-1)/maxUnavailable)
		}
	}
	return need
}

// headroom returns how many VMs the pool reserves for the loss of the rack with
// the most of its VMs, so that the loss moves no VM. It grows with the weight
// of moves: at 1 each pool has its own full reserve, at 0 all pools rely on the
// shared spares.
func (d *Demand) headroom(ix *Index, o Options) int {
	perRack := make(map[int]int)
	worst := 0
	for _, v := range d.Pool.VMs {
		if v.Rack < 0 || v.Moving() {
			continue
		}
		perRack[v.Rack]++
		worst = max(worst, perRack[v.Rack])
	}
	return int(math.Round(float64(worst) * o.moveShare(ix)))
}

// vmsFor returns the number of VMs of size unit that a total needs.
func vmsFor(total, unit model.Resources) int {
	n := unitsNeeded(total.MilliCPU, unit.MilliCPU, fillLimit)
	n = max(n, unitsNeeded(total.MemoryMB, unit.MemoryMB, fillLimit))
	return max(n, unitsNeeded(total.Accelerators, unit.Accelerators, 1))
}

// unitsNeeded returns how many units a total takes when each is filled to the
// share fill.
func unitsNeeded(total, unit int64, fill float64) int {
	if total <= 0 || unit <= 0 {
		return 0
	}
	return int(math.Ceil(float64(total) / (float64(unit) * fill)))
}

func scale(r model.Resources, f float64) model.Resources {
	return model.Resources{MilliCPU: int64(float64(r.MilliCPU) * f), MemoryMB: int64(float64(r.MemoryMB) * f), Accelerators: int64(float64(r.Accelerators) * f)}
}
