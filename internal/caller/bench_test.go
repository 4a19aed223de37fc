package caller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/registry"
	"github.com/comfreyloom/comfreyloom/internal/slots"
	"github.com/comfreyloom/comfreyloom/internal/state"
	"github.com/comfreyloom/comfreyloom/internal/upstream/standin"
)

// rawClient writes fixed requests and reads responses that declare a length, so
// that the overhead of a client library is not measured.
type rawClient struct {
	c  net.Conn
	in *bufio.Reader
}

func dialRaw(b testing.TB, address string) *rawClient {
	c, err := net.Dial("tcp", address)
	must(b, err)
	b.Cleanup(func() { _ = c.Close() })
	return &rawClient{c, bufio.NewReader(c)}
}

func (q *rawClient) do(text string) error {
	if _, err := io.WriteString(q.c, text); err != nil {
		return err
	}
	return q.read()
}

func (q *rawClient) read() error {
	resp, err := http.ReadResponse(q.in, nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d", resp.StatusCode)
	}
	return err
}

const (
	directText = "GET /visit HTTP/1.1\r\nHost: x\r\n\r\n"
	pathText   = "GET /s/drafts/visit HTTP/1.1\r\nHost: x\r\n\r\n"
	postText   = "POST /s/drafts/plan HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\ngrain"
)

// plainProxy is a minimal proxy without verdicts, claims, slots or checks. It is
// the baseline of the comparison, not an alternative.
func plainProxy(b testing.TB, target string) string {
	transport := &http.Transport{MaxIdleConnsPerHost: 1000, DisableCompression: true}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+target+r.URL.RequestURI(), r.Body)
		if err != nil {
			return
		}
		resp, err := transport.RoundTrip(out)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer func() { _ = resp.Body.Close() }()
		w.Header().Set("Content-Length", resp.Header.Get("Content-Length"))
		_, _ = io.Copy(w, resp.Body)
	})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(b, err)
	go func() { _ = s.Serve(l) }()
	b.Cleanup(func() { _ = s.Close(); transport.CloseIdleConnections() })
	return l.Addr().String()
}

func newBenchCluster(b testing.TB) (upstreamAddress, entryAddress, proxyAddress string) {
	log.SetHandler(discard.New())
	cl := newCluster(b, 1, 1, Limits{})
	u := cl.instances[0].Address()
	return u, strings.TrimPrefix(cl.entries[0].url, "http://"), plainProxy(b, u)
}

func cpuTime() time.Duration {
	var use syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &use)
	return time.Duration(use.Utime.Nano() + use.Stime.Nano())
}

// runLoad runs b.N requests over the given number of connections and reports the
// requests per second, and the processor time and allocations per request of the
// whole process.
func runLoad(b *testing.B, address string, connections int, text func(i int64) string) {
	clients := make([]*rawClient, connections)
	for i := range clients {
		clients[i] = dialRaw(b, address)
		must(b, clients[i].do(text(-int64(i)-1)))
	}
	var next atomic.Int64
	var all sync.WaitGroup
	b.ReportAllocs()
	b.ResetTimer()
	cpu := cpuTime()
	for _, c := range clients {
		all.Go(func() {
			for i := next.Add(1); i <= int64(b.N); i = next.Add(1) {
				if err := c.do(text(i)); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	all.Wait()
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "req/s")
	b.ReportMetric(float64((cpuTime()-cpu).Nanoseconds())/float64(b.N), "cpu-ns/req")
}

// BenchmarkLoad compares calls directly to the upstream, through a plain proxy,
// and through the request path, idempotent and non-idempotent.
func BenchmarkLoad(b *testing.B) {
	u, e, proxy := newBenchCluster(b)
	const connections = 32
	fixed := func(text string) func(int64) string { return func(int64) string { return text } }
	b.Run("direct", func(b *testing.B) { runLoad(b, u, connections, fixed(directText)) })
	b.Run("proxy", func(b *testing.B) { runLoad(b, proxy, connections, fixed(directText)) })
	b.Run("path", func(b *testing.B) { runLoad(b, e, connections, fixed(pathText)) })
	b.Run("once", func(b *testing.B) { runLoad(b, e, connections, fixed(postText)) })
}

// BenchmarkClaim measures the cost of a claim in this package: two commands and
// their application, with a control log that commits at once. The cost of
// the quorum is measured with the quorum itself.
func BenchmarkClaim(b *testing.B) {
	log.SetHandler(discard.New())
	cl := newCluster(b, 1, 1, Limits{})
	runLoad(b, strings.TrimPrefix(cl.entries[0].url, "http://"), 32, func(i int64) string {
		if i%1000 == 0 {
			cl.forgetClaims(b, i)
		}
		return fmt.Sprintf("POST /s/drafts/plan HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k%d-%d\r\nContent-Length: 5\r\n\r\ngrain", b.N, i)
	})
}

// forgetClaims keeps the table of claims within its bound.
func (cl *cluster) forgetClaims(b *testing.B, i int64) {
	_, err := cl.log.Propose(b.Context(), state.Command{
		ID:           model.CommandID(fmt.Sprintf("forget-%d-%d", b.N, i)),
		ForgetClaims: &state.ForgetClaims{Before: model.InstantOf(time.Now().Add(time.Hour))},
	})
	must(b, err)
}

// BenchmarkLatency sends at a fixed rate, alternating between the upstream, the
// plain proxy and the request path, and reports quantiles in µs.
func BenchmarkLatency(b *testing.B) {
	u, e, proxy := newBenchCluster(b)
	kinds := []struct{ name, address, text string }{
		{"direct", u, directText}, {"proxy", proxy, directText}, {"path", e, pathText},
	}
	const connections = 8
	const rate = 6000 // a second, over all kinds
	times := make([][]time.Duration, len(kinds))
	var mu sync.Mutex
	var all sync.WaitGroup
	for c := range connections {
		clients := make([]*rawClient, len(kinds))
		for k := range kinds {
			clients[k] = dialRaw(b, kinds[k].address)
		}
		all.Go(func() {
			mine := make([][]time.Duration, len(kinds))
			start := time.Now().Add(time.Duration(c) * time.Second / rate)
			for i := range b.N {
				time.Sleep(time.Until(start.Add(time.Duration(i) * connections * time.Second / rate)))
				k := (i + c) % len(kinds)
				began := time.Now()
				if err := clients[k].do(kinds[k].text); err != nil {
					b.Error(err)
					return
				}
				mine[k] = append(mine[k], time.Since(began))
			}
			mu.Lock()
			defer mu.Unlock()
			for k := range kinds {
				times[k] = append(times[k], mine[k]...)
			}
		})
	}
	all.Wait()
	for k, kind := range kinds {
		slices.Sort(times[k])
		for _, q := range []struct {
			name  string
			share float64
		}{{"p50", 0.5}, {"p99", 0.99}, {"p999", 0.999}} {
			at := times[k][int(float64(len(times[k])-1)*q.share)]
			b.ReportMetric(float64(at.Microseconds()), kind.name+"-"+q.name+"-µs")
		}
	}
}

// BenchmarkOpenRequests holds a thousand requests open and reports the memory
// that each takes directly to the upstream, and what the request path adds. Both
// figures include the memory of the client's and the upstream's ends.
func BenchmarkOpenRequests(b *testing.B) {
	const open = 1000
	for range b.N {
		u, e, _ := newBenchCluster(b)
		heap, stack := memoryGrowth(b, u, directText, open)
		pathHeap, pathStack := memoryGrowth(b, e, pathText, open)
		b.ReportMetric(float64(heap)/open, "direct-heap-B")
		b.ReportMetric(float64(stack)/open, "direct-stack-B")
		b.ReportMetric(float64(pathHeap-heap)/open, "path-heap-B")
		b.ReportMetric(float64(pathStack-stack)/open, "path-stack-B")
	}
}

// memoryGrowth returns how much heap and stack grow with open requests that hang.
func memoryGrowth(b *testing.B, address, text string, open int) (heap, stack int64) {
	heapBefore, stackBefore := memoryInUse()
	for range open {
		c := dialRaw(b, address)
		_, err := io.WriteString(c.c, strings.Replace(text, "/visit", "/visit?hang", 1))
		must(b, err)
	}
	time.Sleep(500 * time.Millisecond)
	heap, stack = memoryInUse()
	return heap - heapBefore, stack - stackBefore
}

func memoryInUse() (heap, stack int64) {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc), int64(m.StackInuse)
}

// siteCatalog is the catalog of the test's site.
type siteCatalog struct{ *model.Site }

func (s siteCatalog) Service(id model.ServiceID) (model.Service, bool) {
	found := findService(s.Site, id)
	if found == nil {
		return model.Service{}, false
	}
	return *found, true
}

func (s siteCatalog) Team(id model.TeamID) (model.Team, bool) { return model.Team{ID: id}, id != "" }

// newOverloadedEntry starts three instances with 8 slots each, whose requests
// take 20 ms, and one entry VM with the real broker: 1,200 requests a second.
func newOverloadedEntry(b *testing.B) *entry {
	log.SetHandler(discard.New())
	cl := newCluster(b, 0, 0, Limits{})
	known := registry.New(registry.Options{})
	for i := range 3 {
		u := cl.addInstance(b, standin.Options{Instance: fmt.Sprint("i", i), Slots: 8, Latency: 20 * time.Millisecond})
		_, err := known.Announce(model.Upstream{
			Service: "drafts", Instance: model.InstanceID(fmt.Sprint("i", i)), Address: u.Address(), VM: "v",
			Incarnation: 1, Sequence: 1, Slots: 8, Connections: 64,
		}, slots.Clock()())
		must(b, err)
	}
	dispatcher := slots.New(slots.Config{Self: "n1", Registry: known, Services: siteCatalog{testSite()}})
	ctx, cancel := context.WithCancel(b.Context())
	b.Cleanup(cancel)
	go func() { _ = dispatcher.Run(ctx) }()
	return cl.addEntry(b, Config{Broker: dispatcher})
}

// loadResult collects the results of the requests of one priority.
type loadResult struct {
	mu        sync.Mutex
	latencies []time.Duration
	refused   int
	other     int
}

// sendAtRate sends requests of one priority at a fixed rate for a duration,
// whether or not earlier ones got a response.
func (e *entry) sendAtRate(all *sync.WaitGroup, priority string, rate int, d time.Duration) *loadResult {
	t := &loadResult{}
	n := int(d.Seconds() * float64(rate))
	all.Go(func() {
		start := time.Now()
		for i := range n {
			time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / time.Duration(rate))))
			all.Go(func() { t.sendOne(e, priority) })
		}
	})
	return t
}

func (t *loadResult) sendOne(e *entry, priority string) {
	began := time.Now()
	got, err := e.call("GET", "/s/drafts/visit", "", "Comfreyloom-Priority: "+priority, "Comfreyloom-Timeout: 2s")
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case err == nil && got.status == http.StatusOK:
		t.latencies = append(t.latencies, time.Since(began))
	case err == nil && got.verdict == "not-run" && got.header.Get("Retry-After") != "":
		t.refused++
	default:
		t.other++
	}
}

func (t *loadResult) quantile(q float64) float64 {
	slices.Sort(t.latencies)
	return float64(t.latencies[int(float64(len(t.latencies)-1)*q)].Microseconds()) / 1000
}

// BenchmarkOverload sends twice the load that the instances can serve, a tenth
// of it urgent, and compares the latency of the urgent requests with that at the
// same rate without other load. Refused requests got not-run and a Retry-After;
// the number of other results must be 0.
func BenchmarkOverload(b *testing.B) {
	const d = 2 * time.Second
	for range b.N {
		e := newOverloadedEntry(b)
		var all sync.WaitGroup
		alone := e.sendAtRate(&all, "urgent", 120, d)
		all.Wait()
		urgent := e.sendAtRate(&all, "urgent", 120, d)
		batch := e.sendAtRate(&all, "batch", 2280, d)
		all.Wait()
		b.ReportMetric(alone.quantile(0.99), "alone-p99-ms")
		b.ReportMetric(urgent.quantile(0.99), "urgent-p99-ms")
		b.ReportMetric(float64(urgent.refused), "urgent-refused")
		b.ReportMetric(float64(len(batch.latencies)), "batch-answered")
		b.ReportMetric(float64(batch.refused), "batch-refused")
		b.ReportMetric(float64(alone.other+urgent.other+batch.other), "without-verdict")
	}
}
