package node

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/datafolder"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/node/nodepb"
	"github.com/comfreyloom/comfreyloom/internal/quorum"
	"github.com/comfreyloom/comfreyloom/internal/security"
	"github.com/rcrowley/go-metrics"
	"github.com/twitchtv/twirp"
)

// replyWait is how long a delivery of heartbeats waits for the messages that
// reply to them, so that they return in its reply and not in a separate call.
const replyWait = 5 * time.Millisecond

// defaultStoredReplyWait is the same for messages that are stored before the reply to
// them: several times the duration of a sync of a healthy disk. A reply that
// takes longer is sent in a separate call.
const defaultStoredReplyWait = 40 * time.Millisecond

// Lender handles requests for slots of the services that this process owns.
type Lender interface {
	// Lend handles a request of another process. The request and the reply are
	// opaque to this package.
	Lend(ctx context.Context, from model.NodeID, body []byte) ([]byte, error)
}

// ServerConfig sets up a Server. The calls of a part that is nil are rejected.
type ServerConfig struct {
	Self model.NodeID
	Site string
	// Authorizer checks the senders' tokens.
	Authorizer *security.Authorizer
	// Identity returns the identity of the data folder. It is called before a
	// voter runs, too.
	Identity     func() datafolder.Identity
	Client       *Client
	Heartbeats   *Heartbeats
	RegistrySync *RegistrySync
	Lender       Lender
	Metrics      metrics.Registry
	// Clock is only set in tests.
	Clock func() model.Instant
}

// Server handles the calls of other processes. It is safe for concurrent use.
type Server struct {
	config ServerConfig
	// voter is set once the data folder is open. It is nil on a learner.
	voter     atomic.Pointer[voterHolder]
	snapshots snapshotCache
	badInput  metrics.Counter
	// storedReplyWait is defaultStoredReplyWait except in tests.
	storedReplyWait time.Duration
	// handlers holds the services of other packages by the prefix of their paths.
	handlers map[string]http.Handler
}

type voterHolder struct{ Voter }

var _ nodepb.Node = (*Server)(nil)

// NewServer returns a server without a voter.
func NewServer(c ServerConfig) *Server {
	if c.Clock == nil {
		c.Clock = wallClock
	}
	return &Server{config: c, storedReplyWait: defaultStoredReplyWait, badInput: metrics.GetOrRegisterCounter("node.bad_input", c.Metrics)}
}

// SetVoter sets the voter that handles the calls for the control log.
func (s *Server) SetVoter(v Voter) { s.voter.Store(&voterHolder{v}) }

// Handle registers a handler for the paths that begin with prefix, behind the
// same checks. It is called before Handler.
func (s *Server) Handle(prefix string, h http.Handler) {
	if s.handlers == nil {
		s.handlers = map[string]http.Handler{}
	}
	s.handlers[prefix] = h
}

// Handler returns the HTTP handler, which checks every call first.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", nodepb.NewNodeServer(s))
	for prefix, h := range s.handlers {
		mux.Handle(prefix, h)
	}
	return newGuard(s.config, mux)
}

// Exchange receives quorum messages, and returns the messages that reply to them
// if these are ready soon.
func (s *Server) Exchange(ctx context.Context, r *nodepb.ExchangeRequest) (*nodepb.ExchangeReply, error) {
	voter, err := s.requireVoter()
	if err != nil {
		return nil, err
	}
	messages, err := decodeMessages(r.Messages)
	if err != nil {
		s.badInput.Inc(1)
		return nil, twirp.InvalidArgumentError("messages", err.Error())
	}
	envelopeFrom(ctx).restore(messages)
	from := s.sender(r.Node)
	if from == nil || len(messages) == 0 {
		voter.Step(messages)
		return &nodepb.ExchangeReply{}, nil
	}
	return s.stepAndReply(ctx, voter, from, messages)
}

// stepAndReply passes messages to the voter and returns its replies. It opens the
// reply slot first, so that an early reply is not missed.
//
// Replies to stored messages return the same way. Otherwise, when this process
// cannot reach the sender but the sender can reach this process, heartbeats would
// keep a leader confirmed that can commit nothing, and no other would be elected.
func (s *Server) stepAndReply(ctx context.Context, voter Voter, from *peer, messages []quorum.Message) (*nodepb.ExchangeReply, error) {
	replies := from.replies.open()
	voter.Step(messages)
	stored, limit := containsStored(messages), replyWait
	if stored {
		limit = s.storedReplyWait
	}
	began := time.Now()
	reply := from.replies.wait(ctx, replies, limit)
	if left := limit - time.Since(began); stored && len(reply) > 0 && !containsStoredReply(reply) && left > 0 {
		reply = append(reply, from.replies.wait(ctx, from.replies.open(), left)...)
	}
	data, err := encode(envelopeFrom(ctx).reverse().strip(reply))
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &nodepb.ExchangeReply{Messages: data}, nil
}

// containsStored reports whether some message is stored before the reply to it.
func containsStored(messages []quorum.Message) bool {
	return slices.ContainsFunc(messages, func(m quorum.Message) bool {
		return m.Kind == quorum.KindAppend || m.Kind == quorum.KindVote
	})
}

// containsStoredReply reports whether some message replies to a stored one.
func containsStoredReply(messages []quorum.Message) bool {
	return slices.ContainsFunc(messages, func(m quorum.Message) bool {
		return m.Kind == quorum.KindAppendReply || m.Kind == quorum.KindVoteReply
	})
}

// Heartbeat receives a beat of another process and returns one of this process.
func (s *Server) Heartbeat(_ context.Context, b *nodepb.Beat) (*nodepb.Beat, error) {
	if s.config.Heartbeats == nil {
		return nil, errNotOffered
	}
	return s.config.Heartbeats.handleBeat(b)
}

// Announce receives changes of the registry of upstreams, and replies to a digest
// with the records that its sender lacks.
func (s *Server) Announce(_ context.Context, r *nodepb.AnnounceRequest) (*nodepb.AnnounceReply, error) {
	if s.config.RegistrySync == nil {
		return nil, errNotOffered
	}
	reply, err := s.config.RegistrySync.handleAnnounce(r)
	if err != nil {
		s.badInput.Inc(1)
		return nil, twirp.InvalidArgumentError("changes", err.Error())
	}
	return reply, nil
}

// Lend passes a request for slots to the Lender.
func (s *Server) Lend(ctx context.Context, r *nodepb.LendRequest) (*nodepb.LendReply, error) {
	if s.config.Lender == nil {
		return nil, errNotOffered
	}
	body, err := s.config.Lender.Lend(ctx, model.NodeID(r.Node), r.Body)
	if err != nil {
		return nil, twirp.NewError(twirp.FailedPrecondition, err.Error())
	}
	return &nodepb.LendReply{Body: body}, nil
}

// Identify returns the identity of this process's data folder, also before its
// voter runs.
func (s *Server) Identify(context.Context, *nodepb.IdentifyRequest) (*nodepb.IdentifyReply, error) {
	if s.config.Identity == nil {
		return nil, errNotOffered
	}
	identity, err := s.config.Identity().Encode()
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &nodepb.IdentifyReply{Identity: identity}, nil
}

// errNotOffered reports that this process does not have the called part, or not
// yet. Peers compare the message, see rejectedUnhandled.
var errNotOffered = twirp.NewError(twirp.Unavailable, "this process does not offer this")

func (s *Server) requireVoter() (Voter, error) {
	holder := s.voter.Load()
	if holder == nil {
		return nil, errNotOffered
	}
	return holder.Voter, nil
}

// sender returns the peer that sent a call, or nil when it is unknown.
func (s *Server) sender(name string) *peer {
	if s.config.Client == nil {
		return nil
	}
	return s.config.Client.lookup(model.NodeID(name))
}

func wallClock() model.Instant { return model.InstantOf(time.Now()) }
