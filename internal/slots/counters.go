package slots

import "github.com/rcrowley/go-metrics"

// counters are the metrics of a dispatcher.
type counters struct {
	granted metrics.Counter
	queued  metrics.Counter
	refused metrics.Counter
	// dropped counts requests that left the queue without a slot.
	dropped   metrics.Counter
	abandoned metrics.Counter
	busy      metrics.Counter
	failed    metrics.Counter
	// borrowCalls and borrowFailed count calls to other entry VMs, lendCalls calls
	// from them.
	borrowCalls  metrics.Counter
	borrowFailed metrics.Counter
	lendCalls    metrics.Counter
	// releasedTwice counts second releases of a grant, violations the violated
	// invariants that a check found.
	releasedTwice metrics.Counter
	violations    metrics.Counter
}

func newCounters(r metrics.Registry) *counters {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("slots."+name, r) }
	return &counters{
		granted:       counter("granted"),
		queued:        counter("queued"),
		refused:       counter("refused"),
		dropped:       counter("dropped"),
		abandoned:     counter("abandoned"),
		busy:          counter("busy"),
		failed:        counter("failed"),
		borrowCalls:   counter("borrow_calls"),
		borrowFailed:  counter("borrow_failed"),
		lendCalls:     counter("lend_calls"),
		releasedTwice: counter("released_twice"),
		violations:    counter("invariants_broken"),
	}
}

// refuse counts a request that got no slot; queued is true if it had waited in
// the queue.
func (c *counters) refuse(queued bool) {
	if queued {
		c.dropped.Inc(1)
		return
	}
	c.refused.Inc(1)
}

// outcome counts an attempt that the instance refused or that failed.
func (c *counters) outcome(o Outcome) {
	switch o {
	case Busy:
		c.busy.Inc(1)
	case Failed:
		c.failed.Inc(1)
	}
}
