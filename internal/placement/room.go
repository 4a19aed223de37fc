package placement

import (
	"math"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// scanLimit bounds the VMs with room that are scored for one job: beyond it
// a better one is hardly found, and the work would grow with the pool.
const scanLimit = 48

// room is what a pool has left in this round.
type room struct {
	pool  *fleet.Pool
	slots []*slot
	// probes are quarantined VMs on which one job may be tried now.
	probes []*slot
	// noFit are sizes for which no slot has room, none of them within
	// another. What is left only shrinks in a round, so they stay true.
	noFit []model.Resources
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
	// counted says that coming covers the tasks that are stopping.
	counted bool
}

func (s *slot) free() model.Resources { return s.vm.Free().Minus(s.held) }

func newRoom(ix *fleet.Index, p *fleet.Pool) *room {
	r := &room{pool: p, partial: len(p.VMs) == 0}
	seen := make(map[model.Resources]bool)
	for _, v := range p.VMs {
		switch {
		case v.Block == fleet.Open:
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

func (r *room) knownNoFit(size model.Resources) bool {
	for _, f := range r.noFit {
		if f.Fits(size) {
			return true
		}
	}
	return false
}

func (r *room) rememberNoFit(size model.Resources) {
	kept := r.noFit[:0]
	for _, f := range r.noFit {
		if !size.Fits(f) {
			kept = append(kept, f)
		}
	}
	r.noFit = append(kept, size)
}

// find returns the best slot for a job, or why there is none.
func (r *room) find(w *weigher, j *model.Job, size model.Resources) (*slot, No) {
	if len(r.slots) == 0 {
		return nil, NoOpenVM
	}
	if r.knownNoFit(size) {
		return nil, NoRoom
	}
	best, fitting, avoided := r.scan(w, j, size)
	switch {
	case best != nil:
		return best, Placed
	case avoided > 0:
		return nil, FailedHere
	case fitting == 0:
		r.rememberNoFit(size)
	}
	return nil, NoRoom
}

func (r *room) scan(w *weigher, j *model.Job, size model.Resources) (best *slot, fitting, avoided int) {
	bestScore := math.Inf(1)
	for i := range r.slots {
		s := r.slots[(r.next+i)%len(r.slots)]
		free := s.free()
		if !size.Fits(free) {
			continue
		}
		if failedOn(j, s.vm) {
			avoided++
			continue
		}
		fitting++
		if score := w.score(r.pool, s.vm, j, size, free); score < bestScore {
			best, bestScore = s, score
		}
		if fitting == scanLimit {
			r.next = (r.next + i + 1) % len(r.slots)
			break
		}
	}
	return best, fitting, avoided
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
