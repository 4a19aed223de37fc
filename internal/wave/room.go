package wave

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// rooms keeps account of how many VMs each pool needs, so that a wave leaves
// room for the work that it displaces.
type rooms struct {
	d     *decider
	pools map[model.PoolID]*room
}

// room is the account of one pool.
type room struct {
	// members counts the VMs, out those under a permit, ready those that take
	// work; hard is how many instances and work that can't yield need.
	members, out, ready, hard int
}

func (d *decider) newRooms() *rooms {
	r := &rooms{d: d, pools: map[model.PoolID]*room{}}
	for _, demand := range fleet.Demands(d.ix, d.o.Fleet) {
		account := &room{ready: demand.Ready, hard: demand.Hard}
		for _, v := range demand.Pool.VMs {
			account.add(v)
		}
		r.pools[demand.Pool.Spec.ID] = account
	}
	return r
}

func (r *room) add(v *fleet.VM) {
	if v.Moving() {
		return
	}
	r.members++
	if v.Permit != nil {
		r.out++
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
	if v.Block == fleet.Open && account.ready <= account.hard {
		return fmt.Sprintf("pool %s needs %d VMs for the work that runs and has %d", v.Pool(), account.hard, account.ready)
	}
	return ""
}

func (r *rooms) take(v *fleet.VM) {
	account := r.pools[v.Pool()]
	if account == nil {
		return
	}
	account.out++
	if v.Block == fleet.Open {
		account.ready--
	}
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
