package control

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/comfreyloom/comfreyloom/internal/control/controlpb"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/node"
	"github.com/comfreyloom/comfreyloom/internal/steady"
)

const (
	// attemptTimeout bounds one attempt at one process. It is well above the
	// duration of a commit, and below the time in which an unresponsive leader
	// is replaced, so that a request that waited for the old leader goes to the
	// new one at once.
	attemptTimeout = 350 * time.Millisecond
	// retryPause is the pause after the first failed attempt. It doubles up to
	// maxRetryPause, so that the core VMs are not flooded with requests during
	// an election.
	retryPause    = 5 * time.Millisecond
	maxRetryPause = 80 * time.Millisecond
)

// ErrNotRun reports that a request had and will have no effect.
var ErrNotRun = errors.New("control: the request was not run")

// ErrUnknown reports that a request may or may not take effect.
var ErrUnknown = errors.New("control: the request may have run")

// LocalHandler handles requests of this process itself; only core VMs have one.
type LocalHandler interface {
	Ask(ctx context.Context, r *controlpb.Request) (*controlpb.Reply, error)
	Hello(ctx context.Context, r *controlpb.HelloRequest) (*controlpb.HelloReply, error)
}

// Client sends requests to the leader. It is safe for concurrent use.
type Client struct {
	self      model.NodeID
	local     LocalHandler
	nodes     *node.Client
	directory *Directory
	retries   metrics.Counter
	unknown   metrics.Counter

	mu    sync.Mutex
	stubs map[model.NodeID]stub
}

// stub is the generated client over one connection.
type stub struct {
	conn   node.Connection
	client controlpb.Control
}

// NewClient returns a client. The local handler is nil on an entry VM.
func NewClient(self model.NodeID, local LocalHandler, nodes *node.Client, d *Directory, r metrics.Registry) *Client {
	return &Client{
		self: self, local: local, nodes: nodes, directory: d, stubs: map[model.NodeID]stub{},
		retries: metrics.GetOrRegisterCounter("control.retries", r),
		unknown: metrics.GetOrRegisterCounter("control.unknown", r),
	}
}

// Ask sends a request to the leader and returns its reply. It tries one core VM
// after another until ctx ends. The error is then ErrNotRun if no attempt can
// have had an effect, and ErrUnknown otherwise.
func (c *Client) Ask(ctx context.Context, r *controlpb.Request) (*controlpb.Reply, error) {
	failure := ErrNotRun
	target, turn := model.NodeID(""), 0
	for pause := retryPause; ctx.Err() == nil; pause = min(2*pause, maxRetryPause) {
		target, turn = c.nextTarget(target, turn)
		reply, err := c.attempt(ctx, target, r)
		if err == nil && reply.Outcome == controlpb.Outcome_OUTCOME_DONE {
			return c.settle(reply, failure)
		}
		if err != nil && !node.NeverSent(err) || err == nil && reply.Outcome == controlpb.Outcome_OUTCOME_UNKNOWN {
			failure = ErrUnknown
		}
		c.retries.Inc(1)
		if err != nil || c.shouldPause(target, model.NodeID(reply.Leader)) {
			steady.Pause(ctx, pause)
		}
	}
	if errors.Is(failure, ErrUnknown) {
		c.unknown.Inc(1)
	}
	return nil, failure
}

// settle returns the reply to the last attempt. If it is a refusal, an earlier attempt whose
// outcome is unknown may still take effect.
func (c *Client) settle(reply *controlpb.Reply, failure error) (*controlpb.Reply, error) {
	if reply.Finding == controlpb.Finding_FINDING_UNSPECIFIED && errors.Is(failure, ErrUnknown) {
		c.unknown.Inc(1)
		return nil, failure
	}
	return reply, nil
}

// shouldPause reports whether there is no other leader to try at once: the
// target named none, named itself, or named one that is unresponsive.
func (c *Client) shouldPause(target, leader model.NodeID) bool {
	return leader == "" || leader == target || c.directory.IsUnresponsive(leader)
}

// nextTarget returns the process for the next attempt: the last known leader,
// else the core VMs in turn. A leader that was the last target is skipped once.
func (c *Client) nextTarget(last model.NodeID, turn int) (model.NodeID, int) {
	if leader, _ := c.directory.Leader.Get(); leader != "" && leader != last && !c.directory.IsUnresponsive(leader) {
		return leader, turn
	}
	cores := slices.DeleteFunc(c.directory.Cores(), c.directory.IsUnresponsive)
	if len(cores) == 0 {
		return "", turn
	}
	if turn == 0 {
		turn = max(slices.Index(cores, c.self), 0)
	}
	return cores[turn%len(cores)], turn + 1
}

// attempt sends a request to one process, once.
func (c *Client) attempt(ctx context.Context, to model.NodeID, r *controlpb.Request) (*controlpb.Reply, error) {
	outer := ctx
	ctx, cancel := context.WithTimeout(outer, attemptTimeout)
	defer cancel()
	if to == c.self && c.local != nil {
		reply, err := c.local.Ask(ctx, r)
		if err == nil {
			c.updateLeader(to, reply.Leader, reply.Term)
		}
		return reply, err
	}
	s, err := c.stub(to)
	if err != nil {
		return &controlpb.Reply{Outcome: controlpb.Outcome_OUTCOME_NOT_RUN}, nil
	}
	reply, err := s.client.Ask(ctx, r)
	if err != nil {
		if outer.Err() == nil { // a request that was given up here is no sign that the target failed
			c.directory.Leader.Invalidate(to)
			c.directory.MarkUnresponsive(to)
			s.conn.RecordFailure(err)
		}
		return nil, err
	}
	c.updateLeader(to, reply.Leader, reply.Term)
	return reply, nil
}

// updateLeader records the leader that a reply of the target names.
func (c *Client) updateLeader(target model.NodeID, leader string, term uint64) {
	if model.NodeID(leader) != target {
		c.directory.Leader.Invalidate(target)
	}
	c.directory.Leader.Update(model.NodeID(leader), term)
}

// stub returns the generated client over the current connection to a process.
func (c *Client) stub(to model.NodeID) (stub, error) {
	conn, err := c.nodes.Connection(to)
	if err != nil {
		return stub{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, ok := c.stubs[to]; ok && s.conn == conn {
		return s, nil
	}
	s := stub{conn: conn, client: controlpb.NewControlProtobufClient(conn.URL(), conn)}
	c.stubs[to] = s
	return s, nil
}
