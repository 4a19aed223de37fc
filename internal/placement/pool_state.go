package placement

import (
	"math"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

const (
	// A job that failed on every VM waits retryStep longer for each attempt, at
	// most maxRetryWait.
	retryStep    = 10 * time.Minute
	maxRetryWait = 6 * time.Hour
)

// scanLimit bounds the VMs with enough free capacity that are scored for one
// job. More would rarely find a better VM, and the work would grow with the
// pool.
const scanLimit = 48

// poolState is the state of a pool during one round of placement.
type poolState struct {
	pool  *fleet.Pool
	rules Rules
	vms   []*vmState
	// probes are quarantined VMs on which one job may be tried now.
	probes []*vmState
	// noFit holds sizes that fit on no VM, none of them within another. Free
	// capacity only shrinks during a round, so they stay valid.
	noFit []model.Resources
	// noPreemption holds sizes for which no VM can free enough by preemption.
	// What can be freed only shrinks as well.
	noPreemption []model.Resources
	// capacities are the distinct capacities of the pool's VMs, up or not.
	capacities []model.Resources
	// partial is set when the platform lists none, or not all, of the VMs.
	partial bool
	// scanStart is the index of the VM with which the next scan starts.
	scanStart int
}

// vmState is a VM with the capacity that is reserved on it for urgent work.
type vmState struct {
	vm *fleet.VM
	// reserved is for jobs that wait until other work on the VM is preempted.
	reserved model.Resources
	// releasing is what stopping and preempted tasks will free.
	releasing model.Resources
	// victimsKnown is set once releasing, victims and reclaimable are computed.
	victimsKnown bool
	// victims are the batch tasks that can still be preempted. Reclaimable is
	// what would be free if all of them were, including releasing.
	victims     []victim
	reclaimable model.Resources
}

func (vs *vmState) free() model.Resources { return vs.vm.Free().Minus(vs.reserved) }

func newPoolState(ix *fleet.Index, p *fleet.Pool, rules Rules) *poolState {
	ps := &poolState{pool: p, rules: rules, partial: len(p.VMs) == 0}
	seen := make(map[model.Resources]bool)
	for _, v := range p.VMs {
		switch {
		case v.Block == fleet.Open, rules.SkipBlock && v.Listed != nil:
			ps.vms = append(ps.vms, &vmState{vm: v})
		case probeable(ix, v):
			ps.probes = append(ps.probes, &vmState{vm: v})
		}
		if v.Listed == nil {
			ps.partial = true
			continue
		}
		if !seen[v.Capacity()] {
			seen[v.Capacity()] = true
			ps.capacities = append(ps.capacities, v.Capacity())
		}
	}
	return ps
}

// probeable reports whether a quarantined VM may be tried with one job.
func probeable(ix *fleet.Index, v *fleet.VM) bool {
	q := v.Quarantine
	return v.Block == fleet.BlockQuarantine && q.ProbeAt <= ix.Now() && v.Idle() && v.Healthy() && !v.Listed.Drained
}

// fitsAnyVM reports whether an empty VM of the pool could hold the size.
func (ps *poolState) fitsAnyVM(size model.Resources) bool {
	for _, c := range ps.capacities {
		if size.Fits(c) {
			return true
		}
	}
	return false
}

// sizeFor returns the size of a job and whether any VM of the pool, if empty,
// could hold it. While the platform's list may be incomplete no job is ruled
// out, because a job marked unplaceable is not tried again.
func (ps *poolState) sizeFor(spec *model.JobSpec, sizes fleet.Sizer) (model.Resources, RejectReason) {
	size := spec.Declared
	if sizes != nil {
		size = sizes.Size(spec)
	}
	switch {
	case ps.fitsAnyVM(size):
		return size, Placed
	case ps.fitsAnyVM(spec.Declared):
		return ps.clampSize(size, spec.Declared), Placed
	case ps.partial:
		return size, CapacityUnknown
	}
	return spec.Declared, TooLarge
}

// clampSize bounds a learned size by the largest VM that the declared size
// fits, so that a learned ratio does not make a job too large for a whole VM.
func (ps *poolState) clampSize(size, declared model.Resources) model.Resources {
	var largest model.Resources
	for _, c := range ps.capacities {
		if declared.Fits(c) && c.MilliCPU+c.MemoryMB > largest.MilliCPU+largest.MemoryMB {
			largest = c
		}
	}
	return model.Resources{
		MilliCPU:     min(size.MilliCPU, largest.MilliCPU),
		MemoryMB:     min(size.MemoryMB, largest.MemoryMB),
		Accelerators: min(size.Accelerators, largest.Accelerators),
	}
}

// impliedBy reports whether one of the sizes is within size. If a size within
// it fits on no VM, size does not fit either.
func impliedBy(sizes []model.Resources, size model.Resources) bool {
	for _, s := range sizes {
		if s.Fits(size) {
			return true
		}
	}
	return false
}

// addMinimal adds a size and drops the sizes that contain it, which it implies.
func addMinimal(sizes []model.Resources, size model.Resources) []model.Resources {
	kept := sizes[:0]
	for _, s := range sizes {
		if !size.Fits(s) {
			kept = append(kept, s)
		}
	}
	return append(kept, size)
}

// selectVM returns the best VM for a job, or why there is none.
func (ps *poolState) selectVM(sc *scorer, j *model.Job, size model.Resources) (*vmState, RejectReason) {
	if len(ps.vms) == 0 {
		return nil, NoOpenVM
	}
	if impliedBy(ps.noFit, size) {
		return nil, NoFreeCapacity
	}
	found := ps.scan(sc, j, size)
	switch {
	case found.best != nil:
		return found.best, Placed
	case found.retry != nil && retryDue(sc.ix, j):
		return found.retry, Placed
	case found.retry != nil:
		return nil, FailedHere
	}
	ps.noFit = addMinimal(ps.noFit, size)
	return nil, NoFreeCapacity
}

// scanResult is the outcome of a scan over the VMs.
type scanResult struct {
	// best has enough free capacity, and the job never failed there.
	best *vmState
	// retry has enough free capacity, but the job failed there before.
	retry *vmState
}

func (ps *poolState) scan(sc *scorer, j *model.Job, size model.Resources) scanResult {
	var found scanResult
	bestScore, fitting := math.Inf(1), 0
	for i := range ps.vms {
		vs := ps.vms[(ps.scanStart+i)%len(ps.vms)]
		free := vs.free()
		if !size.Fits(free) && !ps.rules.SkipCapacity {
			continue
		}
		if failedOn(j, vs.vm) {
			found.retry = vs
			continue
		}
		fitting++
		if score := sc.score(ps.pool, vs.vm, j, size, free); score < bestScore {
			found.best, bestScore = vs, score
		}
		if fitting == scanLimit {
			ps.scanStart = (ps.scanStart + i + 1) % len(ps.vms)
			break
		}
	}
	return found
}

// retryDue reports whether a job that failed on every VM with enough free
// capacity, but is not held, may retry on one of them. The wait grows with its
// attempts.
func retryDue(ix *fleet.Index, j *model.Job) bool {
	wait := min(time.Duration(j.Attempts)*retryStep, maxRetryWait)
	return ix.Now().Sub(j.Changed) >= wait
}

func failedOn(j *model.Job, v *fleet.VM) bool {
	for _, w := range j.FailedOn {
		if w == v.Listed.Worker {
			return true
		}
	}
	return false
}

// takeProbe returns a quarantined VM on which the job may be tried. Only an
// idempotent batch job is eligible, so that nothing is lost if it fails.
func (ps *poolState) takeProbe(j *model.Job, size model.Resources) *vmState {
	if j.Spec.Priority != model.Batch || !j.Spec.Idempotent || len(j.FailedOn) > 0 {
		return nil
	}
	for i, vs := range ps.probes {
		if size.Fits(vs.free()) {
			ps.probes = append(ps.probes[:i], ps.probes[i+1:]...)
			return vs
		}
	}
	return nil
}
