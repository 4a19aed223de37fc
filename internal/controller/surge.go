package controller

import (
	"fmt"

	"github.com/comfreyloom/comfreyloom/internal/budget"
	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// decideSurge starts the instances beyond a service's number that a wave
// asked for. They run at ordinals from the number up, and stop once no VM of
// the pool is left to be drained.
func (c *Controller) decideSurge(d *decided) {
	for _, s := range d.ix.Services {
		c.replaceLost(d, s)
	}
	for _, need := range d.wave.Surge {
		s, target := d.ix.Service(need.Service), d.ix.VM(need.Target)
		if s == nil || target == nil {
			continue
		}
		missing := need.Count - starting(d.ix, s)
		for i := 0; i < s.Spec.MaxSurge() && missing > 0; i++ {
			ordinal := s.Spec.Instances + i
			if !hasOrdinal(s, ordinal) && c.startSurge(d, s, ordinal, target) {
				missing--
			}
		}
		if missing > 0 && len(s.Extra) >= s.Spec.MaxSurge() {
			c.dropUseless(d, s, target)
		} else if missing > 0 {
			d.unhelped[s.Spec.Pool] = need
		}
	}
}

// replaceLost starts an instance elsewhere, at once, for each whose VM failed.
// The ordinal itself waits until the lost task's lease has ended; until then
// the service would have one less, and a second failure could break its budget.
func (c *Controller) replaceLost(d *decided, s *fleet.Service) {
	lost := 0
	for _, t := range s.Tasks {
		if t != nil && d.ledger.Down(d.ix.VM(t.VM)) == budget.Failed && !d.ix.Ending(t.ID) {
			lost++
		}
	}
	d.lost[s.Spec.ID] = lost
	missing := lost - running(s.Extra)
	if missing <= 0 {
		return
	}
	counts := d.byDomain(s)
	for _, t := range s.Extra {
		if v := d.ix.VM(t.VM); v != nil {
			counts[d.ledger.Domain(s.Spec.ID, v)]++
		}
	}
	d.startSpread(s, counts, nil, missing, "the VM of another failed")
}

// startSpread starts up to n instances beyond the service's number, each in
// the failure domain with the fewest by counts, none on the VM but.
func (d *decided) startSpread(s *fleet.Service, counts map[string]int, but *fleet.VM, n int, why string) {
	for i := 0; i < s.Spec.MaxSurge() && n > 0; i++ {
		ordinal := s.Spec.Instances + i
		if hasOrdinal(s, ordinal) {
			continue
		}
		place := d.emptiestBut(s, counts, but)
		if place == nil {
			return
		}
		counts[d.ledger.Domain(s.Spec.ID, place)]++
		d.startSurgeOn(s, ordinal, place, why)
		n--
	}
}

func running(tasks []*model.Task) int {
	n := 0
	for _, t := range tasks {
		if t.State != model.TaskStopping {
			n++
		}
	}
	return n
}

// starting counts the instances beyond the number that do not serve yet.
func starting(ix *fleet.Index, s *fleet.Service) int {
	n := 0
	for _, t := range s.Extra {
		if t.State != model.TaskStopping && !ix.Snap.Serving[t.ID] {
			n++
		}
	}
	return n
}

// dropUseless stops an instance beyond the number that does not help the
// target, or is on it, to free its ordinal. The budget as it is now must allow
// it too: what helps no target may be what a permit just granted stands on.
func (c *Controller) dropUseless(d *decided, s *fleet.Service, target *fleet.VM) {
	for _, t := range s.Extra {
		if t.State == model.TaskStopping || t.VM != target.ID && !d.ledger.Useless(t, target) {
			continue
		}
		if ok, _ := d.ledger.MayStop(t); !ok && !d.ledger.Useless(t, nil) {
			continue
		}
		d.ledger.Stop(t)
		d.stop(t, "the instance does not help to drain VM "+string(target.ID))
		return
	}
}

// keepSurge reports whether an instance beyond its service's number is to
// stay: it stands in for one whose VM failed or for one that moves, or VMs of
// its pool are yet to be drained and it will be needed again.
func (c *Controller) keepSurge(d *decided, s *fleet.Service, t *model.Task) bool {
	if s == nil || t.Ordinal < s.Spec.Instances || t.Ordinal >= s.Spec.Instances+s.Spec.MaxSurge() {
		return false
	}
	if v := d.ix.VM(t.VM); v == nil || v.Moving() || outdated(d.ix, s, t) {
		// Kept, it would keep its VM from ever leaving the pool.
		return false
	}
	return d.lost[t.Service] > 0 || d.wave.KeepSurge[s.Spec.Pool] || d.uneven[t.Service] && !d.ledger.Useless(t, nil)
}

func hasOrdinal(s *fleet.Service, ordinal int) bool {
	for _, t := range s.Extra {
		if t.Ordinal == ordinal {
			return true
		}
	}
	return false
}

func (c *Controller) startSurge(d *decided, s *fleet.Service, ordinal int, target *fleet.VM) bool {
	v := surgePlace(d, d.ix.Pool(s.Spec.Pool), s, target)
	if v == nil {
		return false
	}
	d.startSurgeOn(s, ordinal, v, fmt.Sprintf("VM %s is to be drained", target.ID))
	return true
}

func (d *decided) startSurgeOn(s *fleet.Service, ordinal int, v *fleet.VM, why string) {
	name := fmt.Sprintf("%s.%d.%d", s.Spec.ID, ordinal, d.ix.Snap.View.Index)
	if d.ix.Snap.Region != "" {
		name = model.Qualify(d.ix.Snap.Region, name)
	}
	a := state.Action{
		Reason: fmt.Sprintf("service %s needs one more instance for a while: %s", s.Spec.ID, why),
		StartTask: &state.StartTask{Pool: s.Spec.Pool, Task: model.Task{
			ID: model.TaskID(name), Service: s.Spec.ID, Ordinal: ordinal, VM: v.ID, Worker: v.Listed.Worker,
			Size: s.Spec.Size, Priority: model.Urgent, State: model.TaskStarting, Generation: v.Generation(),
			Started: d.at, LeaseUntil: d.ix.LeaseUntil(),
		}},
	}
	d.ix.Plan(a)
	d.add(a)
}

// surgePlace is the open VM with room where an instance helps to drain the
// target, that shares the fewest failure domains with the service's instances;
// one that is done with the wave before others.
func surgePlace(d *decided, p *fleet.Pool, s *fleet.Service, target *fleet.VM) *fleet.VM {
	if p == nil {
		return nil
	}
	near := nearness(d.ix, s)
	var best *fleet.VM
	var bestScore int
	for _, v := range p.VMs {
		if v.Block != fleet.Open || !s.Spec.Size.Fits(v.Free()) || !d.ledger.Helps(s.Spec.ID, target, v) {
			continue
		}
		score := near(v)
		if !v.Maintained {
			score++
		}
		if best == nil || score < bestScore {
			best, bestScore = v, score
		}
	}
	return best
}

// nearness weighs how close a VM is to the service's instances: on the same
// VM, rack or availability zone.
func nearness(ix *fleet.Index, s *fleet.Service) func(*fleet.VM) int {
	const onVM, inRack, inZone = 1000, 100, 10
	vms, racks, zones := map[model.VMID]int{}, map[int]int{}, map[int]int{}
	for _, t := range append(append([]*model.Task(nil), s.Tasks...), s.Extra...) {
		if t == nil {
			continue
		}
		if v := ix.VM(t.VM); v != nil {
			vms[v.ID]++
			racks[v.Rack]++
			zones[v.Zone]++
		}
	}
	return func(v *fleet.VM) int { return onVM*vms[v.ID] + inRack*racks[v.Rack] + inZone*zones[v.Zone] }
}
