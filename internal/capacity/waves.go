package capacity

import (
	"cmp"
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// planner holds what is left while a plan is made.
type planner struct {
	Input
	plan Plan
	vms  map[workload.MachineID]*VM
	// taken holds the machines that an order of this plan, a flight or a
	// closing worker already uses.
	taken map[workload.MachineID]bool
}

// Decide returns a plan.
func Decide(in Input) Plan {
	in.VMs = withReportedRoom(in.VMs, in.Tables)
	p := &planner{Input: in, vms: map[workload.MachineID]*VM{}, taken: map[workload.MachineID]bool{}}
	for i := range in.VMs {
		p.vms[in.VMs[i].Machine] = &in.VMs[i]
	}
	for machine := range in.Flights {
		p.taken[machine] = true
	}
	p.orderEmptied()
	p.planWaves()
	p.planMoves()
	return p.plan
}

// withReportedRoom gives each VM the room that its worker last reported: the
// platform may still list the one that it had before.
func withReportedRoom(vms []VM, t *workload.Tables) []VM {
	all := slices.Clone(vms)
	for i := range all {
		if w := t.Workers[all[i].Worker]; w != nil {
			all[i].Capacity = w.Capacity
		}
	}
	return all
}

// orderEmptied orders what closing workers were emptied for.
func (p *planner) orderEmptied() {
	for _, machine := range sortedMachines(p.Closing) {
		c := p.Closing[machine]
		p.taken[machine] = true
		vm := p.vms[machine]
		switch {
		case vm == nil || vm.State != Up:
			p.plan.Open = append(p.plan.Open, machine)
		case p.isEmpty(vm):
			p.plan.Orders = append(p.plan.Orders, c.Order)
			p.plan.Open = append(p.plan.Open, machine)
		case c.Order.Kind == Move && p.Now-c.Since > giveUpMove:
			p.plan.Open = append(p.plan.Open, machine)
		}
	}
}

// isEmpty says whether nothing is committed on a VM's worker or listed by it.
func (p *planner) isEmpty(vm *VM) bool {
	return vm.Worker != "" && len(p.Tables.Runs[vm.Worker]) == 0 && !p.Listed(vm.Worker)
}

func sortedMachines[V any](m map[workload.MachineID]V) []workload.MachineID {
	all := make([]workload.MachineID, 0, len(m))
	for machine := range m {
		all = append(all, machine)
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

// waiting is a VM that has its maintenance before it.
type waiting struct {
	vm   *VM
	runs int
	// lasting counts its lasting tasks, which must be evicted one by one.
	lasting int
}

// planWave begins the maintenance of VMs with nothing on them, and closes as
// many others as may be away at once, those with least on them first.
func (p *planner) planWave(w *workload.Wave) {
	room := w.Most - p.away(w)
	var all []waiting
	for i := range w.Machines {
		m := &w.Machines[i]
		vm := p.vms[m.Machine]
		if m.Begun || p.taken[m.Machine] || vm == nil || vm.State != Up && vm.State != Down {
			continue
		}
		all = append(all, p.waitingOf(vm))
	}
	slices.SortStableFunc(all, func(a, b waiting) int {
		return cmp.Or(cmp.Compare(a.runs, b.runs), cmp.Compare(a.lasting, b.lasting), cmp.Compare(a.vm.Machine, b.vm.Machine))
	})
	for _, v := range all {
		if room <= 0 {
			return
		}
		order := Order{Kind: Maintain, Machine: v.vm.Machine, Wave: w.ID, Why: "wave"}
		if v.vm.State == Down || v.runs == 0 && p.isEmpty(v.vm) {
			p.plan.Orders = append(p.plan.Orders, order)
		} else if v.vm.Worker != "" {
			p.plan.Close = append(p.plan.Close, Closing{Machine: v.vm.Machine, Order: order, Since: p.Now})
		} else {
			continue
		}
		p.taken[v.vm.Machine] = true
		room--
	}
}

// away counts the VMs of a wave that are away for it or will be soon.
func (p *planner) away(w *workload.Wave) int {
	n := 0
	for i := range w.Machines {
		machine := w.Machines[i].Machine
		flight, flying := p.Flights[machine]
		closing, closed := p.Closing[machine]
		vm := p.vms[machine]
		switch {
		case flying && flight.Order.Kind == Maintain,
			closed && closing.Order.Kind == Maintain,
			vm != nil && vm.State == Maintained:
			n++
		}
	}
	return n
}

func (p *planner) waitingOf(vm *VM) waiting {
	return waiting{vm: vm, runs: len(p.Tables.Runs[vm.Worker]), lasting: p.Tables.Kinds[vm.Worker].Lasting}
}
