package intake

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"github.com/comfreyloom/comfreyloom/internal/steady"
)

// ErrOverloaded is the error of a request that was given up, or not begun, to make room
// for others. It has not run.
var ErrOverloaded = errors.New("intake: too much is held for other connections")

// ErrTooSlow is the error of a request that did not arrive in time. It has not run.
var ErrTooSlow = errors.New("intake: the request did not arrive in time")

// ErrTooLarge is the error of a request that would hold more than the listener may hold
// in all. It has not run.
var ErrTooLarge = errors.New("intake: the request would hold too much memory")

// Status returns the HTTP status of the response to a request that was not run because of
// an error of this package, or 0 for other errors.
func Status(err error) int {
	switch {
	case errors.Is(err, ErrOverloaded):
		return http.StatusServiceUnavailable
	case errors.Is(err, ErrTooSlow):
		return http.StatusRequestTimeout
	case errors.Is(err, ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	default:
		return 0
	}
}

// errIdle is why a connection is closed that was idle for too long.
var errIdle = errors.New("intake: the connection was idle")

// sweepInterval is the time between two checks for connections that are overdue.
const sweepInterval = 250 * time.Millisecond

// reportInterval is the least time between two log lines of a gate.
const reportInterval = time.Second

// Config holds the bounds of one listener.
type Config struct {
	// Name names the listener in logs and metrics.
	Name string
	// Memory is what all connections may hold, in bytes, Connections how many may be
	// open.
	Memory      int64
	Connections int
	// Limits returns the limits in force; nil means the defaults.
	Limits func() Limits
	// PassesBodies is set if handlers pass bodies on as they arrive. They then charge
	// by Reserve what they keep.
	PassesBodies bool
	// RefusalHeader returns the header lines of responses to requests that no handler
	// has seen, each with its line end; nil means none.
	RefusalHeader func() string
	Logger        log.Interface
	Metrics       metrics.Registry
}

// Gate bounds the connections of one listener. Run must run while it is in use.
type Gate struct {
	config  Config
	startAt time.Time
	events  events

	mu     sync.Mutex
	ledger *ledger
}

// events counts what a gate has decided.
type events struct {
	shed, refused, late, tooLarge metrics.Counter
	open, held                    metrics.Gauge
}

// New returns a gate.
func New(c Config) *Gate {
	counter := func(event string) metrics.Counter {
		return metrics.GetOrRegisterCounter("intake."+c.Name+"."+event, c.Metrics)
	}
	return &Gate{
		config: c, startAt: time.Now(), ledger: newLedger(c.Memory, c.Connections),
		events: events{
			shed: counter("shed"), refused: counter("refused"), late: counter("late"), tooLarge: counter("too_large"),
			open: metrics.GetOrRegisterGauge("intake."+c.Name+".open", c.Metrics),
			held: metrics.GetOrRegisterGauge("intake."+c.Name+".held", c.Metrics),
		},
	}
}

func (g *Gate) now() time.Duration { return time.Since(g.startAt) }

func (g *Gate) limits() Limits {
	if g.config.Limits == nil {
		return Limits{}.withDefaults()
	}
	return g.config.Limits().withDefaults()
}

// holder is whom an account belongs to.
type holder interface {
	// bind is called with the account before anything else sees it.
	bind(a *account)
	// interrupt makes the peer's next read or write fail; no lock is held.
	interrupt(reason error)
}

// open adds an account, or returns false if there is no room for it.
func (g *Gate) open(h holder, shared bool) bool {
	g.mu.Lock()
	a, shed := g.ledger.open(g.now())
	if a != nil {
		a.holder, a.shared = h, shared
		h.bind(a)
	}
	g.mu.Unlock()
	g.interrupt(shed, ErrOverloaded)
	if a == nil {
		g.events.refused.Inc(1)
	}
	return a != nil
}

func (g *Gate) close(a *account) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.close(a)
}

// charge adds bytes to an account. The error is ErrOverloaded or ErrTooLarge.
func (g *Gate) charge(a *account, bytes int64) error {
	g.mu.Lock()
	shed, ok := g.ledger.charge(a, bytes, g.now())
	fits := g.ledger.fits(a, bytes)
	g.mu.Unlock()
	g.interrupt(shed, ErrOverloaded)
	return g.refusal(ok, fits)
}

func (g *Gate) refusal(ok, fits bool) error {
	switch {
	case ok:
		return nil
	case fits:
		g.events.refused.Inc(1)
		return ErrOverloaded
	default:
		g.events.tooLarge.Inc(1)
		return ErrTooLarge
	}
}

// interrupt wakes accounts that leave.
func (g *Gate) interrupt(leaving []*account, reason error) {
	switch reason {
	case ErrOverloaded:
		g.events.shed.Inc(int64(len(leaving)))
	case ErrTooSlow:
		g.events.late.Inc(int64(len(leaving)))
	}
	for _, a := range leaving {
		a.holder.interrupt(reason)
	}
}

// errHeadTooLarge is the error of a head beyond its limit.
var errHeadTooLarge = errors.New("intake: the head is too large")

// receive accounts for bytes that have arrived.
func (g *Gate) receive(a *account, p []byte) error {
	limit := g.limits().HeaderBytes + headerSlack
	g.mu.Lock()
	a.progressAt = g.now()
	if a.phase == phaseIdle && !a.shared {
		a.phase, a.since = phaseHead, a.progressAt
	}
	cost := int64(0)
	switch a.phase {
	case phaseHead:
		a.headBytes += int64(len(p))
		cost = int64(len(p)) + lineBytes*int64(bytes.Count(p, []byte{'\n'}))
	case phaseBody:
		if !g.config.PassesBodies {
			cost = bodyFactor * int64(len(p))
		}
	}
	tooLarge := a.phase == phaseHead && a.headBytes > limit
	shed, ok := g.ledger.charge(a, cost, a.progressAt)
	fits := g.ledger.fits(a, cost)
	g.mu.Unlock()
	g.interrupt(shed, ErrOverloaded)
	if tooLarge {
		g.events.tooLarge.Inc(1)
		return errHeadTooLarge
	}
	return g.refusal(ok, fits)
}

// begin accounts for a request whose head has arrived. The head is charged as it was
// parsed: a head that came together with the request before it wasn't seen by receive.
func (g *Gate) begin(a *account, headCost int64, hasBody bool, extra int64) error {
	g.mu.Lock()
	now := g.now()
	if a.phase == phaseIdle {
		a.since = now
	}
	a.phase, a.progressAt = phaseHandling, now
	if hasBody {
		a.phase = phaseBody
	}
	bytes := connectionBytes + headCost + requestBytes + extra - a.charged
	shed, ok := g.ledger.charge(a, max(bytes, requestBytes+extra), now)
	g.mu.Unlock()
	g.interrupt(shed, ErrOverloaded)
	return g.refusal(ok, true)
}

// enter records what a connection is doing.
func (g *Gate) enter(a *account, p phase) {
	g.mu.Lock()
	defer g.mu.Unlock()
	a.phase, a.progressAt = p, g.now()
}

// settle ends the current request of an account.
func (g *Gate) settle(a *account) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.settle(a, g.now())
}

// Run closes connections that are overdue until ctx ends.
func (g *Gate) Run(ctx context.Context) error {
	var reported [4]int64
	reportAt := time.Duration(0)
	for ctx.Err() == nil {
		steady.Pause(ctx, sweepInterval)
		g.sweep()
		if now := g.now(); now >= reportAt {
			reported, reportAt = g.report(reported), now+reportInterval
		}
	}
	return ctx.Err()
}

func (g *Gate) sweep() {
	limits := g.limits()
	g.mu.Lock()
	idle, late := g.ledger.overdue(limits, g.now())
	open, held := len(g.ledger.accounts), g.ledger.charged+g.ledger.leaving
	g.mu.Unlock()
	g.events.open.Update(int64(open))
	g.events.held.Update(held)
	g.interrupt(idle, errIdle)
	g.interrupt(late, ErrTooSlow)
}

// report writes a line if anything was shed, refused or late since the last report.
func (g *Gate) report(before [4]int64) [4]int64 {
	e := &g.events
	now := [4]int64{e.shed.Count(), e.refused.Count(), e.late.Count(), e.tooLarge.Count()}
	if now == before || g.config.Logger == nil {
		return now
	}
	g.config.Logger.WithField("listener", g.config.Name).WithField("shed", now[0]-before[0]).
		WithField("refused", now[1]-before[1]).WithField("late", now[2]-before[2]).WithField("too_large", now[3]-before[3]).
		WithField("open", e.open.Value()).WithField("held", e.held.Value()).
		Warn("connections were closed or refused")
	return now
}

// Listen wraps a listener.
func (g *Gate) Listen(l net.Listener) net.Listener { return &listener{Listener: l, gate: g} }

// ListenShared wraps a listener whose connections carry many requests at once. Each
// request gets its own account from Call.
func (g *Gate) ListenShared(l net.Listener) net.Listener {
	return &listener{Listener: l, gate: g, shared: true}
}
