package wave

import (
	"cmp"
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// returnVMs returns VMs that are not rebooted yet when failures leave a service
// below its budget, starting with those that restore the most instances.
//
// A rack or availability zone may fail while VMs elsewhere are drained. The
// budgets behind the permits reserve for one failure only; if the drains went
// on, the services would stay below their budgets until the repair. The sign
// is a pool that has permits and whose remaining budget is below 0.
func (d *decider) returnVMs() {
	for _, p := range d.ix.Pools {
		if d.ledger.BelowBudget(p) && !d.o.Rules.IgnoreBudget {
			d.returnPoolVMs(p)
		}
	}
}

func (d *decider) returnPoolVMs(p *fleet.Pool) {
	missing := 0
	for _, s := range p.Services {
		missing += max(-d.ledger.Remaining(s.Spec.ID), 0)
	}
	for _, v := range d.returnCandidates(p) {
		if v.Permit.Phase == model.PhaseGranted {
			d.returned[v.ID] = true
			d.release(v, false, "failures left a service of the pool short")
			missing -= d.ledger.RestoredInstances(v)
			continue
		}
		if missing <= 0 {
			continue
		}
		d.returned[v.ID] = true
		d.undrain = append(d.undrain, v.ID)
		if d.facts.Returned[v.ID] && !v.Listed.Drained {
			d.release(v, false, "failures left a service of the pool short")
		}
		missing -= max(d.ledger.RestoredInstances(v), 1)
	}
}

// returnCandidates lists the VMs of the pool that can be returned: first those
// that restore the most instances, then the largest.
func (d *decider) returnCandidates(p *fleet.Pool) []*fleet.VM {
	var vms []*fleet.VM
	for _, v := range p.VMs {
		if v.Permit != nil && v.Permit.Phase < model.PhaseRebooting && v.Healthy() && v.Listed.BootID == v.Permit.BootID {
			vms = append(vms, v)
		}
	}
	slices.SortStableFunc(vms, func(a, b *fleet.VM) int {
		return cmp.Or(
			cmp.Compare(d.ledger.RestoredInstances(b), d.ledger.RestoredInstances(a)),
			cmp.Compare(b.Capacity().MilliCPU, a.Capacity().MilliCPU),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return vms
}
