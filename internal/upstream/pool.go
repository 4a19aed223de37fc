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
	// provedAt is when any connection last yielded bytes, in ns.
	provedAt atomic.Int64
	// distrustedAt is when a request last met silence, in ns: connections
	// that have not answered since are not used again.
	distrustedAt atomic.Int64
	// usedAt is when the pool was last asked, in ns.
	usedAt   atomic.Int64
	inFlight atomic.Int64
}

func newPool(key poolKey, o *Options, foreign metrics.Counter) *pool {
	p := &pool{options: o, foreign: foreign}
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

func (p *pool) now() time.Time { return p.options.Now() }

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
			return setUserTimeout(raw, p.options.UserTimeout)
		},
	}
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return newConn(c, p), nil
}

// prove records that a connection of the pool works.
func (p *pool) prove(at time.Time) { p.provedAt.Store(at.UnixNano()) }

// distrust records that a request met silence.
func (p *pool) distrust() { p.distrustedAt.Store(p.now().UnixNano()) }

// trusted reports whether a connection that was proved at the time may carry
// a request.
func (p *pool) trusted(proved time.Time) bool {
	if p.now().Sub(proved) > p.options.FreshFor {
		return false
	}
	return proved.UnixNano() > p.distrustedAt.Load()
}

// dropStale closes the idle connections when none of them can be trusted, so
// that the next request makes a new one.
func (p *pool) dropStale() {
	if !p.trusted(time.Unix(0, p.provedAt.Load())) {
		p.http.CloseIdleConnections()
	}
}
