package caller

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/slots"
	"github.com/comfreyloom/comfreyloom/internal/upstream/standin"
)

func TestRequestIsAnsweredWhole(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 2, 1, Limits{})
	e := w.entries[0]

	got, err := e.call("POST", "/s/drafts/search%2Fa?q=1", "grain")
	is.NoErr(err)
	is.Equal(got.status, 200)
	is.Equal(got.verdict, "ran")
	is.True(strings.HasSuffix(got.body, " POST /search%2Fa?q=1 grain")) // escapes stay
	is.True(got.header.Get("Comfreyloom-Request-Id") != "")

	body := strings.Repeat("k", 300_000)
	large, err := e.call("POST", "/s/drafts/big", body)
	is.NoErr(err)
	is.True(strings.HasSuffix(large.body, body)) // streamed both ways
	eventually(t, "slots are given back", func() bool {
		w.broker.mu.Lock()
		defer w.broker.mu.Unlock()
		return w.broker.held == 0
	})
	is.Equal(e.server.buffers.used.Load(), int64(0))
}

func TestKeyedRequestRunsOnce(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 2, 2, Limits{})
	first, err := w.entries[0].call("POST", "/s/drafts/plan", "clinker", "Idempotency-Key: k1")
	is.NoErr(err)
	is.Equal(first.verdict, "ran")
	eventually(t, "the answer is kept", func() bool {
		c := w.log.Claim("k1")
		return c != nil && c.Answer != nil
	})
	again, err := w.entries[1].call("POST", "/s/drafts/plan", "clinker", "Idempotency-Key: k1")
	is.NoErr(err)
	is.Equal(again.body, first.body)
	is.Equal(again.header.Get("Comfreyloom-Kept"), "true")
	late, err := w.entries[1].call("GET", "/requests/k1", "")
	is.NoErr(err)
	is.Equal(late.body, first.body)
	other, err := w.entries[1].call("POST", "/s/drafts/plan", "grain", "Idempotency-Key: k1")
	is.NoErr(err)
	is.Equal(other.status, 422)
	is.Equal(other.verdict, "not-run")
	is.Equal(w.runs("k1"), 1)
	none, err := w.entries[1].call("GET", "/requests/none", "")
	is.NoErr(err)
	is.Equal(none.status, 404)
	is.Equal(none.verdict, "may-have-run") // it may still be on its way elsewhere
}

// Symptom: a resend while the first still runs starts it a second time, or a
// caller who went away finds no answer when it asks again.
func TestClaimedRequestGoesOnWithoutItsCaller(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1, 2, Limits{})
	w.instances[0].SetLatency(100 * time.Millisecond)
	raw, err := net.Dial("tcp", strings.TrimPrefix(w.entries[0].url, "http://"))
	is.NoErr(err)
	_, err = io.WriteString(raw, "POST /s/drafts/plan HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\nContent-Length: 5\r\n\r\ngrain")
	is.NoErr(err)
	eventually(t, "it runs", func() bool { return w.runs("k") == 1 })
	is.NoErr(raw.Close()) // the caller goes away
	running, err := w.entries[1].call("POST", "/s/drafts/plan", "grain", "Idempotency-Key: k")
	is.NoErr(err)
	is.Equal(running.status, 409)
	is.Equal(running.verdict, "may-have-run")
	is.Equal(running.header.Get("Retry-After"), "1")
	eventually(t, "the late answer", func() bool {
		late, err := w.entries[1].call("GET", "/requests/k", "")
		return err == nil && late.status == 200 && strings.HasSuffix(late.body, "grain")
	})
	is.Equal(w.runs("k"), 1)
}

func TestBadHeadersAreNamed(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1, 1, Limits{})
	for _, bad := range []struct{ header, allowed string }{
		{"Comfreyloom-Priority: soon", "urgent"},
		{"Comfreyloom-Idempotent: yes", "true"},
		{"Comfreyloom-Timeout: 5", "unit"},
		{"Comfreyloom-Timeout: 48h", "10m0s"},
		{"Comfreyloom-Timeout: -1s", "1ms"},
		{"Comfreyloom-Team: strangers", "planners"},
		{"Comfreyloom-Prioritty: urgent", "Comfreyloom-Priority"},
		{"Idempotency-Key: a b", "128"},
		{"Idempotency-Key: ", "128"},
	} {
		got, err := w.entries[0].call("POST", "/s/drafts/plan", "grain", bad.header)
		is.NoErr(err)
		is.Equal(got.status, 400)
		is.Equal(got.verdict, "not-run")
		name, _, _ := strings.Cut(bad.header, ":")
		is.True(strings.Contains(got.body, name))        // the header is named
		is.True(strings.Contains(got.body, bad.allowed)) // and what is allowed
	}
	for path, status := range map[string]int{
		"/s/nothing/plan": 404, "/s/drafts": 404, "/else": 404, "/s/drafts/a/../plans": 400,
		"/s/drafts/%2e%2e/plans": 400, "/s/a%2Fdrafts/plan": 400, "/jobs/none": 404,
	} {
		got, err := w.entries[0].call("GET", path, "")
		is.NoErr(err)
		is.Equal(got.status, status)
		is.Equal(got.verdict, "not-run")
	}
	got, err := w.entries[0].call("TRACE", "/s/drafts/plan", "")
	is.NoErr(err)
	is.Equal(got.status, 405)
	is.Equal(w.instances[0].Total(), 0)
}

func TestIdempotenceByMethodRouteAndHeader(t *testing.T) {
	is := is.New(t)
	yes, no := true, false
	routes := testSite().Services[0].Routes
	for _, c := range []struct {
		method, path string
		header       *bool
		want         bool
	}{
		{"GET", "/other", nil, true},
		{"POST", "/other", nil, false},
		{"PATCH", "/other", &yes, true},
		{"GET", "/other", &no, false},
		{"GET", "/plans/7", nil, false},
		{"GET", "//plans/7", nil, false},
		{"GET", "/plansheet", nil, true},
		{"GET", "/plans", &yes, false}, // the manifest's mark stays
		{"POST", "/search", nil, true},
		{"POST", "/search/x", &no, false},
	} {
		is.Equal(idempotent(c.method, c.path, routes, c.header), c.want)
	}
}

// askedBroker remembers the deadline it was asked with.
type askedBroker struct{ deadline model.Instant }

func (b *askedBroker) Acquire(_ context.Context, ask slots.Ask) (*slots.Grant, error) {
	b.deadline = ask.Deadline
	return nil, &slots.Rejection{Reason: "none", RetryAfter: 7 * time.Second}
}

// Symptom: after the wall clock was set back, every request is refused.
// Sequence: the broker reads a clock that never steps; deadlines reach it in
// wall-clock time.
// Cause: two clocks that only agree until one of them is set.
func TestDeadlineIsOnTheBrokersClock(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 0, 0, Limits{})
	broker := &askedBroker{}
	e := w.addEntry(t, Config{Broker: broker, BrokerNow: func() model.Instant { return 5_000 }})
	got, err := e.call("GET", "/s/drafts/visit", "", "Comfreyloom-Timeout: 1m")
	is.NoErr(err)
	is.Equal(got.status, 503)
	is.Equal(got.verdict, "not-run")
	is.Equal(got.header.Get("Retry-After"), "7")
	left := broker.deadline.Sub(5_000)
	is.True(left > 30*time.Second && left <= time.Minute)
}

// Symptom: a truncated plan is taken for the plan; a request that could have
// been answered fails.
// Sequence: an upstream breaks off in the middle of a short or a long answer.
// Cause: see InvariantVerdict and writeAnswer.
func TestTruncatedAnswers(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 2, 1, Limits{AnswerBytes: 1000})
	e := w.entries[0]
	for _, fault := range []standin.Fault{standin.FaultTruncate, standin.FaultTruncateChunks, standin.FaultUndelimited, standin.FaultForeign, standin.FaultCut, standin.FaultError} {
		w.instances[0].Fail(fault, 1)
		w.instances[1].Fail(standin.FaultNone, 0)
		got, err := e.call("GET", "/s/drafts/visit?bytes=900", "")
		is.NoErr(err)
		is.Equal(got.status, 200) // idempotent: another instance answers
		is.Equal(len(got.body), 900)
		w.broker.next = 0
	}
	w.instances[0].Fail(standin.FaultTruncate, 1)
	got, err := e.call("POST", "/s/drafts/plan?bytes=900", "")
	is.NoErr(err)
	is.Equal(got.status, 502)
	is.Equal(got.verdict, "may-have-run")
	w.broker.next = 0
	for _, fault := range []standin.Fault{standin.FaultTruncate, standin.FaultTruncateChunks} {
		w.instances[0].Fail(fault, 1)
		w.broker.next = 0
		_, err = e.call("GET", "/s/drafts/plan?bytes=200000", "")
		is.True(err != nil) // begun to pass on: the caller sees the break
	}
}

// Symptom: household after household waits for its slots until it gives up.
// Sequence: every kept connection to the upstreams goes silent while new ones
// work; requests go on coming.
// Cause: a request on a silent connection waits for its deadline, and the next
// one is sent on the next silent connection.
func TestSilentConnectionsCostNoAnswer(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 3, 1, Limits{})
	e := w.entries[0]
	load := func(method string, n int) (answered int) {
		var all sync.WaitGroup
		var good atomic.Int64
		for i := range n {
			all.Go(func() {
				got, err := e.call(method, "/s/drafts/visit", fmt.Sprint(i), "Comfreyloom-Timeout: 20s")
				if err == nil && got.status == 200 {
					good.Add(1)
				}
			})
		}
		all.Wait()
		return int(good.Load())
	}
	for _, u := range w.instances {
		u.SetLatency(5 * time.Millisecond)
	}
	for range 20 {
		is.Equal(load("GET", 24), 24) // enough to know how long answers take
	}
	for _, u := range w.instances {
		u.Freeze()
	}
	began := time.Now()
	is.Equal(load("GET", 1), 1)                   // its second try does not meet the next silent one
	is.Equal(load("GET", 12), 12)                 // all are answered
	is.True(time.Since(began) < 10*time.Second)   // not by half of their deadline
	is.Equal(load("POST", 30), 30)                // and no other goes out on a silent one
	is.True(e.server.counters.silent.Count() > 0) // silence was met
}

// Symptom: upstreams that fail under load get a multiple of the load.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	is := is.New(t)
	const requests = 300
	w := newWorld(t, 3, 1, Limits{})
	for _, u := range w.instances {
		u.Fail(standin.FaultCut, -1)
	}
	for i := range requests {
		got, err := w.entries[0].call("GET", "/s/drafts/visit", fmt.Sprint(i))
		is.NoErr(err)
		is.Equal(got.verdict, "may-have-run")
	}
	total := 0
	for _, u := range w.instances {
		total += u.Total()
	}
	is.True(total <= requests+requests/10+10) // 10 % and what was saved up
	is.True(total > requests)
}
