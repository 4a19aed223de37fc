package controller

import (
	"fmt"
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/budget"
	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// instancesByDomain counts the regular instances of a service by the failure
// domain whose loss its budget absorbs. Surge instances are not counted, since
// they are temporary, nor are instances whose VM failed.
func (d *roundDecision) instancesByDomain(s *fleet.Service) map[string]int {
	counts := map[string]int{}
	for _, t := range s.Tasks {
		if t == nil || t.State == model.TaskStopping || d.stopped[t.ID] {
			continue
		}
		if v := d.ix.VM(t.VM); v != nil && d.ledger.VMLoss(v) != budget.Failed {
			counts[d.ledger.Domain(s.Spec.ID, v)]++
		}
	}
	return counts
}

// spreadStart moves an instance that placement starts to the failure domain
// with the fewest instances, as the service's budget counts them: the larger
// the fullest domain, the less of the budget remains.
func (c *Controller) spreadStart(d *roundDecision, start *state.StartTask) {
	s, placed := d.ix.Service(start.Task.Service), d.ix.VM(start.Task.VM)
	if s == nil || placed == nil || start.Task.Ordinal >= s.Spec.Instances {
		return
	}
	// The index already counts the instance where placement put it.
	counts := d.instancesByDomain(s)
	here := d.ledger.Domain(s.Spec.ID, placed)
	counts[here]--
	best := d.vmInEmptiestDomain(s, counts)
	if best == nil || counts[d.ledger.Domain(s.Spec.ID, best)] >= counts[here] {
		return
	}
	t := &start.Task
	t.VM, t.Worker, t.Generation = best.ID, best.Listed.Worker, best.Generation()
	moved := *t
	s.Tasks[t.Ordinal] = &moved
}

// vmInEmptiestDomain returns an open VM with enough free capacity in the domain
// with the fewest instances, or nil.
func (d *roundDecision) vmInEmptiestDomain(s *fleet.Service, counts map[string]int) *fleet.VM {
	return d.vmInEmptiestDomainExcept(s, counts, nil)
}

// vmInEmptiestDomainExcept is vmInEmptiestDomain without one VM.
func (d *roundDecision) vmInEmptiestDomainExcept(s *fleet.Service, counts map[string]int, excluded *fleet.VM) *fleet.VM {
	p := d.ix.Pool(s.Spec.Pool)
	if p == nil {
		return nil
	}
	closeness := proximity(d.ix, s)
	var best *fleet.VM
	var bestScore int
	for _, v := range p.VMs {
		if v == excluded || v.Block != fleet.Open || !s.Spec.Size.Fits(v.Free()) {
			continue
		}
		score := domainWeight*counts[d.ledger.Domain(s.Spec.ID, v)] + closeness(v)
		if p.Wave != nil && !v.Maintained {
			score++
		}
		if best == nil || score < bestScore {
			best, bestScore = v, score
		}
	}
	return best
}

// domainWeight makes the number of instances in a failure domain outweigh all
// other criteria.
const domainWeight = 100_000

// rebalance moves one instance of each service whose spread is uneven, as after
// failures: the remainder of its budget would stay low otherwise. It waits
// until all instances are available, and until the pool's wave has ended,
// unless the budget is exceeded, which blocks the wave too.
func (c *Controller) rebalance(d *roundDecision) {
	for _, s := range d.ix.Services {
		waveActive := d.wave.KeepSurge[s.Spec.Pool] && d.ledger.Remaining(s.Spec.ID) >= 0
		if d.stopOneQuarantined(s) || waveActive {
			continue
		}
		counts := d.instancesByDomain(s)
		t := d.taskInFullestDomain(s, counts)
		if t == nil || !d.isUneven(s, t, counts) {
			continue
		}
		dest := d.vmInEmptiestDomain(s, counts)
		if dest == nil {
			continue
		}
		from, to := d.ledger.Domain(s.Spec.ID, d.ix.VM(t.VM)), d.ledger.Domain(s.Spec.ID, dest)
		if counts[from] < counts[to]+2 {
			continue
		}
		d.unevenServices[s.Spec.ID] = true
		if d.ledger.AllAvailable(s.Spec.ID) {
			d.rebalanceOne(s, t, dest)
		}
	}
}

// isUneven reports whether a failure domain of the pool has at least two
// instances fewer than the fullest. It does not check free capacity there.
func (d *roundDecision) isUneven(s *fleet.Service, fullest *model.Task, counts map[string]int) bool {
	highest := counts[d.ledger.Domain(s.Spec.ID, d.ix.VM(fullest.VM))]
	if highest < 2 {
		return false
	}
	p := d.ix.Pool(s.Spec.Pool)
	return p != nil && slices.ContainsFunc(p.VMs, func(v *fleet.VM) bool {
		return v.Block == fleet.Open && counts[d.ledger.Domain(s.Spec.ID, v)]+2 <= highest
	})
}

// stopOneQuarantined stops one instance on a quarantined worker, where it does
// not count as available, if enough other instances are available and another VM
// has free capacity for it; a surge instance needs no other VM. It reports
// whether it stopped one.
func (d *roundDecision) stopOneQuarantined(s *fleet.Service) bool {
	if len(d.ix.Snap.View.Quarantines) == 0 || d.ledger.Available(s.Spec.ID) < s.Spec.MinAvailable {
		return false
	}
	placeable := d.vmInEmptiestDomain(s, nil) != nil
	for _, t := range append(slices.Clone(s.Extra), s.Tasks...) {
		if t == nil || t.State == model.TaskStopping || !placeable && t.Ordinal < s.Spec.Instances {
			continue
		}
		if v := d.ix.VM(t.VM); v != nil && v.Quarantine != nil {
			d.stop(t, "its worker is in quarantine, where it does not count as available")
			return true
		}
	}
	return false
}

func (d *roundDecision) rebalanceOne(s *fleet.Service, t *model.Task, dest *fleet.VM) {
	if d.mayStopForSpread(s, t) {
		d.ledger.Stop(t)
		d.stop(t, fmt.Sprintf("instances of service %s lie too close together", s.Spec.ID))
		return
	}
	for i := range s.Spec.MaxSurge() {
		if ordinal := s.Spec.Instances + i; !hasOrdinal(s, ordinal) && d.ledger.ImprovesBudget(s.Spec.ID, nil, dest) {
			d.startSurgeOn(s, ordinal, dest, "its instances lie too close together")
			return
		}
	}
}

// mayStopForSpread reports whether an instance may stop so that it starts
// elsewhere: the budget allows it, or the instance contributes nothing to it.
func (d *roundDecision) mayStopForSpread(s *fleet.Service, t *model.Task) bool {
	if ok, _ := d.ledger.MayStop(t); ok {
		return true
	}
	return d.ledger.Redundant(t, nil) && d.ledger.Available(s.Spec.ID) > s.Spec.MinAvailable
}

// taskInFullestDomain returns an instance in the domain with the most
// instances.
func (d *roundDecision) taskInFullestDomain(s *fleet.Service, counts map[string]int) *model.Task {
	var found *model.Task
	highest := 0
	for _, t := range s.Tasks {
		if t == nil {
			continue
		}
		v := d.ix.VM(t.VM)
		if v == nil {
			continue
		}
		if n := counts[d.ledger.Domain(s.Spec.ID, v)]; n > highest {
			found, highest = t, n
		}
	}
	return found
}
