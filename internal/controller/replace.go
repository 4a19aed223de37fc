package controller

import (
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/wave"
)

// replaceOutdated requests surge instances for each service with an instance
// that differs from the manifest and that the budget can't spare: the surge
// instances start first, then the outdated one can stop.
//
// A budget may have nothing left although all instances run: for example two of
// six instances in each of three availability zones, with at least four
// required. A service whose pool or size changes would then never change. The
// symptom is instances on VMs of a pool that is not their service's.
func (d *roundDecision) replaceOutdated() {
	for _, s := range d.ix.Services {
		i := slices.IndexFunc(s.Tasks, func(t *model.Task) bool { return t != nil && outdated(d.ix, s, t) })
		if i < 0 {
			continue
		}
		d.replace(s, d.ix.VM(s.Tasks[i].VM))
	}
	for _, v := range d.heldMoves {
		for _, t := range v.SortedTasks() {
			if s := d.ix.Service(t.Service); s != nil {
				d.replace(s, v)
			}
		}
	}
}

// outdated reports whether the size of a running instance, or the pool of its
// VM, differs from the manifest.
func outdated(ix *fleet.Index, s *fleet.Service, t *model.Task) bool {
	v := ix.VM(t.VM)
	return v != nil && (t.Size != s.Spec.Size || v.Pool() != s.Spec.Pool)
}

// replace prepares the service to lose its instances on a VM: it first starts
// as many elsewhere, spread as they are to be afterwards. If that is not
// enough, it requests more surge instances, as a wave does.
func (d *roundDecision) replace(s *fleet.Service, v *fleet.VM) {
	shortfall := d.ledger.Shortfall(s.Spec.ID, v)
	if d.wave.KeepSurge == nil {
		return
	}
	d.wave.KeepSurge[s.Spec.Pool] = true
	requested := func(surge wave.Surge) bool { return surge.Service == s.Spec.ID }
	if shortfall == 0 || slices.ContainsFunc(d.wave.Surge, requested) {
		return
	}
	if missing := replacementsNeeded(s, v); missing > 0 {
		d.startElsewhere(s, v, missing)
		return
	}
	d.wave.Surge = append(d.wave.Surge, wave.Surge{Service: s.Spec.ID, Target: v.ID, Count: shortfall})
}

// replacementsNeeded counts the service's instances on a VM that have no surge
// instance elsewhere to replace them.
func replacementsNeeded(s *fleet.Service, v *fleet.VM) int {
	n := 0
	for _, t := range s.Tasks {
		if t != nil && t.VM == v.ID {
			n++
		}
	}
	for _, t := range s.Extra {
		if t.VM != v.ID && t.State != model.TaskStopping {
			n--
		}
	}
	return n
}

// startElsewhere starts missing surge instances of the service on VMs other
// than v, spread as if the instances on v had ended.
func (d *roundDecision) startElsewhere(s *fleet.Service, v *fleet.VM, missing int) {
	counts := d.instancesByDomain(s)
	for _, t := range append(slices.Clone(s.Tasks), s.Extra...) {
		if t == nil || d.ix.VM(t.VM) == nil {
			continue
		}
		domain := d.ledger.Domain(s.Spec.ID, d.ix.VM(t.VM))
		switch {
		case t.VM == v.ID && t.Ordinal < s.Spec.Instances:
			counts[domain]--
		case t.VM != v.ID && t.Ordinal >= s.Spec.Instances:
			counts[domain]++
		}
	}
	d.startSpread(s, counts, v, missing, "its instances on VM "+string(v.ID)+" are to go")
}
