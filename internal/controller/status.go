package controller

import (
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/budget"
	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/health"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/wave"
)

// Status is the result of the last round, for operators.
type Status struct {
	At   model.Instant `json:"at_ms"`
	Term uint64        `json:"term"`
	// Stale is set when the platform's list is too old to act on.
	Stale   bool            `json:"stale"`
	Budgets budget.Report   `json:"budgets"`
	Waves   []wave.Progress `json:"waves,omitempty"`
	// Spares describes how the number of shared spares is computed.
	Spares string       `json:"spares,omitempty"`
	Pools  []PoolStatus `json:"pools"`
	// RejectedQuarantines are the suspect workers that are not put into quarantine.
	RejectedQuarantines []health.RejectedQuarantine `json:"spared,omitempty"`
	Violations          []Violation                 `json:"broken,omitempty"`
}

// PoolStatus describes a pool's demand.
type PoolStatus struct {
	Pool        model.PoolID `json:"pool"`
	VMs         int          `json:"vms"`
	Description string       `json:"words"`
}

// Status returns the result of the last round; before the first, only the
// violations are set.
func (c *Controller) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Status{Violations: slices.Clone(c.violations)}
	if c.lastRound == nil {
		return s
	}
	d := c.lastRound
	s.At, s.Term, s.Stale = d.at, d.term, d.stale
	s.Budgets = d.ledger.Report()
	s.Waves = wave.ProgressOf(d.ix, d.wave.Waiting, c.config.Wave)
	s.Spares = fleet.SparesNeeded(d.ix, c.config.Fleet).Describe()
	s.RejectedQuarantines = d.rejected
	for _, demand := range fleet.Demands(d.ix, c.config.Fleet) {
		s.Pools = append(s.Pools, PoolStatus{demand.Pool.Spec.ID, len(demand.Pool.VMs), demand.Describe()})
	}
	return s
}

// publish makes the round available to Status. Later rounds don't modify it.
func (c *Controller) publish(d *roundDecision) {
	c.counters.setGauges(d)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastRound = d
}
