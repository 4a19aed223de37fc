package node

import (
	"context"
	"errors"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/node/nodepb"
	"github.com/comfreyloom/comfreyloom/internal/state"
	"github.com/comfreyloom/comfreyloom/internal/steady"
	"github.com/rcrowley/go-metrics"
	"github.com/samber/oops"
)

const (
	// attemptTimeout bounds one attempt at one process.
	attemptTimeout = 2 * time.Second
	// defaultCallTimeout bounds a call whose context has no deadline.
	defaultCallTimeout = 30 * time.Second
	// retryPause is the pause after the first attempt; it doubles up to
	// maxRetryPause.
	retryPause    = 2 * time.Millisecond
	maxRetryPause = 160 * time.Millisecond
)

// LogConfig sets up a Log.
type LogConfig struct {
	Self    model.NodeID
	Machine Machine
	// Voter is nil on a learner.
	Voter  Voter
	Client *Client
	// Voters are the names of all voters, as in the settings.
	Voters  []model.NodeID
	Leader  *LeaderHint
	Metrics metrics.Registry
	// Clock and Pause, which waits between two attempts, are only set in tests.
	Clock func() model.Instant
	Pause func(ctx context.Context, d time.Duration)
}

// Log is the control log on voters and learners. It is safe for concurrent use.
type Log struct {
	config  LogConfig
	retries metrics.Counter
	unknown metrics.Counter
}

var _ state.Log = (*Log)(nil)

// NewLog returns the control log of this process.
func NewLog(c LogConfig) *Log {
	if c.Clock == nil {
		c.Clock = wallClock
	}
	if c.Pause == nil {
		c.Pause = steady.Pause
	}
	return &Log{
		config:  c,
		retries: metrics.GetOrRegisterCounter("node.propose.retries", c.Metrics),
		unknown: metrics.GetOrRegisterCounter("node.propose.unknown", c.Metrics),
	}
}

// Propose commits a command and returns its result once this process has applied
// it. It retries under the same ID until ctx ends, so that a lost reply has no
// second effect.
func (l *Log) Propose(ctx context.Context, c state.Command) (state.Result, error) {
	if c.ID == "" {
		return state.Result{}, oops.In("node").Wrapf(state.ErrNotProposed, "the command has no ID")
	}
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	result, err := l.commit(ctx, c)
	if err != nil {
		return state.Result{}, oops.In("node").With("command", c.ID).Wrap(err)
	}
	if err := l.config.Machine.Wait(ctx, result.Index); err != nil {
		l.unknown.Inc(1)
		return result, oops.In("node").With("command", c.ID).
			Wrapf(state.ErrOutcomeUnknown, "committed at index %d, not applied here in time", result.Index)
	}
	return result, nil
}

// commit tries one process after another until one of them commits. Once an
// attempt may have added the command to the log, the outcome stays unknown until
// a later attempt returns it: giving up must then not report "not proposed".
func (l *Log) commit(ctx context.Context, c state.Command) (state.Result, error) {
	outcome := state.ErrNotProposed
	attempts := l.newAttempts()
	for ctx.Err() == nil {
		result, err := l.attempt(ctx, attempts.nextTarget(), c)
		if err == nil {
			return result, nil
		}
		if !errors.Is(err, state.ErrNotProposed) {
			outcome = state.ErrOutcomeUnknown
		}
		l.retries.Inc(1)
		attempts.backOff(ctx)
	}
	if errors.Is(outcome, state.ErrOutcomeUnknown) {
		l.unknown.Inc(1)
	}
	return state.Result{}, outcome
}

// attempt proposes a command at one process, once.
func (l *Log) attempt(ctx context.Context, target model.NodeID, c state.Command) (state.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	if target == l.config.Self && l.config.Voter != nil {
		return proposeLocally(ctx, l.config.Voter, c, l.config.Clock())
	}
	return l.proposeRemotely(ctx, target, c)
}

// proposeLocally proposes at this process's own voter. The leader sets the time,
// so that it comes from one clock whichever process sent the command.
func proposeLocally(ctx context.Context, voter Voter, c state.Command, now model.Instant) (state.Result, error) {
	c.At = now
	for i := range c.Batch {
		c.Batch[i].At = now
	}
	data, err := state.Encode(c)
	if err != nil {
		return state.Result{}, oops.Wrapf(errors.Join(state.ErrNotProposed, err), "encode command")
	}
	return voter.Propose(ctx, data)
}

// proposeRemotely proposes at another process.
func (l *Log) proposeRemotely(ctx context.Context, target model.NodeID, c state.Command) (state.Result, error) {
	p, err := l.config.Client.peer(target)
	if err != nil {
		return state.Result{}, errors.Join(state.ErrNotProposed, err)
	}
	data, err := state.Encode(c)
	if err != nil {
		return state.Result{}, errors.Join(state.ErrNotProposed, err)
	}
	reply, err := p.work.node().Propose(ctx, &nodepb.ProposeRequest{Node: string(l.config.Self), Command: data})
	if err != nil {
		l.config.Leader.Invalidate(target)
		p.recordFailure(p.work, err)
		return state.Result{}, errors.Join(proposeOutcome(err), err)
	}
	l.updateLeader(target, reply.Leader, reply.Term)
	return proposeResult(reply)
}

// updateLeader records the leader that the reply of a target names.
func (l *Log) updateLeader(target model.NodeID, leader string, term uint64) {
	if model.NodeID(leader) != target {
		l.config.Leader.Invalidate(target)
	}
	l.config.Leader.Update(model.NodeID(leader), term)
}

// proposeResult returns the result or error that a reply holds.
func proposeResult(reply *nodepb.ProposeReply) (state.Result, error) {
	switch reply.Outcome {
	case nodepb.ProposeOutcome_PROPOSE_OUTCOME_COMMITTED:
		result, err := state.DecodeResult(reply.Result)
		if err != nil {
			return state.Result{}, errors.Join(state.ErrOutcomeUnknown, err)
		}
		return result, nil
	case nodepb.ProposeOutcome_PROPOSE_OUTCOME_NOT_PROPOSED:
		return state.Result{}, state.ErrNotProposed
	default:
		return state.Result{}, state.ErrOutcomeUnknown
	}
}

// proposeOutcome maps the error of a failed call. Only a call that was never
// sent, or that the peer rejected unhandled, proves that nothing was proposed.
func proposeOutcome(err error) error {
	if neverSent(err) || rejectedUnhandled(err) {
		return state.ErrNotProposed
	}
	return state.ErrOutcomeUnknown
}

// Confirm waits until this process has applied everything that was committed
// before the call, up to an index that a quorum confirms.
func (l *Log) Confirm(ctx context.Context) (uint64, error) {
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	attempts := l.newAttempts()
	for ctx.Err() == nil {
		index, err := l.readIndex(ctx, attempts.nextTarget())
		if err == nil {
			return index, l.WaitApplied(ctx, index)
		}
		attempts.backOff(ctx)
	}
	return 0, oops.In("node").Wrapf(ctx.Err(), "no quorum confirmed the state in time")
}

// errNotConfirmed is the error of a read index at a process that returned none.
var errNotConfirmed = errors.New("node: not the leader, or not confirmed")

// readIndex asks one process for a confirmed index.
func (l *Log) readIndex(ctx context.Context, target model.NodeID) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	if target == l.config.Self && l.config.Voter != nil {
		return l.config.Voter.ReadIndex(ctx)
	}
	p, err := l.config.Client.peer(target)
	if err != nil {
		return 0, err
	}
	reply, err := p.small.node().ReadIndex(ctx, &nodepb.ReadIndexRequest{Node: string(l.config.Self)})
	if err != nil {
		l.config.Leader.Invalidate(target)
		p.recordFailure(p.small, err)
		return 0, err
	}
	l.updateLeader(target, reply.Leader, reply.Term)
	if !reply.Confirmed {
		return 0, errNotConfirmed
	}
	return reply.Index, nil
}

// View returns the tables as of the last applied index.
func (l *Log) View() *state.View { return l.config.Machine.View() }

// Claim returns the claim of a key, or nil when there is none.
func (l *Log) Claim(key model.RequestKey) *model.Claim { return l.config.Machine.Claim(key) }

// Audit returns at most limit audit records, starting at a sequence number.
func (l *Log) Audit(from uint64, limit int) []model.AuditRecord {
	return l.config.Machine.Audit(from, limit)
}

// WaitApplied waits until this process has applied the index.
func (l *Log) WaitApplied(ctx context.Context, index uint64) error {
	return l.config.Machine.Wait(ctx, index)
}

// Leader returns the last known leader and its term.
//
// Only this process's own voter decides whether this process leads. A leader that
// was cut off learns of no other: if it trusted the last hint, which is itself,
// its controller would continue as the leader's until the partition ends.
func (l *Log) Leader() (model.NodeID, uint64) {
	if l.config.Voter != nil {
		if s := l.config.Voter.Status(); s.Leader != "" {
			return s.Leader, s.Term
		}
	}
	leader, term := l.config.Leader.Get()
	if leader == l.config.Self {
		return "", term
	}
	return leader, term
}

// withDefaultTimeout adds a deadline to a context that has none.
func withDefaultTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, has := ctx.Deadline(); has {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, defaultCallTimeout)
}
