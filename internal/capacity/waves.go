package capacity

import (
	"cmp"
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// planner holds the state of one plan.
type planner struct {
	Input
	plan Plan
	vms  map[workload.VMID]*VM
	// taken holds the VMs that have an order in this plan or in flight, or that are
	// closing.
	taken map[workload.VMID]bool
}

// Decide returns a plan.
func Decide(in Input) Plan {
	in.VMs = withReportedCapacity(in.VMs, in.Tables)
	p := &planner{Input: in, vms: map[workload.VMID]*VM{}, taken: map[workload.VMID]bool{}}
	for i := range in.VMs {
		p.vms[in.VMs[i].ID] = &in.VMs[i]
	}
	for id := range in.InFlight {
		p.taken[id] = true
	}
	p.orderEmptied()
	p.planWaves()
	p.planMoves()
	return p.plan
}

// withReportedCapacity gives each VM the capacity that its worker last
// reported, because the platform may still list an earlier one.
func withReportedCapacity(vms []VM, t *workload.Tables) []VM {
	all := slices.Clone(vms)
	for i := range all {
		if w := t.Workers[all[i].Worker]; w != nil {
			all[i].Capacity = w.Capacity
		}
	}
	return all
}

// orderEmptied issues the orders for which closing workers have become empty.
func (p *planner) orderEmptied() {
	for _, id := range sortedVMs(p.Closing) {
		c := p.Closing[id]
		p.taken[id] = true
		vm := p.vms[id]
		switch {
		case vm == nil || vm.State != Up:
			p.plan.Open = append(p.plan.Open, id)
		case p.isEmpty(vm):
			p.plan.Orders = append(p.plan.Orders, c.Order)
			p.plan.Open = append(p.plan.Open, id)
		case c.Order.Kind == Move && p.Now-c.Since > moveTimeout:
			p.plan.Open = append(p.plan.Open, id)
		}
	}
}

// isEmpty reports whether nothing is committed on a VM's worker or listed by
// it.
func (p *planner) isEmpty(vm *VM) bool {
	return vm.Worker != "" && len(p.Tables.Runs[vm.Worker]) == 0 && !p.Listed(vm.Worker)
}

func sortedVMs[V any](m map[workload.VMID]V) []workload.VMID {
	all := make([]workload.VMID, 0, len(m))
	for id := range m {
		all = append(all, id)
	}
	slices.Sort(all)
	return all
}

func (p *planner) planWaves() {
	ids := make([]int64, 0, len(p.Tables.Waves))
	for id, w := range p.Tables.Waves {
		if !w.Completed() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		p.planWave(p.Tables.Waves[id])
	}
}

// candidate is a VM whose maintenance has not begun.
type candidate struct {
	vm   *VM
	runs int
	// longRunning counts its long-running tasks, which must be evicted one by
	// one.
	longRunning int
}

// planWave orders the maintenance of empty VMs and closes others, the least used
// first, up to the number of VMs that may be unavailable for the wave at once.
func (p *planner) planWave(w *workload.Wave) {
	remaining := w.MaxUnavailable - p.underMaintenance(w)
	var all []candidate
	for i := range w.VMs {
		m := &w.VMs[i]
		vm := p.vms[m.ID]
		if m.Begun || p.taken[m.ID] || vm == nil || vm.State != Up && vm.State != Down {
			continue
		}
		all = append(all, p.candidateOf(vm))
	}
	slices.SortStableFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.runs, b.runs), cmp.Compare(a.longRunning, b.longRunning), cmp.Compare(a.vm.ID, b.vm.ID))
	})
	for _, v := range all {
		if remaining <= 0 {
			return
		}
		order := Order{Kind: Maintain, VM: v.vm.ID, Wave: w.ID, Why: "wave"}
		if v.vm.State == Down || v.runs == 0 && p.isEmpty(v.vm) {
			p.plan.Orders = append(p.plan.Orders, order)
		} else if v.vm.Worker != "" {
			p.plan.Close = append(p.plan.Close, Closing{VM: v.vm.ID, Order: order, Since: p.Now})
		} else {
			continue
		}
		p.taken[v.vm.ID] = true
		remaining--
	}
}

// underMaintenance counts the VMs of a wave that are under maintenance or will
// be soon.
func (p *planner) underMaintenance(w *workload.Wave) int {
	n := 0
	for i := range w.VMs {
		id := w.VMs[i].ID
		flight, inFlight := p.InFlight[id]
		closing, closed := p.Closing[id]
		vm := p.vms[id]
		switch {
		case inFlight && flight.Order.Kind == Maintain,
			closed && closing.Order.Kind == Maintain,
			vm != nil && vm.State == Maintained:
			n++
		}
	}
	return n
}

func (p *planner) candidateOf(vm *VM) candidate {
	return candidate{vm: vm, runs: len(p.Tables.Runs[vm.Worker]), longRunning: p.Tables.RunKinds[vm.Worker].LongRunning}
}
