package fleet

import (
	"cmp"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Options bound what one round of fleet decisions may do. A zero field takes
// its default.
type Options struct {
	// LostAfter is how long a VM is down, or its heartbeat late, before it is
	// replaced for good; a reboot must fit into it. Default 10 min.
	LostAfter time.Duration
	// MoveHold is how long a VM stays where it is after a move before it may
	// be taken as a donor; it keeps VMs from flapping. Default 30 min.
	MoveHold time.Duration
	// ForgetAfter is how long the platform must not list a VM before its
	// entry is dropped. Default 1 h.
	ForgetAfter time.Duration
	// ForgetShare bounds the entries dropped in one round, as a share of all
	// entries; at least one. Default 0.01.
	ForgetShare float64
	// AbsentLimit is the share of entries that may be absent before the
	// platform's list counts as partial and no entry is dropped. Default 0.1.
	AbsentLimit float64
	// MaxMoving bounds the VMs with tasks that move at one time, as a share
	// of all VMs; at least one. Spares without tasks are not bounded. Default 0.05.
	MaxMoving float64
	// MayMove reports whether a VM with tasks may leave its pool now, and is
	// asked last, just before the move; nil allows all.
	MayMove func(v *VM) bool
	// Sizes judges what a queued job needs; nil takes the declared size.
	Sizes Sizer
	Rules Rules
}

// Rules switches single safety rules off. The zero value has every rule on
// and is the only one that the product uses; tests switch a rule off to see
// that the guards notice.
type Rules struct {
	// SkipShape gives pools VMs that their shape or zones do not allow.
	SkipShape bool
	// SkipMax lets pools grow beyond their largest size.
	SkipMax bool
	// SkipAbsence drops entries at the first list that lacks the VM.
	SkipAbsence bool
	// SkipIdle finishes moves while tasks are left on the VM.
	SkipIdle bool
}

// Sizer judges what a job that declares a size will need.
type Sizer interface {
	Size(spec *model.JobSpec) model.Resources
}

const (
	defaultLostAfter   = 10 * time.Minute
	defaultMoveHold    = 30 * time.Minute
	defaultForgetAfter = time.Hour
	defaultForgetShare = 0.01
	defaultAbsentLimit = 0.1
	defaultMaxMoving   = 0.05
	// leastPatience is the share of LostAfter that is waited for a VM however
	// little moves weigh. Measured: without it restarts alone move four times
	// as many VMs.
	leastPatience = 0.6
	// evenShare is the share of moves where the manifest gives no weights.
	evenShare = 0.5
)

func (o Options) withDefaults() Options {
	o.LostAfter = cmp.Or(o.LostAfter, defaultLostAfter)
	o.MoveHold = cmp.Or(o.MoveHold, defaultMoveHold)
	o.ForgetAfter = cmp.Or(o.ForgetAfter, defaultForgetAfter)
	o.ForgetShare = cmp.Or(o.ForgetShare, defaultForgetShare)
	o.AbsentLimit = cmp.Or(o.AbsentLimit, defaultAbsentLimit)
	o.MaxMoving = cmp.Or(o.MaxMoving, defaultMaxMoving)
	return o
}

func (o Options) size(spec *model.JobSpec) model.Resources {
	if o.Sizes == nil {
		return spec.Declared
	}
	return o.Sizes.Size(spec)
}

// moveShare is the weight of moves against that of buffer, in 0..1.
func (o Options) moveShare(ix *Index) float64 {
	p := ix.Policy()
	total := p.MoveWeight + p.BufferWeight
	if total <= 0 {
		return evenShare
	}
	return p.MoveWeight / total
}

// patience is how long a VM that is down, or reboots, is waited for before
// another moves in its place while nothing suffers. A reboot takes minutes and
// there are many; the larger the weight of moves, the longer it waits.
func (o Options) patience(ix *Index) time.Duration {
	return time.Duration(float64(o.LostAfter) * max(leastPatience, o.moveShare(ix)))
}
