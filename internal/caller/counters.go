package caller

import (
	"github.com/rcrowley/go-metrics"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// counters of the caller path. Each names an event, not a rate.
type counters struct {
	verdicts     [3]metrics.Counter
	failures     [3]metrics.Counter
	retries      metrics.Counter
	noBudget     metrics.Counter
	busy         metrics.Counter
	silent       metrics.Counter
	panics       metrics.Counter
	serverErrors metrics.Counter
	aborted      metrics.Counter
	claims       metrics.Counter
	replayed     metrics.Counter
	takeovers    metrics.Counter
	settleErrors metrics.Counter
	surplus      metrics.Counter
	turnedAway   metrics.Counter
	broken       metrics.Counter
}

func newCounters(r metrics.Registry) *counters {
	c := &counters{
		retries:      metrics.GetOrRegisterCounter("caller.retries", r),
		noBudget:     metrics.GetOrRegisterCounter("caller.retries.over_budget", r),
		busy:         metrics.GetOrRegisterCounter("caller.attempts.busy", r),
		silent:       metrics.GetOrRegisterCounter("caller.attempts.silent", r),
		panics:       metrics.GetOrRegisterCounter("caller.panics", r),
		serverErrors: metrics.GetOrRegisterCounter("caller.server_errors", r),
		aborted:      metrics.GetOrRegisterCounter("caller.answers.aborted", r),
		claims:       metrics.GetOrRegisterCounter("caller.claims.granted", r),
		replayed:     metrics.GetOrRegisterCounter("caller.claims.found", r),
		takeovers:    metrics.GetOrRegisterCounter("caller.claims.taken_over", r),
		settleErrors: metrics.GetOrRegisterCounter("caller.claims.settle_errors", r),
		surplus:      metrics.GetOrRegisterCounter("caller.connections.surplus", r),
		turnedAway:   metrics.GetOrRegisterCounter("caller.connections.turned_away", r),
		broken:       metrics.GetOrRegisterCounter("caller.invariants.broken", r),
	}
	for _, v := range []model.Verdict{model.NotRun, model.MayHaveRun, model.Ran} {
		c.verdicts[v] = metrics.GetOrRegisterCounter("caller.verdict."+v.String(), r)
		c.failures[v] = metrics.GetOrRegisterCounter("caller.failures."+v.String(), r)
	}
	return c
}

func (c *counters) failure(f *failure) {
	c.failures[f.verdict].Inc(1)
	c.verdicts[f.verdict].Inc(1)
}
