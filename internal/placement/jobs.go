package placement

import (
	"container/heap"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// planner places the queued jobs of one round.
type planner struct {
	ix          *fleet.Index
	o           Options
	scorer      *scorer
	held        holds
	pools       map[model.PoolID]*poolState
	reasonTexts map[reasonKey]string
	starts      int
	reasons     int
	actions     []state.Action
	planned     []PlannedAction
	// preempted are the tasks preempted in this round.
	preempted map[model.TaskID]bool
	// best is the cheapest preemption found so far, current the one being
	// computed.
	best, current *preemption
}

func newPlanner(ix *fleet.Index, o Options, held holds) *planner {
	return &planner{
		ix:          ix,
		o:           o,
		scorer:      &scorer{ix: ix, o: o},
		held:        held,
		pools:       make(map[model.PoolID]*poolState),
		reasonTexts: make(map[reasonKey]string),
		preempted:   make(map[model.TaskID]bool),
		best:        &preemption{},
		current:     &preemption{},
	}
}

func decideJobs(ix *fleet.Index, o Options, held holds, shortages []Shortage) ([]state.Action, []PlannedAction) {
	if ix.Snap.View.Site == nil {
		return nil, nil
	}
	p := newPlanner(ix, o, held)
	p.reserveForInstances(shortages)
	levels := byPriority(ix, o)
	for level := range levels {
		p.placeLevel(&levels[level], level == levelUrgent)
	}
	return p.actions, p.planned
}

// Arrivals decides about jobs that were submitted after the index was built, in
// their order and without a whole round; the state machine refuses actions that
// no longer apply. It is for urgent jobs, which should not wait for a round.
func Arrivals(ix *fleet.Index, o Options, jobs ...*model.Job) ([]state.Action, []PlannedAction) {
	if ix.Snap.View.Site == nil {
		return nil, nil
	}
	ix.AddNewJobs(jobs...)
	p := newPlanner(ix, o.withDefaults(), nil)
	for _, j := range jobs {
		if !ix.StartPlanned(j.Spec.ID) {
			p.place(j, j.Spec.Priority == model.Urgent)
		}
	}
	return p.actions, p.planned
}

// placeLevel tries every job of the level. A job that can't run now does not
// block the next; an urgent one reserves capacity for itself.
func (p *planner) placeLevel(l *lanes, urgent bool) {
	heap.Init(l)
	for l.Len() > 0 && p.starts < p.o.MaxStarts {
		lane, j := l.next()
		if p.place(j, urgent) {
			lane.updateShare(p.ix.Total)
		}
		l.restoreOrder()
	}
}

func (p *planner) place(j *model.Job, urgent bool) bool {
	ps, size, reject := p.admit(j)
	if reject != Placed {
		p.recordReason(j, size, reject)
		return false
	}
	if vs := ps.takeProbe(j, size); vs != nil {
		p.start(j, vs, size, "probe of a quarantined worker")
		return true
	}
	vs, reject := ps.selectVM(p.scorer, j, size)
	if reject == Placed {
		p.start(j, vs, size, "")
		return true
	}
	if p.reserveCapacity(ps, j, size, urgent) {
		reject = Reserved
	}
	p.recordReason(j, size, reject)
	return false
}

// reserveCapacity reserves capacity for a job that found none: an urgent job
// preempts batch work. If that is not possible, or the job is not urgent, it
// gets what becomes free on the VM held for it, if any.
func (p *planner) reserveCapacity(ps *poolState, j *model.Job, size model.Resources, urgent bool) bool {
	if urgent && p.reserveForJob(ps, j, size) {
		return true
	}
	h := p.held[ps.pool]
	if h == nil || h.job != j {
		return false
	}
	for _, vs := range ps.vms {
		if vs.vm == h.vm {
			vs.reserved = vs.reserved.Plus(size)
			return true
		}
	}
	return false
}

// admit checks what does not depend on a VM: pool, team, size and quota. It
// returns the size to place.
func (p *planner) admit(j *model.Job) (*poolState, model.Resources, RejectReason) {
	ps := p.pool(j.Spec.Pool)
	if ps == nil {
		return nil, j.Spec.Declared, UnknownPool
	}
	team := p.ix.Team(j.Spec.Team)
	if team == nil {
		return ps, j.Spec.Declared, UnknownTeam
	}
	size, reject := ps.sizeFor(&j.Spec, p.o.Sizes)
	if reject == TooLarge && p.spareFits(ps, j.Spec.Declared) {
		reject = CapacityUnknown
	}
	if reject != Placed {
		return ps, size, reject
	}
	switch {
	case !fleet.WithinQuota(j.Spec.Declared, team.Spec.Quota) && !fleet.WithinQuota(size, team.Spec.Quota):
		return ps, j.Spec.Declared, OverQuota
	case !team.Allows(size) && !p.o.Rules.SkipQuota:
		return ps, size, QuotaInUse
	}
	return ps, size, Placed
}

// spareFits reports whether a shared spare that may join the pool is large
// enough.
func (p *planner) spareFits(ps *poolState, declared model.Resources) bool {
	for _, v := range p.ix.Spares {
		if fleet.Eligible(ps.pool.Spec, v.Listed) && declared.Fits(v.Capacity()) {
			return true
		}
	}
	return false
}

func (p *planner) pool(id model.PoolID) *poolState {
	if ps, ok := p.pools[id]; ok {
		return ps
	}
	var ps *poolState
	if pool := p.ix.Pool(id); pool != nil {
		ps = newPoolState(p.ix, pool, p.o.Rules)
	}
	p.pools[id] = ps
	return ps
}

func (p *planner) start(j *model.Job, vs *vmState, size model.Resources, reason string) {
	task := model.Task{ID: jobTaskID(p.ix, j), Job: j.Spec.ID, Size: size, Priority: j.Spec.Priority}
	a := start(p.ix, vs.vm, task, reason)
	p.ix.Plan(a)
	p.actions = append(p.actions, a)
	p.starts++
}

// recordReason records in the job's state why it waits, or that it can never
// run. A waiting job whose reason did not change is not written again.
func (p *planner) recordReason(j *model.Job, size model.Resources, reject RejectReason) {
	if p.reasons >= p.o.MaxReasons && !reject.Permanent() {
		return
	}
	reason := p.reasonText(j, size, reject)
	if !reject.Permanent() && reason == j.Reason {
		return
	}
	next := model.JobQueued
	if reject.Permanent() {
		next = model.JobUnplaceable
	}
	a := state.Action{Reason: reason, SetJob: &state.SetJob{Job: j.Spec.ID, State: next, Reason: reason}}
	p.ix.Plan(a)
	p.actions = append(p.actions, a)
	p.reasons++
}
