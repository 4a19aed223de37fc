package wave

import (
	"cmp"
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// giveBack returns VMs that were not rebooted yet when failures left a
// service short, those first that restore most.
//
// A rack or availability zone may fail while VMs elsewhere are drained. The
// permits were granted for one failure; if the drains went on, the services
// would stay below their budgets for as long as the repair takes. One notices
// by a pool whose account is below 0 while it has permits.
func (d *decider) giveBack() {
	for _, p := range d.ix.Pools {
		if d.ledger.Short(p) && !d.o.Rules.IgnoreBudget {
			d.giveBackPool(p)
		}
	}
}

func (d *decider) giveBackPool(p *fleet.Pool) {
	missing := 0
	for _, s := range p.Services {
		missing += max(-d.ledger.Left(s.Spec.ID), 0)
	}
	for _, v := range d.byRestored(p) {
		if v.Permit.Phase == model.PhaseGranted {
			d.givenBack[v.ID] = true
			d.release(v, false, "failures left a service of the pool short")
			missing -= d.ledger.Restores(v)
			continue
		}
		if missing <= 0 {
			continue
		}
		d.givenBack[v.ID] = true
		d.undrain = append(d.undrain, v.ID)
		if d.facts.Returned[v.ID] && !v.Listed.Drained {
			d.release(v, false, "failures left a service of the pool short")
		}
		missing -= max(d.ledger.Restores(v), 1)
	}
}

// byRestored lists the VMs of the pool that can be given back: those which
// restore the most instances first, then the largest.
func (d *decider) byRestored(p *fleet.Pool) []*fleet.VM {
	var vms []*fleet.VM
	for _, v := range p.VMs {
		if v.Permit != nil && v.Permit.Phase < model.PhaseRebooting && v.Healthy() && v.Listed.BootID == v.Permit.BootID {
			vms = append(vms, v)
		}
	}
	slices.SortStableFunc(vms, func(a, b *fleet.VM) int {
		return cmp.Or(
			cmp.Compare(d.ledger.Restores(b), d.ledger.Restores(a)),
			cmp.Compare(b.Capacity().MilliCPU, a.Capacity().MilliCPU),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return vms
}
