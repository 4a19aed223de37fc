package fleet

import (
	"cmp"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Options bound what one round of fleet decisions may do. Zero fields take
// their defaults.
type Options struct {
	// LostAfter is how long a VM may be down, or its heartbeat late, before it
	// is replaced for good. It must be longer than a reboot. Default 10 min.
	LostAfter time.Duration
	// MoveHold is how long a VM stays in its pool after a move before it may be
	// moved to a pool in need; it keeps VMs from flapping. Default 30 min.
	MoveHold time.Duration
	// ForgetAfter is how long a VM must be missing from the platform's list
	// before its entry is dropped. Default 1 h.
	ForgetAfter time.Duration
	// ForgetShare bounds the entries dropped in one round, as a share of all
	// entries; at least one may be dropped. Default 0.01.
	ForgetShare float64
	// AbsentLimit is the share of entries that may be absent before the
	// platform's list counts as partial and no entry is dropped. Default 0.1.
	AbsentLimit float64
	// MaxMoving bounds the VMs with tasks that move at the same time, as a
	// share of all VMs; at least one may move. Idle VMs are not bounded.
	// Default 0.05.
	MaxMoving float64
	// MayMove reports whether a VM with tasks may leave its pool now. It is
	// called last, just before the move; nil allows all moves.
	MayMove func(v *VM) bool
	// Sizes estimates what a queued job needs; nil takes the declared size.
	Sizes Sizer
	Rules Rules
}

// Rules switches single safety rules off. The zero value has every rule on
// and is the only one used in production; tests switch a rule off to check
// that the guards detect it.
type Rules struct {
	// SkipShape gives pools VMs that their shape or availability zones do not
	// allow.
	SkipShape bool
	// SkipMax lets pools grow beyond their maximum size.
	SkipMax bool
	// SkipAbsence drops an entry as soon as one list lacks the VM.
	SkipAbsence bool
	// SkipIdle finishes moves while tasks are left on the VM.
	SkipIdle bool
}

// Sizer estimates the resources that a job needs.
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
	// minReturnWaitShare is the least share of LostAfter to wait for a VM to
	// return, whatever the weight of moves. Without this minimum, restarts alone
	// moved four times as many VMs in a measurement.
	minReturnWaitShare = 0.6
	// defaultMoveShare is the share of moves when the manifest has no weights.
	defaultMoveShare = 0.5
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

// moveShare returns the share of the weight of moves in the sum of the weights
// of moves and buffer, from 0 to 1.
func (o Options) moveShare(ix *Index) float64 {
	p := ix.Policy()
	total := p.MoveWeight + p.BufferWeight
	if total <= 0 {
		return defaultMoveShare
	}
	return p.MoveWeight / total
}

// returnWait returns how long a pool that can wait (see Demand.canWait) waits
// for a VM that is down or rebooting before another VM replaces it: reboots are
// frequent and take only minutes. The wait grows with the weight of moves.
func (o Options) returnWait(ix *Index) time.Duration {
	return time.Duration(float64(o.LostAfter) * max(minReturnWaitShare, o.moveShare(ix)))
}
