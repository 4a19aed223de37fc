package controller

import (
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

// Status returns what the last round found.
func (c *Controller) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.status
	s.Broken = append([]Broken(nil), c.broken...)
	return s
}

func (c *Controller) publish(d *decided) {
	s := Status{
		At: d.at, Term: c.term, Stale: c.stale(d.at),
		Budgets: d.ledger.Report(),
		Waves:   wave.ProgressOf(d.ix, d.wave.Waiting, c.config.Wave),
		Spares:  fleet.SparesNeeded(d.ix, c.config.Fleet).Words(),
		Spared:  d.spared,
	}
	for _, demand := range fleet.Demands(d.ix, c.config.Fleet) {
		s.Pools = append(s.Pools, PoolStatus{demand.Pool.Spec.ID, len(demand.Pool.VMs), demand.Words()})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.status = s
}
