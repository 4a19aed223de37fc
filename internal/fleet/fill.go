package fleet

import (
	"fmt"
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// level is the severity of a pool's shortage of VMs; the highest is served first.
type level uint8

const (
	// levelNone: the pool is not short.
	levelNone level = iota
	// levelWant: VMs are missing for waiting jobs or headroom.
	levelWant
	// levelFloor: the pool is below its minimum size.
	levelFloor
	// levelHard: VMs are missing for instances or urgent jobs.
	levelHard
)

// shortage returns how many VMs the pool is short of, and how severe that is.
func (d *Demand) shortage() (int, level) {
	current := d.Ready + d.Incoming
	expected := current + d.Returning
	if d.canWait() {
		current += d.ReturningSoon
	}
	switch {
	case current < d.Hard:
		return d.Hard - current, levelHard
	case expected < d.Floor:
		return d.Floor - expected, levelFloor
	case expected < d.Want:
		return d.Want - expected, levelWant
	}
	return 0, levelNone
}

// fillPools assigns VMs to the pools that are short, the most severe shortage
// first.
func (d *decider) fillPools() {
	s := newSources(d.ix, d.o.Rules)
	stuck := make(map[*Demand]level)
	for {
		demand, lvl := d.nextToFill(stuck)
		if demand == nil {
			return
		}
		if !d.assignVM(demand, lvl, s) {
			stuck[demand] = lvl
		}
	}
}

// nextToFill picks the pool with the most severe shortage and, among equals,
// the one that is short of the largest share of its VMs. Pools that could get
// no VM at the level in stuck are left out.
func (d *decider) nextToFill(stuck map[*Demand]level) (*Demand, level) {
	var best *Demand
	bestLevel, bestShare := levelNone, 0.0
	for _, demand := range d.demands {
		n, lvl := demand.shortage()
		if lvl == levelNone || lvl <= stuck[demand] {
			continue
		}
		share := float64(n) / float64(max(demand.Want, 1))
		if lvl > bestLevel || lvl == bestLevel && share > bestShare {
			best, bestLevel, bestShare = demand, lvl, share
		}
	}
	return best, bestLevel
}

// assignVM gives one VM to the pool and reports whether it found one. A pool at
// its maximum size gets none; one of its lost VMs is removed instead.
func (d *decider) assignVM(demand *Demand, lvl level, s *sources) bool {
	spec := demand.Pool.Spec
	if lvl == levelHard && d.cancelMoveOut(demand) {
		return true
	}
	if demand.Pool.Size() >= spec.MaxVMs && !d.o.Rules.SkipMax {
		return d.removeLostVM(demand, lvl)
	}
	if v := s.takeNew(demand.Pool); v != nil {
		d.move(v, spec.ID, fmt.Sprintf("pool %s %s", spec.ID, demand.Describe()))
		demand.Ready++
		return true
	}
	if lvl == levelWant && !d.useSurplusSpare(s) {
		return false
	}
	if v := s.takeSpare(demand.Pool); v != nil {
		d.move(v, spec.ID, fmt.Sprintf("spare for pool %s, which %s", spec.ID, demand.Describe()))
		demand.Ready++
		return true
	}
	if lvl == levelWant {
		return false
	}
	return d.takeFromDonor(demand, s)
}

// cancelMoveOut calls off the move of a VM that is still in the pool, because
// the pool itself is short now.
func (d *decider) cancelMoveOut(demand *Demand) bool {
	if len(demand.Pool.Members())+len(demand.Pool.Incoming) >= demand.Pool.Spec.MaxVMs {
		return false
	}
	for _, v := range demand.Pool.VMs {
		if !v.Moving() || v.Permit != nil || !v.Healthy() || !usable(v) || !Eligible(demand.Pool.Spec, v.Listed) {
			continue
		}
		spec := demand.Pool.Spec
		reason := fmt.Sprintf("the move is called off: pool %s %s", spec.ID, demand.Describe())
		d.add(state.Action{Reason: reason, BeginMove: &state.BeginMove{VM: v.ID, Target: spec.ID, Generation: v.Generation()}})
		demand.Ready++
		return true
	}
	return false
}

// useSurplusSpare reports whether a spare beyond those reserved for the next
// failure is left for a pool whose shortage is levelWant, and counts it as used.
func (d *decider) useSurplusSpare(s *sources) bool {
	if s.surplusSpares < 0 {
		s.surplusSpares = max(0, -sparesNeeded(d.ix, d.o, d.demands).Shortage())
	}
	if s.surplusSpares == 0 {
		return false
	}
	s.surplusSpares--
	return true
}

// removeLostVM moves a lost VM out of a pool that is at its maximum size, so
// that another VM can replace it.
func (d *decider) removeLostVM(demand *Demand, lvl level) bool {
	if lvl == levelWant {
		return false
	}
	for _, v := range demand.Pool.VMs {
		if v.Moving() || v.Permit != nil || !v.Idle() || !lost(d.ix, v, d.o) {
			continue
		}
		d.move(v, "", fmt.Sprintf("lost VM makes room in pool %s, which is at its largest size", demand.Pool.Spec.ID))
		demand.Lost--
		return true
	}
	return false
}

// takeFromDonor moves a VM from another pool that has a surplus, or that can
// itself be refilled with a new VM or spare that the pool in need may not have.
// It picks the VM with the lowest relocation cost, and none that moved recently.
func (d *decider) takeFromDonor(demand *Demand, s *sources) bool {
	var best *VM
	var donor *Demand
	bestCost := 0
	for _, other := range d.demands {
		if other == demand || other.Surplus() <= 0 && !s.canFill(other.Pool) {
			continue
		}
		for _, v := range other.Pool.VMs {
			cost, ok := d.donorCost(v, other, demand.Pool.Spec)
			if ok && (best == nil || cost < bestCost) {
				best, donor, bestCost = v, other, cost
			}
		}
	}
	if best == nil || !d.canLeavePool(best) {
		return false
	}
	idle := best.Idle()
	d.move(best, demand.Pool.Spec.ID, fmt.Sprintf("pool %s has %d to spare; pool %s %s",
		donor.Pool.Spec.ID, max(donor.Surplus(), 0), demand.Pool.Spec.ID, demand.Describe()))
	donor.Ready--
	donor.staying--
	if idle {
		demand.Ready++
	} else {
		demand.Incoming++
	}
	return true
}

// instanceMoveCost is the cost of relocating an instance; that of a job is 1.
const instanceMoveCost = 3

// donorCost returns the cost of relocating the tasks of a VM. Ok is false when
// the VM can't be moved to the pool.
func (d *decider) donorCost(v *VM, from *Demand, to *model.Pool) (cost int, ok bool) {
	settled := d.ix.Snap.Now.Sub(v.Owner.Since) >= d.o.MoveHold
	if v.Block != Open || !settled || !Eligible(to, v.Listed) {
		return 0, false
	}
	for i := range v.Running {
		switch r := &v.Running[i]; {
		case r.Task.Job == "":
			cost += instanceMoveCost
		case !r.Preemptible():
			return 0, false
		default:
			cost++
		}
	}
	return cost, true
}

// evictDisallowed moves VMs out of pools that the manifest no longer allows for
// them: it dropped the pool, or changed its shape, availability zones or
// maximum size.
func (d *decider) evictDisallowed() {
	byPool := make(map[model.PoolID]*Demand, len(d.demands))
	for _, demand := range d.demands {
		byPool[demand.Pool.Spec.ID] = demand
	}
	for _, v := range d.ix.VMs {
		if v.Owner == nil || v.Owner.Pool == "" || v.Moving() || v.Permit != nil || v.Listed == nil {
			continue
		}
		if why := d.evictionReason(v, byPool[v.Owner.Pool]); why != "" && d.canLeavePool(v) {
			d.evict(v, byPool[v.Owner.Pool], why)
		}
	}
}

func (d *decider) evict(v *VM, demand *Demand, why string) {
	if demand != nil {
		demand.staying--
		if v.Block == Open {
			demand.Ready--
		}
	}
	d.move(v, "", why)
}

// evictionReason returns why a VM must leave its pool; it is empty when the VM
// may stay or while the pool can't do without it. A pool without surplus
// releases an ineligible VM when another can replace it at once; otherwise it
// would keep a VM that the manifest forbids for good.
func (d *decider) evictionReason(v *VM, demand *Demand) string {
	if demand == nil {
		return fmt.Sprintf("the manifest has no pool %s", v.Owner.Pool)
	}
	spec := demand.Pool.Spec
	dispensable := v.Block != Open || demand.Ready > demand.Hard
	switch {
	case !Eligible(spec, v.Listed):
		if dispensable || demand.Ready == demand.Hard && replacementAvailable(d.ix, spec) {
			return fmt.Sprintf("pool %s no longer allows the VM's shape or availability zone", spec.ID)
		}
	case dispensable && demand.staying > spec.MaxVMs:
		return fmt.Sprintf("pool %s has %d VMs; its largest size is %d", spec.ID, demand.staying, spec.MaxVMs)
	}
	return ""
}

// replacementAvailable reports whether a new VM or a shared spare could join
// the pool now.
func replacementAvailable(ix *Index, p *model.Pool) bool {
	return slices.ContainsFunc(ix.VMs, func(v *VM) bool {
		isNew := v.Owner == nil && v.Healthy() && usable(v)
		return (isNew || SpareReady(v)) && Eligible(p, v.Listed)
	})
}
