package wave

import (
	"cmp"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Ideas switch the ways in which waves differ from the plain way. The zero
// value is the plain way: racks in fixed order, one VM at a time, its work
// stopped at once.
type Ideas struct {
	// SteerNew keeps new work off VMs that are yet to be drained.
	SteerNew bool
	// DisplaceToDone sends displaced jobs only to VMs already done, so that a
	// wave moves a job at most once.
	DisplaceToDone bool
	// LargestSet drains the largest set that no budget forbids, within one
	// availability zone, whole racks first.
	LargestSet bool
	// OrderByCost drains first what has the least work left, waits for tasks
	// near their end, checkpoints long ones and never cuts urgent ones.
	OrderByCost bool
	// RespectBusy leaves pools alone in their busy windows and drains pools
	// with urgent services last.
	RespectBusy bool
}

// Chosen returns the ideas that the product uses: all of them.
func Chosen() Ideas {
	return Ideas{SteerNew: true, DisplaceToDone: true, LargestSet: true, OrderByCost: true, RespectBusy: true}
}

// Rules switches single safety rules off. The zero value has every rule on
// and is the only one that the product uses.
type Rules struct {
	// IgnoreBoot commands a reboot without comparing boot IDs.
	IgnoreBoot bool
	// IgnoreSoak ends a permit as soon as the VM is back.
	IgnoreSoak bool
	// IgnoreBudget grants without asking the budgets.
	IgnoreBudget bool
	// DrainUngranted treats the VMs next in line as if they were granted.
	DrainUngranted bool
}

// Options bound what a wave may do. A zero field takes its default.
type Options struct {
	Ideas Ideas
	Rules Rules
	// Soak is used for a wave that names none. Default 2 min.
	Soak time.Duration
	// NearEnd is how much run time may be left of a task for which a drain
	// always waits. Default 2 min.
	NearEnd time.Duration
	// MaxWait is how long a drain waits for tasks that could be run again
	// elsewhere. Default 20 min.
	MaxWait time.Duration
	// Hold is how long no permit is granted after several VMs of one rack or
	// availability zone failed together. Default 5 min.
	Hold time.Duration
	// MaxShare bounds the VMs of a pool under maintenance, as a share of its
	// members; at least one. Default 0.5.
	MaxShare float64
	// Cycle is how long the maintenance of one VM is taken to last before
	// any was measured. Default 5 min.
	Cycle time.Duration
	// Fleet are the options by which the demand of pools is worked out.
	Fleet fleet.Options
}

const (
	defaultSoak     = 2 * time.Minute
	defaultNearEnd  = 2 * time.Minute
	defaultMaxWait  = 20 * time.Minute
	defaultHold     = 5 * time.Minute
	defaultMaxShare = 0.5
	defaultCycle    = 5 * time.Minute
)

func (o Options) withDefaults() Options {
	o.Soak = cmp.Or(o.Soak, defaultSoak)
	o.NearEnd = cmp.Or(o.NearEnd, defaultNearEnd)
	o.MaxWait = cmp.Or(o.MaxWait, defaultMaxWait)
	o.Hold = cmp.Or(o.Hold, defaultHold)
	o.MaxShare = cmp.Or(o.MaxShare, defaultMaxShare)
	o.Cycle = cmp.Or(o.Cycle, defaultCycle)
	return o
}

// Facts are what a decision needs to know beyond the index.
type Facts struct {
	// Returned holds the VMs for whose present permit the platform accepted
	// an undrain or return: no earlier step of it has an effect any more.
	Returned map[model.VMID]bool
	// Remaining estimates the run time left of a job's task.
	Remaining func(*model.Job, *model.Task) time.Duration
}
