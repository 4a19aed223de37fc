package loadmodel

import (
	"time"

	"github.com/comfreyloom/comfreyloom/internal/capacity"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// waveID is the ID of the only maintenance wave of a run.
const waveID = 1

func (sim *simulation) startWave() {
	wave := &workload.Wave{ID: waveID, WindowMS: sim.pattern.WaveWindow.Milliseconds(), AcceptedMS: sim.nowMS(), MaxUnavailable: sim.pattern.WaveMaxParallel}
	for _, vm := range sim.vms[:sim.pattern.WaveVMs] {
		wave.VMs = append(wave.VMs, workload.WaveVM{ID: vm.ID})
	}
	sim.apply(&workload.Command{Wave: wave})
}

// returnVMs announces workers on the VMs whose move or maintenance has ended.
func (sim *simulation) returnVMs() {
	for _, vm := range sim.vms {
		if vm.backAt == 0 || vm.backAt > sim.now {
			continue
		}
		vm.backAt, vm.orderInFlight = 0, false
		if vm.Pool == standbyPool {
			vm.State = capacity.Down
			continue
		}
		sim.startWorker(vm)
	}
}

// decideFleet plans moves and maintenance and executes the orders.
func (sim *simulation) decideFleet() {
	sim.tokens = min(sim.tokens+ordersPerSecond*(fleetSteps*step).Seconds(), ordersPerSecond/2)
	var plan capacity.Plan
	sim.machine.Read(func(t *workload.Tables) {
		sim.demand.Observe(t, sim.now)
		plan = capacity.Decide(sim.capacityInput(t))
	})
	for _, machine := range plan.Open {
		delete(sim.closing, machine)
	}
	for _, c := range plan.Close {
		sim.closing[c.VM] = c
	}
	for _, o := range plan.Orders {
		sim.execute(o)
	}
}

func (sim *simulation) capacityInput(t *workload.Tables) capacity.Input {
	in := capacity.Input{
		Now: sim.now, NowMS: sim.nowMS(), Tables: t, Closing: sim.closing, InFlight: map[workload.VMID]capacity.InFlightOrder{},
		Need: sim.demand.Need(t, sim.now, sim.nowMS()), NeedByLabel: sim.demand.NeedByLabel(t),
		Unplaceable: sim.demand.Unplaceable(t, sim.now), MayPark: sim.demand.MayPark(sim.now),
		Listed: func(workload.WorkerID) bool { return false }, Idle: sim.idle,
	}
	for _, vm := range sim.vms {
		in.VMs = append(in.VMs, vm.VM)
		if vm.orderInFlight {
			in.InFlight[vm.ID] = vm.order
		}
	}
	return in
}

func (sim *simulation) idle(id workload.WorkerID) time.Duration {
	vm := sim.byWorker[id]
	if vm == nil || vm.idleSince == 0 {
		return 0
	}
	return sim.now - vm.idleSince
}

// execute sends an order to the platform, if its rate limit allows.
func (sim *simulation) execute(o capacity.Order) {
	if sim.tokens < 1 {
		return
	}
	sim.tokens--
	if o.Kind == capacity.Move {
		sim.result.Moves++
	}
	for _, vm := range sim.vms {
		if vm.ID != o.VM {
			continue
		}
		vm.order, vm.orderInFlight = capacity.InFlightOrder{Order: o, Sent: sim.now, Worker: vm.Worker}, true
		if vm.Worker != "" {
			sim.apply(&workload.Command{EndedWorkers: []workload.WorkerID{vm.Worker}})
			vm.Worker = ""
		}
		sim.takeDown(vm, o)
	}
}

func (sim *simulation) takeDown(vm *vmState, o capacity.Order) {
	if o.Kind == capacity.Maintain {
		vm.State, vm.backAt = capacity.Maintained, sim.now+maintenanceTime
		sim.apply(&workload.Command{Begun: []workload.WaveBegun{{Wave: waveID, VM: vm.ID}}})
		sim.result.WaveTime = sim.now - startTime - sim.pattern.WaveStart + maintenanceTime
		return
	}
	vm.State, vm.Pool, vm.backAt = capacity.Moving, o.Pool, sim.now+moveTime
}
