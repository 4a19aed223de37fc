package upstream

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

const (
	defaultDialTimeout     = 1 * time.Second
	defaultFreshFor        = 1 * time.Second
	defaultKeepAlive       = 1 * time.Second
	defaultUserTimeout     = 4 * time.Second
	defaultMaxAnswerHeader = 64 << 10
	defaultBufferBytes     = 2 << 10
	// keepAliveProbes is how many probes may go unanswered.
	keepAliveProbes = 3
	// poolIdle is how long a pool is kept after its last request.
	poolIdle = 1 * time.Minute
	// sweepEvery is how often unused pools are looked for.
	sweepEvery = 10 * time.Second
	// defaultConnections is assumed of an upstream that names no limit.
	defaultConnections = 64
)

// Options bound the connections to upstreams; zeros take defaults.
type Options struct {
	// DialTimeout bounds making a connection.
	DialTimeout time.Duration
	// FreshFor is how long a connection may be silent and still carry a
	// request; older ones are closed and a new one is made.
	FreshFor time.Duration
	// KeepAlive is the idle time before, and the interval between, TCP
	// keepalive probes.
	KeepAlive time.Duration
	// UserTimeout bounds how long sent bytes may stay unacknowledged.
	UserTimeout time.Duration
	// MaxAnswerHeader bounds the header of an answer, in bytes.
	MaxAnswerHeader int64
	// BufferBytes is the size of each connection's read and write buffer. Small
	// ones keep a thousand open requests small; longer parts bypass them.
	BufferBytes int
	// EntryVMs is how many entry VMs share an instance's connections; each
	// keeps to its share.
	EntryVMs int
	// Metrics takes the counters; the default registry when nil.
	Metrics metrics.Registry
}

func (o Options) withDefaults() Options {
	setDefault(&o.DialTimeout, defaultDialTimeout)
	setDefault(&o.FreshFor, defaultFreshFor)
	setDefault(&o.KeepAlive, defaultKeepAlive)
	setDefault(&o.UserTimeout, defaultUserTimeout)
	setDefault(&o.MaxAnswerHeader, defaultMaxAnswerHeader)
	setDefault(&o.BufferBytes, defaultBufferBytes)
	setDefault(&o.EntryVMs, 1)
	if o.Metrics == nil {
		o.Metrics = metrics.DefaultRegistry
	}
	return o
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// Transport sends requests to upstreams, each at most once a call.
type Transport struct {
	options Options
	// silent counts requests that met silence, foreign the answers that
	// belonged to no request or to another one, refused the writes that
	// would have sent a request twice or after it was given up.
	silent  metrics.Counter
	foreign metrics.Counter
	refused metrics.Counter

	mu    sync.Mutex
	pools map[poolKey]*pool
	swept time.Time
}

// NewTransport returns a transport without connections.
func NewTransport(o Options) *Transport {
	o = o.withDefaults()
	return &Transport{
		options: o,
		silent:  metrics.GetOrRegisterCounter("upstream.requests.silent", o.Metrics),
		foreign: metrics.GetOrRegisterCounter("upstream.answers.foreign", o.Metrics),
		refused: metrics.GetOrRegisterCounter("upstream.writes.refused", o.Metrics),
		pools:   make(map[poolKey]*pool),
	}
}

// Close closes the idle connections. Requests in progress go on.
func (t *Transport) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.pools {
		p.http.CloseIdleConnections()
	}
}

// enter returns the pool of an upstream and counts a request into it.
func (t *Transport) enter(u model.Upstream) *pool {
	now := time.Now()
	key := poolKey{address: u.Address, limit: t.share(u.Connections)}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	p, ok := t.pools[key]
	if !ok {
		p = newPool(key, &t.options, t.foreign)
		t.pools[key] = p
	}
	p.usedAt.Store(int64(p.now()))
	p.inFlight.Add(1)
	return p
}

// share is how many of an instance's connections this entry VM may use.
func (t *Transport) share(connections int) int {
	if connections <= 0 {
		connections = defaultConnections
	}
	return max(1, connections/t.options.EntryVMs)
}

// sweep forgets the pools of addresses that no request went to lately.
func (t *Transport) sweep(now time.Time) {
	if now.Sub(t.swept) < sweepEvery {
		return
	}
	t.swept = now
	for key, p := range t.pools {
		idle := p.now() - time.Duration(p.usedAt.Load())
		if idle > poolIdle && p.inFlight.Load() == 0 {
			p.http.CloseIdleConnections()
			delete(t.pools, key)
		}
	}
}
