package controller

import (
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/wave"
)

// replaceOutdated asks for instances beyond the number of each service that has
// an instance which is not as the manifest says and can't be spared: they
// start first, and the outdated one can then go.
//
// A budget may have nothing left while all instances run, as with two of six
// in each of three availability zones and four that must stay. A service whose
// pool or size changes would then stay as it was for good. One notices by
// instances on VMs of another pool than their service's.
func (d *decided) replaceOutdated() {
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

// outdated reports whether an instance that runs is of another size, or on a
// VM of another pool, than the manifest says.
func outdated(ix *fleet.Index, s *fleet.Service, t *model.Task) bool {
	v := ix.VM(t.VM)
	return v != nil && (t.Size != s.Spec.Size || v.Pool() != s.Spec.Pool)
}

// replace brings about that the service can spare its instances on a VM: as
// many as it has there run elsewhere first, where they will be afterwards. If
// that is not enough, it asks for more as a wave does.
func (d *decided) replace(s *fleet.Service, v *fleet.VM) {
	lacks := d.ledger.Lacks(s.Spec.ID, v)
	if d.wave.KeepSurge == nil {
		return
	}
	d.wave.KeepSurge[s.Spec.Pool] = true
	asked := func(n wave.Surge) bool { return n.Service == s.Spec.ID }
	if lacks == 0 || slices.ContainsFunc(d.wave.Surge, asked) {
		return
	}
	if missing := toReplace(s, v); missing > 0 {
		d.startElsewhere(s, v, missing)
		return
	}
	d.wave.Surge = append(d.wave.Surge, wave.Surge{Service: s.Spec.ID, Target: v.ID, Count: lacks})
}

// toReplace counts the service's instances on a VM for which no other, beyond
// its number, runs elsewhere.
func toReplace(s *fleet.Service, v *fleet.VM) int {
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

// startElsewhere starts missing instances beyond the service's number on VMs
// other than v, spread as if the instances on v were gone.
func (d *decided) startElsewhere(s *fleet.Service, v *fleet.VM, missing int) {
	counts := d.byDomain(s)
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
