package fleet

import (
	"cmp"
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// packed is the result of packing the instances of a pool onto VMs of one size:
// the number of VMs and the capacity that stays free on them.
type packed struct {
	vms  int
	free model.Resources
}

// packInstances packs the instances by first-fit decreasing: the largest first,
// each on the first VM with enough free capacity.
//
// Dividing the sum of their sizes by the size of a VM would count parts of VMs
// on which no instance fits any more: ten instances of 0.6 VMs would get seven
// VMs, of which each runs one instance.
func packInstances(services []*Service, unit model.Resources) packed {
	if unit.IsZero() {
		return packed{}
	}
	sorted := slices.Clone(services)
	slices.SortStableFunc(sorted, func(a, b *Service) int {
		return cmp.Compare(largestShare(b.Spec.Size, unit), largestShare(a.Spec.Size, unit))
	})
	var vms []model.Resources
	for _, s := range sorted {
		first := 0
		for range s.Spec.Instances {
			// VMs that were too full for one instance of this size are too full
			// for the next.
			for first < len(vms) && !s.Spec.Size.Fits(vms[first]) {
				first++
			}
			if first == len(vms) {
				vms = append(vms, unit)
			}
			vms[first] = vms[first].Minus(s.Spec.Size)
		}
	}
	p := packed{vms: len(vms)}
	for _, left := range vms {
		p.free = p.free.Plus(left.Max(model.Resources{}))
	}
	return p
}

func largestShare(r, unit model.Resources) float64 {
	return max(shareOf(r.MilliCPU, unit.MilliCPU), shareOf(r.MemoryMB, unit.MemoryMB), shareOf(r.Accelerators, unit.Accelerators))
}

func shareOf(v, unit int64) float64 {
	if unit <= 0 {
		return 0
	}
	return float64(v) / float64(unit)
}

// vmsFor returns how many VMs instances and jobs need together. Jobs use the
// capacity that the instances leave free, up to fillLimit.
func (p packed) vmsFor(jobs, unit model.Resources) int {
	beyond := jobs.Minus(scale(p.free, fillLimit)).Max(model.Resources{})
	return p.vms + vmsFor(beyond, unit)
}
