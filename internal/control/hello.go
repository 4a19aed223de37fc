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
	// helloEvery is the time between two greetings of the leader; a caller's
	// bounds and a new core VM are known everywhere within a few of them.
	helloEvery = 500 * time.Millisecond
	// helloTimeout bounds one greeting.
	helloTimeout = 600 * time.Millisecond
	// searchPause is the pause between two core VMs while the leader is unknown.
	searchPause = 50 * time.Millisecond
	// confirmedFor is how long a process counts as in touch with the leader
	// after it answered: two greetings may be lost.
	confirmedFor = 1600 * time.Millisecond
)

// Greeter keeps a process in touch with the leader: it tells the leader that
// the process is there, and learns who leads, which core VMs there are and the
// bounds of callers' requests.
type Greeter struct {
	client *Client
	core   bool

	mu        sync.Mutex
	confirmed time.Duration
	version   uint64
	limits    workload.Limits
}

// NewGreeter returns the greeter of a process.
func NewGreeter(c *Client, core bool) *Greeter {
	return &Greeter{client: c, core: core, confirmed: -confirmedFor}
}

// Run greets until ctx ends.
func (g *Greeter) Run(ctx context.Context) error {
	turn := 0
	for ctx.Err() == nil {
		var asked model.NodeID
		asked, turn = g.client.next("", turn)
		pause := searchPause
		if g.greet(ctx, asked) {
			pause = helloEvery
		}
		steady.Pause(ctx, pause)
	}
	return ctx.Err()
}

// greet asks one process; it reports whether that is the confirmed leader.
func (g *Greeter) greet(ctx context.Context, to model.NodeID) bool {
	if to == "" || to == g.client.self {
		return g.greetHere(ctx, to)
	}
	s, err := g.client.stub(to)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	reply, err := s.calls.Hello(ctx, &controlpb.HelloRequest{Node: string(g.client.self), Core: g.core})
	if err != nil {
		g.client.directory.Leader.Doubt(to)
		g.client.directory.DidNotAnswer(to)
		s.caller.Failed(err)
		return false
	}
	g.client.hear(to, reply.Leader, reply.Term)
	g.client.directory.Learn(reply.Cores)
	if reply.Confirmed {
		g.confirm(reply)
	}
	return reply.Confirmed
}

// greetHere asks this process, which may lead.
func (g *Greeter) greetHere(ctx context.Context, to model.NodeID) bool {
	if to == "" || g.client.here == nil {
		return false
	}
	reply, err := g.client.here.Hello(ctx, &controlpb.HelloRequest{})
	if err != nil {
		return false
	}
	g.client.hear(to, reply.Leader, reply.Term)
	if reply.Confirmed {
		g.confirm(reply)
	}
	return reply.Confirmed
}

func (g *Greeter) confirm(reply *controlpb.HelloReply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.confirmed = g.client.directory.now()
	if reply.ConfigVersion < g.version {
		return
	}
	g.version = reply.ConfigVersion
	g.limits = workload.Limits{
		HeaderBytes: reply.HeaderBytes, BodyBytes: reply.BodyBytes,
		HeaderTimeoutMS: reply.HeaderTimeoutMs, IdleTimeoutMS: reply.IdleTimeoutMs,
	}
}

// Ready says whether the leader answered lately and has a configuration.
func (g *Greeter) Ready() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.version > 0 && g.client.directory.now()-g.confirmed < confirmedFor
}

// Limits returns the bounds of callers' requests, and false while none are known.
func (g *Greeter) Limits() (workload.Limits, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limits, g.version > 0
}
