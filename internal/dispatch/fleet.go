package dispatch

import (
	"context"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// MachineState is how a VM stands with the platform.
type MachineState uint8

// The states of a VM.
const (
	MachineUp MachineState = iota + 1
	MachineMoving
	MachineMaintained
	MachineDown
)

// VM is a VM as the platform lists it.
type VM struct {
	Machine  workload.MachineID
	Pool     string
	State    MachineState
	Zone     string
	Kind     string
	Rack     string
	Capacity workload.Resources
	// Worker is the incarnation that runs there, empty for none.
	Worker workload.WorkerID
}

// Fleet are the calls to the platform.
type Fleet interface {
	List(ctx context.Context) ([]VM, error)
	Move(ctx context.Context, vm workload.MachineID, pool, holder string, fence uint64) (FleetAnswer, error)
	Maintain(ctx context.Context, vm workload.MachineID, wave int64, holder string, fence uint64) (FleetAnswer, error)
}

// FleetAnswer is what the platform says to an order.
type FleetAnswer uint8

// The answers of the platform.
const (
	FleetDone FleetAnswer = iota
	// FleetFenced: a later leader has given orders for the VM.
	FleetFenced
	// FleetBusy: the VM is not up, or is leaving.
	FleetBusy
	// FleetWave: the VM is not of that wave.
	FleetWave
	// FleetUnknown: there is no such VM, or the pool is not for it.
	FleetUnknown
	// FleetLimited: too many calls at the moment; nothing was done.
	FleetLimited
)

// fleetState is what the leader knows of the VMs.
type fleetState struct {
	since time.Duration
}

func newFleetState(now time.Duration) *fleetState { return &fleetState{since: now} }

// runFleet is the duty that gives orders to the platform.
func (d *Dispatcher) runFleet(ctx context.Context, term uint64) {
	<-ctx.Done()
}
