package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// TestBatchIsNotStarved checks that aged batch requests get their part under a
// steady stream of normal requests, and that urgent requests still precede them.
func TestBatchIsNotStarved(t *testing.T) {
	is := is.New(t)
	q := NewQueue[int](Options{})
	now := model.Instant(0)
	add := func(p model.Priority, n int) {
		for range n {
			refusal, _ := q.Offer(&Ticket[int]{Priority: p, Deadline: 1_000_000}, 1, 1000, now)
			is.Equal(refusal, nil)
		}
	}
	taken := map[model.Priority]int{}
	take := func() {
		t := q.First(now)
		q.Take(t)
		taken[t.Priority]++
	}
	add(model.Batch, 20)
	add(model.Normal, 200)
	for range 50 {
		take()
	}
	is.Equal(taken[model.Batch], 0) // Not aged yet.
	now = now.Add(DefaultAgeingAfter)
	for range 80 {
		take()
	}
	is.Equal(taken[model.Batch], 80/DefaultAgeingEvery)
	add(model.Urgent, 30)
	for range 30 {
		take()
	}
	is.Equal(taken[model.Urgent], 30)
}

// TestRandomQueue checks for random sequences that each request gets exactly one
// result, that the order is by priority, that expired requests are never taken,
// and that a full queue sheds the newest request of the lowest priority.
func TestRandomQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if violation := randomQueue(t, Options{}); violation != "" {
			t.Fatal(violation)
		}
	})
}

func randomQueue(t *rapid.T, o Options) (violation string) {
	q := NewQueue[*int](o)
	now := model.Instant(0)
	var waiting []*Ticket[*int]
	countRefusal := func(d *Dropped[*int]) {
		*d.Ticket.Value++
		if d.Refusal.RetryAfter < MinRetryAfter {
			violation = "the refusal has no retry delay"
		}
	}
	var all []*int
	inQueue := func(p model.Priority) int {
		n := 0
		for _, ticket := range waiting {
			if ticket.element != nil && ticket.Priority == p {
				n++
			}
		}
		return n
	}
	for range rapid.IntRange(20, 100).Draw(t, "steps") {
		switch rapid.SampledFrom([]int{0, 0, 0, 2, 3, 4}).Draw(t, "step") {
		case 0:
			results := 0
			all = append(all, &results)
			ticket := &Ticket[*int]{
				Value:    &results,
				Priority: model.Priority(rapid.IntRange(-1, 1).Draw(t, "priority")),
				Deadline: now.Add(time.Duration(rapid.SampledFrom([]int{0, 200, 1000, 60000}).Draw(t, "patience")) * time.Millisecond),
			}
			lower := 0
			for p := model.Batch; p < ticket.Priority; p++ {
				lower += inQueue(p)
			}
			refusal, shed := q.Offer(ticket, 2, 5, now)
			if refusal != nil {
				results++
				if q.Len() >= 5 && lower > 0 && ticket.Deadline > now && q.Rate().ExpectedWait(q.ahead(ticket.Priority), 2) <= ticket.Deadline.Sub(now) {
					violation = "a request was refused while requests of lower priority waited"
				}
			}
			if shed != nil {
				countRefusal(shed)
				if shed.Ticket.Priority >= ticket.Priority {
					violation = "a request was shed for one that has no higher priority"
				}
			}
			waiting = append(waiting, ticket)
		case 2:
			first := q.First(now)
			if first == nil || q.Expired(first, now) {
				break
			}
			if now >= first.Deadline {
				violation = "a request was taken after its deadline"
			}
			for p := first.Priority + 1; p <= model.Urgent; p++ {
				if inQueue(p) > 0 && (p == model.Urgent || first.Priority == model.Normal) {
					violation = "a request of lower priority was taken first"
				}
			}
			q.Take(first)
			*first.Value++
			q.Rate().Observe(time.Duration(rapid.IntRange(1, 900).Draw(t, "held")) * time.Millisecond)
		case 3:
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
		case 4:
			for _, dropped := range q.Sweep(2, now) {
				countRefusal(&dropped)
			}
			for _, ticket := range waiting {
				if *ticket.Value == 0 && now >= ticket.Deadline && ticket.element != nil {
					violation = "a request still waits after its deadline"
				}
			}
		}
		if found := q.Check(); found != nil {
			return found[0]
		}
	}
	for _, dropped := range q.Sweep(2, now+1_000_000) {
		countRefusal(&dropped)
	}
	for _, results := range all {
		if *results != 1 {
			return "a request did not get exactly one result"
		}
	}
	return violation
}

func TestQuota(t *testing.T) {
	is := is.New(t)
	q := NewQuota()
	is.True(q.Acquire("tides", 2))
	is.True(q.Acquire("tides", 2))
	is.True(!q.Acquire("tides", 2))
	is.True(q.Acquire("cargo", 2))
	q.Release("tides")
	is.True(q.Acquire("tides", 2))
	is.Equal(q.InProgress("tides"), 2)
}
