package fleet

import (
	"fmt"
	"slices"
	"strings"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Spares is how many shared spares the site needs to absorb the loss of its
// worst rack on top of what is away now, with the terms of the sum.
type Spares struct {
	// Needed is the sum of Terms; Have counts the ready spares outside the
	// worst rack that fit a term.
	Needed, Have int
	// Rack is the worst rack; empty when no loss leaves a pool short.
	Rack string
	// Permits counts the permits in flight: their VMs are not ready, and so
	// are part of the shortfalls.
	Permits int
	// Terms are the pools that the loss leaves short.
	Terms []SpareTerm
	// Ready counts all ready spares.
	Ready int
}

// SpareTerm is what one pool lacks when the rack is lost.
type SpareTerm struct {
	Pool model.PoolID
	// Hard is what instances and work that can't yield need, Ready what the
	// pool has, InRack what it would lose, Shortfall what it would lack.
	Hard, Ready, InRack, Shortfall int
}

// Balance is how many spares are missing; below 0 as many are left over.
func (s *Spares) Balance() int {
	if s.Needed > s.Have {
		return s.Needed - s.Have
	}
	return s.Needed - s.Ready
}

// Words gives the arithmetic for status.
func (s *Spares) Words() string {
	if s.Needed == 0 {
		return fmt.Sprintf("0 spares needed: every pool holds the loss of any one rack by itself; %d ready", s.Ready)
	}
	terms := make([]string, len(s.Terms))
	for i, t := range s.Terms {
		terms[i] = fmt.Sprintf("pool %s %d-(%d-%d)=%d", t.Pool, t.Hard, t.Ready, t.InRack, t.Shortfall)
	}
	return fmt.Sprintf("%d spares needed if rack %s is lost (%s; %d permits in flight); %d of %d ready spares fit",
		s.Needed, s.Rack, strings.Join(terms, ", "), s.Permits, s.Have, s.Ready)
}

// SparesNeeded works out the spares for the worst single rack.
func SparesNeeded(ix *Index, o Options) *Spares {
	o = o.withDefaults()
	return sparesNeeded(ix, o, Demands(ix, o))
}

// rackLoss is what the pools would lose with one rack.
type rackLoss struct {
	rack  int
	pools []poolLoss
}

type poolLoss struct {
	demand *Demand
	vms    int
}

func sparesNeeded(ix *Index, o Options, demands []*Demand) *Spares {
	ready := slices.DeleteFunc(slices.Clone(ix.Spares), func(v *VM) bool { return !SpareReady(v) })
	// The first loss is of no rack: what is short already.
	worst := weighLoss(ix, rackLoss{rack: -1}, demands, ready)
	for _, loss := range rackLosses(ix, demands) {
		s := weighLoss(ix, loss, demands, ready)
		if s.Needed-s.Have > worst.Needed-worst.Have || s.Needed-s.Have == worst.Needed-worst.Have && s.Needed > worst.Needed {
			worst = s
		}
	}
	worst.Ready = len(ready)
	worst.Permits = len(ix.Snap.View.Permits)
	return worst
}

func rackLosses(ix *Index, demands []*Demand) []rackLoss {
	losses := make([]rackLoss, len(ix.Racks))
	for i := range losses {
		losses[i].rack = i
	}
	for _, d := range demands {
		for _, v := range d.Pool.VMs {
			if v.Block == Open {
				losses[v.Rack].add(d)
			}
		}
	}
	return losses
}

// add counts one VM of the pool; demands come pool by pool.
func (l *rackLoss) add(d *Demand) {
	if n := len(l.pools); n > 0 && l.pools[n-1].demand == d {
		l.pools[n-1].vms++
		return
	}
	l.pools = append(l.pools, poolLoss{demand: d, vms: 1})
}

// weighLoss sums what the pools would lack, and how many ready spares outside
// the rack could fill it.
func weighLoss(ix *Index, loss rackLoss, demands []*Demand, ready []*VM) *Spares {
	s := &Spares{}
	if loss.rack >= 0 {
		s.Rack = ix.Racks[loss.rack]
	}
	taken := make([]bool, len(ready))
	next := 0
	for _, d := range demands {
		lost := 0
		if next < len(loss.pools) && loss.pools[next].demand == d {
			lost = loss.pools[next].vms
			next++
		}
		short := d.Hard - (d.Ready - lost)
		if short <= 0 {
			continue
		}
		s.Needed += short
		s.Terms = append(s.Terms, SpareTerm{d.Pool.Spec.ID, d.Hard, d.Ready, lost, short})
		s.Have += fit(d.Pool.Spec, short, loss.rack, ready, taken)
	}
	return s
}

// fit takes up to n ready spares outside the rack for the pool.
func fit(p *model.Pool, n, rack int, ready []*VM, taken []bool) int {
	got := 0
	for i, v := range ready {
		if got == n {
			break
		}
		if taken[i] || v.Rack == rack || !Eligible(p, v.Listed) {
			continue
		}
		taken[i] = true
		got++
	}
	return got
}
