package placement

import (
	"cmp"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// Options bounds what one round of placement may do. A zero field takes its
// default.
type Options struct {
	// Sizes estimates what a job needs; nil uses the declared size.
	Sizes fleet.Sizer
	// MaxStarts bounds the jobs started in one round. Default 500.
	MaxStarts int
	// MaxReasons bounds the jobs whose waiting reason is rewritten in one
	// round. Default 500.
	MaxReasons int
	// MaxPreemptions bounds the tasks preempted for urgent work in one round,
	// so that a burst of urgent jobs does not stop all batch work at once.
	// Default 500.
	MaxPreemptions int
	// BatchAge is how long a batch job waits before it is treated as a normal
	// job, so that it can't starve. Default 1 h.
	BatchAge time.Duration
	// DriftMargin is added to a lease before it counts as lapsed, because the
	// workers' clocks may run slower than this one. The default and minimum is
	// state.DriftMargin.
	DriftMargin time.Duration
	// SoonDrained is when VMs will be drained, as far as that is known. Jobs
	// that would still run then are placed elsewhere if possible.
	SoonDrained map[model.VMID]model.Instant
	// IgnoreWaves turns off the preference for VMs that a maintenance wave has
	// already maintained.
	IgnoreWaves bool
	Rules       Rules
}

// Rules switches single safety rules off. The zero value has every rule on and
// is the only one used in production; tests switch a rule off to verify that
// the guards detect it.
type Rules struct {
	// SkipCapacity places work regardless of the free capacity of the VM.
	SkipCapacity bool
	// SkipQuota starts jobs beyond their team's quota.
	SkipQuota bool
	// SkipBlock places work on VMs that are unhealthy, moving or under a
	// permit.
	SkipBlock bool
	// SkipIdempotent also preempts jobs that can't run again.
	SkipIdempotent bool
}

const (
	defaultMaxStarts      = 500
	defaultMaxReasons     = 500
	defaultMaxPreemptions = 500
	defaultBatchAge       = time.Hour
)

func (o Options) withDefaults() Options {
	o.MaxStarts = cmp.Or(o.MaxStarts, defaultMaxStarts)
	o.MaxReasons = cmp.Or(o.MaxReasons, defaultMaxReasons)
	o.MaxPreemptions = cmp.Or(o.MaxPreemptions, defaultMaxPreemptions)
	o.BatchAge = cmp.Or(o.BatchAge, defaultBatchAge)
	o.DriftMargin = max(o.DriftMargin, state.DriftMargin)
	return o
}

// Result is what one round of placement decided.
type Result struct {
	Actions []state.Action
	// Planned are commands for the platform. The actions that record them
	// follow once they are carried out.
	Planned []PlannedAction
	// Shortages are the instances for which no VM was found.
	Shortages []Shortage
}

// Decide runs all decisions of this package in order: lapsed leases, renewals,
// instances, jobs, and the work to preempt or stop.
func Decide(ix *fleet.Index, o Options) Result {
	o = o.withDefaults()
	actions := Leases(ix, o)
	held := newHolds(ix, o)
	instances, shortages := placeInstances(ix, held)
	actions = append(actions, instances...)
	jobs, planned := decideJobs(ix, o, held, shortages)
	actions = append(actions, jobs...)
	planned = append(planned, evacuate(ix, held)...)
	planned = dedup(append(planned, Relieve(ix)...))
	guardPlanned(ix, planned)
	return Result{Actions: actions, Planned: planned, Shortages: shortages}
}

// Jobs starts queued jobs and records why the others wait. The planned actions
// free capacity for urgent jobs.
func Jobs(ix *fleet.Index, o Options) ([]state.Action, []PlannedAction) {
	o = o.withDefaults()
	return decideJobs(ix, o, newHolds(ix, o), nil)
}

// dedup keeps the first planned action for each task, because earlier decisions
// take precedence.
func dedup(planned []PlannedAction) []PlannedAction {
	seen := make(map[model.TaskID]bool, len(planned))
	kept := planned[:0]
	for _, a := range planned {
		if !seen[a.Task.ID] {
			seen[a.Task.ID] = true
			kept = append(kept, a)
		}
	}
	return kept
}
