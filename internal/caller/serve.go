package caller

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/samber/oops"
	"github.com/sourcegraph/conc"
)

func (s *Server) newHTTPServer() *http.Server {
	return &http.Server{
		Handler:           marked(s.routes()),
		ReadHeaderTimeout: s.limits.HeaderTimeout,
		IdleTimeout:       s.limits.IdleTimeout,
		MaxHeaderBytes:    s.limits.MaxHeaderBytes,
		ConnContext:       withConn,
		ConnState:         noteState,
		ErrorLog:          nil,
	}
}

// marked notes on the connection that a handler has taken over.
func marked(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		markServed(r)
		next.ServeHTTP(w, r)
	})
}

// Serve accepts callers on l until Drain; it returns nil after a drain.
func (s *Server) Serve(l net.Listener) error {
	err := s.http.Serve(&listener{Listener: l, open: s.open})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return oops.In("caller").Wrapf(err, "listener of callers")
}

// Run runs the duties that record outcomes and cancel jobs until ctx ends.
// It must outlive Drain, which waits for what they still have to do.
func (s *Server) Run(ctx context.Context) {
	var duties conc.WaitGroup
	for range settleWorkers {
		duties.Go(func() { s.runSettle(ctx) })
	}
	duties.Go(func() { s.runCancel(ctx) })
	duties.Wait()
}

// Drain stops gracefully: readiness goes off, the balancer gets time to see
// it, then no more is accepted and every request in progress ends by itself.
// It returns an error if ctx ends first.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	s.Logger.Info("callers: draining")
	pause(ctx, s.BalancerDelay)
	if err := s.http.Shutdown(ctx); err != nil {
		return oops.In("caller").Wrapf(err, "requests were still in progress")
	}
	return s.waitSettled(ctx)
}

// waitSettled waits until the outcome of every claim of ours is recorded.
func (s *Server) waitSettled(ctx context.Context) error {
	settled := make(chan struct{})
	go func() {
		s.unsettled.Wait()
		close(settled)
	}()
	select {
	case <-settled:
		return nil
	case <-ctx.Done():
		return oops.In("caller").Wrapf(ctx.Err(), "outcomes were still to be recorded")
	}
}

// Close ends every connection at once; for tests and a second signal.
func (s *Server) Close() error { return s.http.Close() }
