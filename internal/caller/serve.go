package caller

import (
	"bytes"
	"context"
	"errors"
	golog "log"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/samber/oops"
	"github.com/sourcegraph/conc"

	"github.com/comfreyloom/comfreyloom/internal/steady"
)

const (
	// defaultLinger is how long callers' open connections are still served after
	// the listener is closed.
	defaultLinger = time.Second
	// lingerPollInterval is how often the open connections are counted meanwhile.
	lingerPollInterval = 10 * time.Millisecond
	// acceptDrainDelay is how long connections that are being established are
	// still accepted after new ones are dropped and before the listener closes.
	acceptDrainDelay = 50 * time.Millisecond
)

func (s *Server) newHTTPServer() *http.Server {
	routes := s.routes()
	if s.Gate != nil {
		routes = s.Gate.Handler(routes, s.refuseAtGate)
	}
	return &http.Server{
		Handler:           s.wrapHandler(routes),
		ReadHeaderTimeout: s.limits.HeaderTimeout,
		IdleTimeout:       s.limits.IdleTimeout,
		MaxHeaderBytes:    s.limits.MaxHeaderBytes,
		ConnContext:       withConn,
		ConnState:         onConnState,
		ErrorLog:          golog.New(errorLogWriter{s}, "", 0),
	}
}

// errorLogWriter counts what net/http would write to its log.
type errorLogWriter struct{ s *Server }

// Write counts one message and logs it.
func (e errorLogWriter) Write(p []byte) (int, error) {
	e.s.counters.serverErrors.Inc(1)
	e.s.Logger.Debugf("callers: %s", bytes.TrimSpace(p))
	return len(p), nil
}

// wrapHandler wraps all routes: it records on the connection that a handler has
// started, bounds the arrival of a body even if no handler reads it, and turns a
// panic into a cut connection, which carries no verdict.
func (s *Server) wrapHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		markHandlerStarted(r)
		if r.ContentLength != 0 {
			setReadDeadline(w, time.Now().Add(s.limits.BodyTimeout))
		}
		defer s.recoverPanic()
		next.ServeHTTP(w, r)
	})
}

func (s *Server) recoverPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	if cause != http.ErrAbortHandler {
		s.counters.panics.Inc(1)
		s.Logger.Errorf("callers: panic: %v\n%s", cause, debug.Stack())
	}
	panic(http.ErrAbortHandler)
}

// Serve accepts callers on l until Drain; it returns nil after a drain.
func (s *Server) Serve(l net.Listener) error {
	bounded := newListener(l, s.Gate, s.conns)
	s.mu.Lock()
	s.listeners = append(s.listeners, bounded)
	s.mu.Unlock()
	err := s.http.Serve(bounded)
	if errors.Is(err, http.ErrServerClosed) || s.draining.Load() && errors.Is(err, net.ErrClosed) {
		return nil
	}
	return oops.In("caller").Wrapf(err, "serve callers")
}

// Run runs the background tasks that record outcomes and cancel jobs until ctx
// ends. It must outlive Drain, which waits for the outcomes that are still to be
// recorded.
func (s *Server) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	for range outcomeRecorders {
		tasks.Go(func() { s.runOutcomeRecorder(ctx) })
	}
	tasks.Go(func() { s.runCancellations(ctx) })
	tasks.Wait()
}

// Drain stops gracefully: readiness turns off, and each response asks its caller
// to close the connection; after BalancerDelay no more connections are accepted;
// then every request in progress runs to its end. It returns an error if ctx
// ends first.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	s.Logger.Info("callers: draining")
	steady.Pause(ctx, s.BalancerDelay)
	s.closeListeners(ctx)
	s.linger(ctx)
	if err := s.http.Shutdown(ctx); err != nil {
		return oops.In("caller").Wrapf(err, "requests still in progress")
	}
	return s.waitOutcomesRecorded(ctx)
}

// closeListeners drops new connections, accepts those that are already
// established, and closes the listeners.
func (s *Server) closeListeners(ctx context.Context) {
	s.mu.Lock()
	listeners := s.listeners
	s.mu.Unlock()
	for _, l := range listeners {
		if err := dropNewConnections(l.Listener); err != nil {
			s.Logger.WithError(err).Warn("callers: connections that are being established may be reset")
		}
	}
	steady.Pause(ctx, acceptDrainDelay)
	for _, l := range listeners {
		_ = l.Close()
	}
}

// linger serves open connections for a while. Shutdown closes idle ones at once,
// and a request that is just arriving on one would be cut.
func (s *Server) linger(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.Linger)
	defer cancel()
	for s.conns.openCount() > 0 && ctx.Err() == nil {
		steady.Pause(ctx, lingerPollInterval)
	}
}

// waitOutcomesRecorded waits until the outcomes of all claims of this process
// are recorded.
func (s *Server) waitOutcomesRecorded(ctx context.Context) error {
	settled := make(chan struct{})
	go func() {
		s.unrecorded.Wait()
		close(settled)
	}()
	select {
	case <-settled:
		return nil
	case <-ctx.Done():
		return oops.In("caller").Wrapf(ctx.Err(), "claim outcomes not yet recorded")
	}
}

// Close closes every connection at once; for tests and for a second signal.
func (s *Server) Close() error { return s.http.Close() }
