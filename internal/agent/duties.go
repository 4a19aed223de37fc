package agent

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/sourcegraph/conc/pool"

	"github.com/comfreyloom/comfreyloom/internal/node"
)

// start runs every duty in a goroutine of its own and returns a channel that
// yields the first error, or nil once all have ended after ctx did.
func (a *Agent) start(ctx context.Context) <-chan error {
	duties := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	for _, duty := range a.duties() {
		duties.Go(func(ctx context.Context) error { return endedBy(ctx, duty(ctx)) })
	}
	result := make(chan error, 1)
	go func() { result <- duties.Wait() }()
	return result
}

// endedBy returns nil for a duty that ended only because ctx did.
func endedBy(ctx context.Context, err error) error {
	if ctx.Err() != nil && errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// duty runs until ctx ends; an earlier end with an error ends the process.
type duty func(ctx context.Context) error

func (a *Agent) duties() []duty {
	all := []duty{
		a.client.Run,
		a.heartbeats.Run,
		a.spreader.Run,
		a.dispatcher.Run,
		withoutError(a.callers.Run),
		a.serveCallers,
		a.serveNodes,
		a.servePeer(a.upstreamHandler(), a.listeners.Upstreams),
		a.servePeer(a.operatorHandler(), a.listeners.Operators),
	}
	if a.replica != nil {
		all = append(all, a.replica.Run, withoutError(a.controller.Run), withoutError(a.retain))
	} else {
		all = append(all, a.follower.Run)
	}
	if a.trail != nil {
		all = append(all, func(ctx context.Context) error { return a.trail.Run(ctx, a.log, a.logger) })
	}
	return all
}

// withoutError makes a duty of a function that never fails.
func withoutError(run func(context.Context)) duty {
	return func(ctx context.Context) error {
		run(ctx)
		return nil
	}
}

// serveCallers serves until the callers' server was drained. When ctx ends
// without a drain, because another duty failed, it closes at once: the process
// must not go on answering with a part of it gone.
func (a *Agent) serveCallers(ctx context.Context) error {
	stopped := context.AfterFunc(ctx, func() { _ = a.callers.Close() })
	defer stopped()
	return a.callers.Serve(a.listeners.Callers)
}

func (a *Agent) serveNodes(ctx context.Context) error {
	return serveUntil(ctx, node.NewHTTPServer(ctx, a.nodeServer.Handler()), a.listeners.Nodes)
}

// servePeer serves one kind of peer until ctx ends.
func (a *Agent) servePeer(h http.Handler, l net.Listener) duty {
	return func(ctx context.Context) error {
		server := boundedServer(h)
		server.BaseContext = func(net.Listener) context.Context { return ctx }
		return serveUntil(ctx, server, &boundedListener{Listener: l, semaphore: make(chan struct{}, peerConnections)})
	}
}

// serveUntil serves until ctx ends, then lets the requests in progress end.
func serveUntil(ctx context.Context, server *http.Server, l net.Listener) error {
	stopped := context.AfterFunc(ctx, func() {
		bounded, cancel := context.WithTimeout(context.Background(), peerStopTimeout)
		defer cancel()
		if server.Shutdown(bounded) != nil {
			_ = server.Close()
		}
	})
	defer stopped()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
