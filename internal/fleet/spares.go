package fleet

import (
	"fmt"
	"slices"
	"strings"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Spares holds how many shared spares the site needs to absorb the loss of its
// worst rack in addition to the VMs that are unavailable now, and how this is
// made up.
type Spares struct {
	// Needed is the sum of the shortfalls in Terms; Fitting counts the ready
	// spares outside the worst rack that can cover them.
	Needed, Fitting int
	// Rack is the worst rack; empty when no loss of a rack adds to the shortfall.
	Rack string
	// Permits counts the permits in flight: their VMs are not ready, and so
	// are part of the shortfalls.
	Permits int
	// Terms are the pools that the loss leaves short.
	Terms []SpareTerm
	// Ready counts all ready spares.
	Ready int
}

// SpareTerm is the shortfall of one pool when the rack is lost.
type SpareTerm struct {
	Pool model.PoolID
	// All count VMs: Hard is the pool's Demand.Hard, Ready what the pool has,
	// InRack what it would lose, Shortfall what would then be missing.
	Hard, Ready, InRack, Shortfall int
}

// Shortage returns how many spares are missing. A negative value is the number
// of spares beyond those needed.
func (s *Spares) Shortage() int {
	if s.Needed > s.Fitting {
		return s.Needed - s.Fitting
	}
	return s.Needed - s.Ready
}

// Describe summarizes the calculation in one line for status.
func (s *Spares) Describe() string {
	if s.Needed == 0 {
		return fmt.Sprintf("0 spares needed: every pool holds the loss of any one rack by itself; %d ready", s.Ready)
	}
	terms := make([]string, len(s.Terms))
	for i, t := range s.Terms {
		terms[i] = fmt.Sprintf("pool %s %d-(%d-%d)=%d", t.Pool, t.Hard, t.Ready, t.InRack, t.Shortfall)
	}
	return fmt.Sprintf("%d spares needed if rack %s is lost (%s; %d permits in flight); %d of %d ready spares fit",
		s.Needed, s.Rack, strings.Join(terms, ", "), s.Permits, s.Fitting, s.Ready)
}

// SparesNeeded computes the spares needed for the loss of the worst rack.
func SparesNeeded(ix *Index, o Options) *Spares {
	o = o.withDefaults()
	return sparesNeeded(ix, o, Demands(ix, o))
}

// rackLoss holds how many ready VMs each pool would lose with one rack.
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
	// Start with the loss of no rack, which is the present shortfall.
	worst := sparesForLoss(ix, rackLoss{rack: -1}, demands, ready)
	for _, loss := range rackLosses(ix, demands) {
		s := sparesForLoss(ix, loss, demands, ready)
		if s.Needed-s.Fitting > worst.Needed-worst.Fitting || s.Needed-s.Fitting == worst.Needed-worst.Fitting && s.Needed > worst.Needed {
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

// add counts one VM of the pool. Calls for the same pool must be consecutive.
func (l *rackLoss) add(d *Demand) {
	if n := len(l.pools); n > 0 && l.pools[n-1].demand == d {
		l.pools[n-1].vms++
		return
	}
	l.pools = append(l.pools, poolLoss{demand: d, vms: 1})
}

// sparesForLoss adds up the shortfalls of the pools and counts the ready spares
// outside the rack that could cover them.
func sparesForLoss(ix *Index, loss rackLoss, demands []*Demand, ready []*VM) *Spares {
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
		s.Fitting += takeFitting(d.Pool.Spec, short, loss.rack, ready, taken)
	}
	return s
}

// takeFitting takes up to n ready spares outside the rack that are eligible for
// the pool, and returns their number.
func takeFitting(p *model.Pool, n, rack int, ready []*VM, taken []bool) int {
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
