package controller

import (
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
)

// breakStandstill starts an instance beyond the number of a service where the
// wave can't go on and no single instance would help it.
//
// With the target away, three instances in each of two availability zones and
// four that must stay, a fourth in one zone only makes the worst failure
// larger; a fourth in both leaves enough. Nothing else would ever change, so
// the first of the two is started although it does not help by itself.
func (c *Controller) breakStandstill(d *decided) {
	for _, p := range d.ix.Pools {
		need, some := d.unhelped[p.Spec.ID]
		if !some || changing(p) {
			continue
		}
		s, target := d.ix.Service(need.Service), d.ix.VM(need.Target)
		// Two must be left to start, or one would be started and dropped by turns.
		if len(s.Extra)+2 > s.Spec.MaxSurge() || !d.ledger.Whole(s.Spec.ID) {
			continue
		}
		d.startElsewhere(s, target, 1)
	}
}

// changing reports whether VMs of the pool are under maintenance or move, so
// that a wave there need not wait for ever.
func changing(p *fleet.Pool) bool {
	return len(p.Incoming) > 0 || slices.ContainsFunc(p.VMs, func(v *fleet.VM) bool {
		return v.Permit != nil || v.Moving() || !v.Healthy()
	})
}
