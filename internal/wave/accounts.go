package wave

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// poolAccounts tracks how many VMs each pool needs, so that a wave leaves enough
// capacity for the work that it displaces.
type poolAccounts struct {
	d     *decider
	pools map[model.PoolID]*poolAccount
}

// poolAccount holds the numbers of VMs of one pool.
type poolAccount struct {
	// members counts the VMs of the pool, unavailable those under a permit that
	// run no job any more, ready those that take work; minReady is how many of
	// the latter must stay.
	members, unavailable, ready, minReady int
}

const (
	// keepSpareVMs is how many VMs each pool keeps beyond what its work needs;
	// keepUrgentVMs is how many more a pool with an urgent service keeps. Work
	// that arrives while VMs are under maintenance must not wait for one.
	keepSpareVMs  = 1
	keepUrgentVMs = 1
)

func (d *decider) newPoolAccounts() *poolAccounts {
	r := &poolAccounts{d: d, pools: map[model.PoolID]*poolAccount{}}
	for _, demand := range fleet.Demands(d.ix, d.o.Fleet) {
		account := &poolAccount{ready: demand.Ready, minReady: demand.Hard + keepSpareVMs}
		if urgent(demand.Pool) {
			account.minReady += keepUrgentVMs
		}
		for _, v := range demand.Pool.VMs {
			account.add(v)
		}
		r.pools[demand.Pool.Spec.ID] = account
	}
	// Spares run no work, so that no minimum applies; MaxShare keeps some of
	// them ready for failures.
	spares := &poolAccount{}
	for _, v := range d.ix.Spares {
		spares.add(v)
	}
	r.pools[""] = spares
	return r
}

func (r *poolAccount) add(v *fleet.VM) {
	if v.Moving() {
		return
	}
	r.members++
	if v.Permit != nil && !runsJob(v) {
		r.unavailable++
	}
}

func runsJob(v *fleet.VM) bool {
	return slices.ContainsFunc(v.Tasks, func(t *model.Task) bool { return t.Job != "" })
}

// mayTake returns why the pool can't do without the VM now; empty when it can.
// No capacity is kept for batch work that can be preempted: it waits.
func (r *poolAccounts) mayTake(v *fleet.VM) string {
	account := r.pools[v.Pool()]
	if account == nil {
		return ""
	}
	maxUnavailable := max(1, int(float64(account.members)*r.d.o.MaxShare))
	if account.unavailable >= maxUnavailable {
		return fmt.Sprintf("%d of %d VMs of pool %q are under maintenance", account.unavailable, account.members, v.Pool())
	}
	if v.Block == fleet.Open && account.ready <= account.minReady {
		r.d.borrow[v.Pool()] = true
		return fmt.Sprintf("pool %s keeps %d VMs for its work and has %d", v.Pool(), account.minReady, account.ready)
	}
	return ""
}

// urgent reports whether a service of the pool is urgent.
func urgent(p *fleet.Pool) bool {
	return slices.ContainsFunc(p.Services, func(s *fleet.Service) bool { return s.Spec.Priority == model.Urgent })
}

func (r *poolAccounts) take(v *fleet.VM) {
	account := r.pools[v.Pool()]
	if account == nil {
		return
	}
	if !runsJob(v) {
		account.unavailable++
	}
	if v.Block == fleet.Open {
		account.ready--
	}
}

// requestSurge requests surge instances where only a budget keeps the next VM
// from being drained. They start elsewhere first, and the instances on the VM
// can then be stopped.
func (d *decider) requestSurge(next []*fleet.VM, accounts *poolAccounts) {
	if !d.o.Features.LargestSet {
		next = next[:1]
	}
	for _, v := range next {
		if accounts.mayTake(v) != "" || d.poolBusy(v) {
			continue
		}
		for service, n := range d.ledger.Shortfalls(v) {
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

// poolBusy reports whether no VM of the pool may be drained because of a busy
// window.
func (d *decider) poolBusy(v *fleet.VM) bool {
	p := d.ix.Pool(v.Pool())
	return p != nil && d.o.Features.RespectBusy && d.inBusyWindow(p)
}

// estimateDrains estimates when the VMs yet to be drained will be, from the
// number of VMs under maintenance at the same time.
func (d *decider) estimateDrains(r *waveState) {
	if !d.o.Features.SteerNew {
		return
	}
	parallel := max(len(r.active), 1)
	for i, v := range r.next {
		if v.Permit != nil {
			continue
		}
		rounds := 1 + i/parallel
		d.expectedDrains[v.ID] = d.ix.Now().Add(time.Duration(rounds) * d.o.Cycle)
	}
}
