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
	// balancerDelay is how long a stopping entry VM still takes requests after
	// it became unready: the balancer asks once a second and acts on the
	// second refusal.
	balancerDelay = 2500 * time.Millisecond
	// stopReserve is what is left of the time to stop when requests in
	// progress are given up.
	stopReserve = 700 * time.Millisecond
	// handOverTimeout bounds the transfer of leadership.
	handOverTimeout = 1500 * time.Millisecond
	// lingerCore is how long a core VM forwards requests after it handed
	// leadership over, until others have heard of it.
	lingerCore = 600 * time.Millisecond

	headerBytes   = 64 << 10
	headerTimeout = 5 * time.Second
	readTimeout   = 30 * time.Second
	idleTimeout   = 90 * time.Second
)

// stopFlag says that the process is about to stop.
type stopFlag struct{ atomic.Bool }

// Run serves until ctx ends, then stops gracefully.
func (m *Member) Run(ctx context.Context) error {
	duties, end := context.WithCancel(context.Background())
	defer end()
	p := pool.New().WithContext(duties).WithCancelOnError().WithFirstError()
	servers := m.startServers(p)
	m.startDuties(p)
	m.Logger.WithField("node", string(m.Settings.Node.Name)).WithField("role", string(m.Settings.Node.Role)).Info("started")
	failed := make(chan error, 1)
	go func() { failed <- p.Wait() }()
	select {
	case err := <-failed:
		return oops.In("member").Wrapf(err, "a duty ended")
	case <-ctx.Done():
	}
	m.stop(servers)
	end()
	<-failed
	m.Logger.WithField("node", string(m.Settings.Node.Name)).Info("stopped")
	return nil
}

func (m *Member) startDuties(p *pool.ContextPool) {
	duties := []func(context.Context) error{m.nodes.Run, m.Greeter.Run}
	if m.replica != nil {
		duties = append(duties, m.replica.Run, m.dispatcher.Run)
	}
	for _, duty := range duties {
		p.Go(func(ctx context.Context) error { return endedBy(ctx, duty(ctx)) })
	}
}

// endedBy returns nil for a duty that ended only because ctx did.
func endedBy(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// startServers serves every open socket and returns the servers of callers and
// operators, which are drained when the process stops.
func (m *Member) startServers(p *pool.ContextPool) []*http.Server {
	var drained []*http.Server
	serve := func(l net.Listener, s *http.Server) {
		p.Go(func(ctx context.Context) error {
			defer context.AfterFunc(ctx, func() { _ = s.Close() })()
			if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
	}
	if l := m.sockets.callers; l != nil {
		s := boundedServer(m.outside.Callers(m))
		drained = append(drained, s)
		serve(l, s)
	}
	if l := m.sockets.operators; l != nil {
		s := boundedServer(m.outside.Operators(m))
		drained = append(drained, s)
		serve(l, s)
	}
	if l := m.sockets.readiness; l != nil {
		serve(l, boundedServer(http.HandlerFunc(m.readiness)))
	}
	if l := m.sockets.metrics; l != nil {
		serve(l, boundedServer(http.HandlerFunc(m.serveMetrics)))
	}
	p.Go(func(ctx context.Context) error {
		s := node.NewHTTPServer(ctx, m.nodeServer.Handler())
		defer context.AfterFunc(ctx, func() { _ = s.Close() })()
		if err := s.Serve(m.sockets.nodes); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return drained
}

func boundedServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, MaxHeaderBytes: headerBytes, ReadHeaderTimeout: headerTimeout,
		ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
	}
}

// readiness answers the balancer.
func (m *Member) readiness(w http.ResponseWriter, _ *http.Request) {
	if m.stopping.Load() || !m.Greeter.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (m *Member) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	metrics.WriteOnce(m.Metrics, w)
}

// stop drains in the order that cuts off no request: first the balancer is
// told, then leadership is handed over, then running requests end.
func (m *Member) stop(servers []*http.Server) {
	began := time.Now()
	m.stopping.Store(true)
	if m.replica != nil {
		m.handOver()
		time.Sleep(lingerCore)
	} else {
		time.Sleep(balancerDelay)
	}
	left := m.Settings.Bounds.StopWithin - stopReserve - time.Since(began)
	ctx, cancel := context.WithTimeout(context.Background(), max(left, 0))
	defer cancel()
	for _, s := range servers {
		s.SetKeepAlivesEnabled(false)
		if err := s.Shutdown(ctx); err != nil {
			m.Logger.WithError(err).Warn("requests in progress were given up at the stop")
		}
	}
}

func (m *Member) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	if err := m.replica.TransferLeadership(ctx); err != nil {
		m.Logger.WithError(err).Warn("leadership was not handed over; the others elect")
	}
}
