package wave

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// run is the account of one wave in one round.
type run struct {
	wave *model.Wave
	// next are the VMs that are yet to be drained, in the order of grants.
	next []*fleet.VM
	// active are the VMs under a permit of the wave.
	active []*fleet.VM
	// zone is the availability zone that the wave works in; -1 for none.
	zone  int
	total int
	done  int
}

// grantAll commits permits for the VMs that the budgets let go now.
func (d *decider) grantAll() {
	site := d.ix.Snap.View.Site
	held := d.correlated()
	rooms := d.newRooms()
	for i := range site.Waves {
		w := &site.Waves[i]
		if w.Start > d.ix.Now() {
			continue
		}
		r := d.survey(w)
		if len(r.next) == 0 {
			continue
		}
		for _, v := range r.next {
			d.keepSurge[v.Pool()] = true
		}
		if held != "" {
			d.waiting[w.ID] = held
			continue
		}
		d.order(r)
		d.grantRun(r, rooms)
		d.expect(r)
	}
}

// survey finds which VMs of a wave are done, under way and yet to come.
func (d *decider) survey(w *model.Wave) *run {
	r := &run{wave: w, zone: -1}
	for _, id := range w.Pools {
		p := d.ix.Pool(id)
		if p == nil {
			continue
		}
		for _, v := range p.VMs {
			d.surveyVM(r, v)
		}
	}
	// Shared spares belong to no pool; every wave goes through them.
	for _, v := range d.ix.Spares {
		d.surveyVM(r, v)
	}
	return r
}

func (d *decider) surveyVM(r *run, v *fleet.VM) {
	r.total++
	switch {
	case state.WaveDone(r.wave, d.ix.Snap.View.Maintained[v.ID]):
		r.done++
	case v.Permit != nil:
		if v.Permit.Wave == r.wave.ID {
			r.active = append(r.active, v)
			r.zone = v.Zone
		}
	case v.Healthy() && !v.Moving():
		r.next = append(r.next, v)
	}
}

func (d *decider) grantRun(r *run, rooms *rooms) {
	why := ""
	for i, v := range r.next {
		if reason := d.mayGrant(r, v, rooms); reason != "" {
			if why == "" {
				why = reason
				d.wantSurge(r.next[i:], rooms)
			}
			continue
		}
		d.grant(r, v, rooms)
	}
	if len(r.active) == 0 || why != "" {
		d.waiting[r.wave.ID] = why
	}
}

// mayGrant says why a VM may not be granted now; empty when it may.
func (d *decider) mayGrant(r *run, v *fleet.VM, rooms *rooms) string {
	if !d.o.Ideas.LargestSet && len(r.active) > 0 {
		return "one VM at a time"
	}
	if r.wave.MaxParallel > 0 && len(r.active) >= r.wave.MaxParallel {
		return fmt.Sprintf("%d VMs are under maintenance, which is the wave's most", len(r.active))
	}
	if d.poolBusy(v) {
		return fmt.Sprintf("pool %s is in its busy window", v.Pool())
	}
	if d.o.Rules.IgnoreBudget {
		return ""
	}
	if ok, why := d.ledger.MayTake(v); !ok {
		return why
	}
	return rooms.mayTake(v)
}

func (d *decider) grant(r *run, v *fleet.VM, rooms *rooms) {
	reason := fmt.Sprintf("wave %s: no budget forbids it; %d of %d done, %d under way", r.wave.ID, r.done, r.total, len(r.active))
	rooms.take(v)
	d.ledger.Take(v)
	d.add(state.Action{Reason: reason, GrantPermit: &state.GrantPermit{VM: v.ID, Wave: r.wave.ID, BootID: v.Listed.BootID}})
	r.active = append(r.active, v)
	r.zone = v.Zone
}

// order sorts the VMs that are yet to be drained.
func (d *decider) order(r *run) {
	cost := d.costs(r)
	zones := d.zoneRanks(r)
	slices.SortStableFunc(r.next, func(a, b *fleet.VM) int {
		return cmp.Or(
			cmp.Compare(d.rank(a), d.rank(b)),
			cmp.Compare(cost.wait[a], cost.wait[b]),
			cmp.Compare(zones[a.Zone], zones[b.Zone]),
			cmp.Compare(cost.rack[a.Rack], cost.rack[b.Rack]),
			cmp.Compare(a.Zone, b.Zone),
			cmp.Compare(a.Rack, b.Rack),
			cmp.Compare(cost.move[a], cost.move[b]),
			cmp.Compare(a.ID, b.ID),
		)
	})
}

// zoneRanks puts the availability zone that the wave works in first, then the
// one with the most VMs to come. With all drained VMs in one zone, the loss of
// that zone takes nothing more, and the loss of another finds all others whole.
func (d *decider) zoneRanks(r *run) map[int]int {
	if !d.o.Ideas.LargestSet {
		return nil
	}
	ranks := map[int]int{}
	for _, v := range r.next {
		ranks[v.Zone]--
	}
	if _, some := ranks[r.zone]; some {
		ranks[r.zone] -= len(r.next) + 1
	}
	return ranks
}

// rank puts spares first, because they carry nothing and are then ready to
// take the work of others, and the VMs of pools with urgent services last.
func (d *decider) rank(v *fleet.VM) int {
	p := d.ix.Pool(v.Pool())
	switch {
	case p == nil && d.o.Ideas.OrderByCost:
		return 0
	case p == nil || !d.o.Ideas.RespectBusy:
		return 1
	}
	if urgent(p) {
		return 2
	}
	return 1
}

// costs weighs what draining VMs would take.
type costs struct {
	// wait is how long a drain would wait for tasks that must not be cut, in
	// steps of NearEnd.
	wait map[*fleet.VM]int
	// move is the work that would be displaced, in seconds; rack is its mean
	// by rack, so that whole racks go first.
	move map[*fleet.VM]float64
	rack map[int]float64
}

// costs are all 0 without the idea, which leaves the fixed order.
func (d *decider) costs(r *run) costs {
	c := costs{wait: map[*fleet.VM]int{}, move: map[*fleet.VM]float64{}, rack: map[int]float64{}}
	if !d.o.Ideas.OrderByCost {
		return c
	}
	count := map[int]float64{}
	patience := d.patience(r.wave.ID)
	for _, v := range r.next {
		for _, t := range v.Tasks {
			wait, move := d.taskCost(t, patience)
			c.wait[v] = max(c.wait[v], int(wait/d.o.NearEnd))
			c.move[v] += move
		}
		c.rack[v.Rack] += c.move[v]
		count[v.Rack]++
	}
	for rack := range c.rack {
		c.rack[rack] /= count[rack]
	}
	return c
}

const (
	// instanceCost and checkpointCost stand, in seconds, for the restart of an
	// instance and for going on from a checkpoint.
	instanceCost   = 30
	checkpointCost = 30
)

// taskCost is how long a drain would wait for a task, and the work in seconds
// that would be lost if it were stopped.
func (d *decider) taskCost(t *model.Task, patience time.Duration) (wait time.Duration, move float64) {
	job := d.ix.Job(t.Job)
	if job == nil {
		return 0, instanceCost
	}
	left := d.remaining(job, t)
	switch {
	case t.Priority == model.Urgent || !job.Spec.Idempotent || left <= patience:
		return left, 0
	case job.Spec.Checkpoints:
		return 0, checkpointCost
	default:
		return 0, d.ix.Now().Sub(t.Started).Seconds()
	}
}
