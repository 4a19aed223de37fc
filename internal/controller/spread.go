package controller

import (
	"fmt"
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/budget"
	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// byDomain counts the instances of a service, up to its number, by the
// failure domain whose loss its budget absorbs. Those beyond the number are
// left out: they go again. So are those whose VM failed.
func (d *decided) byDomain(s *fleet.Service) map[string]int {
	counts := map[string]int{}
	for _, t := range s.Tasks {
		if t == nil || t.State == model.TaskStopping || d.stopped[t.ID] {
			continue
		}
		if v := d.ix.VM(t.VM); v != nil && d.ledger.Down(v) != budget.Failed {
			counts[d.ledger.Domain(s.Spec.ID, v)]++
		}
	}
	return counts
}

// spreadStart puts an instance that placement starts into the failure domain
// with the fewest, as the service's budget counts them: what is left of a
// budget shrinks with the fullest domain.
func (c *Controller) spreadStart(d *decided, start *state.StartTask) {
	s, placed := d.ix.Service(start.Task.Service), d.ix.VM(start.Task.VM)
	if s == nil || placed == nil || start.Task.Ordinal >= s.Spec.Instances {
		return
	}
	// The round planned the instance where placement put it.
	counts := d.byDomain(s)
	here := d.ledger.Domain(s.Spec.ID, placed)
	counts[here]--
	best := d.emptiest(s, counts)
	if best == nil || counts[d.ledger.Domain(s.Spec.ID, best)] >= counts[here] {
		return
	}
	t := &start.Task
	t.VM, t.Worker, t.Generation = best.ID, best.Listed.Worker, best.Generation()
	moved := *t
	s.Tasks[t.Ordinal] = &moved
}

// emptiest is the open VM with room in the domain with the fewest instances.
func (d *decided) emptiest(s *fleet.Service, counts map[string]int) *fleet.VM {
	return d.emptiestBut(s, counts, nil)
}

// emptiestBut leaves out one VM.
func (d *decided) emptiestBut(s *fleet.Service, counts map[string]int, but *fleet.VM) *fleet.VM {
	p := d.ix.Pool(s.Spec.Pool)
	if p == nil {
		return nil
	}
	near := nearness(d.ix, s)
	var best *fleet.VM
	var bestScore int
	for _, v := range p.VMs {
		if v == but || v.Block != fleet.Open || !s.Spec.Size.Fits(v.Free()) {
			continue
		}
		score := inDomain*counts[d.ledger.Domain(s.Spec.ID, v)] + near(v)
		if p.Wave != nil && !v.Maintained {
			score++
		}
		if best == nil || score < bestScore {
			best, bestScore = v, score
		}
	}
	return best
}

// inDomain weighs the instances in a failure domain above all else.
const inDomain = 100_000

// respread moves one instance of each service that lies too unevenly, as
// failures leave it: what is left of its budget would stay low for good. It
// waits until all instances are available, and for a wave that goes on in the
// pool, unless the service is short, so that the wave can't go on either.
func (c *Controller) respread(d *decided) {
	for _, s := range d.ix.Services {
		goesOn := d.wave.KeepSurge[s.Spec.Pool] && d.ledger.Left(s.Spec.ID) >= 0
		if d.leaveQuarantined(s) || goesOn {
			continue
		}
		counts := d.byDomain(s)
		t := d.fullest(s, counts)
		if t == nil || !d.mayBeUneven(s, t, counts) {
			continue
		}
		place := d.emptiest(s, counts)
		if place == nil {
			continue
		}
		from, to := d.ledger.Domain(s.Spec.ID, d.ix.VM(t.VM)), d.ledger.Domain(s.Spec.ID, place)
		if counts[from] < counts[to]+2 {
			continue
		}
		d.uneven[s.Spec.ID] = true
		if d.ledger.Whole(s.Spec.ID) {
			d.respreadOne(s, t, place)
		}
	}
}

// mayBeUneven reports whether a failure domain of the pool has two instances
// less than the fullest; whether there is room in it is another question.
func (d *decided) mayBeUneven(s *fleet.Service, fullest *model.Task, counts map[string]int) bool {
	most := counts[d.ledger.Domain(s.Spec.ID, d.ix.VM(fullest.VM))]
	if most < 2 {
		return false
	}
	p := d.ix.Pool(s.Spec.Pool)
	return p != nil && slices.ContainsFunc(p.VMs, func(v *fleet.VM) bool {
		return v.Block == fleet.Open && counts[d.ledger.Domain(s.Spec.ID, v)]+2 <= most
	})
}

// leaveQuarantined stops one instance on a quarantined worker, where it does
// not count, when there is room elsewhere and enough others are available.
func (d *decided) leaveQuarantined(s *fleet.Service) bool {
	if len(d.ix.Snap.View.Quarantines) == 0 || d.ledger.Available(s.Spec.ID) < s.Spec.MinAvailable {
		return false
	}
	room := d.emptiest(s, nil) != nil
	for _, t := range append(slices.Clone(s.Extra), s.Tasks...) {
		if t == nil || t.State == model.TaskStopping || !room && t.Ordinal < s.Spec.Instances {
			continue
		}
		if v := d.ix.VM(t.VM); v != nil && v.Quarantine != nil {
			d.stop(t, "its worker is in quarantine, where it does not count as available")
			return true
		}
	}
	return false
}

func (d *decided) respreadOne(s *fleet.Service, t *model.Task, place *fleet.VM) {
	if d.maySpread(s, t) {
		d.ledger.Stop(t)
		d.stop(t, fmt.Sprintf("instances of service %s lie too close together", s.Spec.ID))
		return
	}
	for i := range s.Spec.MaxSurge() {
		if ordinal := s.Spec.Instances + i; !hasOrdinal(s, ordinal) && d.ledger.Helps(s.Spec.ID, nil, place) {
			d.startSurgeOn(s, ordinal, place, "its instances lie too close together")
			return
		}
	}
}

// maySpread reports whether the budget allows to stop an instance so that it
// starts elsewhere: something is left without it, or nothing is lost by it.
func (d *decided) maySpread(s *fleet.Service, t *model.Task) bool {
	if ok, _ := d.ledger.MayStop(t); ok {
		return true
	}
	return d.ledger.Useless(t, nil) && d.ledger.Available(s.Spec.ID) > s.Spec.MinAvailable
}

// fullest is an instance in the domain with the most.
func (d *decided) fullest(s *fleet.Service, counts map[string]int) *model.Task {
	var found *model.Task
	most := 0
	for _, t := range s.Tasks {
		if t == nil {
			continue
		}
		v := d.ix.VM(t.VM)
		if v == nil {
			continue
		}
		if n := counts[d.ledger.Domain(s.Spec.ID, v)]; n > most {
			found, most = t, n
		}
	}
	return found
}
