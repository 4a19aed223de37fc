package controller

import (
	"slices"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/budget"
	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/health"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/placement"
	"github.com/comfreyloom/comfreyloom/internal/state"
	"github.com/comfreyloom/comfreyloom/internal/wave"
)

// decided is the outcome of one round of decisions.
type decided struct {
	at      model.Instant
	term    uint64
	stale   bool
	ix      *fleet.Index
	ledger  *budget.Ledger
	wave    wave.Decision
	spared  []health.Spared
	actions []state.Action
	stopped map[model.TaskID]bool
	// uneven are the services of which an instance has to move.
	uneven map[model.ServiceID]bool
	// lost counts the instances of each service whose VM failed.
	lost map[model.ServiceID]int
	// unhelped are the surges for which no VM of the pool helps.
	unhelped map[model.PoolID]wave.Surge
	// heldMoves are the VMs whose move to another pool a budget forbids now.
	heldMoves []*fleet.VM
}

func (d *decided) add(actions ...state.Action) { d.actions = append(d.actions, actions...) }

// granted lists the VMs for which the round grants a permit.
func (d *decided) granted() []model.VMID {
	var vms []model.VMID
	for i := range d.actions {
		if g := d.actions[i].GrantPermit; g != nil {
			vms = append(vms, g.VM)
		}
	}
	return vms
}

func (c *Controller) snapshot() *fleet.Snapshot {
	w := c.soft.world
	return &fleet.Snapshot{
		Now:     c.config.Clock(),
		View:    c.config.Log.View(),
		VMs:     w.listed,
		Serving: c.config.Serving(),
		Region:  c.config.Region,
		Lease:   c.config.Lease,
		Usage:   w.usage,
		Absent:  w.absent,
	}
}

func (c *Controller) budgetOptions(now model.Instant) budget.Options {
	return budget.Options{Soak: c.config.RepairSoak, Stale: c.stale(now), Rules: c.config.Rules.Budget}
}

// decide takes all decisions of a round in their order; each sees what the
// ones before it decided.
func (c *Controller) decide() *decided {
	snap := c.snapshot()
	d := &decided{at: snap.Now, term: c.term, stale: c.stale(snap.Now), ix: fleet.NewIndex(snap), stopped: map[model.TaskID]bool{}, uneven: map[model.ServiceID]bool{}, unhelped: map[model.PoolID]wave.Surge{}, lost: map[model.ServiceID]int{}}
	d.add(c.settle(d.ix)...)
	d.ledger = budget.NewLedger(d.ix, c.budgetOptions(snap.Now))
	if d.stale {
		// Nothing is known for sure: only leases that lapsed are ended.
		d.add(c.leases(d.ix)...)
		return d
	}
	c.decideHealth(d)
	c.decideFleet(d)
	c.decideWave(d)
	c.respread(d)
	c.decidePlacement(d)
	c.checkDecided(d)
	return d
}

func (c *Controller) decideHealth(d *decided) {
	actions, spared := health.Decide(d.ix, c.soft.history, c.config.Health)
	d.spared = spared
	d.add(actions...)
}

// decideFleet takes the moves between pools that the budgets allow: a VM that
// leaves its pool takes its instances with it, like one under maintenance.
func (c *Controller) decideFleet(d *decided) {
	options := c.config.Fleet
	options.Sizes = c.soft.sizes
	options.MayMove = func(v *fleet.VM) bool {
		if ok, _ := d.ledger.MayTake(v); !ok {
			c.counts.heldMoves.Inc(1)
			d.heldMoves = append(d.heldMoves, v)
			return false
		}
		d.ledger.Take(v)
		return true
	}
	d.add(fleet.Decide(d.ix, options)...)
}

func (c *Controller) decideWave(d *decided) {
	facts := wave.Facts{
		Returned: c.soft.world.returned(d.ix.Snap.View),
		Remaining: func(j *model.Job, t *model.Task) time.Duration {
			return c.soft.runtimes.remaining(&j.Spec, d.at.Sub(t.Started))
		},
	}
	options := c.config.Wave
	options.Fleet = c.config.Fleet
	options.Fleet.Sizes = c.soft.sizes
	d.wave = wave.Decide(d.ix, d.ledger, facts, options)
	d.add(d.wave.Actions...)
	c.soft.undrain = map[model.VMID]bool{}
	for _, id := range d.wave.Undrain {
		c.soft.undrain[id] = true
	}
	for _, s := range d.wave.Stops {
		d.stop(s.Task, s.Reason)
	}
	d.replaceOutdated()
	c.decideSurge(d)
	c.decideBorrow(d)
	c.breakStandstill(d)
}

func (d *decided) stop(t *model.Task, reason string) {
	if d.stopped[t.ID] || t.State == model.TaskStopping {
		return
	}
	d.stopped[t.ID] = true
	d.add(state.Action{Reason: reason, UpdateTask: &state.UpdateTask{Task: t.ID, State: model.TaskStopping, Throttled: t.Throttled}})
}

func (c *Controller) decidePlacement(d *decided) {
	options := c.config.Placement
	options.Sizes = c.soft.sizes
	options.SoonDrained = d.wave.SoonDrained
	result := placement.Decide(d.ix, options)
	for _, a := range result.Actions {
		c.takePlacement(d, a)
	}
	for _, w := range result.Wishes {
		c.takeWish(d, w)
	}
}

func (c *Controller) takePlacement(d *decided, a state.Action) {
	switch {
	case a.RenewTasks != nil:
		c.dropMissing(a.RenewTasks, d.ix.Snap.View)
	case a.StartTask != nil:
		if !c.mayStart(d, &a.StartTask.Task) {
			return
		}
		c.spreadStart(d, a.StartTask)
	}
	d.add(a)
}

// mayStart keeps jobs off VMs that the wave has still to drain, where they
// would be moved, or would hold up the drain because they must not be cut.
// They wait for a VM that is done, for a while; urgent jobs never wait.
func (c *Controller) mayStart(d *decided, t *model.Task) bool {
	job := d.ix.Job(t.Job)
	if job == nil || t.Priority == model.Urgent {
		return true
	}
	v := d.ix.VM(t.VM)
	p := d.ix.Pool(v.Pool())
	if p == nil || p.Wave == nil || v.Maintained || !waveGoesOn(d.ix, p) {
		return true
	}
	if d.at.Sub(job.Changed) > steerWait(t.Priority) {
		return true
	}
	ideas := c.config.Wave.Ideas
	displaced := ideas.DisplaceToDone && job.Moves > 0
	return !displaced && !(ideas.SteerNew && c.outlasts(d, t, job))
}

// outlasts reports whether a batch job, or one that must not be cut, would
// still run when its VM is drained.
func (c *Controller) outlasts(d *decided, t *model.Task, job *model.Job) bool {
	if t.Priority != model.Batch && job.Spec.Idempotent {
		return false
	}
	drain, known := d.wave.SoonDrained[t.VM]
	return !known || d.at.Add(c.soft.runtimes.expected(&job.Spec)) > drain
}

// steerWait bounds how long a job waits for a VM that is done.
func steerWait(p model.Priority) time.Duration {
	if p == model.Batch {
		return time.Hour
	}
	return 5 * time.Minute
}

// waveGoesOn reports whether a VM of the pool is done or under maintenance, so
// that jobs have a VM to wait for.
func waveGoesOn(ix *fleet.Index, p *fleet.Pool) bool {
	return slices.ContainsFunc(p.VMs, func(v *fleet.VM) bool { return v.Permit != nil || v.Maintained })
}

// leases ends and renews leases and does nothing else.
func (c *Controller) leases(ix *fleet.Index) []state.Action {
	actions := placement.Leases(ix, c.config.Placement)
	for i := range actions {
		if actions[i].RenewTasks != nil {
			c.dropMissing(actions[i].RenewTasks, ix.Snap.View)
		}
	}
	return actions
}

// dropMissing takes tasks out of a renewal that the platform does not run, or
// whose end was commanded: their leases lapse.
func (c *Controller) dropMissing(r *state.RenewTasks, view *state.View) {
	missing := c.soft.world.missing
	if len(missing) == 0 {
		return
	}
	if !r.AllExcept {
		r.Tasks = slices.DeleteFunc(r.Tasks, func(id model.TaskID) bool { return missing[id] })
		return
	}
	for id := range missing {
		if view.Tasks[id] != nil && !slices.Contains(r.Tasks, id) {
			r.Tasks = append(r.Tasks, id)
		}
	}
	slices.Sort(r.Tasks)
}

// takeWish records what a task is to give up; the command follows from the
// committed state.
func (c *Controller) takeWish(d *decided, w placement.Wish) {
	t := w.Task
	switch w.Kind {
	case placement.Throttle, placement.Unthrottle:
		if !d.stopped[t.ID] {
			throttled := w.Kind == placement.Throttle
			d.add(state.Action{Reason: w.Reason, UpdateTask: &state.UpdateTask{Task: t.ID, State: t.State, Throttled: throttled}})
		}
	case placement.Checkpoint, placement.Stop:
		if t.Service != "" && !c.mayStopInstance(d, t) {
			return
		}
		d.stop(t, w.Reason)
	}
}

// mayStopInstance asks the budgets, and keeps surge instances that a wave needs.
func (c *Controller) mayStopInstance(d *decided, t *model.Task) bool {
	s := d.ix.Service(t.Service)
	if c.keepSurge(d, s, t) {
		return false
	}
	if ok, _ := d.ledger.MayStop(t); !ok {
		return false
	}
	d.ledger.Stop(t)
	return true
}
