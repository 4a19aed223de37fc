package loadmodel

import (
	"time"

	"github.com/comfreyloom/comfreyloom/internal/capacity"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// waveID names the one wave of a run.
const waveID = 1

func (w *world) startWave() {
	wave := &workload.Wave{ID: waveID, WindowMS: w.pattern.WaveFor.Milliseconds(), AcceptedMS: w.nowMS(), MaxUnavailable: w.pattern.WaveMost}
	for _, vm := range w.vms[:w.pattern.Wave] {
		wave.Machines = append(wave.Machines, workload.WaveMachine{Machine: vm.Machine})
	}
	w.apply(&workload.Command{Wave: wave})
}

// returnVMs has the VMs announced whose move or maintenance is over.
func (w *world) returnVMs() {
	for _, vm := range w.vms {
		if vm.backAt == 0 || vm.backAt > w.now {
			continue
		}
		vm.backAt, vm.flying = 0, false
		if vm.Pool == standbyPool {
			vm.State = capacity.Down
			continue
		}
		w.bear(vm)
	}
}

// decideFleet plans moves and maintenance, and carries the orders out.
func (w *world) decideFleet() {
	w.tokens = min(w.tokens+ordersPerSecond*(fleetSteps*step).Seconds(), ordersPerSecond/2)
	var plan capacity.Plan
	w.machine.Read(func(t *workload.Tables) {
		w.demand.Observe(t, w.now)
		plan = capacity.Decide(w.input(t))
	})
	for _, machine := range plan.Open {
		delete(w.closing, machine)
	}
	for _, c := range plan.Close {
		w.closing[c.Machine] = c
	}
	for _, o := range plan.Orders {
		w.carryOut(o)
	}
}

func (w *world) input(t *workload.Tables) capacity.Input {
	in := capacity.Input{
		Now: w.now, NowMS: w.nowMS(), Tables: t, Closing: w.closing, InFlight: map[workload.MachineID]capacity.InFlightOrder{},
		Need: w.demand.Need(t, w.now, w.nowMS()), NeedByLabel: w.demand.NeedByLabel(t),
		Unplaceable: w.demand.Unplaceable(t, w.now), MayPark: w.demand.MayPark(w.now),
		Listed: func(workload.WorkerID) bool { return false }, Idle: w.idle,
	}
	for _, vm := range w.vms {
		in.VMs = append(in.VMs, vm.VM)
		if vm.flying {
			in.InFlight[vm.Machine] = vm.flight
		}
	}
	return in
}

func (w *world) idle(id workload.WorkerID) time.Duration {
	vm := w.byWorker[id]
	if vm == nil || vm.idleSince == 0 {
		return 0
	}
	return w.now - vm.idleSince
}

// carryOut gives an order to the platform.
func (w *world) carryOut(o capacity.Order) {
	if w.tokens < 1 {
		return
	}
	w.tokens--
	if o.Kind == capacity.Move {
		w.result.Moves++
	}
	for _, vm := range w.vms {
		if vm.Machine != o.Machine {
			continue
		}
		vm.flight, vm.flying = capacity.InFlightOrder{Order: o, Sent: w.now, Worker: vm.Worker}, true
		if vm.Worker != "" {
			w.apply(&workload.Command{EndedWorkers: []workload.WorkerID{vm.Worker}})
			vm.Worker = ""
		}
		w.leave(vm, o)
	}
}

func (w *world) leave(vm *vmState, o capacity.Order) {
	if o.Kind == capacity.Maintain {
		vm.State, vm.backAt = capacity.Maintained, w.now+maintenanceTime
		w.apply(&workload.Command{Begun: []workload.WaveBegun{{Wave: waveID, Machine: vm.Machine}}})
		w.result.WaveTime = w.now - begin - w.pattern.WaveAt + maintenanceTime
		return
	}
	vm.State, vm.Pool, vm.backAt = capacity.Moving, o.Pool, w.now+moveTime
}
