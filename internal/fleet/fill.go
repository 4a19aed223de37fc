package fleet

import (
	"fmt"
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// level is how badly a pool lacks VMs; a larger one goes first.
type level uint8

const (
	// levelNone: it lacks none.
	levelNone level = iota
	// levelWant: waiting jobs or headroom would like one.
	levelWant
	// levelFloor: it is below its least size.
	levelFloor
	// levelHard: instances or urgent jobs have no room.
	levelHard
)

// lack says how many VMs the pool lacks, and how badly.
func (d *Demand) lack() (int, level) {
	here := d.Ready + d.Coming
	expected := here + d.Returning
	if d.calm() {
		here += d.Patient
	}
	switch {
	case here < d.Hard:
		return d.Hard - here, levelHard
	case expected < d.Floor:
		return d.Floor - expected, levelFloor
	case expected < d.Want:
		return d.Want - expected, levelWant
	}
	return 0, levelNone
}

// fillPools gives VMs to the pools that lack them, the worst lack first.
func (d *decider) fillPools() {
	s := newSources(d.ix, d.o.Rules)
	stuck := make(map[*Demand]level)
	for {
		demand, lvl := d.neediest(stuck)
		if demand == nil {
			return
		}
		if !d.giveOne(demand, lvl, s) {
			stuck[demand] = lvl
		}
	}
}

// neediest picks the pool with the worst lack, then the largest share lacking.
func (d *decider) neediest(stuck map[*Demand]level) (*Demand, level) {
	var best *Demand
	bestLevel, bestShare := levelNone, 0.0
	for _, demand := range d.demands {
		n, lvl := demand.lack()
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

// giveOne finds one VM for the pool. It reports whether there was one.
func (d *decider) giveOne(demand *Demand, lvl level, s *sources) bool {
	spec := demand.Pool.Spec
	if lvl == levelHard && d.takeBack(demand) {
		return true
	}
	if demand.Pool.Size() >= spec.MaxVMs && !d.o.Rules.SkipMax {
		return d.makeRoom(demand, lvl)
	}
	if v := s.takeNew(demand.Pool); v != nil {
		d.move(v, spec.ID, fmt.Sprintf("pool %s %s", spec.ID, demand.Words()))
		demand.Ready++
		return true
	}
	if lvl == levelWant && !d.spareToSpare(s) {
		return false
	}
	if v := s.takeSpare(demand.Pool); v != nil {
		d.move(v, spec.ID, fmt.Sprintf("spare for pool %s, which %s", spec.ID, demand.Words()))
		demand.Ready++
		return true
	}
	if lvl == levelWant {
		return false
	}
	return d.takeFromDonor(demand, s)
}

// takeBack ends the move of a VM that was to leave the pool and has not left:
// the pool lacks it more now.
func (d *decider) takeBack(demand *Demand) bool {
	if len(demand.Pool.Members())+len(demand.Pool.Incoming) >= demand.Pool.Spec.MaxVMs {
		return false
	}
	for _, v := range demand.Pool.VMs {
		if !v.Moving() || v.Permit != nil || !v.Healthy() || !usable(v) || !Eligible(demand.Pool.Spec, v.Listed) {
			continue
		}
		spec := demand.Pool.Spec
		reason := fmt.Sprintf("the move is called off: pool %s %s", spec.ID, demand.Words())
		d.add(state.Action{Reason: reason, BeginMove: &state.BeginMove{VM: v.ID, Target: spec.ID, Generation: v.Generation()}})
		demand.Ready++
		return true
	}
	return false
}

// spareToSpare reports whether a spare beyond those needed for the next
// failure is left for a pool that merely wants one.
func (d *decider) spareToSpare(s *sources) bool {
	if s.surplusSpares < 0 {
		s.surplusSpares = max(0, -sparesNeeded(d.ix, d.o, d.demands).Balance())
	}
	if s.surplusSpares == 0 {
		return false
	}
	s.surplusSpares--
	return true
}

// makeRoom takes a lost VM out of a pool that is at its largest size, so that
// another can replace it.
func (d *decider) makeRoom(demand *Demand, lvl level) bool {
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

// takeFromDonor moves a VM from a pool that has some to spare, or that a spare
// can fill again which the other pool may not have. The VM with the least to
// relocate goes, and none that moved a short while ago.
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
	if best == nil || !d.mayLeave(best) {
		return false
	}
	idle := best.Idle()
	d.move(best, demand.Pool.Spec.ID, fmt.Sprintf("pool %s has %d to spare; pool %s %s",
		donor.Pool.Spec.ID, max(donor.Surplus(), 0), demand.Pool.Spec.ID, demand.Words()))
	donor.Ready--
	donor.staying--
	if idle {
		demand.Ready++
	} else {
		demand.Coming++
	}
	return true
}

// instanceMoveCost is what relocating an instance counts against a job's one.
const instanceMoveCost = 3

func (d *decider) donorCost(v *VM, from *Demand, to *model.Pool) (cost int, ok bool) {
	settled := d.ix.Snap.Now.Sub(v.Owner.Since) >= d.o.MoveHold
	if v.Block != Open || !settled || !Eligible(to, v.Listed) {
		return 0, false
	}
	for i := range v.Running {
		switch r := &v.Running[i]; {
		case r.Task.Job == "":
			cost += instanceMoveCost
		case !r.Yields():
			return 0, false
		default:
			cost++
		}
	}
	return cost, true
}

// evictMisfits takes VMs out of pools that they no longer fit: the manifest
// dropped the pool, or changed its shape, availability zones or largest size.
func (d *decider) evictMisfits() {
	byPool := make(map[model.PoolID]*Demand, len(d.demands))
	for _, demand := range d.demands {
		byPool[demand.Pool.Spec.ID] = demand
	}
	for _, v := range d.ix.VMs {
		if v.Owner == nil || v.Owner.Pool == "" || v.Moving() || v.Permit != nil || v.Listed == nil {
			continue
		}
		if why := d.misfit(v, byPool[v.Owner.Pool]); why != "" && d.mayLeave(v) {
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

// misfit says why a VM must leave its pool; empty when it need not, or while
// the pool can't do without it. A pool without surplus lets one go when
// another can take its place at once: it would else keep what the manifest
// forbids for good.
func (d *decider) misfit(v *VM, demand *Demand) string {
	if demand == nil {
		return fmt.Sprintf("the manifest has no pool %s", v.Owner.Pool)
	}
	spec := demand.Pool.Spec
	spared := v.Block != Open || demand.Ready > demand.Hard
	switch {
	case !Eligible(spec, v.Listed):
		if spared || demand.Ready == demand.Hard && replaceable(d.ix, spec) {
			return fmt.Sprintf("pool %s no longer allows the VM's shape or availability zone", spec.ID)
		}
	case spared && demand.staying > spec.MaxVMs:
		return fmt.Sprintf("pool %s has %d VMs; its largest size is %d", spec.ID, demand.staying, spec.MaxVMs)
	}
	return ""
}

// replaceable reports whether a new VM or a shared spare could join the pool now.
func replaceable(ix *Index, p *model.Pool) bool {
	return slices.ContainsFunc(ix.VMs, func(v *VM) bool {
		fresh := v.Owner == nil && v.Healthy() && usable(v)
		return (fresh || SpareReady(v)) && Eligible(p, v.Listed)
	})
}
