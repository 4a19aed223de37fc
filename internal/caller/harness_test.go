package caller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/slots"
	"github.com/comfreyloom/comfreyloom/internal/state"
	"github.com/comfreyloom/comfreyloom/internal/upstream"
	"github.com/comfreyloom/comfreyloom/internal/upstream/standin"
)

// sharedLog is a control log without a network: all entry VMs of a test share
// one state machine. Its hooks can lose proposals and results.
type sharedLog struct {
	mu      sync.Mutex
	machine *state.Machine
	index   uint64
	// before and after, if set, are called with each command before and after
	// it is applied; an error of before keeps it from being applied.
	before, after atomic.Pointer[func(state.Command) error]
}

func (l *sharedLog) Propose(ctx context.Context, c state.Command) (state.Result, error) {
	if err := hook(&l.before, c); err != nil {
		return state.Result{}, err
	}
	data, err := state.Encode(c)
	if err != nil {
		return state.Result{}, err
	}
	l.mu.Lock()
	l.index++
	result := l.machine.Apply(l.index, data)
	l.mu.Unlock()
	if err := hook(&l.after, c); err != nil {
		return state.Result{}, err
	}
	return result, ctx.Err()
}

func hook(h *atomic.Pointer[func(state.Command) error], c state.Command) error {
	if f := h.Load(); f != nil {
		return (*f)(c)
	}
	return nil
}

// onCommand sets a hook for the commands that match.
func (l *sharedLog) onCommand(h *atomic.Pointer[func(state.Command) error], match func(state.Command) bool, f func() error) {
	matching := func(c state.Command) error {
		if match(c) {
			return f()
		}
		return nil
	}
	h.Store(&matching)
}

func (l *sharedLog) View() *state.View                               { return l.machine.View() }
func (l *sharedLog) Claim(key model.RequestKey) *model.Claim         { return l.machine.Claim(key) }
func (l *sharedLog) Audit(from uint64, n int) []model.AuditRecord    { return l.machine.Audit(from, n) }
func (l *sharedLog) Confirm(context.Context) (uint64, error)         { return l.machine.Applied(), nil }
func (l *sharedLog) WaitApplied(ctx context.Context, i uint64) error { return l.machine.Wait(ctx, i) }
func (l *sharedLog) Leader() (model.NodeID, uint64)                  { return "n1", 1 }

// listBroker grants slots of a list of instances in turn.
type listBroker struct {
	mu   sync.Mutex
	list []model.Upstream
	next int
	held int
}

func (b *listBroker) Acquire(ctx context.Context, request slots.SlotRequest) (*slots.Grant, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range b.list {
		u := b.list[b.next%len(b.list)]
		b.next++
		if u.Service == request.Service && u.Instance != request.Avoid {
			b.held++
			return slots.NewGrant(u, b.release), nil
		}
	}
	return nil, &slots.Rejection{Reason: "no instance", RetryAfter: time.Second}
}

func (b *listBroker) release(slots.Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held--
}

// testSite returns a small site: one service whose route GET /plans is marked as
// non-idempotent.
func testSite() *model.Site {
	return &model.Site{
		Name:     "test",
		Revision: 1,
		Pools:    []model.Pool{{ID: "drafting", MinVMs: 1, MaxVMs: 9}},
		Teams:    []model.Team{{ID: "planners"}},
		Services: []model.Service{{
			ID: "drafts", Pool: "drafting", Instances: 2, Slots: 8, Connections: 64,
			MinAvailable: 1, Timeout: 10 * time.Second, QueueLimit: 100,
			Routes: []model.Route{
				{Method: "GET", Prefix: "/plans", Idempotent: false},
				{Method: "POST", Prefix: "/search", Idempotent: true},
			},
		}},
	}
}

// cluster is a site of stand-in upstreams and entry VMs on loopback.
type cluster struct {
	log       *sharedLog
	broker    *listBroker
	instances []*standin.Upstream
	entries   []*entry
	// shutdown releases what blocks forever in a killed process.
	shutdown chan struct{}
}

func newTransport(t testing.TB) *upstream.Transport {
	transport := upstream.NewTransport(upstream.Options{Metrics: metrics.NewRegistry()})
	t.Cleanup(transport.Close)
	return transport
}

// entry is one entry VM.
type entry struct {
	server  *Server
	url     string
	stop    context.CancelFunc
	stopped chan struct{}
}

func newCluster(t testing.TB, instances, entries int, l Limits) *cluster {
	cl := &cluster{log: &sharedLog{machine: state.NewMachine(state.Options{})}, broker: &listBroker{}, shutdown: make(chan struct{})}
	digest := sha256.Sum256([]byte("t"))
	result, err := cl.log.Propose(context.Background(), state.Command{
		ID: "manifest", ApplyManifest: &state.ApplyManifest{Revision: 1, Digest: hex.EncodeToString(digest[:]), Text: []byte("t"), Site: testSite()},
	})
	must(t, err)
	if result.Refused != "" {
		t.Fatal(result.Refused)
	}
	for i := range instances {
		cl.addInstance(t, standin.Options{Instance: string(rune('a' + i)), Slots: 1000})
	}
	for range entries {
		cl.addEntry(t, Config{Limits: l})
	}
	t.Cleanup(func() {
		close(cl.shutdown)
		for _, e := range cl.entries {
			_ = e.server.Close()
			e.stop()
			<-e.stopped
			if violations := e.server.Violations(); len(violations) > 0 {
				t.Error("broken invariants: ", violations)
			}
		}
	})
	return cl
}

func (cl *cluster) addInstance(t testing.TB, o standin.Options) *standin.Upstream {
	u, err := standin.Start(o)
	must(t, err)
	t.Cleanup(u.Close)
	cl.instances = append(cl.instances, u)
	cl.broker.list = append(cl.broker.list, model.Upstream{
		Service: "drafts", Instance: model.InstanceID(o.Instance), Address: u.Address(), Slots: o.Slots, Connections: 1000,
	})
	return u
}

func (cl *cluster) addEntry(t testing.TB, c Config) *entry {
	c.Self = model.NodeID("n" + string(rune('1'+len(cl.entries))))
	c.Log, c.Metrics = cl.log, metrics.NewRegistry()
	if c.Broker == nil {
		c.Broker = cl.broker
	}
	if c.Sender == nil {
		c.Sender = newTransport(t)
	}
	e := &entry{server: New(c), stopped: make(chan struct{})}
	l, err := Listen(context.Background(), "127.0.0.1:0")
	must(t, err)
	e.url = "http://" + l.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	e.stop = cancel
	go func() {
		defer close(e.stopped)
		e.server.Run(ctx)
	}()
	go func() { _ = e.server.Serve(l) }()
	cl.entries = append(cl.entries, e)
	return e
}

// kill stops an entry VM in the middle of whatever the calling goroutine does:
// its callers' connections break, and the goroutine does not continue before the
// end of the test.
func (cl *cluster) kill(e *entry) error {
	_ = e.server.Close()
	e.stop()
	<-cl.shutdown
	return state.ErrNotProposed
}

func (cl *cluster) runs(key string) int {
	n := 0
	for _, u := range cl.instances {
		n += u.Runs(key)
	}
	return n
}

// callerResponse is a whole response as a caller receives it.
type callerResponse struct {
	status  int
	verdict string
	header  http.Header
	body    string
}

// callerTransport keeps as many connections as there are callers in a test.
var callerTransport = &http.Transport{MaxIdleConnsPerHost: 512}

// call sends one request; headers are "Name: value".
func (e *entry) call(method, path, body string, headers ...string) (callerResponse, error) {
	r, err := http.NewRequest(method, e.url+path, strings.NewReader(body))
	if err != nil {
		return callerResponse{}, err
	}
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ": ")
		r.Header.Add(name, value)
	}
	resp, err := callerTransport.RoundTrip(r)
	if err != nil {
		return callerResponse{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return callerResponse{resp.StatusCode, resp.Header.Get(model.VerdictHeader), resp.Header, string(text)}, err
}

func must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// eventually waits until a condition of the background work holds.
func eventually(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for range 2000 {
		if holds() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("timed out waiting for: %s", what)
}
