package placement

import (
	"cmp"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// Options bound what one round of placement may do. A zero field takes its
// default.
type Options struct {
	// Sizes judges what a job needs; nil takes the declared size.
	Sizes fleet.Sizer
	// MaxStarts bounds the jobs started in one round. Default 500.
	MaxStarts int
	// MaxReasons bounds the jobs whose reason to wait is rewritten in one
	// round. Default 500.
	MaxReasons int
	// MaxYields bounds the tasks that yield to urgent work in one round, so
	// that a flood of urgent jobs does not stop all batch work at once.
	// Default 500.
	MaxYields int
	// BatchAge is how long a batch job waits before it counts as a normal
	// one, so that it can't starve. Default 1 h.
	BatchAge time.Duration
	// DriftMargin is added to a lease before it counts as lapsed: clocks of
	// workers may run slower than ours. Default and least state.DriftMargin.
	DriftMargin time.Duration
	// SoonDrained says when VMs will be drained, as far as it is known; jobs
	// that would still run then go elsewhere if they can.
	SoonDrained map[model.VMID]model.Instant
	// IgnoreWaves switches off that new work prefers VMs which already went
	// through the wave.
	IgnoreWaves bool
	Rules       Rules
}

// Rules switches single safety rules off. The zero value has every rule on
// and is the only one that the product uses; tests switch a rule off to see
// that the guards notice.
type Rules struct {
	// SkipCapacity places without looking at what is left on the VM.
	SkipCapacity bool
	// SkipQuota starts jobs beyond their team's quota.
	SkipQuota bool
	// SkipBlock places on VMs that are unhealthy, moving or under a permit.
	SkipBlock bool
	// SkipIdempotent stops jobs that can't run again to make room.
	SkipIdempotent bool
}

const (
	defaultMaxStarts  = 500
	defaultMaxReasons = 500
	defaultMaxYields  = 500
	defaultBatchAge   = time.Hour
)

func (o Options) withDefaults() Options {
	o.MaxStarts = cmp.Or(o.MaxStarts, defaultMaxStarts)
	o.MaxReasons = cmp.Or(o.MaxReasons, defaultMaxReasons)
	o.MaxYields = cmp.Or(o.MaxYields, defaultMaxYields)
	o.BatchAge = cmp.Or(o.BatchAge, defaultBatchAge)
	o.DriftMargin = max(o.DriftMargin, state.DriftMargin)
	return o
}

// Result is what one round of placement decided.
type Result struct {
	Actions []state.Action
	// Wishes are commands for the platform, to be followed by their actions.
	Wishes []Wish
	// Shortages are the instances that found no VM.
	Shortages []Shortage
}

// Decide runs all decisions of this package in their order: leases that
// lapsed, renewals, instances, jobs, and the work that must yield.
func Decide(ix *fleet.Index, o Options) Result {
	o = o.withDefaults()
	actions := Leases(ix, o)
	held := newHolds(ix, o)
	instances, shortages := placeInstances(ix, held)
	actions = append(actions, instances...)
	jobs, wishes := decideJobs(ix, o, held, shortages)
	actions = append(actions, jobs...)
	wishes = append(wishes, evacuate(ix, held)...)
	wishes = dedup(append(wishes, Relieve(ix)...))
	guardWishes(ix, wishes)
	return Result{Actions: actions, Wishes: wishes, Shortages: shortages}
}

// Jobs starts queued jobs and says why the others wait. The wishes make room
// for urgent jobs.
func Jobs(ix *fleet.Index, o Options) ([]state.Action, []Wish) {
	o = o.withDefaults()
	return decideJobs(ix, o, newHolds(ix, o), nil)
}

// dedup keeps the first wish for each task: the earlier decisions weigh more.
func dedup(wishes []Wish) []Wish {
	seen := make(map[model.TaskID]bool, len(wishes))
	kept := wishes[:0]
	for _, w := range wishes {
		if !seen[w.Task.ID] {
			seen[w.Task.ID] = true
			kept = append(kept, w)
		}
	}
	return kept
}
