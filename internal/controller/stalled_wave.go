package controller

import (
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
)

// resolveStalledWaves starts a surge instance of a service where the wave is
// stalled and no single instance would help.
//
// Example: with the target down, a service has three instances in each of two
// availability zones and needs at least four. A fourth in one zone only makes
// the worst failure larger, but a fourth in both zones leaves enough. The wave
// would stall forever otherwise, so the first of the two is started although it
// does not help by itself.
func (c *Controller) resolveStalledWaves(d *roundDecision) {
	for _, p := range d.ix.Pools {
		need, found := d.unmetSurges[p.Spec.ID]
		if !found || changing(p) {
			continue
		}
		s, target := d.ix.Service(need.Service), d.ix.VM(need.Target)
		// Two surge instances must be available, or one would be started and
		// stopped again and again.
		if len(s.Extra)+2 > s.Spec.MaxSurge() || !d.ledger.AllAvailable(s.Spec.ID) {
			continue
		}
		d.startElsewhere(s, target, 1)
	}
}

// changing reports whether VMs of the pool are under maintenance, moving or
// unhealthy, so that a wave there may continue without help.
func changing(p *fleet.Pool) bool {
	return len(p.Incoming) > 0 || slices.ContainsFunc(p.VMs, func(v *fleet.VM) bool {
		return v.Permit != nil || v.Moving() || !v.Healthy()
	})
}
