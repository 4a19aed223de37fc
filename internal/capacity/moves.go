package capacity

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/order"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

const (
	// moveTimeout is how long a worker is closed for a move before it takes
	// work again: the need has passed by then.
	moveTimeout = 3 * time.Second
	// parkAfter is how long a VM that its pool does not need is idle before it
	// is put on standby: two moves cost as much as a VM does in this time.
	parkAfter = 2500 * time.Millisecond
	// maxMoves bounds the moves of one plan.
	maxMoves = 64
)

// poolState is what one pool has and needs.
type poolState struct {
	name    string
	standby bool
	// have is the processor capacity of the VMs that serve the pool or are moving
	// to it, need what the pool should have, in thousandths of a core.
	have, need int64
	// haveByLabel and needByLabel are the same for the VMs with one label,
	// which is their kind or their rack.
	haveByLabel, needByLabel map[string]int64
	// arriving and withheld are those of Balance.
	arriving, withheld int64
	// unplaceable is set if a long-running task fits on no VM of the pool. The
	// pool then gets a VM before all others, even from a pool that needs all of
	// its own.
	unplaceable bool
	// idle are the pool's VMs with no tasks, the longest idle first; busy are
	// those that run only tasks that end by themselves, the least used first.
	idle, busy []*VM
}

func (s *poolState) missing() int64 { return s.need - s.have }

// add counts a VM that serves the pool, or removes it with sign -1.
func (s *poolState) add(vm *VM, sign int64) {
	s.have += sign * vm.Capacity.CPU
	s.haveByLabel[vm.Kind] += sign * vm.Capacity.CPU
	s.haveByLabel[vm.Rack] += sign * vm.Capacity.CPU
}

// canRelease reports whether the pool has all that it needs without a VM.
func (s *poolState) canRelease(vm *VM) bool {
	if s.standby {
		return true
	}
	for _, label := range []string{vm.Kind, vm.Rack} {
		if need := s.needByLabel[label]; need > 0 && s.haveByLabel[label]-vm.Capacity.CPU < need {
			return false
		}
	}
	return s.have-vm.Capacity.CPU >= s.need
}

// planMoves moves VMs from pools that don't need them to pools that do.
func (p *planner) planMoves() {
	if p.Tables.Config == nil {
		return
	}
	pools, standby := p.poolStates()
	slices.SortFunc(pools, func(a, b *poolState) int {
		return cmp.Or(order.Bools(b.unplaceable, a.unplaceable), cmp.Compare(b.missing(), a.missing()), cmp.Compare(a.name, b.name))
	})
	for _, s := range pools {
		p.plan.Pools = append(p.plan.Pools, Balance{
			Pool: s.name, Have: s.have, Need: s.need, Arriving: s.arriving, Withheld: s.withheld, Idle: len(s.idle),
		})
	}
	moves := 0
	for _, receiver := range pools {
		for receiver.missing() > 0 && moves < maxMoves {
			vm := p.takeIdle(pools, standby, receiver)
			if vm == nil {
				break
			}
			p.move(vm, receiver.name, "the pool needs more")
			receiver.add(vm, 1)
			moves++
		}
		for receiver.missing() > 0 && moves < maxMoves && p.closeOne(pools, receiver) {
			moves++
		}
	}
	p.planLabels(pools, standby)
	p.park(pools, standby)
}

// planLabels moves VMs of a kind or rack to the pools whose tasks require it. A
// pool with enough capacity in total may have no VM that these tasks can run
// on.
func (p *planner) planLabels(pools []*poolState, standby *poolState) {
	for _, receiver := range pools {
		for _, label := range slices.Sorted(maps.Keys(receiver.needByLabel)) {
			for receiver.haveByLabel[label] < receiver.needByLabel[label] {
				vm := p.takeLabelled(pools, standby, receiver, label)
				if vm == nil {
					break
				}
				p.move(vm, receiver.name, "the pool needs label "+label)
				receiver.add(vm, 1)
			}
		}
	}
}

func (p *planner) takeLabelled(pools []*poolState, standby, receiver *poolState, label string) *VM {
	donors := pools
	if standby != nil {
		donors = append([]*poolState{standby}, pools...)
	}
	for _, s := range donors {
		for i, vm := range s.idle {
			if s != receiver && (vm.Kind == label || vm.Rack == label) && s.canRelease(vm) {
				s.idle = slices.Delete(s.idle, i, i+1)
				s.add(vm, -1)
				return vm
			}
		}
	}
	return nil
}

func (p *planner) poolStates() (pools []*poolState, standby *poolState) {
	byName := map[string]*poolState{}
	for _, c := range p.Tables.Config.Pools {
		s := &poolState{
			name: c.Name, standby: c.Standby, need: p.Need[c.Name],
			haveByLabel: map[string]int64{}, needByLabel: p.NeedByLabel[c.Name],
		}
		byName[c.Name] = s
		if c.Standby {
			standby = s
		} else {
			pools = append(pools, s)
		}
	}
	for i := range p.VMs {
		p.countVM(byName, &p.VMs[i])
	}
	for name := range p.Unplaceable {
		p.requestExtraVM(byName[name])
	}
	for _, s := range byName {
		slices.SortFunc(s.busy, func(a, b *VM) int {
			return cmp.Or(cmp.Compare(p.Tables.Used[a.Worker].CPU, p.Tables.Used[b.Worker].CPU), cmp.Compare(a.ID, b.ID))
		})
		slices.SortFunc(s.idle, func(a, b *VM) int {
			return cmp.Or(cmp.Compare(p.Idle(b.Worker), p.Idle(a.Worker)), cmp.Compare(a.ID, b.ID))
		})
	}
	return pools, standby
}

// requestExtraVM requests one more VM for a pool whose long-running tasks fit on
// none of its VMs although these are enough in total: a VM may have no memory
// left, or run as many tasks of the step as it may. It requests one VM at a time.
func (p *planner) requestExtraVM(s *poolState) {
	if s == nil || s.standby || s.missing() > 0 {
		return
	}
	for _, f := range p.InFlight {
		if f.Order.Kind == Move && f.Order.Pool == s.name {
			return
		}
	}
	for _, c := range p.Closing {
		if c.Order.Kind == Move && c.Order.Pool == s.name {
			return
		}
	}
	s.unplaceable = true
	s.need = s.have + 1
}

// countVM adds a VM to the pool that it serves or will serve.
func (p *planner) countVM(byName map[string]*poolState, vm *VM) {
	pool := vm.Pool
	if f, inFlight := p.InFlight[vm.ID]; inFlight && f.Order.Kind == Move {
		pool = f.Order.Pool
	}
	if c, closing := p.Closing[vm.ID]; closing && c.Order.Kind == Move {
		pool = c.Order.Pool
	}
	s := byName[pool]
	if s == nil || vm.State == Down && !s.standby {
		return
	}
	if p.isLeavingForMaintenance(vm) {
		s.withheld += vm.Capacity.CPU
		return
	}
	s.add(vm, 1)
	if pool != vm.Pool || vm.State == Moving || !p.isAnnounced(vm) {
		s.arriving += vm.Capacity.CPU
	}
	if p.taken[vm.ID] || vm.State == Moving || vm.State == Maintained || vm.State == Unclear {
		return
	}
	switch {
	case s.standby || p.isEmpty(vm) && p.isAnnounced(vm):
		s.idle = append(s.idle, vm)
	case p.isAnnounced(vm) && p.candidateOf(vm).longRunning == 0:
		s.busy = append(s.busy, vm)
	}
}

// closeOne closes the least used VM of a pool that has more than it needs, so
// that the VM can move once its tasks have ended. It reports whether there was
// one.
func (p *planner) closeOne(pools []*poolState, receiver *poolState) bool {
	var best *poolState
	for _, s := range pools {
		if s == receiver || len(s.busy) == 0 || !receiver.unplaceable && !s.canRelease(s.busy[0]) {
			continue
		}
		if best == nil || s.missing() < best.missing() {
			best = s
		}
	}
	if best == nil {
		return false
	}
	vm := best.busy[0]
	best.busy = best.busy[1:]
	best.add(vm, -1)
	receiver.add(vm, 1)
	order := Order{Kind: Move, VM: vm.ID, Pool: receiver.name, Why: "the pool needs more"}
	p.taken[vm.ID] = true
	p.plan.Close = append(p.plan.Close, Closing{VM: vm.ID, Order: order, Since: p.Now})
	return true
}

// isLeavingForMaintenance reports whether a VM is being drained for maintenance
// or is under maintenance. It takes no work meanwhile, and the tasks drained
// from it need capacity elsewhere: counted as capacity, it might never become
// empty.
func (p *planner) isLeavingForMaintenance(vm *VM) bool {
	f, inFlight := p.InFlight[vm.ID]
	c, closing := p.Closing[vm.ID]
	return inFlight && f.Order.Kind == Maintain || closing && c.Order.Kind == Maintain || vm.State == Maintained
}

// isAnnounced reports whether a VM's worker is announced in the pool where the
// platform lists the VM, and not draining. Before it is announced, a start may be
// in flight to it.
func (p *planner) isAnnounced(vm *VM) bool {
	w := p.Tables.Workers[vm.Worker]
	return w != nil && w.Pool == vm.Pool && !w.Draining
}

// takeIdle returns a VM that may move to a pool: one on standby, or one that
// its pool does not need.
func (p *planner) takeIdle(pools []*poolState, standby, receiver *poolState) *VM {
	if standby != nil && len(standby.idle) > 0 {
		return standby.takeLongestIdle()
	}
	var best *poolState
	for _, s := range pools {
		if s == receiver || len(s.idle) == 0 || !receiver.unplaceable && !s.canRelease(s.idle[0]) {
			continue
		}
		if best == nil || s.missing() < best.missing() {
			best = s
		}
	}
	if best == nil {
		return nil
	}
	return best.takeLongestIdle()
}

func (s *poolState) takeLongestIdle() *VM {
	vm := s.idle[0]
	s.idle = s.idle[1:]
	s.add(vm, -1)
	return vm
}

func (p *planner) move(vm *VM, pool, why string) {
	p.taken[vm.ID] = true
	p.plan.Orders = append(p.plan.Orders, Order{Kind: Move, VM: vm.ID, Pool: pool, Why: why})
}

// park puts VMs on standby that have been idle and are not needed.
func (p *planner) park(pools []*poolState, standby *poolState) {
	if standby == nil || !p.MayPark {
		return
	}
	for _, s := range pools {
		for len(s.idle) > 0 {
			vm := s.idle[0]
			if !s.canRelease(vm) || p.Idle(vm.Worker) < parkAfter || p.awaitsMaintenance(vm.ID) {
				break
			}
			s.takeLongestIdle()
			p.move(vm, standby.name, "idle")
		}
	}
}

// awaitsMaintenance reports whether a VM belongs to a wave and its maintenance
// has not begun.
func (p *planner) awaitsMaintenance(id workload.VMID) bool {
	for _, w := range p.Tables.Waves {
		for i := range w.VMs {
			if w.VMs[i].ID == id && !w.VMs[i].Begun {
				return true
			}
		}
	}
	return false
}
