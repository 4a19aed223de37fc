package upstream

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

const (
	defaultDialTimeout       = 1 * time.Second
	defaultReuseWithin       = 1 * time.Second
	defaultKeepAlive         = 1 * time.Second
	defaultUserTimeout       = 4 * time.Second
	defaultMaxResponseHeader = 64 << 10
	defaultBufferBytes       = 2 << 10
	// keepAliveProbes is how many keepalive probes may go unanswered.
	keepAliveProbes = 3
	// maxPoolIdle is how long a pool is kept after its last request.
	maxPoolIdle = 1 * time.Minute
	// sweepEvery is the interval at which unused pools are dropped.
	sweepEvery = 10 * time.Second
	// defaultConnections is the limit of an upstream that announces none.
	defaultConnections = 64
)

// Options bound the connections to upstreams. Zero fields take their defaults.
type Options struct {
	// DialTimeout bounds the time to establish a connection.
	DialTimeout time.Duration
	// ReuseWithin is how long after its last activity a connection may be reused.
	// After that it is closed and a new one is made.
	ReuseWithin time.Duration
	// KeepAlive is the idle time before, and the interval between, TCP
	// keepalive probes.
	KeepAlive time.Duration
	// UserTimeout bounds how long sent bytes may stay unacknowledged.
	UserTimeout time.Duration
	// MaxResponseHeader bounds the header of a response, in bytes.
	MaxResponseHeader int64
	// BufferBytes is the size of each connection's read and write buffer. Small
	// buffers limit the memory of a thousand open requests; larger reads and
	// writes bypass them.
	BufferBytes int
	// EntryVMs is how many entry VMs share an instance's connections. Each uses
	// at most its share.
	EntryVMs int
	// Metrics receives the counters; the default registry if nil.
	Metrics metrics.Registry
}

func (o Options) withDefaults() Options {
	setDefault(&o.DialTimeout, defaultDialTimeout)
	setDefault(&o.ReuseWithin, defaultReuseWithin)
	setDefault(&o.KeepAlive, defaultKeepAlive)
	setDefault(&o.UserTimeout, defaultUserTimeout)
	setDefault(&o.MaxResponseHeader, defaultMaxResponseHeader)
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

// Transport sends requests to upstreams, each at most once per call of Send.
type Transport struct {
	options Options
	// unanswered counts the requests that were written and got no response
	// before their deadline, mismatched the responses that belonged to no
	// request or to another one, refused the writes that would have sent a
	// request twice or after it had ended.
	unanswered metrics.Counter
	mismatched metrics.Counter
	refused    metrics.Counter

	mu        sync.Mutex
	pools     map[poolKey]*pool
	lastSweep time.Time
}

// NewTransport returns a transport without connections.
func NewTransport(o Options) *Transport {
	o = o.withDefaults()
	return &Transport{
		options:    o,
		unanswered: metrics.GetOrRegisterCounter("upstream.requests.silent", o.Metrics),
		mismatched: metrics.GetOrRegisterCounter("upstream.answers.foreign", o.Metrics),
		refused:    metrics.GetOrRegisterCounter("upstream.writes.refused", o.Metrics),
		pools:      make(map[poolKey]*pool),
	}
}

// Close closes the idle connections. Requests in progress continue.
func (t *Transport) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.pools {
		p.http.CloseIdleConnections()
	}
}

// acquirePool returns the pool of an upstream and counts a request as in-flight
// there.
func (t *Transport) acquirePool(u model.Upstream) *pool {
	now := time.Now()
	key := poolKey{address: u.Address, limit: t.connectionShare(u.Connections)}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	p, ok := t.pools[key]
	if !ok {
		p = newPool(key, &t.options, t.mismatched)
		t.pools[key] = p
	}
	p.usedAt.Store(int64(p.now()))
	p.inFlight.Add(1)
	return p
}

// connectionShare returns how many of an instance's connections this entry VM
// may use.
func (t *Transport) connectionShare(connections int) int {
	if connections <= 0 {
		connections = defaultConnections
	}
	return max(1, connections/t.options.EntryVMs)
}

// sweep drops the pools that no request has used lately.
func (t *Transport) sweep(now time.Time) {
	if now.Sub(t.lastSweep) < sweepEvery {
		return
	}
	t.lastSweep = now
	for key, p := range t.pools {
		idle := p.now() - time.Duration(p.usedAt.Load())
		if idle > maxPoolIdle && p.inFlight.Load() == 0 {
			p.http.CloseIdleConnections()
			delete(t.pools, key)
		}
	}
}
