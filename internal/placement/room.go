package placement

import (
	"math"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

const (
	// retryStep is by how much the wait of a job grows with each attempt once
	// it failed on every VM; retryMost bounds it.
	retryStep = 10 * time.Minute
	retryMost = 6 * time.Hour
)

// scanLimit bounds the VMs with room that are scored for one job: beyond it
// a better one is hardly found, and the work would grow with the pool.
const scanLimit = 48

// room is what a pool has left in this round.
type room struct {
	pool  *fleet.Pool
	rules Rules
	slots []*slot
	// probes are quarantined VMs on which one job may be tried now.
	probes []*slot
	// noFit are sizes for which no slot has room, none of them within
	// another. What is left only shrinks in a round, so they stay true.
	noFit []model.Resources
	// noYield are sizes for which no slot can make room; it shrinks alike.
	noYield []model.Resources
	// caps are the capacities of the pool's VMs, up or not, without doubles.
	caps []model.Resources
	// partial says that the platform lists none, or not all, of the VMs.
	partial bool
	next    int
}

// slot is a VM with what is held on it for urgent work.
type slot struct {
	vm *fleet.VM
	// held is reserved for jobs that wait for other work here to yield.
	held model.Resources
	// coming is what tasks that stop, or were asked to yield, will free.
	coming model.Resources
	// counted says that coming, yielders and most were worked out.
	counted bool
	// yielders are the batch tasks that can still give up something, and most
	// is what they, and what is coming, would free if all did.
	yielders []yielder
	most     model.Resources
}

func (s *slot) free() model.Resources { return s.vm.Free().Minus(s.held) }

func newRoom(ix *fleet.Index, p *fleet.Pool, rules Rules) *room {
	r := &room{pool: p, rules: rules, partial: len(p.VMs) == 0}
	seen := make(map[model.Resources]bool)
	for _, v := range p.VMs {
		switch {
		case v.Block == fleet.Open, rules.SkipBlock && v.Listed != nil:
			r.slots = append(r.slots, &slot{vm: v})
		case probeable(ix, v):
			r.probes = append(r.probes, &slot{vm: v})
		}
		if v.Listed == nil {
			r.partial = true
			continue
		}
		if !seen[v.Capacity()] {
			seen[v.Capacity()] = true
			r.caps = append(r.caps, v.Capacity())
		}
	}
	return r
}

// probeable reports whether a quarantined VM may be tried with one job.
func probeable(ix *fleet.Index, v *fleet.VM) bool {
	q := v.Quarantine
	return v.Block == fleet.BlockQuarantine && q.ProbeAt <= ix.Now() && v.Idle() && v.Healthy() && !v.Listed.Drained
}

// fitsAnyVM reports whether an empty VM of the pool could hold the size.
func (r *room) fitsAnyVM(size model.Resources) bool {
	for _, c := range r.caps {
		if size.Fits(c) {
			return true
		}
	}
	return false
}

// fitShape judges what a job needs and whether any VM of the pool, empty,
// could hold it. While the platform's list may be partial nothing is ruled
// out: a job told that it can never run is not tried again.
func (r *room) fitShape(spec *model.JobSpec, sizes fleet.Sizer) (model.Resources, No) {
	size := spec.Declared
	if sizes != nil {
		size = sizes.Size(spec)
	}
	switch {
	case r.fitsAnyVM(size):
		return size, Placed
	case r.fitsAnyVM(spec.Declared):
		return r.clip(size, spec.Declared), Placed
	case r.partial:
		return size, CapacityUnknown
	}
	return spec.Declared, TooLarge
}

// clip bounds a learned size by the largest VM that the declared size fits:
// a learned ratio must not keep a job from a whole VM.
func (r *room) clip(size, declared model.Resources) model.Resources {
	var largest model.Resources
	for _, c := range r.caps {
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

// covered reports whether one of the sizes is within size.
func covered(sizes []model.Resources, size model.Resources) bool {
	for _, s := range sizes {
		if s.Fits(size) {
			return true
		}
	}
	return false
}

// cover adds a size, and drops those that it is within.
func cover(sizes []model.Resources, size model.Resources) []model.Resources {
	kept := sizes[:0]
	for _, s := range sizes {
		if !size.Fits(s) {
			kept = append(kept, s)
		}
	}
	return append(kept, size)
}

// find returns the best slot for a job, or why there is none.
func (r *room) find(w *weigher, j *model.Job, size model.Resources) (*slot, No) {
	if len(r.slots) == 0 {
		return nil, NoOpenVM
	}
	if covered(r.noFit, size) {
		return nil, NoRoom
	}
	found := r.scan(w, j, size)
	switch {
	case found.best != nil:
		return found.best, Placed
	case found.again != nil && retryDue(w.ix, j):
		return found.again, Placed
	case found.again != nil:
		return nil, FailedHere
	}
	r.noFit = cover(r.noFit, size)
	return nil, NoRoom
}

// scanned is what a look at the slots found.
type scanned struct {
	// best has room, and the job never failed there.
	best *slot
	// again has room, but the job failed there before.
	again *slot
}

func (r *room) scan(w *weigher, j *model.Job, size model.Resources) scanned {
	var found scanned
	bestScore, fitting := math.Inf(1), 0
	for i := range r.slots {
		s := r.slots[(r.next+i)%len(r.slots)]
		free := s.free()
		if !size.Fits(free) && !r.rules.SkipCapacity {
			continue
		}
		if failedOn(j, s.vm) {
			found.again = s
			continue
		}
		fitting++
		if score := w.score(r.pool, s.vm, j, size, free); score < bestScore {
			found.best, bestScore = s, score
		}
		if fitting == scanLimit {
			r.next = (r.next + i + 1) % len(r.slots)
			break
		}
	}
	return found
}

// retryDue reports whether a job that failed on every VM with room, but was
// not held, may try one of them again: the wait grows with its attempts.
func retryDue(ix *fleet.Index, j *model.Job) bool {
	wait := min(time.Duration(j.Attempts)*retryStep, retryMost)
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

// probe returns a quarantined VM on which the job may be tried: only a batch
// job that is idempotent, so that nothing is lost when it fails.
func (r *room) probe(j *model.Job, size model.Resources) *slot {
	if j.Spec.Priority != model.Batch || !j.Spec.Idempotent || len(j.FailedOn) > 0 {
		return nil
	}
	for i, s := range r.probes {
		if size.Fits(s.free()) {
			r.probes = append(r.probes[:i], r.probes[i+1:]...)
			return s
		}
	}
	return nil
}
