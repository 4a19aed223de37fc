package placement

import (
	"fmt"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// holdAfter is how long a normal job finds no room before a VM is held for it.
const holdAfter = 10 * time.Minute

// hold is a VM that is kept for a job which found no room.
//
// Smaller jobs would take each bit of room that becomes free, and instances,
// which never end by themselves, may lie on every VM of the pool. Without the
// hold a large job would wait for ever although the pool has room in sum.
type hold struct {
	job  *model.Job
	vm   *fleet.VM
	size model.Resources
	// left is what instances leave of the VM.
	left model.Resources
}

// holds maps each pool to the hold for its first job that needs one.
type holds map[*fleet.Pool]*hold

// newHolds finds the jobs that need a hold: urgent ones at once, normal ones,
// and batch ones that count as normal by their age, after a while.
func newHolds(ix *fleet.Index, o Options) holds {
	found := make(holds)
	rooms := make(map[*fleet.Pool]*room)
	for _, level := range []int{levelUrgent, levelNormal} {
		for _, j := range ix.Queue {
			p := ix.Pool(j.Spec.Pool)
			if p == nil || found[p] != nil || levelOf(ix, o, j) != level {
				continue
			}
			if level == levelNormal && ix.Now().Sub(j.Submitted) < holdAfter || !mayRun(ix, j) {
				continue
			}
			if rooms[p] == nil {
				rooms[p] = newRoom(ix, p, o.Rules)
			}
			if h := rooms[p].holdFor(ix, j, o); h != nil {
				found[p] = h
			}
		}
	}
	return found
}

// mayRun reports whether the job's team could run it by its quota.
func mayRun(ix *fleet.Index, j *model.Job) bool {
	team := ix.Team(j.Spec.Team)
	return team != nil && team.Allows(j.Spec.Declared)
}

// holdFor picks the one VM on which the job fits now, or else that of which
// instances leave the most; nil when the job has a choice, or can find none.
//
// The one VM must be held too: an instance that was moved off it for the job
// would otherwise come back to it before the job starts. A VM on which the job
// failed is held only when it failed on all: it tries one again in time.
func (r *room) holdFor(ix *fleet.Index, j *model.Job, o Options) *hold {
	size, no := r.fitShape(&j.Spec, o.Sizes)
	if no != Placed {
		return nil
	}
	if h, any := r.holdAmong(j, size, false); any {
		return h
	}
	h, _ := r.holdAmong(j, size, true)
	return h
}

// holdAmong looks at the VMs on which the job failed, or at the others. Any
// says that there are some that could hold the job.
func (r *room) holdAmong(j *model.Job, size model.Resources, failed bool) (best *hold, any bool) {
	fitting := 0
	for _, s := range r.slots {
		if failedOn(j, s.vm) != failed || !size.Fits(s.vm.Capacity()) {
			continue
		}
		h := &hold{job: j, vm: s.vm, size: size, left: s.vm.Capacity().Minus(instanceCharges(s.vm))}
		switch {
		case size.Fits(s.vm.Free()):
			fitting++
			best = h
		case fitting == 0 && (best == nil || !best.fits() && moreLeft(h.left, best.left)):
			best = h
		}
		if fitting > 1 {
			return nil, true
		}
	}
	return best, best != nil
}

func (h *hold) fits() bool { return h.size.Fits(h.left) }

func moreLeft(a, b model.Resources) bool { return a.MilliCPU+a.MemoryMB/4 > b.MilliCPU+b.MemoryMB/4 }

func instanceCharges(v *fleet.VM) model.Resources {
	var sum model.Resources
	for i := range v.Running {
		if r := &v.Running[i]; r.Task.Job == "" {
			sum = sum.Plus(r.Charge)
		}
	}
	return sum
}

// vm is the VM held in the pool, or nil.
func (h holds) vm(p *fleet.Pool) *fleet.VM {
	if h[p] == nil {
		return nil
	}
	return h[p].vm
}

// makeClear asks for the move of instances off the VMs that are held for jobs
// which fit beside none, as far as their services can spare them and another
// VM has room.
func (h holds) makeClear(ix *fleet.Index, margins map[model.ServiceID]int) []Wish {
	var wishes []Wish
	for _, p := range ix.Pools {
		held := h[p]
		if held == nil {
			continue
		}
		left := held.left
		for _, t := range held.vm.SortedTasks() {
			s := ix.Service(t.Service)
			if held.size.Fits(left) {
				break
			}
			if t.Job != "" || s == nil || t.State == model.TaskStopping || ix.Ending(t.ID) {
				continue
			}
			other, _ := newSpread(ix, s).pick(p, t.Size, held.vm)
			if other == nil || other == held.vm || !spend(ix, t, margins) {
				continue
			}
			left = left.Plus(ix.Charge(t))
			why := fmt.Sprintf("VM %s is held for job %s, which does not fit beside the instance", held.vm.ID, held.job.Spec.ID)
			wishes = append(wishes, Wish{Stop, ForRoom, t, why})
		}
	}
	return wishes
}
