package node

import (
	"context"
	"net"
	"net/http"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc/pool"
	"github.com/twitchtv/twirp"

	"github.com/comfreyloom/comfreyloom/internal/intake"
)

// minCallMemory is what calls may hold at least, in bytes: one of the longest, with the
// buffer that grows for it.
const minCallMemory = 4 * maxCallBytes

// maxServerConnections bounds the open connections of all peers.
const maxServerConnections = 256

// receiveWindow is what a connection may hold of calls that no handler has read yet, in
// bytes. connectionMemory is what it may hold in all beside what its calls hold.
const (
	receiveWindow    = 128 << 10
	connectionMemory = receiveWindow + 64<<10
)

// Intake bounds the connections and calls that other processes open.
type Intake struct {
	connections, calls *intake.Gate
}

// NewIntake returns the bounds of a process. Memory is what all calls may hold, and all
// connections as much again, in bytes; connections is how many may be open.
func NewIntake(memory int64, connections int, logger log.Interface, r metrics.Registry) *Intake {
	connections = min(connections, maxServerConnections, int(memory/connectionMemory))
	memory = max(memory, minCallMemory)
	return &Intake{
		connections: intake.New(intake.Config{
			Name: "nodes", Memory: int64(connections) * connectionMemory, Connections: connections, Logger: logger, Metrics: r,
			Limits: func() intake.Limits {
				return intake.Limits{HeaderTimeout: callReadTimeout, IdleTimeout: serverIdleTimeout}
			},
		}),
		calls: intake.New(intake.Config{
			Name: "calls", Memory: memory, Connections: maxCalls, Logger: logger, Metrics: r,
			Limits: func() intake.Limits { return intake.Limits{BodyTimeout: callReadTimeout} },
		}),
	}
}

// Listen wraps the listener of the server.
func (i *Intake) Listen(l net.Listener) net.Listener { return i.connections.ListenShared(l) }

// Handler wraps the handler of the server.
func (i *Intake) Handler(h http.Handler) http.Handler { return i.calls.Calls(h, refuseCall) }

// refuseCall writes the reply to a call that was not run.
func refuseCall(w http.ResponseWriter, err error) {
	_ = twirp.WriteError(w, twirp.NewError(twirp.ResourceExhausted, err.Error())) // this fails only if the peer closed the connection
}

// Run closes connections and ends calls that are overdue until ctx ends.
func (i *Intake) Run(ctx context.Context) error {
	p := pool.New().WithContext(ctx)
	p.Go(i.connections.Run)
	p.Go(i.calls.Run)
	return p.Wait()
}
