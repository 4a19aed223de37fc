package fleet

import (
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// sources holds the VMs that can be assigned to pools: new ones and shared
// spares, grouped by failure domain and capacity, so that choosing one does
// not visit every VM.
type sources struct {
	ix     *Index
	rules  Rules
	newVMs []*group
	spares []*group
	// members counts the VMs by pool and rack, and by pool and zone.
	members map[*Pool]*spreadCount
	// surplusSpares is how many spares are not needed; -1 until it is computed.
	surplusSpares int
}

// group holds VMs of the same rack and capacity.
type group struct {
	rack, zone int
	capacity   model.Resources
	vms        []*VM
}

// spreadCount counts the VMs of a pool by rack and by availability zone.
type spreadCount struct {
	rack []int
	zone []int
}

type groupKey struct {
	rack     int
	capacity model.Resources
}

func newSources(ix *Index, rules Rules) *sources {
	s := &sources{ix: ix, rules: rules, members: make(map[*Pool]*spreadCount), surplusSpares: -1}
	s.newVMs = grouped(ix.VMs, func(v *VM) bool { return v.Owner == nil && v.Healthy() && usable(v) })
	s.spares = grouped(ix.Spares, SpareReady)
	return s
}

// SpareReady reports whether a VM is a shared spare that can join a pool now.
func SpareReady(v *VM) bool {
	return v.Block == BlockSpare && v.Idle() && v.Healthy() && usable(v)
}

// usable reports whether a listed VM is neither under maintenance, quarantined
// nor drained.
func usable(v *VM) bool { return v.Permit == nil && v.Quarantine == nil && !v.Listed.Drained }

func grouped(vms []*VM, keep func(*VM) bool) []*group {
	var groups []*group
	byKey := make(map[groupKey]*group)
	for _, v := range vms {
		if !keep(v) {
			continue
		}
		key := groupKey{v.Rack, v.Capacity()}
		g := byKey[key]
		if g == nil {
			g = &group{rack: v.Rack, zone: v.Zone, capacity: v.Capacity()}
			byKey[key] = g
			groups = append(groups, g)
		}
		g.vms = append(g.vms, v)
	}
	return groups
}

func (s *sources) takeNew(p *Pool) *VM   { return s.take(p, s.newVMs) }
func (s *sources) takeSpare(p *Pool) *VM { return s.take(p, s.spares) }

// take removes and returns the VM that spreads the pool best: from the rack,
// then from the availability zone with the fewest VMs of the pool, then the one
// whose capacity exceeds the pool's shape least.
func (s *sources) take(p *Pool, groups []*group) *VM {
	count := s.count(p)
	var best *group
	var bestScore [4]int64
	for _, g := range groups {
		if len(g.vms) == 0 || !s.rules.SkipShape && !Eligible(p.Spec, g.vms[0].Listed) {
			continue
		}
		left := g.capacity.Minus(p.Spec.Shape)
		score := [4]int64{int64(count.rack[g.rack]), int64(count.zone[g.zone]), left.Accelerators, left.MilliCPU + left.MemoryMB}
		if best == nil || less(score, bestScore) {
			best, bestScore = g, score
		}
	}
	if best == nil {
		return nil
	}
	v := best.vms[0]
	best.vms = best.vms[1:]
	count.rack[best.rack]++
	count.zone[best.zone]++
	return v
}

// canFill reports whether a new VM or a spare is left that is eligible for the
// pool.
func (s *sources) canFill(p *Pool) bool {
	fits := func(g *group) bool { return len(g.vms) > 0 && Eligible(p.Spec, g.vms[0].Listed) }
	return slices.ContainsFunc(s.newVMs, fits) || slices.ContainsFunc(s.spares, fits)
}

func (s *sources) count(p *Pool) *spreadCount {
	if c := s.members[p]; c != nil {
		return c
	}
	c := &spreadCount{rack: make([]int, len(s.ix.Racks)), zone: make([]int, len(s.ix.Zones))}
	for _, v := range p.VMs {
		c.add(v)
	}
	for _, v := range p.Incoming {
		c.add(v)
	}
	s.members[p] = c
	return c
}

// add counts a healthy VM; failed VMs do not contribute to the spread.
func (c *spreadCount) add(v *VM) {
	if v.Rack >= 0 && v.Healthy() {
		c.rack[v.Rack]++
		c.zone[v.Zone]++
	}
}

// less compares two scores in lexicographic order.
func less(a, b [4]int64) bool {
	for i := range a {
		if a[i] != b[i] {
			return a[i] < b[i]
		}
	}
	return false
}
