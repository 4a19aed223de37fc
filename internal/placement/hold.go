package placement

import (
	"fmt"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// holdAfter is how long after its submission a VM may be held for a normal job
// that is still queued.
const holdAfter = 10 * time.Minute

// hold is a VM that is reserved for a job for which no VM had enough free
// capacity.
//
// Without it a large job could wait forever although the pool has enough free
// capacity in total: smaller jobs would take whatever becomes free, and
// instances, which never end by themselves, may run on every VM of the pool.
type hold struct {
	job  *model.Job
	vm   *fleet.VM
	size model.Resources
	// afterInstances is the VM's capacity without what its instances use.
	afterInstances model.Resources
}

// holds maps each pool to the hold for its first job that needs one.
type holds map[*fleet.Pool]*hold

// newHolds finds the jobs that need a hold: urgent jobs at once, normal jobs
// and batch jobs old enough to count as normal after holdAfter.
func newHolds(ix *fleet.Index, o Options) holds {
	found := make(holds)
	pools := make(map[*fleet.Pool]*poolState)
	for _, level := range []int{levelUrgent, levelNormal} {
		for _, j := range ix.Queue {
			p := ix.Pool(j.Spec.Pool)
			if p == nil || found[p] != nil || levelOf(ix, o, j) != level {
				continue
			}
			if level == levelNormal && ix.Now().Sub(j.Submitted) < holdAfter || !quotaAllows(ix, j) {
				continue
			}
			if pools[p] == nil {
				pools[p] = newPoolState(ix, p, o.Rules)
			}
			if h := pools[p].holdFor(ix, j, o); h != nil {
				found[p] = h
			}
		}
	}
	return found
}

// quotaAllows reports whether the job would fit into its team's quota now.
func quotaAllows(ix *fleet.Index, j *model.Job) bool {
	team := ix.Team(j.Spec.Team)
	return team != nil && team.Allows(j.Spec.Declared)
}

// holdFor picks the only VM on which the job fits now, or else the VM on which
// instances leave the most capacity. It returns nil when the job fits on
// several VMs, or could fit on none.
//
// The only VM must be held too: an instance that was moved off it for the job
// would otherwise come back to it before the job starts. A VM on which the job
// failed is held only when the job failed on all of them, since it then retries
// on one of them later.
func (ps *poolState) holdFor(ix *fleet.Index, j *model.Job, o Options) *hold {
	size, reject := ps.sizeFor(&j.Spec, o.Sizes)
	if reject != Placed {
		return nil
	}
	if h, possible := ps.holdAmong(j, size, false); possible {
		return h
	}
	h, _ := ps.holdAmong(j, size, true)
	return h
}

// holdAmong considers either the VMs on which the job failed or the others.
// Possible reports whether any of them could hold the job.
func (ps *poolState) holdAmong(j *model.Job, size model.Resources, failed bool) (best *hold, possible bool) {
	fitting := 0
	for _, vs := range ps.vms {
		if failedOn(j, vs.vm) != failed || !size.Fits(vs.vm.Capacity()) {
			continue
		}
		h := &hold{job: j, vm: vs.vm, size: size, afterInstances: vs.vm.Capacity().Minus(instanceCharges(vs.vm))}
		switch {
		case size.Fits(vs.vm.Free()):
			fitting++
			best = h
		case fitting == 0 && (best == nil || !best.fits() && isLarger(h.afterInstances, best.afterInstances)):
			best = h
		}
		if fitting > 1 {
			return nil, true
		}
	}
	return best, best != nil
}

func (h *hold) fits() bool { return h.size.Fits(h.afterInstances) }

func isLarger(a, b model.Resources) bool { return a.MilliCPU+a.MemoryMB/4 > b.MilliCPU+b.MemoryMB/4 }

func instanceCharges(v *fleet.VM) model.Resources {
	var sum model.Resources
	for i := range v.Running {
		if r := &v.Running[i]; r.Task.Job == "" {
			sum = sum.Plus(r.Charge)
		}
	}
	return sum
}

// vm returns the VM held in the pool, or nil.
func (h holds) vm(p *fleet.Pool) *fleet.VM {
	if h[p] == nil {
		return nil
	}
	return h[p].vm
}

// clearInstances plans to move instances off a held VM if the job does not fit
// beside them, as far as their services can spare them and another VM has
// enough free capacity.
func (h holds) clearInstances(ix *fleet.Index, margins map[model.ServiceID]int) []PlannedAction {
	var planned []PlannedAction
	for _, p := range ix.Pools {
		held := h[p]
		if held == nil {
			continue
		}
		left := held.afterInstances
		for _, t := range held.vm.SortedTasks() {
			s := ix.Service(t.Service)
			if held.size.Fits(left) {
				break
			}
			if t.Job != "" || s == nil || t.State == model.TaskStopping || ix.EndPlanned(t.ID) {
				continue
			}
			other, _ := newSpread(ix, s).pick(p, t.Size, held.vm)
			if other == nil || other == held.vm || !consumeMargin(ix, t, margins) {
				continue
			}
			left = left.Plus(ix.Charge(t))
			why := fmt.Sprintf("VM %s is held for job %s, which does not fit beside the instance", held.vm.ID, held.job.Spec.ID)
			planned = append(planned, PlannedAction{Stop, ForCapacity, t, why})
		}
	}
	return planned
}
