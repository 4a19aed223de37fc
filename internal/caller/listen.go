package caller

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/samber/oops"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/upstream"
)

// hardShare is how many connections beyond the limit are still answered, as a
// divisor of the limit; those beyond that are closed unanswered.
const hardShare = 4

// openConns bounds the open connections, over all and for each remote IP.
type openConns struct {
	limit, perIP int64
	counters     *counters

	mu    sync.Mutex
	total int64
	byIP  map[netip.Addr]int64
}

func newOpenConns(limit, perIP int64, c *counters) *openConns {
	return &openConns{limit: limit, perIP: perIP, counters: c, byIP: make(map[netip.Addr]int64)}
}

// enter counts a connection in. It is surplus when its requests are to be
// refused, and not admitted when it is to be closed at once.
func (o *openConns) enter(ip netip.Addr) (surplus, admitted bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	total, mine := o.total+1, o.byIP[ip]+1
	if total > o.limit+o.limit/hardShare+1 || mine > o.perIP+o.perIP/hardShare+1 {
		o.counters.turnedAway.Inc(1)
		return false, false
	}
	o.total, o.byIP[ip] = total, mine
	surplus = total > o.limit || mine > o.perIP
	if surplus {
		o.counters.surplus.Inc(1)
	}
	return surplus, true
}

func (o *openConns) leave(ip netip.Addr) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.total--
	o.byIP[ip]--
	if o.byIP[ip] == 0 {
		delete(o.byIP, ip)
	}
}

func (o *openConns) open() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.total
}

// Listen opens the listener of callers on IP:port. It is plain TCP: Go's
// default, multipath TCP, supports no socket filter, which Drain needs (see
// refuseNew).
func Listen(ctx context.Context, address string) (net.Listener, error) {
	var c net.ListenConfig
	c.SetMultipathTCP(false)
	l, err := c.Listen(ctx, "tcp", address)
	return l, oops.In("caller").Wrapf(err, "listen on %s", address)
}

// listener accepts within the bounds of open.
type listener struct {
	net.Listener
	open  *openConns
	close func() error
}

// newListener bounds l. Its Close may be called again: a stop closes the
// listener itself, and then http.Server.Shutdown does once more unless Serve
// has returned in between. The error of the second close would turn a clean
// stop into a failed one.
func newListener(l net.Listener, open *openConns) *listener {
	return &listener{Listener: l, open: open, close: sync.OnceValue(l.Close)}
}

// Close closes the listener; it returns the same each time.
func (l *listener) Close() error { return l.close() }

// Accept returns the next connection that is within the hard bounds.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		ip := remoteIP(c)
		surplus, admitted := l.open.enter(ip)
		if !admitted {
			_ = c.Close()
			continue
		}
		boundSilence(c)
		return &callerConn{Conn: c, ip: ip, surplus: surplus, open: l.open}, nil
	}
}

const (
	// callerKeepAlive is the idle time before, and the interval between, TCP
	// keepalive probes of a caller's connection.
	callerKeepAlive = 5 * time.Second
	// callerProbes is how many probes may go unanswered.
	callerProbes = 3
	// callerUserTimeout bounds how long an answer may stay unacknowledged.
	callerUserTimeout = 15 * time.Second
)

// boundSilence lets the kernel find connections whose other end is gone: a
// request that runs for a caller who vanished holds a slot until then.
func boundSilence(c net.Conn) {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: callerKeepAlive, Interval: callerKeepAlive, Count: callerProbes})
	if raw, err := tcp.SyscallConn(); err == nil {
		_ = upstream.SetUserTimeout(raw, callerUserTimeout)
	}
}

func remoteIP(c net.Conn) netip.Addr {
	a, err := netip.ParseAddrPort(c.RemoteAddr().String())
	if err != nil {
		return netip.Addr{}
	}
	return a.Addr().Unmap()
}

// callerConn is a caller's connection.
type callerConn struct {
	net.Conn
	ip      netip.Addr
	surplus bool
	open    *openConns
	once    sync.Once
	// served says that a handler answers, or answered, the request at hand.
	served atomic.Bool
}

// Close counts the connection out.
func (c *callerConn) Close() error {
	c.once.Do(func() { c.open.leave(c.ip) })
	return c.Conn.Close()
}

// Write adds a verdict to the answers that net/http gives by itself to what it
// can't read as a request. They are the only ones written before a handler
// has been called, each in one write.
func (c *callerConn) Write(p []byte) (int, error) {
	if c.served.Load() || !bytes.HasPrefix(p, []byte("HTTP/1.1 ")) {
		return c.Conn.Write(p)
	}
	line, rest, ok := bytes.Cut(p, []byte("\r\n"))
	if !ok {
		return c.Conn.Write(p)
	}
	var out bytes.Buffer
	out.Write(line)
	out.WriteString("\r\n" + model.VerdictHeader + ": " + model.NotRun.String())
	out.WriteString("\r\n" + upstream.RequestIDHeader + ": " + uuid.NewString() + "\r\n")
	out.Write(rest)
	if _, err := c.Conn.Write(out.Bytes()); err != nil {
		return 0, err
	}
	return len(p), nil
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// surplus reports a request on a connection beyond the limit.
func surplus(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(*callerConn)
	return ok && c.surplus
}

// markServed notes that a handler has taken over.
func markServed(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*callerConn); ok {
		c.served.Store(true)
	}
}

// noteState clears the mark between two requests.
func noteState(c net.Conn, state http.ConnState) {
	if own, ok := c.(*callerConn); ok && state == http.StateIdle {
		own.served.Store(false)
	}
}
