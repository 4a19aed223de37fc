package standin

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// Options describe one stand-in.
type Options struct {
	Service          string
	Instance         string
	VM               string
	AvailabilityZone string
	// Incarnation is 1 when 0.
	Incarnation uint64
	// Slots bounds the requests in progress; further ones are refused as busy.
	Slots int
	// Connections is announced but not enforced.
	Connections int
	// Latency is how long each request runs.
	Latency time.Duration
	// Announce lists the base URLs at which Run announces, in turn. When it is
	// empty, the test registers the instance itself.
	Announce []string
	// Token is the bearer token of announcements; empty for none.
	Token string
	// Renew is the interval of announcements until a response gives one.
	Renew time.Duration
	// Listen is the address to listen on; 127.0.0.1:0 when empty.
	Listen string
}

// Upstream is a running stand-in.
type Upstream struct {
	options  Options
	listener *freezableListener
	server   *http.Server
	client   *http.Client
	serving  conc.WaitGroup

	mu       sync.Mutex
	sequence uint64
	leaving  bool
	latency  time.Duration
	slots    int
	running  int
	peak     int
	runs     map[string]int
	total    int
	fault    Fault
	// faultsLeft is how many more requests get the fault; -1 for all.
	faultsLeft int
	// closing ends the requests that hang; Close closes it.
	closing chan struct{}
}

const (
	defaultSlots       = 8
	defaultConnections = 64
	defaultRenew       = 3 * time.Second
	announceTimeout    = 2 * time.Second
)

// Start starts a stand-in.
func Start(o Options) (*Upstream, error) {
	o = withDefaults(o)
	l, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, err
	}
	u := &Upstream{
		options:  o,
		listener: &freezableListener{Listener: l, open: make(map[*freezableConn]bool)},
		client:   &http.Client{Timeout: announceTimeout},
		latency:  o.Latency,
		slots:    o.Slots,
		runs:     make(map[string]int),
		closing:  make(chan struct{}),
	}
	u.server = &http.Server{Handler: http.HandlerFunc(u.serve), ReadHeaderTimeout: time.Minute}
	u.serving.Go(func() { _ = u.server.Serve(u.listener) })
	return u, nil
}

func withDefaults(o Options) Options {
	if o.Listen == "" {
		o.Listen = "127.0.0.1:0"
	}
	if o.Incarnation == 0 {
		o.Incarnation = 1
	}
	if o.Slots == 0 {
		o.Slots = defaultSlots
	}
	if o.Connections == 0 {
		o.Connections = defaultConnections
	}
	if o.Renew == 0 {
		o.Renew = defaultRenew
	}
	return o
}

// Address returns the IP:port on which the stand-in serves.
func (u *Upstream) Address() string { return u.listener.Addr().String() }

// Close closes all connections at once, like a VM that fails.
func (u *Upstream) Close() {
	u.mu.Lock()
	select {
	case <-u.closing:
	default:
		close(u.closing)
	}
	u.mu.Unlock()
	_ = u.server.Close()
	u.serving.Wait()
	u.client.CloseIdleConnections()
}

// Shutdown announces that the stand-in is leaving, waits for the requests in
// progress, and closes it.
func (u *Upstream) Shutdown(ctx context.Context) error {
	err := u.Leave(ctx)
	if stop := u.server.Shutdown(ctx); err == nil {
		err = stop
	}
	u.Close()
	return err
}

// SetLatency sets how long requests run.
func (u *Upstream) SetLatency(d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.latency = d
}

// Runs returns how often the request with this key ran. The key is the
// request's Idempotency-Key or, without one, its body.
func (u *Upstream) Runs(key string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[key]
}

// AllRuns returns a copy of the count of every key.
func (u *Upstream) AllRuns() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	runs := make(map[string]int, len(u.runs))
	for key, n := range u.runs {
		runs[key] = n
	}
	return runs
}

// Total returns how many requests ran.
func (u *Upstream) Total() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.total
}

// Peak returns the largest number of requests that ran at one time.
func (u *Upstream) Peak() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.peak
}
