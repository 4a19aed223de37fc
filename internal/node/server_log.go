package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/node/nodepb"
	"github.com/comfreyloom/comfreyloom/internal/quorum"
	"github.com/comfreyloom/comfreyloom/internal/state"
	"github.com/twitchtv/twirp"
)

const (
	// maxFollowWait bounds a long poll.
	maxFollowWait = 25 * time.Second
	// feedBytes bounds the entries of one reply, which holds at least one entry.
	feedBytes = 512 << 10
	// chunkBytes bounds the part of a snapshot in one reply, so that it arrives
	// within rotateAfter on a slow network too.
	chunkBytes = 256 << 10
)

// Propose commits a command if this process leads.
func (s *Server) Propose(ctx context.Context, r *nodepb.ProposeRequest) (*nodepb.ProposeReply, error) {
	voter, err := s.requireVoter()
	if err != nil {
		return nil, err
	}
	command, err := state.Decode(r.Command)
	if err != nil {
		s.badInput.Inc(1)
		return nil, twirp.InvalidArgumentError("command", err.Error())
	}
	result, err := proposeLocally(ctx, voter, command, s.config.Clock())
	status := voter.Status()
	reply := &nodepb.ProposeReply{Leader: string(status.Leader), Term: status.Term}
	if err != nil {
		reply.Outcome = outcomeOf(err)
		return reply, nil
	}
	reply.Outcome = nodepb.ProposeOutcome_PROPOSE_OUTCOME_COMMITTED
	reply.Result, err = state.EncodeResult(result)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return reply, nil
}

// outcomeOf maps the error of a proposal. The outcome is unknown unless the error
// proves that nothing was proposed.
func outcomeOf(err error) nodepb.ProposeOutcome {
	if errors.Is(err, state.ErrNotProposed) && !errors.Is(err, state.ErrOutcomeUnknown) {
		return nodepb.ProposeOutcome_PROPOSE_OUTCOME_NOT_PROPOSED
	}
	return nodepb.ProposeOutcome_PROPOSE_OUTCOME_UNKNOWN
}

// ReadIndex returns a confirmed index if this process leads.
func (s *Server) ReadIndex(ctx context.Context, _ *nodepb.ReadIndexRequest) (*nodepb.ReadIndexReply, error) {
	voter, err := s.requireVoter()
	if err != nil {
		return nil, err
	}
	index, err := voter.ReadIndex(ctx)
	status := voter.Status()
	return &nodepb.ReadIndexReply{
		Confirmed: err == nil,
		Index:     index,
		Leader:    string(status.Leader),
		Term:      status.Term,
	}, nil
}

// Follow returns the committed entries from an index on, many in one reply. When
// there is none, the call waits.
func (s *Server) Follow(ctx context.Context, r *nodepb.FollowRequest) (*nodepb.FollowReply, error) {
	voter, err := s.requireVoter()
	if err != nil {
		return nil, err
	}
	if snapshot := s.snapshots.get(r.SnapshotIndex); snapshot != nil {
		return s.followReply(voter, Feed{Snapshot: snapshot}, r.SnapshotOffset)
	}
	wait := min(time.Duration(r.WaitMs)*time.Millisecond, maxFollowWait)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	feed, err := voter.Committed(ctx, r.From, feedBytes)
	if err != nil && ctx.Err() == nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return s.followReply(voter, feed, 0)
}

func (s *Server) followReply(voter Voter, feed Feed, offset uint64) (*nodepb.FollowReply, error) {
	status := voter.Status()
	reply := &nodepb.FollowReply{
		Commit: max(feed.Commit, status.Commit),
		Term:   status.Term,
		Leader: string(status.Leader),
	}
	var err error
	if feed.Snapshot != nil {
		s.snapshots.put(feed.Snapshot)
		reply.Snapshot, err = chunk(feed.Snapshot, offset)
	} else if len(feed.Entries) > 0 {
		reply.Entries, err = encode(feed.Entries)
	}
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return reply, nil
}

// chunk returns the part of a snapshot at an offset.
func chunk(snapshot *quorum.Snapshot, offset uint64) (*nodepb.SnapshotChunk, error) {
	meta, err := encode(snapshot.Meta)
	if err != nil {
		return nil, err
	}
	total := uint64(len(snapshot.Data))
	from := min(offset, total)
	to := min(from+chunkBytes, total)
	return &nodepb.SnapshotChunk{Meta: meta, Offset: from, Total: total, Data: snapshot.Data[from:to]}, nil
}

// snapshotCache keeps the snapshot that was served last, so that a learner gets
// all chunks from the same snapshot although the voter compacts its log in the
// meantime.
type snapshotCache struct {
	mu     sync.Mutex
	latest *quorum.Snapshot
}

func (c *snapshotCache) get(index uint64) *quorum.Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.latest == nil || index == 0 || c.latest.Meta.Index != index {
		return nil
	}
	return c.latest
}

func (c *snapshotCache) put(snapshot *quorum.Snapshot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.latest == nil || snapshot.Meta.Index >= c.latest.Meta.Index {
		c.latest = snapshot
	}
}
