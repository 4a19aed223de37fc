package fleet

import (
	"cmp"
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// packed is how many VMs of one size the instances of a pool fill, and what
// they leave on them.
type packed struct {
	vms  int
	left model.Resources
}

// packInstances lays the instances out, the largest first, each on the first
// VM with room.
//
// Dividing the sum of their sizes by a VM's would count parts of VMs on which
// no instance fits any more: a pool of ten instances of 0.6 VMs would be taken
// to need seven VMs and run seven instances.
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
			// What had no room for one of the size has none for the next.
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
		p.left = p.left.Plus(left.Max(model.Resources{}))
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

// vmsFor is how many VMs instances and jobs need together: jobs fill what the
// instances leave, as far as it can be filled.
func (p packed) vmsFor(jobs, unit model.Resources) int {
	beyond := jobs.Minus(share(p.left, fillLimit)).Max(model.Resources{})
	return p.vms + vmsFor(beyond, unit)
}
