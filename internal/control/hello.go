package control

import (
	"context"
	"sync"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/control/controlpb"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/steady"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

const (
	// helloInterval is the time between two Hello calls to the leader. New
	// limits of callers' requests and a new core VM are known everywhere within
	// a few intervals.
	helloInterval = 500 * time.Millisecond
	// helloTimeout bounds one Hello call.
	helloTimeout = 600 * time.Millisecond
	// leaderSearchPause is the pause between two core VMs while the leader is
	// unknown.
	leaderSearchPause = 50 * time.Millisecond
	// confirmationLifetime is how long a process counts as connected to the
	// leader after a reply; two Hello calls may be lost.
	confirmationLifetime = 1600 * time.Millisecond
)

// Greeter keeps a process connected to the leader by periodic Hello calls. They
// announce the process to the leader and return who leads, the core VMs and the
// limits of callers' requests.
type Greeter struct {
	client *Client
	core   bool

	mu            sync.Mutex
	confirmedAt   time.Duration
	configVersion uint64
	limits        workload.Limits
}

// NewGreeter returns the Greeter of a process; core is set on a core VM.
func NewGreeter(c *Client, core bool) *Greeter {
	return &Greeter{client: c, core: core, confirmedAt: -confirmationLifetime}
}

// Run sends Hello calls until ctx ends.
func (g *Greeter) Run(ctx context.Context) error {
	turn := 0
	for ctx.Err() == nil {
		var target model.NodeID
		target, turn = g.client.nextTarget("", turn)
		pause := leaderSearchPause
		if g.sendHello(ctx, target) {
			pause = helloInterval
		}
		steady.Pause(ctx, pause)
	}
	return ctx.Err()
}

// sendHello calls one process and reports whether it is the confirmed leader.
func (g *Greeter) sendHello(ctx context.Context, to model.NodeID) bool {
	if to == "" || to == g.client.self {
		return g.helloLocally(ctx, to)
	}
	s, err := g.client.stub(to)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	reply, err := s.client.Hello(ctx, &controlpb.HelloRequest{Node: string(g.client.self), Core: g.core})
	if err != nil {
		g.client.directory.Leader.Doubt(to)
		g.client.directory.DidNotAnswer(to)
		s.conn.Failed(err)
		return false
	}
	g.client.updateLeader(to, reply.Leader, reply.Term)
	g.client.directory.Learn(reply.Cores)
	if reply.Confirmed {
		g.recordConfirmation(reply)
	}
	return reply.Confirmed
}

// helloLocally calls this process itself, which may lead.
func (g *Greeter) helloLocally(ctx context.Context, to model.NodeID) bool {
	if to == "" || g.client.local == nil {
		return false
	}
	reply, err := g.client.local.Hello(ctx, &controlpb.HelloRequest{})
	if err != nil {
		return false
	}
	g.client.updateLeader(to, reply.Leader, reply.Term)
	if reply.Confirmed {
		g.recordConfirmation(reply)
	}
	return reply.Confirmed
}

// recordConfirmation stores a reply of the confirmed leader. Limits of an older
// configuration than the known one are ignored.
func (g *Greeter) recordConfirmation(reply *controlpb.HelloReply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.confirmedAt = g.client.directory.now()
	if reply.ConfigVersion < g.configVersion {
		return
	}
	g.configVersion = reply.ConfigVersion
	g.limits = workload.Limits{
		HeaderBytes: reply.HeaderBytes, BodyBytes: reply.BodyBytes,
		HeaderTimeoutMS: reply.HeaderTimeoutMs, IdleTimeoutMS: reply.IdleTimeoutMs,
	}
}

// Ready reports whether the leader replied lately and has a configuration.
func (g *Greeter) Ready() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.configVersion > 0 && g.client.directory.now()-g.confirmedAt < confirmationLifetime
}

// Limits returns the limits of callers' requests, and false while none are known.
func (g *Greeter) Limits() (workload.Limits, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limits, g.configVersion > 0
}
