package admission

import (
	"container/list"
	"fmt"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Options tune a queue. Zero values take the defaults.
type Options struct {
	// AgeingAfter is how long a batch request must wait to count as aged.
	AgeingAfter time.Duration
	// AgeingEvery is the length of a series of non-urgent requests taken of which
	// one is a batch request, while an aged batch request waits.
	AgeingEvery int
	// Rules disables rules; for tests only.
	Rules Rules
}

// Rules lists the rules that tests disable one by one.
type Rules struct {
	// IgnorePriority serves in order of arrival.
	IgnorePriority bool
	// RunExpired runs requests whose deadline has passed.
	RunExpired bool
	// IgnoreEstimate keeps requests that are not expected to start before their
	// deadline.
	IgnoreEstimate bool
	// RefuseWhenFull refuses each new request while the queue is full, whatever the
	// priorities of the waiting ones.
	RefuseWhenFull bool
}

// Defaults of Options.
const (
	DefaultAgeingAfter = time.Second
	DefaultAgeingEvery = 8
)

// Bounds of Refusal.RetryAfter.
const (
	MinRetryAfter = 100 * time.Millisecond
	MaxRetryAfter = time.Minute
)

// estimateTolerance bounds the expected wait of a queued request, as a multiple
// of the time left before its deadline; beyond that the request is dropped. It
// exceeds 1 because the estimate is a mean.
const estimateTolerance = 1.5

// Ticket is one request in the queue.
type Ticket[T any] struct {
	Value    T
	Priority model.Priority
	Deadline model.Instant
	Entered  model.Instant
	element  *list.Element
}

// Refusal is the reason why a request was refused or dropped, with the time
// after which to retry.
type Refusal struct {
	Reason     string
	RetryAfter time.Duration
}

// Error returns the reason.
func (r *Refusal) Error() string { return r.Reason }

// Dropped is a ticket that left the queue without being run.
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
	// takenSinceBatch counts the normal requests taken since the last batch one.
	takenSinceBatch int
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

// Class returns the index of a priority: 0 for batch to 2 for urgent.
func Class(p model.Priority) int { return int(min(max(p, model.Batch), model.Urgent)) + 1 }

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return q.length }

// Waiting returns the number of waiting requests of one priority.
func (q *Queue[T]) Waiting(p model.Priority) int { return q.classes[Class(p)].Len() }

// Expired reports whether the deadline of a request has passed, so that it must
// not run.
func (q *Queue[T]) Expired(t *Ticket[T], now model.Instant) bool {
	return now >= t.Deadline && !q.options.Rules.RunExpired
}

// Rate returns the queue's estimate of the service rate.
func (q *Queue[T]) Rate() *Rate { return &q.rate }

// Offer adds a request to the queue. Slots is how many requests run at once;
// capacity bounds the queue. It returns a refusal if the request was not added,
// and the ticket that was shed for it, if any, whose request must be refused at
// once.
func (q *Queue[T]) Offer(t *Ticket[T], slots, capacity int, now model.Instant) (*Refusal, *Dropped[T]) {
	t.Entered = now
	if now >= t.Deadline {
		return q.refuse("the deadline has passed", slots), nil
	}
	wait := q.rate.ExpectedWait(q.ahead(t.Priority), slots)
	if !q.options.Rules.IgnoreEstimate && now.Add(wait) > t.Deadline {
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
	t.element = q.list(t.Priority).PushBack(t)
	q.length++
	return nil, shed
}

func (q *Queue[T]) list(p model.Priority) *list.List {
	if q.options.Rules.IgnorePriority {
		return &q.classes[Class(model.Normal)]
	}
	return &q.classes[Class(p)]
}

// ahead returns the number of requests that precede a new one of priority p.
func (q *Queue[T]) ahead(p model.Priority) int {
	ahead := 0
	for c := Class(p); c < classes; c++ {
		ahead += q.classes[c].Len()
	}
	return ahead
}

// victim returns the newest request of the lowest priority below p, or nil.
func (q *Queue[T]) victim(p model.Priority) *Ticket[T] {
	if q.options.Rules.RefuseWhenFull {
		return nil
	}
	for c := 0; c < Class(p); c++ {
		if last := q.classes[c].Back(); last != nil {
			return last.Value.(*Ticket[T])
		}
	}
	return nil
}

// refuse returns a refusal whose RetryAfter is when the requests that wait now
// are expected to have been served.
func (q *Queue[T]) refuse(reason string, slots int) *Refusal {
	wait := q.rate.ExpectedWait(q.length, slots)
	return &Refusal{Reason: reason, RetryAfter: min(max(wait, MinRetryAfter), MaxRetryAfter)}
}

// Remove removes a ticket from the queue. It reports false if the ticket was not
// queued.
func (q *Queue[T]) Remove(t *Ticket[T]) bool {
	if t.element == nil {
		return false
	}
	q.list(t.Priority).Remove(t.element)
	t.element = nil
	q.length--
	return true
}

// Each calls f for the waiting tickets in the order in which they should run,
// until f returns false. The function f may take the ticket that it is called
// with.
func (q *Queue[T]) Each(now model.Instant, f func(t *Ticket[T]) bool) {
	if aged := q.agedBatch(now); aged != nil && q.classes[Class(model.Urgent)].Len() == 0 {
		if !f(aged) {
			return
		}
	}
	for c := classes - 1; c >= 0; c-- {
		for element := q.classes[c].Front(); element != nil; {
			next := element.Next()
			if !f(element.Value.(*Ticket[T])) {
				return
			}
			element = next
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

// Oldest returns when the oldest waiting request of a priority was queued.
func (q *Queue[T]) Oldest(p model.Priority) (model.Instant, bool) {
	first := q.list(p).Front()
	if first == nil {
		return 0, false
	}
	return first.Value.(*Ticket[T]).Entered, true
}

// agedBatch returns the batch request that is due because of its age, or nil.
// Without ageing a steady stream of normal requests would starve batch requests.
// Urgent requests never wait for an aged one.
func (q *Queue[T]) agedBatch(now model.Instant) *Ticket[T] {
	first := q.classes[Class(model.Batch)].Front()
	if first == nil || q.takenSinceBatch < q.options.AgeingEvery-1 {
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
		q.takenSinceBatch = 0
	case model.Normal:
		q.takenSinceBatch++
	}
}

// Sweep drops the requests whose deadline has passed and those that are no
// longer expected to start before it. Each of them must be refused at once.
func (q *Queue[T]) Sweep(slots int, now model.Instant) []Dropped[T] {
	var dropped []Dropped[T]
	position := 0
	for c := classes - 1; c >= 0; c-- {
		for element := q.classes[c].Front(); element != nil; {
			t := element.Value.(*Ticket[T])
			element = element.Next()
			reason := q.dropReason(t, position, slots, now)
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

// dropReason returns why a request must be dropped, or "" to keep it.
func (q *Queue[T]) dropReason(t *Ticket[T], position, slots int, now model.Instant) string {
	if q.Expired(t, now) {
		return "no slot came free before the deadline"
	}
	wait := q.rate.ExpectedWait(position, slots)
	left := t.Deadline.Sub(now)
	if float64(wait) > estimateTolerance*float64(left) && !q.options.Rules.IgnoreEstimate {
		return "no slot is expected before the deadline any more"
	}
	return ""
}

// Check returns the violated invariants, or none.
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
