package controller

import (
	"fmt"

	"github.com/comfreyloom/comfreyloom/internal/budget"
	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// decideSurge starts the surge instances that a wave requested: instances
// beyond the number in the service's spec. Their ordinals start at that number,
// and they stop once no VM of the pool is left to drain.
func (c *Controller) decideSurge(d *roundDecision) {
	for _, s := range d.ix.Services {
		c.replaceLost(d, s)
	}
	for _, need := range d.wave.Surge {
		s, target := d.ix.Service(need.Service), d.ix.VM(need.Target)
		if s == nil || target == nil {
			continue
		}
		missing := need.Count - countStarting(d.ix, s)
		for i := 0; i < s.Spec.MaxSurge() && missing > 0; i++ {
			ordinal := s.Spec.Instances + i
			if !hasOrdinal(s, ordinal) && c.startSurge(d, s, ordinal, target) {
				missing--
			}
		}
		if missing > 0 && len(s.Extra) >= s.Spec.MaxSurge() {
			c.stopUnhelpful(d, s, target)
		} else if missing > 0 {
			d.unmetSurges[s.Spec.Pool] = need
		}
	}
}

// replaceLost immediately starts a surge instance elsewhere for each instance
// whose VM failed. The ordinal itself can't start again until the lost task's
// lease has ended; until then the service would have one instance fewer, and a
// second failure could take it below its budget.
func (c *Controller) replaceLost(d *roundDecision, s *fleet.Service) {
	lost := 0
	for _, t := range s.Tasks {
		if t != nil && d.ledger.VMLoss(d.ix.VM(t.VM)) == budget.Failed && !d.ix.EndPlanned(t.ID) {
			lost++
		}
	}
	d.lostInstances[s.Spec.ID] = lost
	missing := lost - countRunning(s.Extra)
	if missing <= 0 {
		return
	}
	counts := d.instancesByDomain(s)
	for _, t := range s.Extra {
		if v := d.ix.VM(t.VM); v != nil {
			counts[d.ledger.Domain(s.Spec.ID, v)]++
		}
	}
	d.startSpread(s, counts, nil, missing, "the VM of another failed")
}

// startSpread starts up to n surge instances, each in the failure domain with
// the fewest instances by counts, none of them on the excluded VM.
func (d *roundDecision) startSpread(s *fleet.Service, counts map[string]int, excluded *fleet.VM, n int, why string) {
	for i := 0; i < s.Spec.MaxSurge() && n > 0; i++ {
		ordinal := s.Spec.Instances + i
		if hasOrdinal(s, ordinal) {
			continue
		}
		dest := d.vmInEmptiestDomainExcept(s, counts, excluded)
		if dest == nil {
			return
		}
		counts[d.ledger.Domain(s.Spec.ID, dest)]++
		d.startSurgeOn(s, ordinal, dest, why)
		n--
	}
}

func countRunning(tasks []*model.Task) int {
	n := 0
	for _, t := range tasks {
		if t.State != model.TaskStopping {
			n++
		}
	}
	return n
}

// countStarting counts the surge instances that do not serve yet.
func countStarting(ix *fleet.Index, s *fleet.Service) int {
	n := 0
	for _, t := range s.Extra {
		if t.State != model.TaskStopping && !ix.Snap.Serving[t.ID] {
			n++
		}
	}
	return n
}

// stopUnhelpful stops a surge instance that does not help to drain the target,
// or runs on it, to free its ordinal. The current budget must allow that too: a
// permit that was just granted may depend on an instance that helps no target.
func (c *Controller) stopUnhelpful(d *roundDecision, s *fleet.Service, target *fleet.VM) {
	for _, t := range s.Extra {
		if t.State == model.TaskStopping || t.VM != target.ID && !d.ledger.Redundant(t, target) {
			continue
		}
		if ok, _ := d.ledger.MayStop(t); !ok && !d.ledger.Redundant(t, nil) {
			continue
		}
		d.ledger.Stop(t)
		d.stop(t, "the instance does not help to drain VM "+string(target.ID))
		return
	}
}

// keepSurge reports whether a surge instance has to stay: it replaces an
// instance whose VM failed or one that moves, or VMs of its pool are yet to be
// drained, so that it will be needed again.
func (c *Controller) keepSurge(d *roundDecision, s *fleet.Service, t *model.Task) bool {
	if s == nil || t.Ordinal < s.Spec.Instances || t.Ordinal >= s.Spec.Instances+s.Spec.MaxSurge() {
		return false
	}
	if v := d.ix.VM(t.VM); v == nil || v.Moving() || outdated(d.ix, s, t) {
		// If it stayed, its VM could never leave the pool.
		return false
	}
	return d.lostInstances[t.Service] > 0 || d.wave.KeepSurge[s.Spec.Pool] || d.unevenServices[t.Service] && !d.ledger.Redundant(t, nil)
}

func hasOrdinal(s *fleet.Service, ordinal int) bool {
	for _, t := range s.Extra {
		if t.Ordinal == ordinal {
			return true
		}
	}
	return false
}

func (c *Controller) startSurge(d *roundDecision, s *fleet.Service, ordinal int, target *fleet.VM) bool {
	v := surgeVM(d, d.ix.Pool(s.Spec.Pool), s, target)
	if v == nil {
		return false
	}
	d.startSurgeOn(s, ordinal, v, fmt.Sprintf("VM %s is to be drained", target.ID))
	return true
}

func (d *roundDecision) startSurgeOn(s *fleet.Service, ordinal int, v *fleet.VM, why string) {
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

// surgeVM returns the open VM with enough free capacity where an instance helps
// to drain the target and that is least close to the service's instances, or
// nil. VMs that are done with the wave come first among equals.
func surgeVM(d *roundDecision, p *fleet.Pool, s *fleet.Service, target *fleet.VM) *fleet.VM {
	if p == nil {
		return nil
	}
	closeness := proximity(d.ix, s)
	var best *fleet.VM
	var bestScore int
	for _, v := range p.VMs {
		if v.Block != fleet.Open || !s.Spec.Size.Fits(v.Free()) || !d.ledger.ImprovesBudget(s.Spec.ID, target, v) {
			continue
		}
		score := closeness(v)
		if !v.Maintained {
			score++
		}
		if best == nil || score < bestScore {
			best, bestScore = v, score
		}
	}
	return best
}

// proximity scores how close a VM is to the service's instances: on the same
// VM, rack or availability zone.
func proximity(ix *fleet.Index, s *fleet.Service) func(*fleet.VM) int {
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
