package wave

import (
	"fmt"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Numbers of VMs of one rack, or of one availability zone, that must fail within
// Options.Hold to count as a correlated failure.
const (
	rackFailures = 2
	zoneFailures = 3
)

// correlatedFailure returns which failure domain lost several VMs recently;
// empty for none. While a rack or zone fails VM by VM, the budgets still allow
// grants, and a grant would use the reserve that the next lost VM needs.
func (d *decider) correlatedFailure() string {
	racks, zones := map[int]int{}, map[int]int{}
	for _, v := range d.ix.VMs {
		if !d.failedRecently(v) {
			continue
		}
		racks[v.Rack]++
		zones[v.Zone]++
	}
	for rack := range d.ix.Racks {
		if racks[rack] >= rackFailures {
			return fmt.Sprintf("%d VMs of rack %s failed in the last %s", racks[rack], d.ix.Racks[rack], d.o.Hold)
		}
	}
	for zone := range d.ix.Zones {
		if zones[zone] >= zoneFailures {
			return fmt.Sprintf("%d VMs of availability zone %s failed in the last %s", zones[zone], d.ix.Zones[zone], d.o.Hold)
		}
	}
	return ""
}

// failedRecently reports whether a VM failed within Options.Hold. A VM that
// reboots under its permit has not failed.
func (d *decider) failedRecently(v *fleet.VM) bool {
	if v.Listed == nil || v.Listed.HealthSince == 0 {
		return false
	}
	plannedReboot := v.Permit != nil && v.Permit.Phase >= model.PhaseRebooting && v.Listed.Health == model.VMRebooting
	return !plannedReboot && v.Listed.Health != model.VMUp && d.ix.Now().Sub(v.Listed.HealthSince) < d.o.Hold
}

// inBusyWindow reports whether the pool is in a busy window, or will be when
// the maintenance of a VM granted now is expected to end.
func (d *decider) inBusyWindow(p *fleet.Pool) bool {
	for _, w := range p.Spec.BusyWindows {
		if inWindow(w, d.ix.Now()) || inWindow(w, d.ix.Now().Add(d.o.Cycle)) {
			return true
		}
	}
	return false
}

const day = 24 * time.Hour

// inWindow reports whether a daily window, which may span midnight, covers the
// instant.
func inWindow(w model.Window, at model.Instant) bool {
	offset := time.Duration(at) * time.Millisecond % day
	if w.From <= w.To {
		return offset >= w.From && offset < w.To
	}
	return offset >= w.From || offset < w.To
}
