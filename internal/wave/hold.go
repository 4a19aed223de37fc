package wave

import (
	"fmt"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// How many VMs of one rack, or of one availability zone, must fail within the
// hold time to count as one correlated failure.
const (
	rackFailures = 2
	zoneFailures = 3
)

// correlated says which failure domain lost several VMs lately; empty for
// none. While a rack or zone goes down VM by VM, the budgets still show room;
// a grant then takes what the next lost VM needs.
func (d *decider) correlated() string {
	racks, zones := map[int]int{}, map[int]int{}
	for _, v := range d.ix.VMs {
		if !d.failedLately(v) {
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

func (d *decider) failedLately(v *fleet.VM) bool {
	if v.Listed == nil || v.Listed.HealthSince == 0 {
		return false
	}
	ours := v.Permit != nil && v.Permit.Phase >= model.PhaseRebooting && v.Listed.Health == model.VMRebooting
	return !ours && v.Listed.Health != model.VMUp && d.ix.Now().Sub(v.Listed.HealthSince) < d.o.Hold
}

// busy reports whether the pool's busy window is on, or would begin before
// the maintenance of a VM granted now is over.
func (d *decider) busy(p *fleet.Pool) bool {
	for _, w := range p.Spec.Busy {
		if inWindow(w, d.ix.Now()) || inWindow(w, d.ix.Now().Add(d.o.Cycle)) {
			return true
		}
	}
	return false
}

const day = 24 * time.Hour

func inWindow(w model.Window, at model.Instant) bool {
	offset := time.Duration(at) * time.Millisecond % day
	if w.From <= w.To {
		return offset >= w.From && offset < w.To
	}
	return offset >= w.From || offset < w.To
}
