package caller

import (
	"github.com/rcrowley/go-metrics"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// counters of the request path. Each counts events.
type counters struct {
	verdicts            [3]metrics.Counter
	failures            [3]metrics.Counter
	retries             metrics.Counter
	retriesOverBudget   metrics.Counter
	busy                metrics.Counter
	unresponsive        metrics.Counter
	panics              metrics.Counter
	serverErrors        metrics.Counter
	responsesAborted    metrics.Counter
	claimsGranted       metrics.Counter
	claimsFound         metrics.Counter
	claimsTakenOver     metrics.Counter
	recordErrors        metrics.Counter
	surplusConnections  metrics.Counter
	connectionsRejected metrics.Counter
	violations          metrics.Counter
}

func newCounters(r metrics.Registry) *counters {
	c := &counters{
		retries:             metrics.GetOrRegisterCounter("caller.retries", r),
		retriesOverBudget:   metrics.GetOrRegisterCounter("caller.retries.over_budget", r),
		busy:                metrics.GetOrRegisterCounter("caller.attempts.busy", r),
		unresponsive:        metrics.GetOrRegisterCounter("caller.attempts.silent", r),
		panics:              metrics.GetOrRegisterCounter("caller.panics", r),
		serverErrors:        metrics.GetOrRegisterCounter("caller.server_errors", r),
		responsesAborted:    metrics.GetOrRegisterCounter("caller.answers.aborted", r),
		claimsGranted:       metrics.GetOrRegisterCounter("caller.claims.granted", r),
		claimsFound:         metrics.GetOrRegisterCounter("caller.claims.found", r),
		claimsTakenOver:     metrics.GetOrRegisterCounter("caller.claims.taken_over", r),
		recordErrors:        metrics.GetOrRegisterCounter("caller.claims.settle_errors", r),
		surplusConnections:  metrics.GetOrRegisterCounter("caller.connections.surplus", r),
		connectionsRejected: metrics.GetOrRegisterCounter("caller.connections.turned_away", r),
		violations:          metrics.GetOrRegisterCounter("caller.invariants.broken", r),
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
