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

// roundDecision collects the decisions of one round.
type roundDecision struct {
	at     model.Instant
	term   uint64
	stale  bool
	ix     *fleet.Index
	ledger *budget.Ledger
	wave   wave.Decision
	// rejected are the suspect workers that are not put into quarantine.
	rejected []health.RejectedQuarantine
	actions  []state.Action
	stopped  map[model.TaskID]bool
	// unevenServices are the services of which an instance has to move to even
	// out their spread.
	unevenServices map[model.ServiceID]bool
	// lostInstances counts, by service, the instances whose VM failed.
	lostInstances map[model.ServiceID]int
	// unmetSurges are the surges for which no VM of the pool is useful.
	unmetSurges map[model.PoolID]wave.Surge
	// heldMoves are the VMs whose move to another pool a budget currently forbids.
	heldMoves []*fleet.VM
}

func (d *roundDecision) add(actions ...state.Action) { d.actions = append(d.actions, actions...) }

// grantedVMs returns the VMs for which the round grants a permit.
func (d *roundDecision) grantedVMs() []model.VMID {
	var vms []model.VMID
	for i := range d.actions {
		if g := d.actions[i].GrantPermit; g != nil {
			vms = append(vms, g.VM)
		}
	}
	return vms
}

func (c *Controller) snapshot() *fleet.Snapshot {
	observed := c.softState.observed
	return &fleet.Snapshot{
		Now:     c.config.Clock(),
		View:    c.config.Log.View(),
		VMs:     observed.listed,
		Serving: c.config.Serving(),
		Region:  c.config.Region,
		Lease:   c.config.Lease,
		Usage:   observed.usage,
		Absent:  observed.absent,
	}
}

func (c *Controller) budgetOptions(now model.Instant) budget.Options {
	return budget.Options{Soak: c.config.RepairSoak, Stale: c.stale(now), Rules: c.config.Rules.Budget}
}

// decide takes all decisions of a round in order; each sees the result of the
// earlier ones.
func (c *Controller) decide() *roundDecision {
	snap := c.snapshot()
	d := &roundDecision{at: snap.Now, term: c.term, stale: c.stale(snap.Now), ix: fleet.NewIndex(snap), stopped: map[model.TaskID]bool{}, unevenServices: map[model.ServiceID]bool{}, unmetSurges: map[model.PoolID]wave.Surge{}, lostInstances: map[model.ServiceID]int{}}
	d.add(c.decideReportedTasks(d.ix)...)
	d.ledger = budget.NewLedger(d.ix, c.budgetOptions(snap.Now))
	if d.stale {
		// The list is too old to decide by: only leases are ended and renewed.
		d.add(c.decideLeases(d.ix)...)
		return d
	}
	c.decideHealth(d)
	c.decideFleet(d)
	c.decideWave(d)
	c.rebalance(d)
	c.decidePlacement(d)
	c.checkDecision(d)
	return d
}

func (c *Controller) decideHealth(d *roundDecision) {
	actions, rejected := health.Decide(d.ix, c.softState.history, c.config.Health)
	d.rejected = rejected
	d.add(actions...)
}

// decideFleet adds the moves between pools that the budgets allow: a VM that
// leaves its pool loses its instances, like a VM under maintenance.
func (c *Controller) decideFleet(d *roundDecision) {
	options := c.config.Fleet
	options.Sizes = c.softState.sizes
	options.MayMove = func(v *fleet.VM) bool {
		if ok, _ := d.ledger.MayTake(v); !ok {
			c.counters.heldMoves.Inc(1)
			d.heldMoves = append(d.heldMoves, v)
			return false
		}
		d.ledger.Take(v)
		return true
	}
	d.add(fleet.Decide(d.ix, options)...)
}

func (c *Controller) decideWave(d *roundDecision) {
	facts := wave.Facts{
		Returned: c.softState.observed.returned(d.ix.Snap.View),
		Remaining: func(j *model.Job, t *model.Task) time.Duration {
			return c.softState.runtimes.remaining(&j.Spec, d.at.Sub(t.Started))
		},
	}
	options := c.config.Wave
	options.Fleet = c.config.Fleet
	options.Fleet.Sizes = c.softState.sizes
	d.wave = wave.Decide(d.ix, d.ledger, facts, options)
	d.add(d.wave.Actions...)
	c.softState.undrain = map[model.VMID]bool{}
	for _, id := range d.wave.Undrain {
		c.softState.undrain[id] = true
	}
	for _, s := range d.wave.Stops {
		d.stop(s.Task, s.Reason)
	}
	d.replaceOutdated()
	c.decideSurge(d)
	c.decideBorrow(d)
	c.resolveStalledWaves(d)
}

func (d *roundDecision) stop(t *model.Task, reason string) {
	if d.stopped[t.ID] || t.State == model.TaskStopping {
		return
	}
	d.stopped[t.ID] = true
	d.add(state.Action{Reason: reason, UpdateTask: &state.UpdateTask{Task: t.ID, State: model.TaskStopping, Throttled: t.Throttled}})
}

func (c *Controller) decidePlacement(d *roundDecision) {
	options := c.config.Placement
	options.Sizes = c.softState.sizes
	options.SoonDrained = d.wave.SoonDrained
	result := placement.Decide(d.ix, options)
	for _, a := range result.Actions {
		c.applyPlacement(d, a)
	}
	for _, p := range result.Planned {
		c.applyPlannedAction(d, p)
	}
}

func (c *Controller) applyPlacement(d *roundDecision, a state.Action) {
	switch {
	case a.RenewTasks != nil:
		c.excludeMissing(a.RenewTasks, d.ix.Snap.View)
	case a.StartTask != nil:
		if !c.mayStart(d, &a.StartTask.Task) {
			return
		}
		c.spreadStart(d, a.StartTask)
	}
	d.add(a)
}

// mayStart reports whether a job may start where it was placed. It keeps jobs
// off VMs that the wave has yet to drain: the jobs would be moved, or would
// delay the drain because they must not be interrupted. They wait, for a limited
// time, for a VM that is done; urgent jobs never wait.
func (c *Controller) mayStart(d *roundDecision, t *model.Task) bool {
	job := d.ix.Job(t.Job)
	if job == nil || t.Priority == model.Urgent {
		return true
	}
	v := d.ix.VM(t.VM)
	p := d.ix.Pool(v.Pool())
	if p == nil || p.Wave == nil || v.Maintained || !waveInProgress(d.ix, p) {
		return true
	}
	if d.at.Sub(job.Changed) > maxSteerWait(t.Priority) {
		return true
	}
	features := c.config.Wave.Features
	displaced := features.DisplaceToDone && job.Moves > 0
	return !displaced && !(features.SteerNew && c.outlastsDrain(d, t, job))
}

// outlastsDrain reports whether a batch job, or a job that must not be
// interrupted, would still run when its VM is drained.
func (c *Controller) outlastsDrain(d *roundDecision, t *model.Task, job *model.Job) bool {
	if t.Priority != model.Batch && job.Spec.Idempotent {
		return false
	}
	drain, known := d.wave.SoonDrained[t.VM]
	return !known || d.at.Add(c.softState.runtimes.expected(&job.Spec)) > drain
}

// maxSteerWait bounds how long a job waits for a VM that is done with the wave.
func maxSteerWait(p model.Priority) time.Duration {
	if p == model.Batch {
		return time.Hour
	}
	return 5 * time.Minute
}

// waveInProgress reports whether a VM of the pool is done or under maintenance,
// so that jobs have a VM to wait for.
func waveInProgress(ix *fleet.Index, p *fleet.Pool) bool {
	return slices.ContainsFunc(p.VMs, func(v *fleet.VM) bool { return v.Permit != nil || v.Maintained })
}

// decideLeases only ends and renews leases.
func (c *Controller) decideLeases(ix *fleet.Index) []state.Action {
	actions := placement.Leases(ix, c.config.Placement)
	for i := range actions {
		if actions[i].RenewTasks != nil {
			c.excludeMissing(actions[i].RenewTasks, ix.Snap.View)
		}
	}
	return actions
}

// excludeMissing removes from a renewal the tasks that the platform does not
// run: their leases lapse.
func (c *Controller) excludeMissing(r *state.RenewTasks, view *state.View) {
	missing := c.softState.observed.missing
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

// applyPlannedAction records that a task is to be throttled, unthrottled or
// stopped; the command follows from the committed state.
func (c *Controller) applyPlannedAction(d *roundDecision, p placement.PlannedAction) {
	t := p.Task
	switch p.Kind {
	case placement.Throttle, placement.Unthrottle:
		if !d.stopped[t.ID] {
			throttled := p.Kind == placement.Throttle
			d.add(state.Action{Reason: p.Reason, UpdateTask: &state.UpdateTask{Task: t.ID, State: t.State, Throttled: throttled}})
		}
	case placement.Checkpoint, placement.Stop:
		if t.Service != "" && !c.mayStopInstance(d, t) {
			return
		}
		d.stop(t, p.Reason)
	}
}

// mayStopInstance reports whether the budgets allow an instance to stop; surge
// instances that are still needed are kept.
func (c *Controller) mayStopInstance(d *roundDecision, t *model.Task) bool {
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
