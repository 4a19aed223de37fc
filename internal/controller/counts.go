package controller

import "github.com/rcrowley/go-metrics"

// counters holds the controller's metrics.
type counters struct {
	registry metrics.Registry
	failedRounds, skippedRounds, actions, refusedActions, heldMoves,
	commands, refusedCommands, commandsNotRun, commandsUnknown, failedObservations metrics.Counter
	// permits, minRemaining and stale are gauges of the last full round.
	// minRemaining is the smallest remainder of any service's budget.
	permits, minRemaining, stale metrics.Gauge
}

func newCounters(r metrics.Registry) counters {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("controller."+name, r) }
	gauge := func(name string) metrics.Gauge { return metrics.GetOrRegisterGauge("controller."+name, r) }
	return counters{
		permits:            gauge("permits"),
		minRemaining:       gauge("budget.least_left"),
		stale:              gauge("platform.stale"),
		registry:           r,
		failedRounds:       counter("rounds.failed"),
		skippedRounds:      counter("rounds.quiet"),
		actions:            counter("actions"),
		refusedActions:     counter("actions.refused"),
		heldMoves:          counter("moves.held"),
		commands:           counter("commands"),
		refusedCommands:    counter("commands.refused"),
		commandsNotRun:     counter("commands.not_run"),
		commandsUnknown:    counter("commands.unknown"),
		failedObservations: counter("platform.unobserved"),
	}
}

// observationSucceeded reports whether an observation succeeded, and counts it
// if it failed.
func (c *counters) observationSucceeded(err error) bool {
	if err != nil {
		c.failedObservations.Inc(1)
	}
	return err == nil
}

// countViolation counts a violated invariant under its name.
func (c *counters) countViolation(invariant string) {
	metrics.GetOrRegisterCounter("invariant.broken."+invariant, c.registry).Inc(1)
}

// setGauges updates the gauges from a round.
func (c *counters) setGauges(d *roundDecision) {
	c.permits.Update(int64(len(d.ix.Snap.View.Permits)))
	c.minRemaining.Update(int64(d.ledger.MinRemaining()))
	c.stale.Update(0)
	if d.stale {
		c.stale.Update(1)
	}
}
