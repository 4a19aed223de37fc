package placement

import (
	"fmt"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// Shortage is an instance for which no VM was found, with the reason.
type Shortage struct {
	Service model.ServiceID
	Ordinal int
	Reject  RejectReason
	Reason  string
}

// Instances starts a task for each ordinal of each service that has none,
// spread over availability zones, racks and VMs.
func Instances(ix *fleet.Index) []state.Action {
	actions, _ := placeInstances(ix, newHolds(ix, Options{}.withDefaults()))
	return actions
}

func placeInstances(ix *fleet.Index, held holds) ([]state.Action, []Shortage) {
	var actions []state.Action
	var shortages []Shortage
	for _, s := range ix.Services {
		p := ix.Pool(s.Spec.Pool)
		if p == nil {
			continue
		}
		var count *spread
		for ordinal, task := range s.Tasks {
			if task != nil {
				continue
			}
			if count == nil {
				count = newSpread(ix, s)
			}
			v, reject := count.pick(p, s.Spec.Size, held.vm(p))
			if v == nil {
				shortages = append(shortages, shortage(s, p, ordinal, reject))
				continue
			}
			a := startInstance(ix, s, ordinal, v)
			ix.Plan(a)
			count.add(v)
			actions = append(actions, a)
		}
	}
	return actions, shortages
}

func startInstance(ix *fleet.Index, s *fleet.Service, ordinal int, v *fleet.VM) state.Action {
	task := model.Task{
		ID:       instanceTaskID(ix, s, ordinal),
		Service:  s.Spec.ID,
		Ordinal:  ordinal,
		Size:     s.Spec.Size,
		Priority: model.Urgent,
	}
	return start(ix, v, task, fmt.Sprintf("instance %d of service %s has no task", ordinal, s.Spec.ID))
}

func shortage(s *fleet.Service, p *fleet.Pool, ordinal int, reject RejectReason) Shortage {
	reason := fmt.Sprintf("no open VM of pool %s has %s left", p.Spec.ID, formatSize(s.Spec.Size))
	if reject == NoOpenVM {
		reason = fmt.Sprintf("no VM of pool %s takes new work: %s", p.Spec.ID, formatBlocks(p))
	}
	return Shortage{Service: s.Spec.ID, Ordinal: ordinal, Reject: reject, Reason: reason}
}

// spread counts the instances of one service by failure domain.
type spread struct {
	zone, rack []int
	vm         map[*fleet.VM]int
}

func newSpread(ix *fleet.Index, s *fleet.Service) *spread {
	c := &spread{zone: make([]int, len(ix.Zones)), rack: make([]int, len(ix.Racks)), vm: make(map[*fleet.VM]int)}
	for _, t := range s.Tasks {
		if t == nil {
			continue
		}
		if v := ix.VM(t.VM); v != nil {
			c.add(v)
		}
	}
	return c
}

func (c *spread) add(v *fleet.VM) {
	c.vm[v]++
	if v.Rack >= 0 {
		c.zone[v.Zone]++
		c.rack[v.Rack]++
	}
}

// pick chooses the VM whose loss, alone or with its rack or availability zone,
// would affect the fewest instances of the service. The VM held for a job is
// chosen only if there is no other.
func (c *spread) pick(p *fleet.Pool, size model.Resources, held *fleet.VM) (*fleet.VM, RejectReason) {
	var best *fleet.VM
	var bestScore [6]int64
	reject := NoOpenVM
	for _, v := range p.VMs {
		if v.Block != fleet.Open {
			continue
		}
		reject = NoFreeCapacity
		free := v.Free()
		if !size.Fits(free) {
			continue
		}
		score := c.score(p, v, free, held)
		if best == nil || scoreLess(score, bestScore) {
			best, bestScore = v, score
		}
	}
	if best == nil {
		return nil, reject
	}
	return best, Placed
}

func (c *spread) score(p *fleet.Pool, v *fleet.VM, free model.Resources, held *fleet.VM) [6]int64 {
	score := [6]int64{0, int64(c.vm[v]), int64(c.rack[v.Rack]), int64(c.zone[v.Zone]), 0, -free.MilliCPU}
	if v == held {
		score[0] = 1
	}
	if p.Wave != nil && !v.Maintained {
		score[4] = 1
	}
	return score
}

func scoreLess(a, b [6]int64) bool {
	for i := range a {
		if a[i] != b[i] {
			return a[i] < b[i]
		}
	}
	return false
}
