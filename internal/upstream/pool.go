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

// poolKey names a pool: connections of one address under one limit.
type poolKey struct {
	address string
	limit   int
}

// pool holds the connections to one address.
type pool struct {
	options *Options
	http    http.Transport
	foreign metrics.Counter
	// started is the zero of the pool's clock, which never steps.
	started time.Time
	// provedAt is when any connection last yielded bytes.
	provedAt atomic.Int64
	// distrustedAt is when a request last met silence: connections that have
	// not answered since are not used again.
	distrustedAt atomic.Int64
	// usedAt is when the pool was last asked.
	usedAt   atomic.Int64
	inFlight atomic.Int64
}

func newPool(key poolKey, o *Options, foreign metrics.Counter) *pool {
	p := &pool{options: o, foreign: foreign, started: time.Now()}
	p.http = http.Transport{
		DialContext:            p.dial,
		DisableCompression:     true,
		MaxConnsPerHost:        key.limit,
		MaxIdleConnsPerHost:    key.limit,
		IdleConnTimeout:        o.FreshFor,
		ResponseHeaderTimeout:  0,
		MaxResponseHeaderBytes: o.MaxAnswerHeader,
		WriteBufferSize:        o.BufferBytes,
		ReadBufferSize:         o.BufferBytes,
	}
	return p
}

// now is the time since the pool was made.
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

// prove records that a connection of the pool works.
func (p *pool) prove(at time.Duration) { p.provedAt.Store(int64(at)) }

// distrust records that a request met silence.
func (p *pool) distrust() { p.distrustedAt.Store(int64(p.now())) }

// trusted reports whether a connection that was proved at the time may carry
// a request.
func (p *pool) trusted(proved time.Duration) bool {
	if p.now()-proved > p.options.FreshFor {
		return false
	}
	return int64(proved) > p.distrustedAt.Load()
}

// dropStale closes the idle connections when none of them can be trusted, so
// that the next request makes a new one.
func (p *pool) dropStale() {
	if !p.trusted(time.Duration(p.provedAt.Load())) {
		p.http.CloseIdleConnections()
	}
}
