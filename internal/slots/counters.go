package slots

import "github.com/rcrowley/go-metrics"

// counters are the figures of a dispatcher.
type counters struct {
	granted metrics.Counter
	queued  metrics.Counter
	refused metrics.Counter
	// dropped were in the queue and left it unrun.
	dropped   metrics.Counter
	abandoned metrics.Counter
	busy      metrics.Counter
	failed    metrics.Counter
	// calls to and from other entry VMs.
	borrowCalls  metrics.Counter
	borrowFailed metrics.Counter
	lendCalls    metrics.Counter
	// twice counts grants that were released a second time, broken the
	// invariants that a check found broken.
	twice  metrics.Counter
	broken metrics.Counter
}

func newCounters(r metrics.Registry) *counters {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("slots."+name, r) }
	return &counters{
		granted:      counter("granted"),
		queued:       counter("queued"),
		refused:      counter("refused"),
		dropped:      counter("dropped"),
		abandoned:    counter("abandoned"),
		busy:         counter("busy"),
		failed:       counter("failed"),
		borrowCalls:  counter("borrow_calls"),
		borrowFailed: counter("borrow_failed"),
		lendCalls:    counter("lend_calls"),
		twice:        counter("released_twice"),
		broken:       counter("invariants_broken"),
	}
}

// refuse counts a request that got no slot; queued says that it had waited.
func (c *counters) refuse(queued bool) {
	if queued {
		c.dropped.Inc(1)
		return
	}
	c.refused.Inc(1)
}

func (c *counters) outcome(o Outcome) {
	switch o {
	case Busy:
		c.busy.Inc(1)
	case Failed:
		c.failed.Inc(1)
	}
}
