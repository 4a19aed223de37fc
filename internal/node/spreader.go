package node

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/node/nodepb"
	"github.com/comfreyloom/comfreyloom/internal/registry"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
)

const (
	// spreadPoll is how often the registry is looked at: for leases that end,
	// and for changes of which no Nudge told.
	spreadPoll = 500 * time.Millisecond
	// spreadTimeout bounds one delivery, so that a lost one is repeated soon.
	spreadTimeout = 500 * time.Millisecond
	// spreadPause is the pause after a failed delivery; it grows to maxSpreadPause.
	spreadPause    = 100 * time.Millisecond
	maxSpreadPause = time.Second
	// minSpreadPause is the pause after a delivery before what is left.
	minSpreadPause = time.Millisecond
	// renewalPerPeer is how long renewals are held back for each peer, so
	// that they travel together; at least minRenewal, at most maxRenewal.
	renewalPerPeer = 300 * time.Millisecond
	minRenewal     = time.Second
	maxRenewal     = 3 * time.Second
	// renewalShare is the part of the time between two announcements for which
	// renewals are held back if that is longer; at most longRenewal. A lease
	// is three such times, so that one renewal may still be lost.
	renewalShare = 3
	longRenewal  = 5 * time.Second
	// batchLimit bounds the entries of one delivery.
	batchLimit = 1024
	// repairLimit bounds the records that answer one digest.
	repairLimit = 4096
)

// SpreaderConfig sets up a Spreader.
type SpreaderConfig struct {
	Self     model.NodeID
	Registry *registry.Registry
	Client   *Client
	Metrics  metrics.Registry
	// Clock must be the one by which the registry is kept.
	Clock func() model.Instant
}

// Spreader carries what upstreams announced here to all other processes. A
// change is pushed at once and repeated until it is acknowledged; renewals of
// leases travel together. Beats carry a digest, and where digests differ the
// two processes exchange what each of them lacks, whatever was lost before. It
// also lets the leases of silent instances lapse: without that an instance
// whose VM died would get requests, and count in budgets, for ever.
type Spreader struct {
	config SpreaderConfig
	// nudge holds a token when something changed.
	nudge chan struct{}
	// renewal is how long renewals are held back at least.
	renewal time.Duration
	routes  map[model.NodeID]*route

	pushed, repaired, failed, lapsed metrics.Counter
}

// route is the way to one peer.
type route struct {
	peer *peer
	// changed and differs wake the route's duty.
	changed, differs chan struct{}
	// since is the version that the peer acknowledged.
	since    uint64
	pushedAt time.Time
	// pause is the one after the last failure, which ends at notBefore.
	pause     time.Duration
	notBefore time.Time
}

// NewSpreader returns a spreader for the registry.
func NewSpreader(c SpreaderConfig) *Spreader {
	s := &Spreader{
		config:   c,
		nudge:    make(chan struct{}, 1),
		routes:   map[model.NodeID]*route{},
		pushed:   metrics.GetOrRegisterCounter("node.announce.pushed", c.Metrics),
		repaired: metrics.GetOrRegisterCounter("node.announce.repaired", c.Metrics),
		failed:   metrics.GetOrRegisterCounter("node.announce.failed", c.Metrics),
		lapsed:   metrics.GetOrRegisterCounter("node.announce.lapsed", c.Metrics),
	}
	if s.config.Clock == nil {
		s.config.Clock = wallClock
	}
	for name, p := range c.Client.peers {
		s.routes[name] = &route{peer: p, changed: make(chan struct{}, 1), differs: make(chan struct{}, 1)}
	}
	s.renewal = min(max(time.Duration(len(s.routes))*renewalPerPeer, minRenewal), maxRenewal)
	return s
}

// Run spreads changes until ctx ends: one duty that watches the registry, and
// one a peer.
func (s *Spreader) Run(ctx context.Context) error {
	var duties conc.WaitGroup
	for _, r := range s.routes {
		duties.Go(func() { s.serve(ctx, r) })
	}
	s.watch(ctx)
	duties.Wait()
	return ctx.Err()
}

// Nudge says that an instance entered, left or changed here, so that it is
// pushed at once. A renewal needs no nudge.
func (s *Spreader) Nudge() { signal(s.nudge) }

// hold returns how long renewals are held back. At a large site a delivery
// costs many times what the renewals in it do, and leases are long.
func (s *Spreader) hold() time.Duration {
	return max(s.renewal, min(s.config.Registry.RenewInterval()/renewalShare, longRenewal))
}

// watch wakes the routes: at once for a change, together for renewals. A route
// that woke for each renewal would compare and wait many times a second.
func (s *Spreader) watch(ctx context.Context) {
	var version, changed uint64
	var told time.Time
	poll := time.NewTicker(spreadPoll)
	defer poll.Stop()
	for {
		select {
		case <-s.nudge:
		case <-poll.C:
			s.lapsed.Inc(int64(s.config.Registry.Tick(s.config.Clock())))
		case <-ctx.Done():
			return
		}
		now := time.Now()
		nextVersion, nextChanged := s.config.Registry.Version(), s.config.Registry.ChangeVersion()
		if nextChanged == changed && (nextVersion == version || now.Sub(told) < s.hold()) {
			continue
		}
		version, changed, told = nextVersion, nextChanged, now
		for _, r := range s.routes {
			signal(r.changed)
		}
	}
}

// serve keeps one peer up to date.
func (s *Spreader) serve(ctx context.Context, r *route) {
	due := time.NewTimer(0)
	defer due.Stop()
	for ctx.Err() == nil {
		select {
		case <-r.changed:
		case <-due.C:
		case <-r.differs:
			s.repair(ctx, r)
		case <-ctx.Done():
			return
		}
		if wait := s.push(ctx, r); wait > 0 {
			due.Reset(wait)
		}
	}
}

// push delivers what the peer has not acknowledged, and returns when to look
// again; 0 when there is nothing left.
func (s *Spreader) push(ctx context.Context, r *route) time.Duration {
	if wait := time.Until(r.notBefore); wait > 0 {
		return wait
	}
	batch := s.config.Registry.Deltas(r.since, batchLimit, s.config.Clock())
	if batch.Empty() {
		return 0
	}
	if wait := s.hold() - time.Since(r.pushedAt); len(batch.Records) == 0 && wait > 0 {
		return wait
	}
	if err := s.deliver(ctx, r, batch); err != nil {
		r.pause = min(max(2*r.pause, spreadPause), maxSpreadPause)
		r.notBefore = time.Now().Add(r.pause)
		return r.pause
	}
	r.since, r.pause, r.pushedAt = batch.UpToVersion, 0, time.Now()
	s.pushed.Inc(1)
	return minSpreadPause
}

func (s *Spreader) deliver(ctx context.Context, r *route, batch registry.Batch) error {
	changes, err := batch.Encode()
	if err != nil {
		return err
	}
	_, err = s.announce(ctx, r, &nodepb.AnnounceRequest{Node: string(s.config.Self), Changes: changes})
	return err
}

func (s *Spreader) announce(ctx context.Context, r *route, request *nodepb.AnnounceRequest) (*nodepb.AnnounceReply, error) {
	ctx, cancel := context.WithTimeout(ctx, spreadTimeout)
	defer cancel()
	reply, err := r.peer.small.node().Announce(ctx, request)
	if err != nil {
		s.failed.Inc(1)
		r.peer.failed(r.peer.small, err)
	}
	return reply, err
}

// compare asks for a repair when a peer's digest differs from the one here.
func (s *Spreader) compare(name model.NodeID, digest uint64) {
	if r := s.routes[name]; r != nil && digest != 0 && digest != s.digest() {
		signal(r.differs)
	}
}

// repair exchanges digests with a peer; each side gets what it lacks.
func (s *Spreader) repair(ctx context.Context, r *route) {
	digest, err := s.config.Registry.Digest().Encode()
	if err != nil {
		return
	}
	reply, err := s.announce(ctx, r, &nodepb.AnnounceRequest{Node: string(s.config.Self), Digest: digest})
	if err != nil {
		return
	}
	s.repaired.Inc(1)
	if err := s.merge(reply.Changes); err != nil {
		return
	}
	theirs, err := registry.DecodeDigest(reply.Digest)
	if err != nil {
		return
	}
	lacking := s.config.Registry.Difference(theirs, repairLimit, s.config.Clock())
	if !lacking.Empty() {
		_ = s.deliver(ctx, r, lacking) // counted; the next beat asks again
	}
}

// receive takes a peer's changes and answers its digest.
func (s *Spreader) receive(r *nodepb.AnnounceRequest) (*nodepb.AnnounceReply, error) {
	if err := s.merge(r.Changes); err != nil {
		return nil, err
	}
	if len(r.Digest) == 0 {
		return &nodepb.AnnounceReply{}, nil
	}
	theirs, err := registry.DecodeDigest(r.Digest)
	if err != nil {
		return nil, err
	}
	changes, err := s.config.Registry.Difference(theirs, repairLimit, s.config.Clock()).Encode()
	if err != nil {
		return nil, err
	}
	own, err := s.config.Registry.Digest().Encode()
	return &nodepb.AnnounceReply{Changes: changes, Digest: own}, err
}

func (s *Spreader) merge(changes []byte) error {
	if len(changes) == 0 {
		return nil
	}
	batch, err := registry.DecodeBatch(changes)
	if err != nil {
		return err
	}
	s.config.Registry.Merge(batch, s.config.Clock())
	return nil
}

// digest folds the registry's digest into one number; 0 stands for none.
func (s *Spreader) digest() uint64 {
	d := s.config.Registry.Digest()
	buffer := make([]byte, 0, 8*len(d.BucketHashes))
	for _, part := range d.BucketHashes {
		buffer = binary.LittleEndian.AppendUint64(buffer, part)
	}
	return max(xxhash.Sum64(buffer), 1)
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
