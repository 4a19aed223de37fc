package agent

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/sourcegraph/conc/pool"

	"github.com/comfreyloom/comfreyloom/internal/intake"
	"github.com/comfreyloom/comfreyloom/internal/node"
)

// start runs each background task in its own goroutine. The returned channel
// receives the first error, or nil once all have ended after ctx did.
func (a *Agent) start(ctx context.Context) <-chan error {
	tasks := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	for _, task := range a.backgroundTasks() {
		tasks.Go(func(ctx context.Context) error { return ignoreCancellation(ctx, task(ctx)) })
	}
	result := make(chan error, 1)
	go func() { result <- tasks.Wait() }()
	return result
}

// ignoreCancellation returns err, but nil for a background task that ended only
// because ctx did.
func ignoreCancellation(ctx context.Context, err error) error {
	if ctx.Err() != nil && errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// backgroundTask runs until ctx ends. If it returns an error, the process stops.
type backgroundTask func(ctx context.Context) error

func (a *Agent) backgroundTasks() []backgroundTask {
	all := []backgroundTask{
		a.client.Run,
		a.heartbeats.Run,
		a.registrySync.Run,
		a.dispatcher.Run,
		withoutError(a.callers.Run),
		a.serveCallers,
		a.serveNodes,
		a.servePeer(a.upstreamHandler(), a.listeners.Upstreams, a.intakes.upstreams),
		a.servePeer(a.operatorHandler(), a.listeners.Operators, a.intakes.operators),
		a.intakes.callers.Run,
		a.intakes.upstreams.Run,
		a.intakes.operators.Run,
		a.intakes.nodes.Run,
	}
	if a.replica != nil {
		all = append(all, a.replica.Run, withoutError(a.controller.Run), withoutError(a.runRetention))
	} else {
		all = append(all, a.follower.Run)
	}
	if a.trail != nil {
		all = append(all, func(ctx context.Context) error { return a.trail.Run(ctx, a.log, a.logger) })
	}
	return all
}

// withoutError returns a background task that runs a function which never fails.
func withoutError(run func(context.Context)) backgroundTask {
	return func(ctx context.Context) error {
		run(ctx)
		return nil
	}
}

// serveCallers serves callers until the server is drained. When ctx ends without
// a drain because another background task failed, it closes the server at once:
// the process must not continue to serve with a component missing.
func (a *Agent) serveCallers(ctx context.Context) error {
	cancelClose := context.AfterFunc(ctx, func() { _ = a.callers.Close() })
	defer cancelClose()
	return a.callers.Serve(a.listeners.Callers)
}

func (a *Agent) serveNodes(ctx context.Context) error {
	server := node.NewHTTPServer(ctx, a.intakes.nodes.Handler(a.nodeServer.Handler()))
	return serveUntil(ctx, server, a.intakes.nodes.Listen(a.listeners.Nodes))
}

// servePeer returns a background task that serves one kind of peer until ctx
// ends.
func (a *Agent) servePeer(h http.Handler, l net.Listener, g *intake.Gate) backgroundTask {
	return func(ctx context.Context) error {
		server := g.Server(h, refusePeer)
		server.BaseContext = func(net.Listener) context.Context { return ctx }
		return serveUntil(ctx, server, g.Listen(l))
	}
}

// serveUntil serves until ctx ends, then waits up to peerStopTimeout for the
// requests in progress.
func serveUntil(ctx context.Context, server *http.Server, l net.Listener) error {
	cancelShutdown := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.Background(), peerStopTimeout)
		defer cancel()
		if server.Shutdown(shutdownCtx) != nil {
			_ = server.Close()
		}
	})
	defer cancelShutdown()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
