package fleet

import (
	"fmt"
	"math"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// fillLimit is the share of a VM that demand may plan to fill: tasks do not
// pack without gaps.
const fillLimit = 0.9

// Demand is how many VMs a pool needs, with the terms of the sum.
type Demand struct {
	Pool *Pool
	// Unit is what one VM of the pool offers.
	Unit model.Resources
	// Instances is how many VMs the pool's services fill in full number.
	Instances int
	// Running is what running jobs need that can't yield: all but batch jobs
	// which can be throttled, checkpointed or run again.
	Running model.Resources
	// Yielding is what batch jobs hold that can yield.
	Yielding model.Resources
	// Urgent and Waiting are what queued urgent and normal jobs need.
	Urgent, Waiting model.Resources
	// Hard is the number of VMs without which instances or urgent jobs have
	// no room; Floor is the larger of Hard and the pool's least size; Want
	// adds waiting jobs and the headroom that the policy's weights ask for.
	Hard, Floor, Want int
	// Headroom is the part of Want that is held for failures.
	Headroom int
	// Ready counts the VMs that carry work now, Returning those that are
	// expected back by themselves, Coming those on their way from elsewhere.
	Ready, Returning, Coming int
	// Patient is the part of Returning for which a move can wait: see patience.
	Patient int
	// Lost counts the VMs that failed for longer than the grace.
	Lost int
	// staying counts the VMs that are in the pool and do not leave, and those
	// on their way to it.
	staying int
}

// Words gives the arithmetic of the demand for status.
func (d *Demand) Words() string {
	return fmt.Sprintf("needs %d (least %d, for instances and urgent jobs %d, headroom %d); has %d ready, %d returning, %d coming, %d lost",
		d.Want, d.Pool.Spec.MinVMs, d.Hard, d.Headroom, d.Ready, d.Returning, d.Coming, d.Lost)
}

// Surplus is how many ready VMs the pool could give away.
func (d *Demand) Surplus() int { return d.Ready - d.Want }

// Demands works out the demand of each pool, in the order of ix.Pools.
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
		d.sum(ix, o)
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
	d.Coming = len(d.Pool.Incoming)
	d.staying += d.Coming
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
		if v.Permit != nil || v.Listed != nil && ix.Snap.Now.Sub(v.Listed.HealthSince) < o.patience(ix) {
			d.Patient++
		}
	}
}

// calm reports whether the pool can wait for VMs that come back by themselves:
// no urgent job waits, and each service has an instance more than its budget.
func (d *Demand) calm() bool {
	for _, s := range d.Pool.Services {
		if s.Available <= s.Spec.MinAvailable {
			return false
		}
	}
	return d.Urgent.IsZero()
}

// lost reports whether a VM is not expected back by itself: it failed, or its
// heartbeat is late, for longer than the grace; or it is quarantined.
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

func (d *Demand) addTask(r *Running) {
	switch {
	case r.Task.Job == "":
	case r.Yields():
		d.Yielding = d.Yielding.Plus(r.Task.Size)
	default:
		d.Running = d.Running.Plus(r.Task.Size)
	}
}

// Yields reports whether a running job can make room without a loss that
// can't be undone: batch work that can be throttled, checkpointed, or stopped
// and run again.
func Yields(job *model.Job, t *model.Task) bool {
	return t.Priority == model.Batch && (job.Spec.Throttleable || job.Spec.Checkpoints || job.Spec.Idempotent)
}

// addQueue adds what queued jobs need. Batch jobs take what is there and ask
// for no VM, except while the site has more spares than it needs.
func addQueue(ix *Index, byPool map[model.PoolID]*Demand, o Options) {
	for _, j := range ix.Queue {
		d := byPool[j.Spec.Pool]
		if d == nil || ix.Started(j.Spec.ID) {
			continue
		}
		size := d.Pool.asked(o.size(&j.Spec), d.Unit)
		switch j.Spec.Priority {
		case model.Urgent:
			d.Urgent = d.Urgent.Plus(size)
		case model.Normal:
			d.Waiting = d.Waiting.Plus(size)
		}
	}
}

// asked is what a queued job asks of the pool: a whole VM when it is so large
// that no instance fits beside it, and never more, however large it was
// learned to be.
func (p *Pool) asked(size, unit model.Resources) model.Resources {
	size.MilliCPU, size.MemoryMB = min(size.MilliCPU, unit.MilliCPU), min(size.MemoryMB, unit.MemoryMB)
	if p.NeedsClearVM(size, unit) {
		return size.Max(share(unit, fillLimit))
	}
	return size
}

// NeedsClearVM reports whether a job is so large that it only fits a VM of
// the capacity on which no instance runs.
func (p *Pool) NeedsClearVM(size, capacity model.Resources) bool {
	for _, s := range p.Services {
		if size.Plus(s.Spec.Size).Fits(capacity) {
			return false
		}
	}
	return len(p.Services) > 0
}

func (d *Demand) sum(ix *Index, o Options) {
	limit := d.Pool.Spec.MaxVMs
	instances := packInstances(d.Pool.Services, d.Unit)
	jobs := d.Urgent.Plus(d.Running)
	d.Instances = instances.vms
	d.Hard = min(max(instances.vmsFor(jobs, d.Unit), d.spread()), limit)
	d.Floor = max(d.Hard, min(d.Pool.Spec.MinVMs, limit))
	kept := share(d.Yielding, o.moveShare(ix))
	wanted := max(instances.vmsFor(jobs.Plus(d.Waiting).Plus(kept), d.Unit), d.Floor)
	d.Headroom = d.headroom(ix, o)
	d.Want = min(wanted+d.Headroom, limit)
}

// spread is the number of VMs over which the services must lie so that no
// single one carries more instances than its service can spare.
func (d *Demand) spread() int {
	need := 0
	for _, s := range d.Pool.Services {
		spare := s.Spec.Instances - s.Spec.MinAvailable
		if spare > 0 {
			need = max(need, (s.Spec.Instances+spare-1)/spare)
		}
	}
	return need
}

// headroom is what the pool holds in itself for the loss of its worst rack,
// so that the loss moves no VM. It grows with the weight of moves: at 1 each
// pool holds its own reserve, at 0 all pools share the spares.
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

// vmsFor is the number of VMs of size unit that a total needs.
func vmsFor(total, unit model.Resources) int {
	n := ratio(total.MilliCPU, unit.MilliCPU, fillLimit)
	n = max(n, ratio(total.MemoryMB, unit.MemoryMB, fillLimit))
	return max(n, ratio(total.Accelerators, unit.Accelerators, 1))
}

func ratio(total, unit int64, fill float64) int {
	if total <= 0 || unit <= 0 {
		return 0
	}
	return int(math.Ceil(float64(total) / (float64(unit) * fill)))
}

func share(r model.Resources, f float64) model.Resources {
	return model.Resources{MilliCPU: int64(float64(r.MilliCPU) * f), MemoryMB: int64(float64(r.MemoryMB) * f), Accelerators: int64(float64(r.Accelerators) * f)}
}
