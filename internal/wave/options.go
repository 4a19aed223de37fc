package wave

import (
	"cmp"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Features switches on single features of waves. With none, a wave drains the
// racks in a fixed order, one VM at a time, and stops the VM's work at once.
type Features struct {
	// SteerNew keeps new work off VMs that are yet to be drained.
	SteerNew bool
	// DisplaceToDone sends displaced jobs only to VMs that are done, so that a
	// wave moves a job at most once.
	DisplaceToDone bool
	// LargestSet drains as many VMs at the same time as the budgets allow, one
	// availability zone after another and rack by rack.
	LargestSet bool
	// OrderByCost drains the VMs with the lowest cost first, waits for tasks near
	// their end, checkpoints long ones and never stops urgent ones.
	OrderByCost bool
	// RespectBusy grants no permit in a pool's busy windows and drains the VMs
	// of pools with urgent services last.
	RespectBusy bool
}

// AllFeatures returns the features used in production: all of them.
func AllFeatures() Features {
	return Features{SteerNew: true, DisplaceToDone: true, LargestSet: true, OrderByCost: true, RespectBusy: true}
}

// Rules switches single safety rules off. The zero value has every rule on
// and is the only one used in production.
type Rules struct {
	// IgnoreBootID commands a reboot without comparing boot IDs.
	IgnoreBootID bool
	// IgnoreSoak ends a permit as soon as the VM is back.
	IgnoreSoak bool
	// IgnoreBudget grants permits without checking the budgets.
	IgnoreBudget bool
	// DrainUngranted drains the VMs to be granted next as if they were granted.
	DrainUngranted bool
}

// Options bound what a wave may do. Zero fields take their defaults.
type Options struct {
	Features Features
	Rules    Rules
	// Soak is the soak time of a wave that sets none. Default 2 min.
	Soak time.Duration
	// NearEnd is the remaining run time up to which a drain waits for a task
	// when moves and buffer have equal weights. Default 2 min.
	NearEnd time.Duration
	// MaxWait bounds how long a drain waits for tasks that could be run again
	// elsewhere, unless the wave takes longer anyway. Default 20 min.
	MaxWait time.Duration
	// Hold is the period before now in which failures are counted: while several
	// VMs of one rack or availability zone failed in it, no permit is granted.
	// Default 5 min.
	Hold time.Duration
	// MaxShare bounds the VMs of a pool under maintenance, as a share of its
	// members; at least one is allowed. Default 0.5.
	MaxShare float64
	// Cycle is the assumed duration of the maintenance of one VM. The estimated
	// end of a wave uses the measured rate once two VMs are done. Default 5 min.
	Cycle time.Duration
	// Fleet holds the options for computing the demand of pools.
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

// Facts is the input of a decision besides the index.
type Facts struct {
	// Returned holds the VMs for whose current permit the platform accepted an
	// undrain or return. Earlier commands for the permit no longer take effect.
	Returned map[model.VMID]bool
	// Remaining estimates the remaining run time of a job's task; nil uses the
	// job's declared run time.
	Remaining func(*model.Job, *model.Task) time.Duration
}
