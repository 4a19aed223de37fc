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

// HelloClient keeps a process connected to the leader by periodic Hello calls.
// They announce the process to the leader and return who leads, the core VMs and
// the limits of callers' requests.
type HelloClient struct {
	client *Client
	core   bool

	mu            sync.Mutex
	confirmedAt   time.Duration
	configVersion uint64
	limits        workload.Limits
}

// NewHelloClient returns the HelloClient of a process; core is set on a core VM.
func NewHelloClient(c *Client, core bool) *HelloClient {
	return &HelloClient{client: c, core: core, confirmedAt: -confirmationLifetime}
}

// Run sends Hello calls until ctx ends.
func (h *HelloClient) Run(ctx context.Context) error {
	turn := 0
	for ctx.Err() == nil {
		var target model.NodeID
		target, turn = h.client.nextTarget("", turn)
		pause := leaderSearchPause
		if h.sendHello(ctx, target) {
			pause = helloInterval
		}
		steady.Pause(ctx, pause)
	}
	return ctx.Err()
}

// sendHello calls one process and reports whether it is the confirmed leader.
func (h *HelloClient) sendHello(ctx context.Context, to model.NodeID) bool {
	if to == "" || to == h.client.self {
		return h.helloLocally(ctx, to)
	}
	s, err := h.client.stub(to)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	reply, err := s.client.Hello(ctx, &controlpb.HelloRequest{Node: string(h.client.self), Core: h.core})
	if err != nil {
		h.client.directory.Leader.Invalidate(to)
		h.client.directory.MarkUnresponsive(to)
		s.conn.RecordFailure(err)
		return false
	}
	h.client.updateLeader(to, reply.Leader, reply.Term)
	h.client.directory.AddNamed(reply.Cores)
	if reply.Confirmed {
		h.recordConfirmation(reply)
	}
	return reply.Confirmed
}

// helloLocally calls this process itself, which may lead.
func (h *HelloClient) helloLocally(ctx context.Context, to model.NodeID) bool {
	if to == "" || h.client.local == nil {
		return false
	}
	reply, err := h.client.local.Hello(ctx, &controlpb.HelloRequest{})
	if err != nil {
		return false
	}
	h.client.updateLeader(to, reply.Leader, reply.Term)
	if reply.Confirmed {
		h.recordConfirmation(reply)
	}
	return reply.Confirmed
}

// recordConfirmation stores a reply of the confirmed leader. Limits of an older
// configuration than the known one are ignored.
func (h *HelloClient) recordConfirmation(reply *controlpb.HelloReply) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.confirmedAt = h.client.directory.now()
	if reply.ConfigVersion < h.configVersion {
		return
	}
	h.configVersion = reply.ConfigVersion
	h.limits = workload.Limits{
		HeaderBytes: reply.HeaderBytes, BodyBytes: reply.BodyBytes,
		HeaderTimeoutMS: reply.HeaderTimeoutMs, IdleTimeoutMS: reply.IdleTimeoutMs,
	}
}

// Ready reports whether the leader replied lately and has a configuration.
func (h *HelloClient) Ready() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.configVersion > 0 && h.client.directory.now()-h.confirmedAt < confirmationLifetime
}

// Limits returns the limits of callers' requests, and false while none are known.
func (h *HelloClient) Limits() (workload.Limits, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.limits, h.configVersion > 0
}
