package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/node/nodepb"
	"github.com/comfreyloom/comfreyloom/internal/quorum"
	"github.com/comfreyloom/comfreyloom/internal/steady"
	"github.com/rcrowley/go-metrics"
	"github.com/samber/oops"
)

const (
	// followWait is how long a poll waits at the voter for new entries.
	followWait = 20 * time.Second
	// followTimeout bounds a poll including its wait and its reply.
	followTimeout = followWait + 10*time.Second
	// rotateAfter is how old a poll must be for Rotate to end it, so that a
	// learner that is catching up does not move from voter to voter.
	rotateAfter = 2 * time.Second
	// maxSnapshotBytes bounds a fetched snapshot.
	maxSnapshotBytes = 128 << 20
)

var (
	// ErrStaleFeed reports that a voter offered a state that is older than the
	// applied one or of another history. With it, accepted changes would
	// disappear.
	ErrStaleFeed = errors.New("node: the feed is older than the applied state, or of another history")
	// ErrInvalidFeed reports that a feed has gaps, cannot be decoded or does not
	// start at the requested index.
	ErrInvalidFeed = errors.New("node: the feed is not valid")
)

// FollowerConfig sets up a Follower.
type FollowerConfig struct {
	Self    model.NodeID
	Machine Machine
	Client  *Client
	// Voters are the names of all voters, as in the settings.
	Voters  []model.NodeID
	Leader  *LeaderHint
	Metrics metrics.Registry
	Logger  log.Interface
}

// Follower keeps the state of a learner up to date by long polls at one voter
// at a time. Rotate may be called while Run runs; the rest belongs to Run.
type Follower struct {
	config FollowerConfig
	source model.NodeID
	// voterIndex selects the voter to poll when the leader is not known.
	voterIndex int
	// lastTerm is the term of the last entry or snapshot applied.
	lastTerm uint64
	fetch    *snapshotFetch

	staleFeeds, invalidFeeds, rotations, snapshots metrics.Counter

	mu sync.Mutex
	// cancel ends the poll that began at polledAt; it is nil between polls.
	cancel   context.CancelFunc
	polledAt time.Time
}

// NewFollower returns a follower that has not polled yet.
func NewFollower(c FollowerConfig) *Follower {
	if c.Logger == nil {
		c.Logger = log.Log
	}
	return &Follower{
		config:       c,
		staleFeeds:   metrics.GetOrRegisterCounter("node.follow.step_back", c.Metrics),
		invalidFeeds: metrics.GetOrRegisterCounter("node.follow.bad_feed", c.Metrics),
		rotations:    metrics.GetOrRegisterCounter("node.follow.rotations", c.Metrics),
		snapshots:    metrics.GetOrRegisterCounter("node.follow.snapshots", c.Metrics),
	}
}

// Run polls until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	wait := retryPause
	for ctx.Err() == nil {
		err := f.pollOnce(ctx)
		if err == nil {
			wait = retryPause
			continue
		}
		f.nextSource()
		steady.Pause(ctx, wait)
		wait = min(2*wait, maxRetryPause)
	}
	return ctx.Err()
}

// Rotate ends the poll in progress, unless it is recent, and continues at
// another voter. It is called when this process is no longer confirmed, or
// learned of commits that the feed does not deliver. The voter may then be on the
// minority side of a partition, or the connection to it dead; in both cases the
// poll would only wait.
func (f *Follower) Rotate() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancel != nil && time.Since(f.polledAt) > rotateAfter {
		f.cancel()
	}
}

// pollOnce does one poll and applies the reply.
func (f *Follower) pollOnce(ctx context.Context) error {
	p, err := f.config.Client.peer(f.chooseSource())
	if err != nil {
		return err
	}
	reply, err := f.poll(ctx, p)
	if err != nil {
		f.config.Leader.Invalidate(p.name)
		p.recordFailure(p.bulk, err)
		return err
	}
	f.config.Leader.Update(model.NodeID(reply.Leader), reply.Term)
	if err := f.apply(reply); err != nil {
		f.recordRefusal(p.name, err)
		return err
	}
	return nil
}

// chooseSource returns the voter to poll. The leader is preferred: it learns of
// a commit one message earlier than the others.
func (f *Follower) chooseSource() model.NodeID {
	if f.source == "" {
		f.source, _ = f.config.Leader.Get()
	}
	if f.source == "" && len(f.config.Voters) > 0 {
		f.source = f.config.Voters[f.voterIndex%len(f.config.Voters)]
	}
	return f.source
}

// nextSource switches to the leader, or to the next voter in turn when the
// leader is the current source. The fetched part of a snapshot is dropped: parts
// from two voters must not be joined.
func (f *Follower) nextSource() {
	f.rotations.Inc(1)
	f.fetch = nil
	previous := f.source
	f.source, _ = f.config.Leader.Get()
	for range f.config.Voters {
		if f.source != "" && f.source != previous {
			return
		}
		f.voterIndex++
		f.source = f.config.Voters[f.voterIndex%len(f.config.Voters)]
	}
}

// poll asks a voter for the entries behind the applied index, or for the next
// chunk of the snapshot that is being fetched.
func (f *Follower) poll(ctx context.Context, p *peer) (*nodepb.FollowReply, error) {
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	f.setCancel(cancel)
	defer f.setCancel(nil)
	request := &nodepb.FollowRequest{
		Node:   string(f.config.Self),
		From:   f.config.Machine.Applied() + 1,
		WaitMs: uint32(followWait / time.Millisecond),
	}
	if f.fetch != nil {
		request.SnapshotIndex, request.SnapshotOffset = f.fetch.meta.Index, uint64(len(f.fetch.data))
	}
	return p.bulk.node().Follow(ctx, request)
}

func (f *Follower) setCancel(cancel context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancel, f.polledAt = cancel, time.Now()
}

// recordRefusal counts and logs a refused feed. The source changes after it, so
// this is one line a source.
func (f *Follower) recordRefusal(source model.NodeID, err error) {
	counter := f.invalidFeeds
	if errors.Is(err, ErrStaleFeed) {
		counter = f.staleFeeds
	}
	counter.Inc(1)
	f.fetch = nil
	f.config.Logger.WithError(err).WithField("voter", source).Warn("feed of the control log refused")
}

// apply applies the reply of a poll.
func (f *Follower) apply(reply *nodepb.FollowReply) error {
	if reply.Snapshot != nil {
		return f.addChunk(reply.Snapshot)
	}
	f.fetch = nil
	entries, err := decodeEntries(reply.Entries)
	if err != nil {
		return errors.Join(ErrInvalidFeed, err)
	}
	return f.applyEntries(entries)
}

// applyEntries checks a feed as a whole before it applies any part, so that no
// part of an invalid feed is applied.
func (f *Follower) applyEntries(entries []quorum.Entry) error {
	index, term := f.config.Machine.Applied(), f.lastTerm
	for i := range entries {
		e := &entries[i]
		if e.Index != index+1 {
			return oops.Wrapf(ErrInvalidFeed, "entry %d follows entry %d", e.Index, index)
		}
		// Terms of committed entries never decrease. A lower one comes from
		// another history, such as that of a site founded anew.
		if e.Term < term {
			return oops.Wrapf(ErrStaleFeed, "entry %d has term %d, the one before has term %d", e.Index, e.Term, term)
		}
		index, term = e.Index, e.Term
	}
	for i := range entries {
		f.config.Machine.Apply(entries[i].Index, commandOf(&entries[i]))
	}
	f.lastTerm = term
	return nil
}

// commandOf returns the command that the state machine applies. It is nil for an
// entry of the quorum protocol itself, which takes an index too.
func commandOf(e *quorum.Entry) []byte {
	if e.Kind != quorum.EntryCommand {
		return nil
	}
	return e.Data
}
