package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/schedule"
	"github.com/comfreyloom/comfreyloom/internal/steady"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// Advisor is the service that decides which workers may run a step.
type Advisor interface {
	// Advise returns the tickets of those of the workers that may run the step.
	Advise(ctx context.Context, step schedule.StepRef, workers []workload.WorkerID) (AdvisorReply, error)
}

// AdvisorReply is the advisor's reply about some workers.
type AdvisorReply struct {
	// Tickets holds the workers that may run the step, with their tickets.
	Tickets map[workload.WorkerID]string
	// Valid is how long the tickets are valid.
	Valid time.Duration
	// Unclear is set when a part of the reply can't be read. It may have held a ticket.
	Unclear bool
}

const (
	// maxAdviceWorkers bounds the workers that one request to the advisor names.
	maxAdviceWorkers = 100
	// adviceTimeout bounds one request. The advisor takes some time per worker
	// named and answers this VM's requests one after another.
	adviceTimeout = 3 * time.Second
	// adviceRetryPause is the pause after a request without a reply.
	adviceRetryPause = 200 * time.Millisecond
)

// runAdvice asks the advisor what the plans need, one request at a time.
func (d *Dispatcher) runAdvice(ctx context.Context) {
	for ctx.Err() == nil {
		need, ok := d.advice.next()
		if !ok {
			select {
			case <-d.advice.wake:
			case <-ctx.Done():
			}
			continue
		}
		if !d.seekAdvice(ctx, need) {
			steady.Pause(ctx, adviceRetryPause)
		}
	}
}

// seekAdvice asks the advisor about the workers of a need: about as many as one request
// names, or about all of them if they are needed together. It returns false if a request
// got no reply.
func (d *Dispatcher) seekAdvice(ctx context.Context, need schedule.AdviceNeed) bool {
	workers := need.Workers
	if !need.Together {
		workers = workers[:min(len(workers), maxAdviceWorkers)]
	}
	for request := range slices.Chunk(workers, maxAdviceWorkers) {
		if !d.requestAdvice(ctx, need.Step, request) {
			return false
		}
		d.wakeUp()
	}
	return true
}

// requestAdvice makes one request. It returns false if it got no reply.
func (d *Dispatcher) requestAdvice(ctx context.Context, step schedule.StepRef, workers []workload.WorkerID) bool {
	pool := 0
	d.config.Machine.Read(func(t *workload.Tables) {
		if job := t.Jobs[step.Job]; job != nil && !job.State.Final() && t.Queues[job.Queue] != nil {
			pool = len(workersOfPool(t, t.Queues[job.Queue].Pool))
		}
	})
	if pool == 0 {
		return true // the job or its pool is gone since the plan
	}
	ctx, cancel := context.WithTimeout(ctx, adviceTimeout)
	defer cancel()
	sentAt := d.now()
	reply, err := d.config.Advisor.Advise(ctx, step, workers)
	d.counters.adviceCalls.Inc(1)
	if err != nil {
		d.counters.adviceFailures.Inc(1)
		d.config.Logger.WithField("job", string(step.Job)).WithField("step", step.Step).WithError(err).Warn("advisor does not answer")
		return false
	}
	d.logAdvice(step, pool, len(workers), &reply, d.now()-sentAt)
	d.advice.put(step, workers, reply, sentAt)
	return true
}
