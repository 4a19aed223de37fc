package capacity

import (
	"time"

	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// State is the state of a VM as the platform reports it.
type State uint8

// The states of a VM.
const (
	// Up: it serves its pool.
	Up State = iota + 1
	// Moving: it is moving to another pool.
	Moving
	// Maintained: it is under maintenance.
	Maintained
	// Down: it is off, or lost.
	Down
	// Unclear: the platform's entry for it can't be parsed. It counts where it
	// was last listed and gets no order.
	Unclear
)

// VM is a VM as the platform lists it.
type VM struct {
	ID       workload.VMID
	Pool     string
	State    State
	Zone     string
	Kind     string
	Rack     string
	Capacity workload.Resources
	// Worker is the incarnation that runs there, empty for none.
	Worker workload.WorkerID
}

// OrderKind is the kind of an order.
type OrderKind uint8

// The kinds of orders.
const (
	Move OrderKind = iota + 1
	Maintain
)

// Order is one call to the platform.
type Order struct {
	Kind OrderKind
	VM   workload.VMID
	// Pool is the target of a move, Wave the wave of a maintenance.
	Pool string
	Wave int64
	// Why is the reason for the order, for the log.
	Why string
}

// Closing is a VM whose worker takes no new work, so that it becomes empty for an
// order.
type Closing struct {
	VM    workload.VMID
	Order Order
	Since time.Duration
}

// InFlightOrder is an order that was sent and whose VM is not back yet.
type InFlightOrder struct {
	Order Order
	Sent  time.Duration
	// Worker is the incarnation that the order ended.
	Worker workload.WorkerID
}

// Input is the input of Decide.
type Input struct {
	Now    time.Duration
	NowMS  int64
	Tables *workload.Tables
	VMs    []VM
	// InFlight and Closing are by VM.
	InFlight map[workload.VMID]InFlightOrder
	Closing  map[workload.VMID]Closing
	// Need is the processor capacity that each pool should have, in thousandths of
	// a core.
	Need map[string]int64
	// NeedByLabel is what each pool should have of VMs with one label, in
	// thousandths of a core.
	NeedByLabel map[string]map[string]int64
	// Unplaceable holds the pools that have had a long-running task without a
	// run for a while.
	Unplaceable map[string]bool
	// MayPark is set once demand has been observed for long enough to put idle
	// VMs on standby.
	MayPark bool
	// Listed reports whether the last list of a worker holds any run, even one that
	// is not committed on it.
	Listed func(workload.WorkerID) bool
	// Idle returns for how long nothing has run on a worker.
	Idle func(workload.WorkerID) time.Duration
}

// Plan is what to do next.
type Plan struct {
	Orders []Order
	// Close lists the VMs whose workers take no new work from now on, Open those
	// whose workers take work again.
	Close []Closing
	Open  []workload.VMID
	// Evacuate lists the VMs whose long-running tasks should leave before they are
	// closed for maintenance. They take other work meanwhile.
	Evacuate []workload.VMID
	// ObsoleteWaves lists VMs of waves that no longer exist. Nothing sets it.
	ObsoleteWaves []workload.WaveBegun
	// Pools is what each pool has and needs, for the log.
	Pools []Balance
}

// Balance is what a pool has and needs, in thousandths of a core.
type Balance struct {
	Pool       string
	Have, Need int64
	// Arriving is the part of Have whose VMs take no work in the pool yet. Withheld
	// is the capacity of the pool's VMs that are closed for maintenance or under it;
	// Have lacks it.
	Arriving, Withheld int64
	// Idle counts its VMs with no tasks.
	Idle int
}
