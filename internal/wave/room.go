package wave

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// fillLimit is the share of the remaining VMs that work may be planned to
// fill: tasks do not pack without gaps.
const fillLimit = 0.9

// rooms keeps account of what each pool's VMs can carry, so that a wave
// leaves room for the work that it displaces.
type rooms struct {
	d     *decider
	pools map[model.PoolID]*room
}

// room is the account of one pool.
type room struct {
	members, out int
	open, need   model.Resources
}

func (d *decider) newRooms() *rooms {
	r := &rooms{d: d, pools: map[model.PoolID]*room{}}
	demands := fleet.Demands(d.ix, fleet.Options{})
	for _, demand := range demands {
		p := demand.Pool
		account := &room{need: demand.Instances.Plus(demand.Running).Plus(demand.Urgent)}
		for _, v := range p.VMs {
			account.add(v)
		}
		r.pools[p.Spec.ID] = account
	}
	return r
}

func (r *room) add(v *fleet.VM) {
	if v.Moving() {
		return
	}
	r.members++
	switch {
	case v.Permit != nil:
		r.out++
	case v.Block == fleet.Open:
		r.open = r.open.Plus(v.Capacity())
	}
}

// mayTake says why the pool can't do without the VM now; empty when it can.
// Batch work that yields needs no room: it waits, which is what it is for.
func (r *rooms) mayTake(v *fleet.VM) string {
	account := r.pools[v.Pool()]
	if account == nil {
		return ""
	}
	most := max(1, int(float64(account.members)*r.d.o.MaxShare))
	if account.out >= most {
		return fmt.Sprintf("%d of %d VMs of pool %s are under maintenance", account.out, account.members, v.Pool())
	}
	after := account.open.Minus(v.Capacity())
	if !account.need.Scale(1 / fillLimit).Fits(after) {
		return fmt.Sprintf("pool %s needs VM %s for the work that runs", v.Pool(), v.ID)
	}
	return ""
}

func (r *rooms) take(v *fleet.VM) {
	account := r.pools[v.Pool()]
	if account == nil {
		return
	}
	account.out++
	account.open = account.open.Minus(v.Capacity())
}

// wantSurge asks for instances beyond the number of their service where only
// a budget keeps the next VM from being drained: they start elsewhere first,
// and the VM's own can then be spared.
func (d *decider) wantSurge(next []*fleet.VM, rooms *rooms) {
	if !d.o.Ideas.LargestSet {
		next = next[:1]
	}
	for _, v := range next {
		if rooms.mayTake(v) != "" || d.poolBusy(v) {
			continue
		}
		for service, n := range d.ledger.Missing(v) {
			if _, other := d.surge[service]; !other {
				d.surge[service] = Surge{Service: service, Target: v.ID, Count: n}
			}
		}
	}
}

func (d *decider) surges() []Surge {
	all := make([]Surge, 0, len(d.surge))
	for _, s := range d.surge {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b Surge) int { return cmp.Compare(a.Service, b.Service) })
	return all
}

func (d *decider) poolBusy(v *fleet.VM) bool {
	p := d.ix.Pool(v.Pool())
	return p != nil && d.o.Ideas.RespectBusy && d.busy(p)
}

// expect says when the VMs yet to come will be drained, from how many are
// under maintenance at a time.
func (d *decider) expect(r *run) {
	if !d.o.Ideas.SteerNew {
		return
	}
	abreast := max(len(r.active), 1)
	for i, v := range r.next {
		if v.Permit != nil {
			continue
		}
		rounds := 1 + i/abreast
		d.soon[v.ID] = d.ix.Now().Add(time.Duration(rounds) * d.o.Cycle)
	}
}
