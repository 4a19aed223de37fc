package controller

import "github.com/rcrowley/go-metrics"

// counts are the controller's counters.
type counts struct {
	registry metrics.Registry
	failedRounds, quiet, actions, refused, heldMoves,
	commands, refusedCommands, notRun, unknown, unobserved metrics.Counter
	// permits, leastLeft and stale are gauges of the last full round:
	// leastLeft is what is left of the budget that has least.
	permits, leastLeft, stale metrics.Gauge
}

func newCounts(r metrics.Registry) counts {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("controller."+name, r) }
	gauge := func(name string) metrics.Gauge { return metrics.GetOrRegisterGauge("controller."+name, r) }
	return counts{
		permits:         gauge("permits"),
		leastLeft:       gauge("budget.least_left"),
		stale:           gauge("platform.stale"),
		registry:        r,
		failedRounds:    counter("rounds.failed"),
		quiet:           counter("rounds.quiet"),
		actions:         counter("actions"),
		refused:         counter("actions.refused"),
		heldMoves:       counter("moves.held"),
		commands:        counter("commands"),
		refusedCommands: counter("commands.refused"),
		notRun:          counter("commands.not_run"),
		unknown:         counter("commands.unknown"),
		unobserved:      counter("platform.unobserved"),
	}
}

// observed counts a failed observation and reports whether there is one.
func (c *counts) observed(err error) bool {
	if err != nil {
		c.unobserved.Inc(1)
	}
	return err == nil
}

// broken counts a broken invariant under its name.
func (c *counts) broken(invariant string) {
	metrics.GetOrRegisterCounter("invariant.broken."+invariant, c.registry).Inc(1)
}

// measure sets the gauges.
func (c *counts) measure(d *decided) {
	c.permits.Update(int64(len(d.ix.Snap.View.Permits)))
	c.leastLeft.Update(int64(d.ledger.LeastLeft()))
	c.stale.Update(0)
	if d.stale {
		c.stale.Update(1)
	}
}
