package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/schedule"
	"github.com/comfreyloom/comfreyloom/internal/steady"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

const (
	// maxAdviceWorkers bounds the workers that one request to the advisor names.
	maxAdviceWorkers = 100
	// adviceTimeout bounds one request. The advisor takes some time per worker
	// named and answers this VM's requests one after another.
	adviceTimeout = 3 * time.Second
	// adviceRetryPause is the pause after a request without a reply.
	adviceRetryPause = 200 * time.Millisecond
	// maxAdviceQueue bounds the queued requests.
	maxAdviceQueue = 512
)

// Advisor is the service that decides which workers may run a step.
type Advisor interface {
	// Advise returns the workers that may run the step with their tickets, and for
	// how long the tickets are valid.
	Advise(ctx context.Context, step schedule.StepRef, workers []workload.WorkerID) (schedule.Advice, time.Duration, error)
}

// adviceCache holds the advisor's replies. A ticket is dropped shortly before
// it becomes invalid, so that an order can still reach the worker with it.
type adviceCache struct {
	mu        sync.Mutex
	entries   map[schedule.StepRef]cachedAdvice
	requested map[schedule.StepRef]bool
	queue     []schedule.StepRef
	wake      chan struct{}
	now       func() time.Duration
}

type cachedAdvice struct {
	advice schedule.Advice
	until  time.Duration
}

func newAdviceCache() *adviceCache {
	return &adviceCache{
		entries: map[schedule.StepRef]cachedAdvice{}, requested: map[schedule.StepRef]bool{},
		wake: make(chan struct{}, 1), now: func() time.Duration { return 0 },
	}
}

// get returns valid advice, or nil if there is none.
func (a *adviceCache) get(step schedule.StepRef) *schedule.Advice {
	a.mu.Lock()
	defer a.mu.Unlock()
	entry, ok := a.entries[step]
	if !ok || a.now() > entry.until {
		return nil
	}
	return &entry.advice
}

func (a *adviceCache) ticket(step schedule.StepRef, worker workload.WorkerID) string {
	if advice := a.get(step); advice != nil {
		return advice.Tickets[worker]
	}
	return ""
}

func (a *adviceCache) request(steps []schedule.StepRef) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range steps {
		if !a.requested[s] && len(a.queue) < maxAdviceQueue {
			a.requested[s] = true
			a.queue = append(a.queue, s)
			notify(a.wake)
		}
	}
}

func (a *adviceCache) next() (schedule.StepRef, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.queue) == 0 {
		return schedule.StepRef{}, false
	}
	s := a.queue[0]
	a.queue = slices.Delete(a.queue, 0, 1)
	return s, true
}

func (a *adviceCache) put(step schedule.StepRef, advice schedule.Advice, until time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.requested, step)
	if advice.Tickets != nil {
		a.entries[step] = cachedAdvice{advice: advice, until: until}
	}
	for s, entry := range a.entries {
		if a.now() > entry.until {
			delete(a.entries, s)
		}
	}
}

// runAdvice sends the queued requests to the advisor, one at a time.
func (d *Dispatcher) runAdvice(ctx context.Context) {
	d.advice.now = d.now
	for ctx.Err() == nil {
		step, ok := d.advice.next()
		if !ok {
			select {
			case <-d.advice.wake:
			case <-ctx.Done():
			}
			continue
		}
		d.requestAdvice(ctx, step)
	}
}

// requestAdvice requests the advice for one step and caches it for 80 % of the
// time for which it is valid.
func (d *Dispatcher) requestAdvice(ctx context.Context, step schedule.StepRef) {
	var workers []workload.WorkerID
	d.config.Machine.Read(func(t *workload.Tables) {
		job := t.Jobs[step.Job]
		if job == nil || job.State.Final() || t.Queues[job.Queue] == nil {
			return
		}
		workers = workersOfPool(t, t.Queues[job.Queue].Pool)
	})
	if len(workers) == 0 || d.config.Advisor == nil {
		d.advice.put(step, schedule.Advice{}, 0)
		return
	}
	limited, cancel := context.WithTimeout(ctx, adviceTimeout)
	defer cancel()
	requestedAt := d.now()
	advice, valid, err := d.config.Advisor.Advise(limited, step, workers[:min(len(workers), maxAdviceWorkers)])
	d.counters.adviceCalls.Inc(1)
	if err != nil {
		d.counters.adviceFailures.Inc(1)
		d.config.Logger.WithField("job", string(step.Job)).WithError(err).Warn("advisor does not answer")
		steady.Pause(ctx, adviceRetryPause)
		d.advice.put(step, schedule.Advice{}, 0)
	} else {
		d.logAdvice(step, len(workers), min(len(workers), maxAdviceWorkers), len(advice.Tickets), valid, d.now()-requestedAt)
		d.advice.put(step, advice, requestedAt+valid*8/10)
	}
	d.wakeUp()
}
