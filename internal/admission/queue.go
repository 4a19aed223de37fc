package admission

import (
	"container/list"
	"fmt"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Options tune a queue. Zero values take the defaults.
type Options struct {
	// AgeingAfter is when batch work counts as old.
	AgeingAfter time.Duration
	// AgeingEvery: while batch work is old, one in so many requests that are
	// not urgent is batch.
	AgeingEvery int
	// Rules switches rules off; for tests only.
	Rules Rules
}

// Rules names the rules that tests switch off one by one.
type Rules struct {
	// IgnorePriority serves in order of arrival.
	IgnorePriority bool
	// RunExpired runs requests whose deadline has passed.
	RunExpired bool
	// KeepHopeless lets requests wait that can't start before their deadline.
	KeepHopeless bool
	// ShedNewcomer refuses the newcomer when the queue is full, whatever waits.
	ShedNewcomer bool
}

// Defaults of Options.
const (
	DefaultAgeingAfter = time.Second
	DefaultAgeingEvery = 8
)

// Bounds of RetryAfter.
const (
	MinRetryAfter = 100 * time.Millisecond
	MaxRetryAfter = time.Minute
)

// hopelessFactor is how far the estimate of a waiting request must miss its
// deadline until it is given up; the estimate is a mean and errs.
const hopelessFactor = 1.5

// Ticket is one request in the queue.
type Ticket[T any] struct {
	Value    T
	Priority model.Priority
	Deadline model.Instant
	Entered  model.Instant
	place    *list.Element
}

// Refusal says why a request was given up and when to come back.
type Refusal struct {
	Reason     string
	RetryAfter time.Duration
}

// Error returns the reason.
func (r *Refusal) Error() string { return r.Reason }

// Dropped is a ticket that left the queue unrun.
type Dropped[T any] struct {
	Ticket  *Ticket[T]
	Refusal *Refusal
}

// Queue holds the waiting requests of one service.
type Queue[T any] struct {
	options Options
	rate    Rate
	classes [3]list.List // batch, normal, urgent
	length  int
	// turns counts what was taken, urgent apart, since batch last was.
	turns int
}

// NewQueue returns an empty queue.
func NewQueue[T any](o Options) *Queue[T] {
	if o.AgeingAfter <= 0 {
		o.AgeingAfter = DefaultAgeingAfter
	}
	if o.AgeingEvery <= 0 {
		o.AgeingEvery = DefaultAgeingEvery
	}
	return &Queue[T]{options: o}
}

const classes = 3

// Class is the index of a priority, 0 for batch to 2 for urgent.
func Class(p model.Priority) int { return int(min(max(p, model.Batch), model.Urgent)) + 1 }

// Len is the number of requests that wait.
func (q *Queue[T]) Len() int { return q.length }

// Waiting is the number of requests of one priority that wait.
func (q *Queue[T]) Waiting(p model.Priority) int { return q.classes[Class(p)].Len() }

// Expired reports whether a request must not run any more.
func (q *Queue[T]) Expired(t *Ticket[T], now model.Instant) bool {
	return now >= t.Deadline && !q.options.Rules.RunExpired
}

// Rate returns the queue's estimate of the service rate.
func (q *Queue[T]) Rate() *Rate { return &q.rate }

// Offer enters a request. Slots is how many requests run at once and capacity
// bounds the queue. It returns the ticket, or why the request is refused; and
// the ticket that had to go for it, which must get its final answer at once.
func (q *Queue[T]) Offer(t *Ticket[T], slots, capacity int, now model.Instant) (*Refusal, *Dropped[T]) {
	t.Entered = now
	if now >= t.Deadline {
		return q.refuse("the deadline has passed", slots), nil
	}
	wait := q.rate.Wait(q.ahead(t.Priority), slots)
	if !q.options.Rules.KeepHopeless && now.Add(wait) > t.Deadline {
		return q.refuse(fmt.Sprintf("no slot is expected before the deadline (%s in the queue)", wait.Round(time.Millisecond)), slots), nil
	}
	var shed *Dropped[T]
	if q.length >= capacity {
		victim := q.victim(t.Priority)
		if victim == nil {
			return q.refuse(fmt.Sprintf("the queue is full (%d requests)", q.length), slots), nil
		}
		q.Remove(victim)
		shed = &Dropped[T]{victim, q.refuse("shed for a request of higher priority", slots)}
	}
	t.place = q.list(t.Priority).PushBack(t)
	q.length++
	return nil, shed
}

func (q *Queue[T]) list(p model.Priority) *list.List {
	if q.options.Rules.IgnorePriority {
		return &q.classes[Class(model.Normal)]
	}
	return &q.classes[Class(p)]
}

// ahead counts the requests that go before a new one of priority p.
func (q *Queue[T]) ahead(p model.Priority) int {
	ahead := 0
	for c := Class(p); c < classes; c++ {
		ahead += q.classes[c].Len()
	}
	return ahead
}

// victim is the newest request of the lowest priority below p.
func (q *Queue[T]) victim(p model.Priority) *Ticket[T] {
	if q.options.Rules.ShedNewcomer {
		return nil
	}
	for c := 0; c < Class(p); c++ {
		if last := q.classes[c].Back(); last != nil {
			return last.Value.(*Ticket[T])
		}
	}
	return nil
}

// refuse computes when to come back: when what waits now should be done.
func (q *Queue[T]) refuse(reason string, slots int) *Refusal {
	wait := q.rate.Wait(q.length, slots)
	return &Refusal{Reason: reason, RetryAfter: min(max(wait, MinRetryAfter), MaxRetryAfter)}
}

// Remove takes a ticket out of the queue; it reports false when it was not in.
func (q *Queue[T]) Remove(t *Ticket[T]) bool {
	if t.place == nil {
		return false
	}
	q.list(t.Priority).Remove(t.place)
	t.place = nil
	q.length--
	return true
}

// Each calls f for the waiting tickets in the order in which they should run,
// until f returns false. F may take the ticket that it was called with.
func (q *Queue[T]) Each(now model.Instant, f func(t *Ticket[T]) bool) {
	if old := q.oldBatch(now); old != nil && q.classes[Class(model.Urgent)].Len() == 0 {
		if !f(old) {
			return
		}
	}
	for c := classes - 1; c >= 0; c-- {
		for at := q.classes[c].Front(); at != nil; {
			next := at.Next()
			if !f(at.Value.(*Ticket[T])) {
				return
			}
			at = next
		}
	}
}

// First returns the request that should run next, or nil.
func (q *Queue[T]) First(now model.Instant) *Ticket[T] {
	var first *Ticket[T]
	q.Each(now, func(t *Ticket[T]) bool {
		first = t
		return false
	})
	return first
}

// Oldest returns when the oldest waiting request of a priority came.
func (q *Queue[T]) Oldest(p model.Priority) (model.Instant, bool) {
	first := q.list(p).Front()
	if first == nil {
		return 0, false
	}
	return first.Value.(*Ticket[T]).Entered, true
}

// oldBatch is the batch request whose turn has come by age: without this
// floor a steady stream of normal requests would starve batch work. Urgent
// requests never wait for it.
func (q *Queue[T]) oldBatch(now model.Instant) *Ticket[T] {
	first := q.classes[Class(model.Batch)].Front()
	if first == nil || q.turns < q.options.AgeingEvery-1 {
		return nil
	}
	t := first.Value.(*Ticket[T])
	if now.Sub(t.Entered) < q.options.AgeingAfter {
		return nil
	}
	return t
}

// Take removes a ticket that starts to run.
func (q *Queue[T]) Take(t *Ticket[T]) {
	if !q.Remove(t) {
		return
	}
	switch t.Priority {
	case model.Batch:
		q.turns = 0
	case model.Normal:
		q.turns++
	}
}

// Sweep drops the requests whose deadline has passed and those that can't
// start before it any more. Each must get its final answer at once.
func (q *Queue[T]) Sweep(slots int, now model.Instant) []Dropped[T] {
	var dropped []Dropped[T]
	position := 0
	for c := classes - 1; c >= 0; c-- {
		for at := q.classes[c].Front(); at != nil; {
			t := at.Value.(*Ticket[T])
			at = at.Next()
			reason := q.hopeless(t, position, slots, now)
			if reason == "" {
				position++
				continue
			}
			q.Remove(t)
			dropped = append(dropped, Dropped[T]{t, q.refuse(reason, slots)})
		}
	}
	return dropped
}

func (q *Queue[T]) hopeless(t *Ticket[T], position, slots int, now model.Instant) string {
	if q.Expired(t, now) {
		return "no slot came free before the deadline"
	}
	wait := q.rate.Wait(position, slots)
	left := t.Deadline.Sub(now)
	if float64(wait) > hopelessFactor*float64(left) && !q.options.Rules.KeepHopeless {
		return "no slot is expected before the deadline any more"
	}
	return ""
}

// Check returns the invariants that are broken; none when all is well.
func (q *Queue[T]) Check() []string {
	sum := 0
	for c := range q.classes {
		sum += q.classes[c].Len()
	}
	if sum != q.length {
		return []string{fmt.Sprintf("queue length %d, but %d requests wait", q.length, sum)}
	}
	return nil
}
