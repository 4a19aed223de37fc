package capacity

import (
	"cmp"
	"slices"
	"time"

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

const (
	// awayTime is how long a VM is usually unavailable for its maintenance, from its
	// closing until its worker is announced again.
	awayTime = 4 * time.Second
	// plannedShare is the share of a wave's window in which all maintenance should
	// have begun. The rest is for VMs that take long to be emptied.
	plannedShare = 0.7
)

// planWave orders the maintenance of empty VMs and closes others, the least used
// first. VMs with long-running tasks are evacuated first: these leave one at a time,
// and the VM's free capacity would be lost for as long as that takes.
func (p *planner) planWave(w *workload.Wave) {
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
		return cmp.Or(cmp.Compare(a.longRunning, b.longRunning), cmp.Compare(a.runs, b.runs), cmp.Compare(a.vm.ID, b.vm.ID))
	})
	away, width := p.underMaintenance(w), p.width(w)
	for _, v := range all {
		switch {
		case v.longRunning > 0 && v.vm.State == Up:
			if away < w.MaxUnavailable {
				p.plan.Evacuate = append(p.plan.Evacuate, v.vm.ID)
				away++
			}
		case away < width && p.takeForMaintenance(v, w.ID):
			away++
		}
	}
}

// takeForMaintenance orders the maintenance of an empty VM, and closes any other. It
// reports whether it did either.
func (p *planner) takeForMaintenance(v candidate, wave int64) bool {
	order := Order{Kind: Maintain, VM: v.vm.ID, Wave: wave, Why: "wave"}
	switch {
	case v.vm.State == Down || v.runs == 0 && p.isEmpty(v.vm):
		p.plan.Orders = append(p.plan.Orders, order)
	case v.vm.Worker != "":
		p.plan.Close = append(p.plan.Close, Closing{VM: v.vm.ID, Order: order, Since: p.Now})
	default:
		return false
	}
	p.taken[v.vm.ID] = true
	return true
}

// width returns how many VMs may be unavailable for a wave at once. While the site
// lacks capacity these are only as many as the window of the wave requires.
func (p *planner) width(w *workload.Wave) int {
	required := p.requiredWidth(w)
	if p.lacksCapacity(required) {
		return required
	}
	return w.MaxUnavailable
}

// requiredWidth returns how many VMs must be unavailable for a wave at once so that
// its maintenance begins within the planned share of its window.
func (p *planner) requiredWidth(w *workload.Wave) int {
	leftMS := int64(plannedShare*float64(w.WindowMS)) - max(p.NowMS-w.AcceptedMS, 0)
	if leftMS <= 0 {
		return w.MaxUnavailable
	}
	waiting := int64(0)
	for i := range w.VMs {
		if !w.VMs[i].Begun {
			waiting++
		}
	}
	required := (waiting*awayTime.Milliseconds() + leftMS - 1) / leftMS
	return int(min(required, int64(w.MaxUnavailable)))
}

// lacksCapacity reports whether the pools together need more than the VMs have that
// can serve a pool, without those that a wave has beyond the required number.
func (p *planner) lacksCapacity(required int) bool {
	var need, have int64
	for _, n := range p.Need {
		need += n
	}
	for i := range p.VMs {
		vm := &p.VMs[i]
		switch {
		case vm.State == Down && !p.isStandby(vm.Pool):
		case !p.isLeavingForMaintenance(vm):
			have += vm.Capacity.CPU
		case required > 0:
			required--
			have += vm.Capacity.CPU
		}
	}
	return need > have
}

func (p *planner) isStandby(pool string) bool {
	return p.Tables.Config != nil && slices.ContainsFunc(p.Tables.Config.Pools, func(c workload.Pool) bool { return c.Name == pool && c.Standby })
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
