package dispatch

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/schedule"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// adviceCache holds the advisor's replies of a term and the steps that need more of them.
// Whether a worker may run a step never changes; only its ticket expires.
type adviceCache struct {
	mu    sync.Mutex
	steps map[schedule.StepRef]*stepAdvice
	// waiting are the steps of the last plan that need advice and whose need has not been
	// determined since.
	waiting []schedule.StepRef
	wake    chan struct{}
	now     func() time.Duration
}

// stepAdvice is what is known about one step.
type stepAdvice struct {
	permits map[workload.WorkerID]permit
	// waitingSince is when the step last had its turn, or when it was first needed.
	// Before restsUntil it gets none, as the advisor can't help.
	waitingSince, restsUntil time.Duration
	// view is what plans read; it is renewed at staleAt, when a ticket expires.
	view    *schedule.Advice
	staleAt time.Duration
}

// permit is the reply about one worker. The ticket is empty if the worker must not run
// the step. Plans rely on it until plannedUntil, orders until validUntil.
type permit struct {
	ticket                   string
	plannedUntil, validUntil time.Duration
}

const (
	// forever is the end of what does not expire.
	forever time.Duration = math.MaxInt64
	// unclearDenialTime is how long a worker without a ticket counts as denied after an
	// unclear reply.
	unclearDenialTime = 10 * time.Second
	// adviceRest is how long a step gets no turn after one in which there was nothing to
	// ask. A worker that has joined is noticed afterwards.
	adviceRest = time.Second
)

// plannedShare is the share of a ticket's life in which a plan may rely on it. An order
// must still reach the worker afterwards.
const plannedShare = 0.8

func newAdviceCache(now func() time.Duration) *adviceCache {
	return &adviceCache{steps: map[schedule.StepRef]*stepAdvice{}, wake: make(chan struct{}, 1), now: now}
}

// get returns what is known about a step, nil if it is nothing.
func (a *adviceCache) get(step schedule.StepRef) *schedule.Advice {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.steps[step]
	if s == nil || len(s.permits) == 0 {
		return nil
	}
	now := a.now()
	if s.view == nil || now >= s.staleAt {
		s.renewView(now)
	}
	return s.view
}

func (s *stepAdvice) renewView(now time.Duration) {
	s.view = &schedule.Advice{
		Tickets: map[workload.WorkerID]string{}, Expired: map[workload.WorkerID]time.Duration{}, Denied: map[workload.WorkerID]bool{},
	}
	s.staleAt = forever
	for id, p := range s.permits {
		valid := now < p.plannedUntil
		if valid {
			s.staleAt = min(s.staleAt, p.plannedUntil)
		}
		switch {
		case valid && p.ticket == "":
			s.view.Denied[id] = true
		case valid:
			s.view.Tickets[id] = p.ticket
		case p.ticket != "":
			s.view.Expired[id] = p.plannedUntil
		}
	}
}

// ticket returns the ticket for an order, "" if there is no valid one.
func (a *adviceCache) ticket(step schedule.StepRef, worker workload.WorkerID) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	if s := a.steps[step]; s != nil && now < s.permits[worker].validUntil {
		return s.permits[worker].ticket
	}
	return ""
}

// setWaiting replaces the steps that need advice by those of a new plan.
func (a *adviceCache) setWaiting(steps []schedule.StepRef) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting = steps
	for _, step := range steps {
		a.stepOf(step)
	}
	if len(steps) > 0 {
		notify(a.wake)
	}
}

func (a *adviceCache) stepOf(step schedule.StepRef) *stepAdvice {
	s := a.steps[step]
	if s == nil {
		s = &stepAdvice{permits: map[workload.WorkerID]permit{}, waitingSince: a.now()}
		a.steps[step] = s
	}
	return s
}

// next returns the step whose turn it is: the one that has waited for the longest. It has
// no other turn before the next plan.
func (a *adviceCache) next() (step schedule.StepRef, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now, at := a.now(), -1
	for i, candidate := range a.waiting {
		s := a.stepOf(candidate)
		if now >= s.restsUntil && (at < 0 || s.waitingSince < a.stepOf(a.waiting[at]).waitingSince) {
			at = i
		}
	}
	if at < 0 {
		return schedule.StepRef{}, false
	}
	step = a.waiting[at]
	a.waiting = slices.Concat(a.waiting[:at], a.waiting[at+1:])
	a.stepOf(step).waitingSince = now
	return step, true
}

// rest has a step get no turn for a while, or until a ticket of it expires.
func (a *adviceCache) rest(step schedule.StepRef) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s, now := a.stepOf(step), a.now()
	s.restsUntil = now + adviceRest
	if s.view != nil && s.staleAt > now {
		s.restsUntil = min(s.restsUntil, s.staleAt)
	}
}

// put records a reply to a request that was sent at a time about some workers.
func (a *adviceCache) put(step schedule.StepRef, asked []workload.WorkerID, reply AdvisorReply, sentAt time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.stepOf(step)
	planned := time.Duration(plannedShare * float64(reply.Valid))
	for _, id := range asked {
		switch ticket := reply.Tickets[id]; {
		case ticket != "":
			s.permits[id] = permit{ticket: ticket, plannedUntil: sentAt + planned, validUntil: sentAt + reply.Valid}
		case reply.Unclear:
			s.permits[id] = permit{plannedUntil: sentAt + unclearDenialTime}
		default:
			s.permits[id] = permit{plannedUntil: forever}
		}
	}
	s.view, s.waitingSince = nil, a.now()
}

// reject forgets a ticket that its worker refused. The worker gets no start of the step for
// a while, and the advisor is asked about it again.
func (a *adviceCache) reject(step schedule.StepRef, worker workload.WorkerID, ticket string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s := a.steps[step]; s != nil && ticket != "" && s.permits[worker].ticket == ticket {
		s.permits[worker] = permit{plannedUntil: a.now() + refusalBackoff}
		s.view = nil
	}
}

// prune drops the steps and workers that are gone.
func (a *adviceCache) prune(t *workload.Tables) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for step, s := range a.steps {
		job := t.Jobs[step.Job]
		if job == nil || job.State.Final() || job.Find(step.Occurrence) == nil {
			delete(a.steps, step)
			continue
		}
		for id := range s.permits {
			if t.Workers[id] == nil {
				delete(s.permits, id)
				s.view = nil
			}
		}
	}
}
