package slots

import "github.com/rcrowley/go-metrics"

// counters are the figures of a dispatcher.
type counters struct {
	granted   metrics.Counter
	queued    metrics.Counter
	refused   metrics.Counter
	shed      metrics.Counter
	expired   metrics.Counter
	abandoned metrics.Counter
	busy      metrics.Counter
	failed    metrics.Counter
	// twice counts grants that were released a second time, broken the
	// invariants that a check found broken.
	twice  metrics.Counter
	broken metrics.Counter
}

func newCounters(r metrics.Registry) *counters {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("slots."+name, r) }
	return &counters{
		granted:   counter("granted"),
		queued:    counter("queued"),
		refused:   counter("refused"),
		shed:      counter("shed"),
		expired:   counter("expired"),
		abandoned: counter("abandoned"),
		busy:      counter("busy"),
		failed:    counter("failed"),
		twice:     counter("released_twice"),
		broken:    counter("invariants_broken"),
	}
}

func (c *counters) outcome(o Outcome) {
	switch o {
	case Busy:
		c.busy.Inc(1)
	case Failed:
		c.failed.Inc(1)
	}
}
