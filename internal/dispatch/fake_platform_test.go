package dispatch

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/capacity"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// fakePlatform has a VM for each worker of a simulation.
type fakePlatform struct {
	sim *simulation
	vms []*fakeVM
	// calls are those that the leader has begun.
	calls []func()
}

// fakeVM is the VM of a worker.
type fakeVM struct {
	id workload.VMID
	on *fakeWorker
	// pool is the pool that the VM serves, away its state while no worker runs there.
	pool string
	away capacity.State
	// maintained holds the waves in which the VM was maintained.
	maintained map[int64]bool
}

// addPlatform gives the site of a simulation a platform, which all leaders from the
// present one on use.
func (sim *simulation) addPlatform() *fakePlatform {
	p := &fakePlatform{sim: sim}
	for i, f := range sim.workers {
		p.vms = append(p.vms, &fakeVM{
			id: workload.VMID(fmt.Sprintf("m-%d", i)), on: f, pool: "p", away: capacity.Down, maintained: map[int64]bool{},
		})
	}
	sim.platform = p
	sim.usePlatform()
	return p
}

// usePlatform gives the present leader the platform and has it read the list.
func (sim *simulation) usePlatform() {
	sim.leader.config.Fleet, sim.leader.config.FleetRate = sim.platform, 100
	sim.leader.spawn = func(call func()) { sim.platform.calls = append(sim.platform.calls, call) }
	sim.fleetRound()
}

// fleetRound has the leader decide about VMs. Its context has ended, so that no pause
// takes time; the platform and the log don't look at it.
func (sim *simulation) fleetRound() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	sim.leader.fleetRound(ctx, sim.term)
	sim.makeFleetCalls()
}

// makeFleetCalls makes the calls that the leader has begun, one after another.
func (sim *simulation) makeFleetCalls() {
	for _, call := range sim.platform.calls {
		call()
	}
	sim.platform.calls = nil
}

// runFleetRounds lets pass a second, in which a list of VMs is read.
func (sim *simulation) runFleetRounds() {
	for range 10 {
		sim.advance(100 * time.Millisecond)
		sim.fleetRound()
		sim.leader.round(context.Background(), sim.term)
	}
}

// order has the present leader send an order.
func (sim *simulation) order(o capacity.Order) {
	d := sim.leader
	d.mu.Lock()
	d.beginFlight(context.Background(), sim.term, o)
	d.mu.Unlock()
	sim.makeFleetCalls()
}

// orderSomeVM has the present leader send an order for one of the VMs. The platform has
// carried out many of these before.
func (sim *simulation) orderSomeVM() {
	vm := sim.platform.vms[sim.random.IntN(len(sim.platform.vms))]
	o := capacity.Order{Kind: capacity.Maintain, VM: vm.id, Wave: int64(1 + sim.random.IntN(4))}
	if sim.chance(30) {
		o = capacity.Order{Kind: capacity.Move, VM: vm.id, Pool: "p"}
	}
	sim.order(o)
}

func (p *fakePlatform) List(context.Context) ([]capacity.VM, error) {
	all := make([]capacity.VM, 0, len(p.vms))
	for _, vm := range p.vms {
		row := capacity.VM{ID: vm.id, Pool: vm.pool, State: vm.away, Capacity: vm.on.worker.Capacity}
		if vm.on.restartAt == 0 {
			row.State, row.Worker = capacity.Up, vm.on.worker.ID
		}
		all = append(all, row)
	}
	return all, nil
}

func (p *fakePlatform) Move(_ context.Context, id workload.VMID, pool string, _ OrderTerms) (FleetReply, error) {
	return p.handle(id, func(vm *fakeVM) FleetReply {
		if vm.pool == pool {
			return FleetDone
		}
		vm.pool = pool
		return p.end(vm, capacity.Moving)
	})
}

func (p *fakePlatform) Maintain(_ context.Context, id workload.VMID, wave int64, _ OrderTerms) (FleetReply, error) {
	return p.handle(id, func(vm *fakeVM) FleetReply {
		if vm.maintained[wave] {
			return FleetDone
		}
		vm.maintained[wave] = true
		return p.end(vm, capacity.Maintained)
	})
}

// handle carries an order out, at once or late, and loses some replies.
func (p *fakePlatform) handle(id workload.VMID, carryOut func(*fakeVM) FleetReply) (FleetReply, error) {
	for _, vm := range p.vms {
		if vm.id != id {
			continue
		}
		if p.sim.chance(p.sim.faultPercent / 2) {
			at := p.sim.now + time.Duration(2000+p.sim.random.IntN(10000))*time.Millisecond
			p.sim.delayed = append(p.sim.delayed, delayedCall{at: at, do: func() { carryOut(vm) }})
			return 0, io.EOF
		}
		reply := carryOut(vm)
		if p.sim.chance(p.sim.faultPercent / 2) {
			return 0, io.EOF
		}
		return reply, nil
	}
	return FleetUnknown, nil
}

// end ends the worker on a VM. The next one joins seconds later.
func (p *fakePlatform) end(vm *fakeVM, away capacity.State) FleetReply {
	if vm.on.restartAt > 0 {
		return FleetBusy
	}
	vm.away = away
	p.sim.crash(vm.on)
	return FleetDone
}
