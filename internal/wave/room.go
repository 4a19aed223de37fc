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
	// members counts the VMs, out those under a permit that run no job any
	// more, ready those that take work; keep is how many have to stay.
	members, out, ready, keep int
}

const (
	// keepSpare is how many VMs each pool keeps beyond what its running work
	// needs, and keepUrgent how many more a pool with an urgent service does:
	// work that comes while VMs are away must not wait for one.
	keepSpare  = 1
	keepUrgent = 1
)

func (d *decider) newRooms() *rooms {
	r := &rooms{d: d, pools: map[model.PoolID]*room{}}
	for _, demand := range fleet.Demands(d.ix, d.o.Fleet) {
		account := &room{ready: demand.Ready, keep: demand.Hard + keepSpare}
		if urgent(demand.Pool) {
			account.keep += keepUrgent
		}
		for _, v := range demand.Pool.VMs {
			account.add(v)
		}
		r.pools[demand.Pool.Spec.ID] = account
	}
	// Spares need no work to be carried; some of them stay ready for failures.
	spares := &room{}
	for _, v := range d.ix.Spares {
		spares.add(v)
	}
	r.pools[""] = spares
	return r
}

func (r *room) add(v *fleet.VM) {
	if v.Moving() {
		return
	}
	r.members++
	if v.Permit != nil && !runsJob(v) {
		r.out++
	}
}

func runsJob(v *fleet.VM) bool {
	return slices.ContainsFunc(v.Tasks, func(t *model.Task) bool { return t.Job != "" })
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
		return fmt.Sprintf("%d of %d VMs of pool %q are under maintenance", account.out, account.members, v.Pool())
	}
	if v.Block == fleet.Open && account.ready <= account.keep {
		r.d.borrow[v.Pool()] = true
		return fmt.Sprintf("pool %s keeps %d VMs for its work and has %d", v.Pool(), account.keep, account.ready)
	}
	return ""
}

func urgent(p *fleet.Pool) bool {
	return slices.ContainsFunc(p.Services, func(s *fleet.Service) bool { return s.Spec.Priority == model.Urgent })
}

func (r *rooms) take(v *fleet.VM) {
	account := r.pools[v.Pool()]
	if account == nil {
		return
	}
	if !runsJob(v) {
		account.out++
	}
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
	parallel := max(len(r.active), 1)
	for i, v := range r.next {
		if v.Permit != nil {
			continue
		}
		rounds := 1 + i/parallel
		d.soon[v.ID] = d.ix.Now().Add(time.Duration(rounds) * d.o.Cycle)
	}
}
