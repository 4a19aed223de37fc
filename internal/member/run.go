package member

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/samber/oops"
	"github.com/sourcegraph/conc/pool"

	"github.com/comfreyloom/comfreyloom/internal/node"
)

const (
	// balancerDelay is how long a stopping entry VM still accepts requests after
	// it became unready: the balancer checks readiness once a second and acts on
	// the second failed check.
	balancerDelay = 2500 * time.Millisecond
	// stopReserve is how long before the end of the stop timeout requests in
	// progress are given up.
	stopReserve = 700 * time.Millisecond
	// transferTimeout bounds the transfer of leadership.
	transferTimeout = 1500 * time.Millisecond
	// forwardingPeriod is how long a core VM forwards requests after it
	// transferred leadership, until the others know the new leader.
	forwardingPeriod = 600 * time.Millisecond
)

// stopFlag is set when the process is stopping.
type stopFlag struct{ atomic.Bool }

// Run serves until ctx ends, then stops gracefully.
func (m *Member) Run(ctx context.Context) error {
	taskCtx, end := context.WithCancel(context.Background())
	defer end()
	p := pool.New().WithContext(taskCtx).WithCancelOnError().WithFirstError()
	servers := m.startServers(p)
	m.startBackgroundTasks(p)
	m.Logger.WithField("node", string(m.Settings.Node.Name)).WithField("role", string(m.Settings.Node.Role)).Info("started")
	failed := make(chan error, 1)
	go func() { failed <- p.Wait() }()
	select {
	case err := <-failed:
		return oops.In("member").Wrapf(err, "a background task ended")
	case <-ctx.Done():
	}
	m.stop(servers)
	end()
	<-failed
	m.Logger.WithField("node", string(m.Settings.Node.Name)).Info("stopped")
	return nil
}

func (m *Member) startBackgroundTasks(p *pool.ContextPool) {
	tasks := []func(context.Context) error{m.nodes.Run, m.HelloClient.Run}
	if m.replica != nil {
		tasks = append(tasks, m.replica.Run, m.dispatcher.Run, m.relays.Run)
	}
	for _, task := range tasks {
		p.Go(func(ctx context.Context) error { return ignoreAfterCancel(ctx, task(ctx)) })
	}
}

// ignoreAfterCancel returns nil if ctx has ended, and otherwise err: background
// tasks that end because of ctx return an error, too.
func ignoreAfterCancel(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// startServers serves every open socket. It returns the servers for callers and
// operators, which are drained when the process stops.
func (m *Member) startServers(p *pool.ContextPool) []*http.Server {
	var drained []*http.Server
	serve := func(l net.Listener, kind socketKind, h http.Handler) *http.Server {
		g := m.newGate(kind)
		s := g.Server(h, m.dependencies.Refuse)
		p.Go(func(ctx context.Context) error { return ignoreAfterCancel(ctx, g.Run(ctx)) })
		p.Go(func(ctx context.Context) error {
			defer context.AfterFunc(ctx, func() { _ = s.Close() })()
			if err := s.Serve(g.Listen(l)); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
		return s
	}
	if l := m.sockets.callers; l != nil {
		drained = append(drained, serve(l, callersSocket, m.dependencies.Callers(m)))
	}
	if l := m.sockets.operators; l != nil {
		drained = append(drained, serve(l, operatorsSocket, m.dependencies.Operators(m)))
	}
	if l := m.sockets.readiness; l != nil {
		serve(l, readinessSocket, http.HandlerFunc(m.readiness))
	}
	if l := m.sockets.metrics; l != nil {
		serve(l, metricsSocket, http.HandlerFunc(m.serveMetrics))
	}
	bounds := m.newNodeIntake()
	p.Go(func(ctx context.Context) error { return ignoreAfterCancel(ctx, bounds.Run(ctx)) })
	p.Go(func(ctx context.Context) error {
		s := node.NewHTTPServer(ctx, bounds.Handler(m.nodeServer.Handler()))
		defer context.AfterFunc(ctx, func() { _ = s.Close() })()
		if err := s.Serve(bounds.Listen(m.sockets.nodes)); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return drained
}

// readiness handles the readiness check of the balancer.
func (m *Member) readiness(w http.ResponseWriter, _ *http.Request) {
	if m.stopping.Load() || !m.HelloClient.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (m *Member) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	metrics.WriteOnce(m.Metrics, w)
}

// stop stops in an order that interrupts no request: first the balancer sees the
// process as unready, then leadership is transferred, then requests in progress
// complete.
func (m *Member) stop(servers []*http.Server) {
	startedAt := time.Now()
	m.stopping.Store(true)
	if m.replica != nil {
		m.relayServer.Stop()
		m.transferLeadership()
		time.Sleep(forwardingPeriod)
	} else {
		time.Sleep(balancerDelay)
	}
	remaining := m.Settings.Bounds.StopTimeout - stopReserve - time.Since(startedAt)
	ctx, cancel := context.WithTimeout(context.Background(), max(remaining, 0))
	defer cancel()
	for _, s := range servers {
		s.SetKeepAlivesEnabled(false)
		if err := s.Shutdown(ctx); err != nil {
			m.Logger.WithError(err).Warn("requests in progress were given up at the stop")
		}
	}
}

func (m *Member) transferLeadership() {
	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	defer cancel()
	if err := m.replica.TransferLeadership(ctx); err != nil {
		m.Logger.WithError(err).Warn("leadership was not handed over; the others elect")
	}
}
