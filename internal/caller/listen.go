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

	"github.com/comfreyloom/comfreyloom/internal/intake"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/upstream"
)

// surplusDivisor bounds the connections beyond the limit that still get a
// response: at most limit/surplusDivisor+1 of them. Any further connections are
// closed without one.
const surplusDivisor = 4

// connLimiter bounds the open connections, in total and per remote IP.
type connLimiter struct {
	limit, perIP int64
	counters     *counters

	mu    sync.Mutex
	total int64
	byIP  map[netip.Addr]int64
}

func newConnLimiter(limit, perIP int64, c *counters) *connLimiter {
	return &connLimiter{limit: limit, perIP: perIP, counters: c, byIP: make(map[netip.Addr]int64)}
}

// admit counts a connection. If it is surplus, its requests are to be refused;
// if it is not admitted, it is to be closed at once.
func (o *connLimiter) admit(ip netip.Addr) (surplus, admitted bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	total, fromIP := o.total+1, o.byIP[ip]+1
	if total > o.limit+o.limit/surplusDivisor+1 || fromIP > o.perIP+o.perIP/surplusDivisor+1 {
		o.counters.connectionsRejected.Inc(1)
		return false, false
	}
	o.total, o.byIP[ip] = total, fromIP
	surplus = total > o.limit || fromIP > o.perIP
	if surplus {
		o.counters.surplusConnections.Inc(1)
	}
	return surplus, true
}

func (o *connLimiter) release(ip netip.Addr) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.total--
	o.byIP[ip]--
	if o.byIP[ip] == 0 {
		delete(o.byIP, ip)
	}
}

func (o *connLimiter) openCount() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.total
}

// Listen opens the listener for callers on IP:port. It uses plain TCP: Go's
// default, multipath TCP, supports no socket filter, which Drain needs (see
// dropNewConnections).
func Listen(ctx context.Context, address string) (net.Listener, error) {
	var c net.ListenConfig
	c.SetMultipathTCP(false)
	l, err := c.Listen(ctx, "tcp", address)
	return l, oops.In("caller").Wrapf(err, "listen on %s", address)
}

// listener accepts connections within the bounds of a gate and of conns.
type listener struct {
	net.Listener
	// accept is Listener behind the gate.
	accept net.Listener
	conns  *connLimiter
	close  func() error
}

// newListener bounds l; the gate may be nil. Its Close may be called more than once: a stop closes
// the listener, and http.Server.Shutdown closes it again unless Serve has
// returned in between. An error of the second close would turn a clean stop
// into a failed one.
func newListener(l net.Listener, g *intake.Gate, conns *connLimiter) *listener {
	accept := l
	if g != nil {
		accept = g.Listen(l)
	}
	return &listener{Listener: l, accept: accept, conns: conns, close: sync.OnceValue(l.Close)}
}

// Close closes the listener; every call returns the same result.
func (l *listener) Close() error { return l.close() }

// Accept returns the next connection that the limiter admits.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.accept.Accept()
		if err != nil {
			return nil, err
		}
		ip := remoteIP(c)
		surplus, admitted := l.conns.admit(ip)
		if !admitted {
			_ = c.Close()
			continue
		}
		enableKeepAlive(c)
		return &callerConn{Conn: c, ip: ip, surplus: surplus, conns: l.conns}, nil
	}
}

const (
	// callerKeepAlive is the idle time before, and the interval between, TCP
	// keepalive probes of a caller's connection.
	callerKeepAlive = 5 * time.Second
	// callerProbes is how many probes may go unanswered.
	callerProbes = 3
	// callerUserTimeout bounds how long a response may stay unacknowledged.
	callerUserTimeout = 15 * time.Second
)

// enableKeepAlive lets the kernel detect connections whose peer has
// disappeared: until then, a request that runs for such a caller holds a slot.
func enableKeepAlive(c net.Conn) {
	if wrapped, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = wrapped.NetConn()
	}
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
	conns   *connLimiter
	once    sync.Once
	// handlerStarted reports that a handler has taken over the current request.
	handlerStarted atomic.Bool
}

// Close releases the connection's place in the limiter and closes it.
func (c *callerConn) Close() error {
	c.once.Do(func() { c.conns.release(c.ip) })
	return c.Conn.Close()
}

// Write adds a verdict to the error responses that net/http writes itself for
// input that it can't parse as a request. They are the only ones written before
// a handler was called, each in one write.
func (c *callerConn) Write(p []byte) (int, error) {
	if c.handlerStarted.Load() || !bytes.HasPrefix(p, []byte("HTTP/1.1 ")) {
		return c.Conn.Write(p)
	}
	line, rest, ok := bytes.Cut(p, []byte("\r\n"))
	if !ok {
		return c.Conn.Write(p)
	}
	var out bytes.Buffer
	out.Write(line)
	out.WriteString("\r\n" + RefusalHeader())
	out.Write(rest)
	if _, err := c.Conn.Write(out.Bytes()); err != nil {
		return 0, err
	}
	return len(p), nil
}

// RefusalHeader returns the header lines of a response to a request that no handler has
// seen: it has not run.
func RefusalHeader() string {
	return model.VerdictHeader + ": " + model.NotRun.String() + "\r\n" + upstream.RequestIDHeader + ": " + uuid.NewString() + "\r\n"
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	if cc, ok := c.(*callerConn); ok {
		ctx = intake.ConnContext(ctx, cc.Conn)
	}
	return context.WithValue(ctx, connKey{}, c)
}

// isSurplus reports whether the request came on a connection beyond the limit.
func isSurplus(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(*callerConn)
	return ok && c.surplus
}

// markHandlerStarted records that a handler has taken over the request.
func markHandlerStarted(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*callerConn); ok {
		c.handlerStarted.Store(true)
	}
}

// onConnState clears the mark of markHandlerStarted between two requests.
func onConnState(c net.Conn, state http.ConnState) {
	if cc, ok := c.(*callerConn); ok && state == http.StateIdle {
		cc.handlerStarted.Store(false)
		intake.ConnState(cc.Conn, state)
	}
}
