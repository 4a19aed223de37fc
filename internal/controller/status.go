package controller

import (
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/budget"
	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/health"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/wave"
)

// Status is what the last round found, for operators.
type Status struct {
	At   model.Instant `json:"at_ms"`
	Term uint64        `json:"term"`
	// Stale says that the platform's list is too old to act on.
	Stale   bool            `json:"stale"`
	Budgets budget.Report   `json:"budgets"`
	Waves   []wave.Progress `json:"waves,omitempty"`
	// Spares is the arithmetic of the shared spares in words.
	Spares string          `json:"spares,omitempty"`
	Pools  []PoolStatus    `json:"pools"`
	Spared []health.Spared `json:"spared,omitempty"`
	Broken []Broken        `json:"broken,omitempty"`
}

// PoolStatus is one pool's demand in words.
type PoolStatus struct {
	Pool  model.PoolID `json:"pool"`
	VMs   int          `json:"vms"`
	Words string       `json:"words"`
}

// Status returns what the last round found; zero before the first.
func (c *Controller) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Status{Broken: slices.Clone(c.broken)}
	if c.last == nil {
		return s
	}
	d := c.last
	s.At, s.Term, s.Stale = d.at, d.term, d.stale
	s.Budgets = d.ledger.Report()
	s.Waves = wave.ProgressOf(d.ix, d.wave.Waiting, c.config.Wave)
	s.Spares = fleet.SparesNeeded(d.ix, c.config.Fleet).Words()
	s.Spared = d.spared
	for _, demand := range fleet.Demands(d.ix, c.config.Fleet) {
		s.Pools = append(s.Pools, PoolStatus{demand.Pool.Spec.ID, len(demand.Pool.VMs), demand.Words()})
	}
	return s
}

// publish keeps the round for Status; the next round builds its own.
func (c *Controller) publish(d *decided) {
	c.counts.measure(d)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = d
}
