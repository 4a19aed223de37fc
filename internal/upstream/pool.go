package upstream

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
)

// poolKey identifies a pool: the connections to one address under one limit.
type poolKey struct {
	address string
	limit   int
}

// pool holds the connections to one address.
type pool struct {
	options    *Options
	http       http.Transport
	mismatched metrics.Counter
	// started is the origin of the pool's monotonic clock.
	started time.Time
	// lastActiveAt is when a connection of the pool was last made or read from.
	lastActiveAt atomic.Int64
	// invalidatedAt is when the connections last became suspect. Those from
	// which nothing has been read since are not reused.
	invalidatedAt atomic.Int64
	// usedAt is when a request last used the pool.
	usedAt   atomic.Int64
	inFlight atomic.Int64
}

func newPool(key poolKey, o *Options, mismatched metrics.Counter) *pool {
	p := &pool{options: o, mismatched: mismatched, started: time.Now()}
	p.http = http.Transport{
		DialContext:            p.dial,
		DisableCompression:     true,
		MaxConnsPerHost:        key.limit,
		MaxIdleConnsPerHost:    key.limit,
		IdleConnTimeout:        o.ReuseWithin,
		ResponseHeaderTimeout:  0,
		MaxResponseHeaderBytes: o.MaxResponseHeader,
		WriteBufferSize:        o.BufferBytes,
		ReadBufferSize:         o.BufferBytes,
	}
	return p
}

// now returns the time since the pool was made.
func (p *pool) now() time.Duration { return time.Since(p.started) }

func (p *pool) dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout: p.options.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     p.options.KeepAlive,
			Interval: p.options.KeepAlive,
			Count:    keepAliveProbes,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return SetUserTimeout(raw, p.options.UserTimeout)
		},
	}
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return newConn(c, p), nil
}

// recordActivity records that a connection of the pool works.
func (p *pool) recordActivity(at time.Duration) { p.lastActiveAt.Store(int64(at)) }

// invalidate marks the current connections as suspect.
func (p *pool) invalidate() { p.invalidatedAt.Store(int64(p.now())) }

// isReusable reports whether a connection that was last active at the given
// time may carry another request.
func (p *pool) isReusable(lastActive time.Duration) bool {
	if p.now()-lastActive > p.options.ReuseWithin {
		return false
	}
	return int64(lastActive) > p.invalidatedAt.Load()
}

// dropStale closes the idle connections when none of them may be reused, so
// that the next request makes a new one.
func (p *pool) dropStale() {
	if !p.isReusable(time.Duration(p.lastActiveAt.Load())) {
		p.http.CloseIdleConnections()
	}
}
