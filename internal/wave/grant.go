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

// waveState is the state of one wave in one round.
type waveState struct {
	wave *model.Wave
	// next holds the VMs that are yet to be drained, in the order of grants.
	next []*fleet.VM
	// active holds the VMs under a permit of the wave.
	active []*fleet.VM
	// zone is the availability zone in which the wave drains VMs now; -1 for none.
	zone  int
	total int
	done  int
}

// grantAll grants permits for the VMs that may be drained now.
func (d *decider) grantAll() {
	site := d.ix.Snap.View.Site
	held := d.correlatedFailure()
	accounts := d.newPoolAccounts()
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
		d.grantWave(r, accounts)
		d.estimateDrains(r)
	}
}

// survey counts the VMs of a wave that are done and collects those under a
// permit and those yet to be drained.
func (d *decider) survey(w *model.Wave) *waveState {
	r := &waveState{wave: w, zone: -1}
	for _, id := range w.Pools {
		p := d.ix.Pool(id)
		if p == nil {
			continue
		}
		for _, v := range p.VMs {
			d.surveyVM(r, v)
		}
	}
	// Shared spares belong to no pool; every wave includes them.
	for _, v := range d.ix.Spares {
		d.surveyVM(r, v)
	}
	return r
}

func (d *decider) surveyVM(r *waveState, v *fleet.VM) {
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

func (d *decider) grantWave(r *waveState, accounts *poolAccounts) {
	why := ""
	for i, v := range r.next {
		if reason := d.mayGrant(r, v, accounts); reason != "" {
			if why == "" {
				why = reason
				d.requestSurge(r.next[i:], accounts)
			}
			continue
		}
		d.grant(r, v, accounts)
	}
	if len(r.active) == 0 || why != "" {
		d.waiting[r.wave.ID] = why
	}
}

// mayGrant returns why a VM may not be granted a permit now; empty when it may.
func (d *decider) mayGrant(r *waveState, v *fleet.VM, accounts *poolAccounts) string {
	if !d.o.Features.LargestSet && len(r.active) > 0 {
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
	return accounts.mayTake(v)
}

func (d *decider) grant(r *waveState, v *fleet.VM, accounts *poolAccounts) {
	reason := fmt.Sprintf("wave %s: no budget forbids it; %d of %d done, %d under way", r.wave.ID, r.done, r.total, len(r.active))
	accounts.take(v)
	d.ledger.Take(v)
	d.add(state.Action{Reason: reason, GrantPermit: &state.GrantPermit{VM: v.ID, Wave: r.wave.ID, BootID: v.Listed.BootID}})
	r.active = append(r.active, v)
	r.zone = v.Zone
}

// order sorts the VMs that are yet to be drained.
func (d *decider) order(r *waveState) {
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

// zoneRanks puts the availability zone in which VMs are being drained first,
// then the one with the most VMs to drain. With all drained VMs in one zone, a
// loss of that zone overlaps with the drains; when another zone is lost, the
// remaining ones have no VM drained.
func (d *decider) zoneRanks(r *waveState) map[int]int {
	if !d.o.Features.LargestSet {
		return nil
	}
	ranks := map[int]int{}
	for _, v := range r.next {
		ranks[v.Zone]--
	}
	if _, found := ranks[r.zone]; found {
		ranks[r.zone] -= len(r.next) + 1
	}
	return ranks
}

// rank puts spares first, because they run nothing and can then take the work
// of other VMs, and the VMs of pools with urgent services last.
func (d *decider) rank(v *fleet.VM) int {
	p := d.ix.Pool(v.Pool())
	switch {
	case p == nil && d.o.Features.OrderByCost:
		return 0
	case p == nil || !d.o.Features.RespectBusy:
		return 1
	}
	if urgent(p) {
		return 2
	}
	return 1
}

// costs holds the estimated cost of draining VMs.
type costs struct {
	// wait is how long a drain would wait for tasks, in steps of NearEnd.
	wait map[*fleet.VM]int
	// move is the work that would be lost by stopping tasks, in seconds; rack is
	// its mean by rack, so that the VMs of a rack are drained together.
	move map[*fleet.VM]float64
	rack map[int]float64
}

// costs estimates the costs of the VMs yet to be drained. They are all 0
// without OrderByCost, which leaves the fixed order.
func (d *decider) costs(r *waveState) costs {
	c := costs{wait: map[*fleet.VM]int{}, move: map[*fleet.VM]float64{}, rack: map[int]float64{}}
	if !d.o.Features.OrderByCost {
		return c
	}
	count := map[int]float64{}
	waitThreshold := d.waitThreshold(r.wave.ID)
	for _, v := range r.next {
		for _, t := range v.Tasks {
			wait, move := d.taskCost(t, waitThreshold)
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
	// instanceCostSeconds and checkpointCostSeconds are the costs of restarting
	// an instance and of resuming a task from a checkpoint.
	instanceCostSeconds   = 30
	checkpointCostSeconds = 30
)

// taskCost returns how long a drain would wait for a task, and the work in
// seconds that stopping it would lose.
func (d *decider) taskCost(t *model.Task, waitThreshold time.Duration) (wait time.Duration, move float64) {
	job := d.ix.Job(t.Job)
	if job == nil {
		return 0, instanceCostSeconds
	}
	left := d.remaining(job, t)
	switch {
	case t.Priority == model.Urgent || !job.Spec.Idempotent || left <= waitThreshold:
		return left, 0
	case job.Spec.Checkpoints:
		return 0, checkpointCostSeconds
	default:
		return 0, d.ix.Now().Sub(t.Started).Seconds()
	}
}
