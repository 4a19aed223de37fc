package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
)

// loadMain sends requests to the entry VMs given by number as the platform's load
// balancer does: round robin among the ready ones, to the next one when a
// connection is refused. It stops after -n requests or at SIGTERM, waits for
// every response, and fails when a response was cut off, lost, without a verdict
// or that of another request. "{n}" in path, headers, body and -want is replaced
// by the number of the request.
func loadMain() {
	l := &load{headers: headerList{}, counts: map[string]int{}}
	rate := flag.Int("rate", 100, "requests a second")
	flag.IntVar(&l.limit, "n", 0, "number of requests; 0 goes on until SIGTERM")
	maxInFlight := flag.Int("flight", 64, "most requests in progress")
	flag.StringVar(&l.method, "method", http.MethodPost, "")
	flag.StringVar(&l.path, "path", "/s/drafts/previews?n={n}", "")
	flag.StringVar(&l.body, "d", "draft-{n}", "body")
	flag.StringVar(&l.want, "want", "draft-{n}", "what a successful answer holds")
	flag.StringVar(&l.runs, "runs", "", "where to ask which requests ran, see countRuns")
	flag.Var(&l.headers, "H", "header")
	flag.Parse()
	for _, node := range flag.Args() {
		l.entries = append(l.entries, &entry{address: os.Getenv("CALLERS" + node)})
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	l.run(ctx, *rate, *maxInFlight)
	l.checkRuns()
	os.Exit(l.report())
}

// entry is an entry VM with the readiness that the balancer's probes found.
type entry struct {
	address string
	ready   atomic.Bool
}

type load struct {
	limit              int
	method, path       string
	body, want, runs   string
	headers            headerList
	entries            []*entry
	next               atomic.Uint64
	refusedConnections atomic.Int64

	mu       sync.Mutex
	counts   map[string]int
	failures []string
	slowest  time.Duration
}

// probeInterval is the balancer's interval between two probes of /readyz.
const probeInterval = 50 * time.Millisecond

func (l *load) run(ctx context.Context, rate, maxInFlight int) {
	probeCtx, stopProbing := context.WithCancel(context.Background())
	defer stopProbing()
	for _, e := range l.entries {
		go e.probe(probeCtx)
	}
	var requests conc.WaitGroup
	defer requests.Wait()
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	slots := make(chan struct{}, maxInFlight)
	for n := 0; l.limit == 0 || n < l.limit; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		slots <- struct{}{}
		requests.Go(func() {
			l.send(n)
			<-slots
		})
	}
}

func (e *entry) probe(ctx context.Context) {
	client := http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		response, err := client.Get("http://" + e.address + "/readyz")
		e.ready.Store(err == nil && response.StatusCode == http.StatusOK)
		if err == nil {
			_ = response.Body.Close()
		}
		time.Sleep(probeInterval)
	}
}

// send sends one request to the next ready entry VM that accepts a connection.
func (l *load) send(n int) {
	start := time.Now()
	for end := start.Add(scriptTimeout); time.Now().Before(end); {
		e := l.entries[l.next.Add(1)%uint64(len(l.entries))]
		if !e.ready.Load() {
			time.Sleep(time.Millisecond)
			continue
		}
		outcome, err := l.sendTo(e, n)
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			l.refusedConnections.Add(1)
			continue
		}
		l.count(n, outcome, err, time.Since(start))
		return
	}
	l.count(n, "", errors.New("no entry VM accepted a connection"), time.Since(start))
}

// balancerTransport reuses connections, as load balancers do.
var balancerTransport = &http.Transport{MaxIdleConnsPerHost: 64, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}

func (l *load) sendTo(e *entry, n int) (string, error) {
	expand := func(text string) string { return strings.ReplaceAll(text, "{n}", fmt.Sprint(n)) }
	// A body that can't be read twice prevents net/http from retrying the request,
	// which would hide that it was cut off.
	body := io.NopCloser(strings.NewReader(expand(l.body)))
	r, err := http.NewRequest(l.method, "http://"+e.address+expand(l.path), body)
	if err != nil {
		return "", err
	}
	for _, h := range l.headers {
		name, value, _ := strings.Cut(h, ":")
		r.Header.Set(name, expand(strings.TrimSpace(value)))
	}
	response, err := (&http.Client{Transport: balancerTransport, Timeout: scriptTimeout}).Do(r)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(response.Body)
	if err != nil {
		return "", err
	}
	return l.checkResponse(response, string(responseBody), expand(l.want))
}

func (l *load) checkResponse(response *http.Response, body, want string) (string, error) {
	verdict := response.Header.Get("Comfreyloom-Verdict")
	switch {
	case verdict == "":
		return "", fmt.Errorf("status %d without a verdict: %s", response.StatusCode, body)
	case response.StatusCode < 300 && !strings.Contains(body, want):
		return "", fmt.Errorf("response of another request: %s, want %s", body, want)
	case response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") == "":
		return "", errors.New("status 503 without Retry-After")
	}
	outcome := fmt.Sprintf("%d %s", response.StatusCode, verdict)
	l.mu.Lock()
	defer l.mu.Unlock()
	if response.StatusCode >= 300 && l.counts[outcome] == 0 {
		fmt.Fprintf(os.Stderr, "first answer with %s: %s\n", outcome, body)
	}
	return outcome, nil
}

func (l *load) count(n int, outcome string, err error, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slowest = max(l.slowest, took)
	if err != nil {
		l.failures = append(l.failures, fmt.Sprintf("request %d after %v: %v", n, took, err))
		return
	}
	l.counts[outcome]++
}

// checkRuns compares the verdicts with the number of requests that really ran.
func (l *load) checkRuns() {
	if l.runs == "" {
		return
	}
	response, err := http.Get("http://" + l.runs)
	exitOn(err)
	defer response.Body.Close()
	var ran int
	_, err = fmt.Fscanf(response.Body, "ran: %d", &ran)
	exitOn(err)
	minRan, unknown := 0, len(l.failures)
	for outcome, count := range l.counts {
		switch _, verdict, _ := strings.Cut(outcome, " "); verdict {
		case "ran":
			minRan += count
		case "may-have-run":
			unknown += count
		}
	}
	if ran < minRan || ran > minRan+unknown {
		l.failures = append(l.failures, fmt.Sprintf("%d requests ran, the verdicts allow %d to %d", ran, minRan, minRan+unknown))
	}
}

func (l *load) report() int {
	sent := len(l.failures)
	for _, count := range l.counts {
		sent += count
	}
	fmt.Printf("sent %d: %v, cut or lost: %d; connections refused: %d, slowest answer %v\n",
		sent, l.counts, len(l.failures), l.refusedConnections.Load(), l.slowest.Round(time.Millisecond))
	for _, failure := range l.failures[:min(len(l.failures), 20)] {
		fmt.Fprintln(os.Stderr, failure)
	}
	return min(len(l.failures), 1)
}
