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

// answerWait is how long a delivery of heartbeats waits for the messages that
// answer them, so that they return in its reply and not in a call of their own.
const answerWait = 5 * time.Millisecond

// storeWait is the same for messages that are stored before they are answered:
// several times a sync of a healthy disk. An answer that takes longer goes in a
// call of its own.
const storeWait = 40 * time.Millisecond

// Lender answers requests for slots of the services that this process owns.
type Lender interface {
	// Lend handles a request of another process; both sides are opaque here.
	Lend(ctx context.Context, from model.NodeID, body []byte) ([]byte, error)
}

// ServerConfig sets up a Server. A part that is nil is not offered.
type ServerConfig struct {
	Self model.NodeID
	Site string
	// Authorizer checks the callers' tokens.
	Authorizer *security.Authorizer
	// Identity says who this process is; it is asked before a voter runs.
	Identity   func() datafolder.Identity
	Client     *Client
	Heartbeats *Heartbeats
	Spreader   *Spreader
	Lender     Lender
	Metrics    metrics.Registry
	// Clock is nil in the product.
	Clock func() model.Instant
}

// Server answers the calls of other processes. It is safe for concurrent use.
type Server struct {
	config ServerConfig
	// voter is set once the data folder is open; nil on a learner.
	voter     atomic.Pointer[voterBox]
	snapshots snapshotCache
	badInput  metrics.Counter
	// others are the services of other packages, by the prefix of their paths.
	others map[string]http.Handler
}

type voterBox struct{ Voter }

var _ nodepb.Node = (*Server)(nil)

// NewServer returns a server without a voter.
func NewServer(c ServerConfig) *Server {
	if c.Clock == nil {
		c.Clock = wallClock
	}
	return &Server{config: c, badInput: metrics.GetOrRegisterCounter("node.bad_input", c.Metrics)}
}

// SetVoter makes the server answer for a voter.
func (s *Server) SetVoter(v Voter) { s.voter.Store(&voterBox{v}) }

// Offer serves the paths that begin with prefix by another handler, behind the
// same checks. It is called before Handler.
func (s *Server) Offer(prefix string, h http.Handler) {
	if s.others == nil {
		s.others = map[string]http.Handler{}
	}
	s.others[prefix] = h
}

// Handler returns the HTTP handler with all checks in front.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", nodepb.NewNodeServer(s))
	for prefix, h := range s.others {
		mux.Handle(prefix, h)
	}
	return newGuard(s.config, mux)
}

// Exchange takes quorum messages and returns those that answer heartbeats.
func (s *Server) Exchange(ctx context.Context, r *nodepb.ExchangeRequest) (*nodepb.ExchangeReply, error) {
	voter, err := s.needVoter()
	if err != nil {
		return nil, err
	}
	messages, err := decodeMessages(r.Messages)
	if err != nil {
		s.badInput.Inc(1)
		return nil, twirp.InvalidArgumentError("messages", err.Error())
	}
	envelopeFrom(ctx).open(messages)
	from := s.sender(r.Node)
	if from == nil || len(messages) == 0 {
		voter.Step(messages)
		return &nodepb.ExchangeReply{}, nil
	}
	return s.stepAndAnswer(ctx, voter, from, messages)
}

// stepAndAnswer opens the slot for answers before it hands over the messages,
// so that an early answer is not missed.
//
// Answers to stored messages return the same way. Where the path from here to
// the sender is broken and the one from there works, heartbeats would else keep
// a leader confirmed that can commit nothing, and nobody would elect another.
func (s *Server) stepAndAnswer(ctx context.Context, voter Voter, from *peer, messages []quorum.Message) (*nodepb.ExchangeReply, error) {
	answers := from.answers.open()
	voter.Step(messages)
	stored, limit := isStored(messages), answerWait
	if stored {
		limit = storeWait
	}
	began := time.Now()
	answer := from.answers.wait(ctx, answers, limit)
	if left := limit - time.Since(began); stored && len(answer) > 0 && !answersStored(answer) && left > 0 {
		answer = append(answer, from.answers.wait(ctx, from.answers.open(), left)...)
	}
	data, err := encode(envelopeFrom(ctx).reverse().seal(answer))
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &nodepb.ExchangeReply{Messages: data}, nil
}

// isStored reports whether some message is stored before it is answered.
func isStored(messages []quorum.Message) bool {
	return slices.ContainsFunc(messages, func(m quorum.Message) bool {
		return m.Kind == quorum.KindAppend || m.Kind == quorum.KindVote
	})
}

// answersStored reports whether some message answers one that was stored.
func answersStored(messages []quorum.Message) bool {
	return slices.ContainsFunc(messages, func(m quorum.Message) bool {
		return m.Kind == quorum.KindAppendReply || m.Kind == quorum.KindVoteReply
	})
}

// Heartbeat exchanges what two processes know about the site.
func (s *Server) Heartbeat(_ context.Context, b *nodepb.Beat) (*nodepb.Beat, error) {
	if s.config.Heartbeats == nil {
		return nil, errNotHere
	}
	return s.config.Heartbeats.receive(b)
}

// Announce takes changes of the registry of upstreams, and answers a digest
// with what its sender lacks.
func (s *Server) Announce(_ context.Context, r *nodepb.AnnounceRequest) (*nodepb.AnnounceReply, error) {
	if s.config.Spreader == nil {
		return nil, errNotHere
	}
	reply, err := s.config.Spreader.receive(r)
	if err != nil {
		s.badInput.Inc(1)
		return nil, twirp.InvalidArgumentError("changes", err.Error())
	}
	return reply, nil
}

// Lend passes a request for slots on.
func (s *Server) Lend(ctx context.Context, r *nodepb.LendRequest) (*nodepb.LendReply, error) {
	if s.config.Lender == nil {
		return nil, errNotHere
	}
	body, err := s.config.Lender.Lend(ctx, model.NodeID(r.Node), r.Body)
	if err != nil {
		return nil, twirp.NewError(twirp.FailedPrecondition, err.Error())
	}
	return &nodepb.LendReply{Body: body}, nil
}

// Identify tells who this process is, also before its voter runs.
func (s *Server) Identify(context.Context, *nodepb.IdentifyRequest) (*nodepb.IdentifyReply, error) {
	if s.config.Identity == nil {
		return nil, errNotHere
	}
	identity, err := s.config.Identity().Encode()
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &nodepb.IdentifyReply{Identity: identity}, nil
}

// errNotHere says that this process has no such part, or not yet.
var errNotHere = twirp.NewError(twirp.Unavailable, "this process does not offer this")

func (s *Server) needVoter() (Voter, error) {
	box := s.voter.Load()
	if box == nil {
		return nil, errNotHere
	}
	return box.Voter, nil
}

func (s *Server) sender(name string) *peer {
	if s.config.Client == nil {
		return nil
	}
	return s.config.Client.lookup(model.NodeID(name))
}

func wallClock() model.Instant { return model.InstantOf(time.Now()) }
