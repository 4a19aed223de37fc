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
	// adviceTimeout bounds one request beyond the time that the advisor takes for its
	// decision. It answers this VM's requests one after another.
	adviceTimeout = 3 * time.Second
	// perWorkerShare is the largest share of the time in which a plan may rely on a ticket
	// that the advisor takes for the workers of a request, after its decision. The rest is
	// for the starts.
	perWorkerShare = 0.5
	// adviceRetryPause is the pause after a request without a reply.
	adviceRetryPause = 200 * time.Millisecond
)

// maxNeedsPerRequest bounds the steps whose need is determined for one request.
const maxNeedsPerRequest = 8

// runAdvice asks the advisor what the plans need, one request at a time.
func (d *Dispatcher) runAdvice(ctx context.Context) {
	for ctx.Err() == nil {
		need, ok := d.nextNeed()
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

// nextNeed returns what to ask next. Among the steps whose turn is next, one that could
// start now is preferred.
func (d *Dispatcher) nextNeed() (need schedule.AdviceNeed, ok bool) {
	for range maxNeedsPerRequest {
		step, waits := d.advice.next()
		if !waits {
			break
		}
		switch of := d.needOf(step); {
		case len(of.Workers) == 0:
			d.advice.rest(step)
		case of.Startable:
			return of, true
		case !ok:
			need, ok = of, true
		}
	}
	return need, ok
}

func (d *Dispatcher) needOf(step schedule.StepRef) (need schedule.AdviceNeed) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.config.Machine.Read(func(t *workload.Tables) {
		now := d.now()
		workers, _ := d.workerStates(t, now)
		need = schedule.Need(schedule.Input{
			Tables: t, Workers: workers, Advice: d.advice.get, Overdue: d.overdueSuspects(now), NowMS: d.config.WallMS(), MaxStarts: maxStarts,
		}, step)
	})
	return need
}

// seekAdvice asks the advisor about the workers of a need: about as many as one request
// names, or about all of them if they are needed together. It returns false if a request
// got no reply.
func (d *Dispatcher) seekAdvice(ctx context.Context, need schedule.AdviceNeed) bool {
	terms, ok := d.adviceTermsOf(need.Step)
	if !ok {
		return true // the job or its pool is gone since the plan
	}
	workers := need.Workers
	if !need.Together {
		workers = workers[:min(len(workers), terms.maxWorkers())]
	}
	for request := range slices.Chunk(workers, terms.maxWorkers()) {
		if !d.requestAdvice(ctx, need.Step, terms, request) {
			return false
		}
		d.wakeUp()
	}
	return true
}

// adviceTerms is what the configuration says about the advisor of a queue.
type adviceTerms struct {
	decision, perWorker, valid time.Duration
	// pool counts the workers of the queue's pool.
	pool int
}

// adviceTermsOf returns false if the step needs no advice any more.
func (d *Dispatcher) adviceTermsOf(step schedule.StepRef) (terms adviceTerms, ok bool) {
	d.config.Machine.Read(func(t *workload.Tables) {
		job := t.Jobs[step.Job]
		if job == nil || job.State.Final() {
			return
		}
		queue := t.Queues[job.Queue]
		if queue == nil || queue.Advisor == nil {
			return
		}
		a, ms := queue.Advisor, time.Millisecond
		terms = adviceTerms{
			decision: time.Duration(a.DecisionMS) * ms, perWorker: time.Duration(a.PerWorkerMS) * ms, valid: time.Duration(a.ValidMS) * ms,
			pool: len(workersOfPool(t, queue.Pool)),
		}
		ok = true
	})
	return terms, ok
}

// duration returns how long the advisor takes for a request about some workers.
func (t *adviceTerms) duration(workers int) time.Duration {
	return t.decision + time.Duration(workers)*t.perWorker
}

// maxWorkers returns how many workers a request may name so that enough of the life of
// their tickets is left once it is answered.
func (t *adviceTerms) maxWorkers() int {
	if t.perWorker <= 0 || t.valid <= 0 {
		return maxAdviceWorkers
	}
	usable := plannedShare*float64(t.valid) - float64(t.decision)
	return max(1, min(maxAdviceWorkers, int(perWorkerShare*usable/float64(t.perWorker))))
}

// requestAdvice makes one request. It returns false if it got no reply.
func (d *Dispatcher) requestAdvice(ctx context.Context, step schedule.StepRef, terms adviceTerms, workers []workload.WorkerID) bool {
	ctx, cancel := context.WithTimeout(ctx, adviceTimeout+terms.duration(len(workers)))
	defer cancel()
	sentAt := d.now()
	reply, err := d.config.Advisor.Advise(ctx, step, workers)
	d.counters.adviceCalls.Inc(1)
	if err != nil {
		d.counters.adviceFailures.Inc(1)
		d.config.Logger.WithField("job", string(step.Job)).WithField("step", step.Step).WithError(err).Warn("advisor does not answer")
		return false
	}
	if reply.Valid <= 0 {
		reply.Valid = terms.valid
	}
	d.logAdvice(step, terms.pool, len(workers), &reply, d.now()-sentAt)
	d.advice.put(step, workers, reply, sentAt)
	return true
}
