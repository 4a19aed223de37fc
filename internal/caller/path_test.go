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

func TestRequestGetsWholeResponse(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 2, 1, Limits{})
	e := cl.entries[0]

	got, err := e.call("POST", "/s/drafts/search%2Fa?q=1", "grain")
	is.NoErr(err)
	is.Equal(got.status, 200)
	is.Equal(got.verdict, "ran")
	is.True(strings.HasSuffix(got.body, " POST /search%2Fa?q=1 grain")) // escapes are preserved
	is.True(got.header.Get("Comfreyloom-Request-Id") != "")

	body := strings.Repeat("k", 300_000)
	large, err := e.call("POST", "/s/drafts/big", body)
	is.NoErr(err)
	is.True(strings.HasSuffix(large.body, body)) // streamed in both directions
	eventually(t, "slots are released", func() bool {
		cl.broker.mu.Lock()
		defer cl.broker.mu.Unlock()
		return cl.broker.held == 0
	})
	is.Equal(e.server.buffers.used.Load(), int64(0))
}

func TestKeyedRequestRunsOnce(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 2, 2, Limits{})
	first, err := cl.entries[0].call("POST", "/s/drafts/plan", "clinker", "Idempotency-Key: k1")
	is.NoErr(err)
	is.Equal(first.verdict, "ran")
	eventually(t, "the response is stored", func() bool {
		c := cl.log.Claim("k1")
		return c != nil && c.Answer != nil
	})
	again, err := cl.entries[1].call("POST", "/s/drafts/plan", "clinker", "Idempotency-Key: k1")
	is.NoErr(err)
	is.Equal(again.body, first.body)
	is.Equal(again.header.Get("Comfreyloom-Kept"), "true")
	late, err := cl.entries[1].call("GET", "/requests/k1", "")
	is.NoErr(err)
	is.Equal(late.body, first.body)
	other, err := cl.entries[1].call("POST", "/s/drafts/plan", "grain", "Idempotency-Key: k1")
	is.NoErr(err)
	is.Equal(other.status, 422)
	is.Equal(other.verdict, "not-run")
	is.Equal(cl.runs("k1"), 1)
	none, err := cl.entries[1].call("GET", "/requests/none", "")
	is.NoErr(err)
	is.Equal(none.status, 404)
	is.Equal(none.verdict, "may-have-run") // it may still be in flight at another entry VM
}

// A resend while the first request is running must not start it a second time,
// and a caller that disconnected must find the response when it looks it up.
func TestClaimedRequestContinuesWithoutCaller(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 1, 2, Limits{})
	cl.instances[0].SetLatency(100 * time.Millisecond)
	raw, err := net.Dial("tcp", strings.TrimPrefix(cl.entries[0].url, "http://"))
	is.NoErr(err)
	_, err = io.WriteString(raw, "POST /s/drafts/plan HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\nContent-Length: 5\r\n\r\ngrain")
	is.NoErr(err)
	eventually(t, "the request runs", func() bool { return cl.runs("k") == 1 })
	is.NoErr(raw.Close()) // the caller disconnects
	running, err := cl.entries[1].call("POST", "/s/drafts/plan", "grain", "Idempotency-Key: k")
	is.NoErr(err)
	is.Equal(running.status, 409)
	is.Equal(running.verdict, "may-have-run")
	is.Equal(running.header.Get("Retry-After"), "1")
	eventually(t, "the stored response", func() bool {
		late, err := cl.entries[1].call("GET", "/requests/k", "")
		return err == nil && late.status == 200 && strings.HasSuffix(late.body, "grain")
	})
	is.Equal(cl.runs("k"), 1)
}

func TestInvalidHeadersAreNamed(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 1, 1, Limits{})
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
		got, err := cl.entries[0].call("POST", "/s/drafts/plan", "grain", bad.header)
		is.NoErr(err)
		is.Equal(got.status, 400)
		is.Equal(got.verdict, "not-run")
		name, _, _ := strings.Cut(bad.header, ":")
		is.True(strings.Contains(got.body, name))        // the header is named
		is.True(strings.Contains(got.body, bad.allowed)) // and so are the allowed values
	}
	for path, status := range map[string]int{
		"/s/nothing/plan": 404, "/s/drafts": 404, "/else": 404, "/s/drafts/a/../plans": 400,
		"/s/drafts/%2e%2e/plans": 400, "/s/a%2Fdrafts/plan": 400, "/jobs/none": 404,
	} {
		got, err := cl.entries[0].call("GET", path, "")
		is.NoErr(err)
		is.Equal(got.status, status)
		is.Equal(got.verdict, "not-run")
	}
	got, err := cl.entries[0].call("TRACE", "/s/drafts/plan", "")
	is.NoErr(err)
	is.Equal(got.status, 405)
	is.Equal(cl.instances[0].Total(), 0)
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
		{"GET", "/plans", &yes, false}, // the header can't override the route
		{"POST", "/search", nil, true},
		{"POST", "/search/x", &no, false},
	} {
		is.Equal(isIdempotent(c.method, c.path, routes, c.header), c.want)
	}
}

// recordingBroker records the deadline of the last request for a slot.
type recordingBroker struct{ deadline model.Instant }

func (b *recordingBroker) Acquire(_ context.Context, request slots.SlotRequest) (*slots.Grant, error) {
	b.deadline = request.Deadline
	return nil, &slots.Rejection{Reason: "none", RetryAfter: 7 * time.Second}
}

// The broker's clock is never set, so deadlines must reach it on that clock.
// With deadlines in wall-clock time, every request was refused after the wall
// clock was set back.
func TestDeadlineUsesBrokerClock(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 0, 0, Limits{})
	broker := &recordingBroker{}
	e := cl.addEntry(t, Config{Broker: broker, BrokerNow: func() model.Instant { return 5_000 }})
	got, err := e.call("GET", "/s/drafts/visit", "", "Comfreyloom-Timeout: 1m")
	is.NoErr(err)
	is.Equal(got.status, 503)
	is.Equal(got.verdict, "not-run")
	is.Equal(got.header.Get("Retry-After"), "7")
	left := broker.deadline.Sub(5_000)
	is.True(left > 30*time.Second && left <= time.Minute)
}

// An upstream breaks off in the middle of a short or a long response. The caller
// must not take a truncated response for a whole one, and a request that another
// instance can serve must not fail; see InvariantVerdict and writeResponse.
func TestTruncatedResponses(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 2, 1, Limits{BufferedResponseBytes: 1000})
	e := cl.entries[0]
	for _, fault := range []standin.Fault{standin.FaultTruncate, standin.FaultTruncateChunks, standin.FaultUndelimited, standin.FaultWrongID, standin.FaultCut, standin.FaultError} {
		cl.instances[0].InjectFault(fault, 1)
		cl.instances[1].InjectFault(standin.FaultNone, 0)
		got, err := e.call("GET", "/s/drafts/visit?bytes=900", "")
		is.NoErr(err)
		is.Equal(got.status, 200) // idempotent: another instance responds
		is.Equal(len(got.body), 900)
		cl.broker.next = 0
	}
	cl.instances[0].InjectFault(standin.FaultTruncate, 1)
	got, err := e.call("POST", "/s/drafts/plan?bytes=900", "")
	is.NoErr(err)
	is.Equal(got.status, 502)
	is.Equal(got.verdict, "may-have-run")
	cl.broker.next = 0
	for _, fault := range []standin.Fault{standin.FaultTruncate, standin.FaultTruncateChunks} {
		cl.instances[0].InjectFault(fault, 1)
		cl.broker.next = 0
		_, err = e.call("GET", "/s/drafts/plan?bytes=200000", "")
		is.True(err != nil) // already being streamed: the caller sees the break
	}
}

// Every open connection to the upstreams becomes unresponsive while new ones
// work, and requests continue to arrive. A request on an unresponsive connection
// must not wait for its deadline, and its retry must not use the next one.
func TestUnresponsiveConnectionsLoseNoRequest(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 3, 1, Limits{})
	e := cl.entries[0]
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
	for _, u := range cl.instances {
		u.SetLatency(5 * time.Millisecond)
	}
	for range 20 {
		is.Equal(load("GET", 24), 24) // enough responses to estimate latency
	}
	for _, u := range cl.instances {
		u.Freeze()
	}
	began := time.Now()
	is.Equal(load("GET", 1), 1)                         // its retry does not use the next unresponsive connection
	is.Equal(load("GET", 12), 12)                       // all get a response
	is.True(time.Since(began) < 10*time.Second)         // not only after half of their timeout
	is.Equal(load("POST", 30), 30)                      // no other request uses an unresponsive connection
	is.True(e.server.counters.unresponsive.Count() > 0) // unresponsive connections were met
}

// Upstreams that fail under load must not get a multiple of that load in retries.
func TestRetriesStayWithinBudget(t *testing.T) {
	is := is.New(t)
	const requests = 300
	cl := newCluster(t, 3, 1, Limits{})
	for _, u := range cl.instances {
		u.InjectFault(standin.FaultCut, -1)
	}
	for i := range requests {
		got, err := cl.entries[0].call("GET", "/s/drafts/visit", fmt.Sprint(i))
		is.NoErr(err)
		is.Equal(got.verdict, "may-have-run")
	}
	total := 0
	for _, u := range cl.instances {
		total += u.Total()
	}
	is.True(total <= requests+requests/10+10) // 10 % and the initial balance
	is.True(total > requests)
}
