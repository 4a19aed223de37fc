package placement

import (
	"container/heap"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// planner places the queued jobs of one round.
type planner struct {
	ix      *fleet.Index
	o       Options
	w       *weigher
	held    holds
	rooms   map[model.PoolID]*room
	words   map[reasonKey]string
	starts  int
	reasons int
	actions []state.Action
	wishes  []Wish
	// yielding are the tasks that were asked to yield in this round.
	yielding map[model.TaskID]bool
	// best is the least concession found so far, try the one being worked out.
	best, try *concession
}

func newPlanner(ix *fleet.Index, o Options, held holds) *planner {
	return &planner{
		ix:       ix,
		o:        o,
		w:        &weigher{ix: ix, o: o},
		held:     held,
		rooms:    make(map[model.PoolID]*room),
		words:    make(map[reasonKey]string),
		yielding: make(map[model.TaskID]bool),
		best:     &concession{},
		try:      &concession{},
	}
}

func decideJobs(ix *fleet.Index, o Options, held holds, shortages []Shortage) ([]state.Action, []Wish) {
	if ix.Snap.View.Site == nil {
		return nil, nil
	}
	p := newPlanner(ix, o, held)
	p.reserveInstances(shortages)
	levels := byPriority(ix, o)
	for level := range levels {
		p.placeLevel(&levels[level], level == levelUrgent)
	}
	return p.actions, p.wishes
}

// Arrivals decides about jobs that were submitted after the index was built,
// in their order, without a whole round: the state machine refuses what no
// longer holds. It is for urgent jobs, which should not wait for a round.
func Arrivals(ix *fleet.Index, o Options, jobs ...*model.Job) ([]state.Action, []Wish) {
	if ix.Snap.View.Site == nil {
		return nil, nil
	}
	ix.Arrive(jobs...)
	p := newPlanner(ix, o.withDefaults(), nil)
	for _, j := range jobs {
		if !ix.Started(j.Spec.ID) {
			p.place(j, j.Spec.Priority == model.Urgent)
		}
	}
	return p.actions, p.wishes
}

// placeLevel tries every job of the level. One that can't run now is passed
// over and does not block the next; an urgent one holds room for itself.
func (p *planner) placeLevel(l *lanes, urgent bool) {
	heap.Init(l)
	for l.Len() > 0 && p.starts < p.o.MaxStarts {
		lane, j := l.next()
		if p.place(j, urgent) {
			lane.weigh(p.ix.Total)
		}
		l.settle()
	}
}

func (p *planner) place(j *model.Job, urgent bool) bool {
	r, size, no := p.admit(j)
	if no != Placed {
		p.explain(j, size, no)
		return false
	}
	if s := r.probe(j, size); s != nil {
		p.start(j, s, size, "probe of a quarantined worker")
		return true
	}
	s, no := r.find(p.w, j, size)
	if no == Placed {
		p.start(j, s, size, "")
		return true
	}
	if p.holdRoom(r, j, size, urgent) {
		no = Reserved
	}
	p.explain(j, size, no)
	return false
}

// holdRoom keeps room for a job that found none: batch work yields to an
// urgent one, a normal one gets what becomes free on the VM held for it.
func (p *planner) holdRoom(r *room, j *model.Job, size model.Resources, urgent bool) bool {
	if urgent && p.reserve(r, j, size) {
		return true
	}
	h := p.held[r.pool]
	if h == nil || h.job != j {
		return false
	}
	for _, s := range r.slots {
		if s.vm == h.vm {
			s.held = s.held.Plus(size)
			return true
		}
	}
	return false
}

// admit checks what does not depend on a VM: pool, team, shape and quota. It
// returns the size to place.
func (p *planner) admit(j *model.Job) (*room, model.Resources, No) {
	r := p.room(j.Spec.Pool)
	if r == nil {
		return nil, j.Spec.Declared, UnknownPool
	}
	team := p.ix.Team(j.Spec.Team)
	if team == nil {
		return r, j.Spec.Declared, UnknownTeam
	}
	size, no := r.fitShape(&j.Spec, p.o.Sizes)
	if no == TooLarge && p.spareFits(r, j.Spec.Declared) {
		no = CapacityUnknown
	}
	if no != Placed {
		return r, size, no
	}
	switch {
	case !fleet.WithinQuota(j.Spec.Declared, team.Spec.Quota) && !fleet.WithinQuota(size, team.Spec.Quota):
		return r, j.Spec.Declared, OverQuota
	case !team.Allows(size) && !p.o.Rules.SkipQuota:
		return r, size, QuotaInUse
	}
	return r, size, Placed
}

// spareFits reports whether a shared spare that may join the pool is large enough.
func (p *planner) spareFits(r *room, declared model.Resources) bool {
	for _, v := range p.ix.Spares {
		if fleet.Eligible(r.pool.Spec, v.Listed) && declared.Fits(v.Capacity()) {
			return true
		}
	}
	return false
}

func (p *planner) room(id model.PoolID) *room {
	if r, ok := p.rooms[id]; ok {
		return r
	}
	var r *room
	if pool := p.ix.Pool(id); pool != nil {
		r = newRoom(p.ix, pool, p.o.Rules)
	}
	p.rooms[id] = r
	return r
}

func (p *planner) start(j *model.Job, s *slot, size model.Resources, reason string) {
	task := model.Task{ID: jobTaskID(p.ix, j), Job: j.Spec.ID, Size: size, Priority: j.Spec.Priority}
	a := start(p.ix, s.vm, task, reason)
	p.ix.Plan(a)
	p.actions = append(p.actions, a)
	p.starts++
}

// explain tells a job why it waits, or that it can never run. A job that
// waits for the same reason as before is not written again.
func (p *planner) explain(j *model.Job, size model.Resources, no No) {
	if p.reasons >= p.o.MaxReasons && !no.Never() {
		return
	}
	reason := p.reasonWords(j, size, no)
	if !no.Never() && reason == j.Reason {
		return
	}
	next := model.JobQueued
	if no.Never() {
		next = model.JobUnplaceable
	}
	a := state.Action{Reason: reason, SetJob: &state.SetJob{Job: j.Spec.ID, State: next, Reason: reason}}
	p.ix.Plan(a)
	p.actions = append(p.actions, a)
	p.reasons++
}
