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
	// registryPollInterval is how often the registry is checked for expired
	// leases and for changes without a call of Notify.
	registryPollInterval = 500 * time.Millisecond
	// deliveryTimeout bounds one delivery, so that a lost one is repeated soon.
	deliveryTimeout = 500 * time.Millisecond
	// deliveryBackoff is the pause after a failed delivery; it doubles up to
	// maxDeliveryBackoff.
	deliveryBackoff    = 100 * time.Millisecond
	maxDeliveryBackoff = time.Second
	// nextBatchPause is the pause between a delivery and the next batch.
	nextBatchPause = time.Millisecond
	// renewalDelayPerPeer times the number of peers is how long renewals are
	// delayed, so that they are sent together; at least minRenewalDelay, at most
	// maxRenewalDelay.
	renewalDelayPerPeer = 300 * time.Millisecond
	minRenewalDelay     = time.Second
	maxRenewalDelay     = 3 * time.Second
	// The time between two announcements, divided by renewalDelayDivisor, is the
	// delay of renewals if that is longer; at most longRenewalDelay. A lease lasts
	// three times the time between two announcements, so that one renewal may
	// still be lost.
	renewalDelayDivisor = 3
	longRenewalDelay    = 5 * time.Second
	// batchLimit bounds the records and renewals of one delivery.
	batchLimit = 1024
	// repairLimit bounds the records in the reply to one digest.
	repairLimit = 4096
)

// RegistrySyncConfig sets up a RegistrySync.
type RegistrySyncConfig struct {
	Self     model.NodeID
	Registry *registry.Registry
	Client   *Client
	Metrics  metrics.Registry
	// Clock must be the registry's own clock.
	Clock func() model.Instant
}

// RegistrySync replicates the announcements of upstreams at this process to all
// other processes. A change is pushed at once and repeated until it is
// acknowledged; renewals of leases are sent together. Heartbeats carry a digest.
// When digests differ, the two processes exchange the records that each of them
// lacks, whatever was lost before. RegistrySync also lets the leases of
// unresponsive instances lapse: otherwise an instance whose VM died would get
// requests, and count in availability budgets, for ever.
type RegistrySync struct {
	config RegistrySyncConfig
	// wakeup holds a token when something changed.
	wakeup chan struct{}
	// minDelay is the least delay of renewals.
	minDelay time.Duration
	peers    map[model.NodeID]*peerSync

	pushed, repaired, failed, lapsed metrics.Counter
}

// peerSync is the state of the replication to one peer.
type peerSync struct {
	peer *peer
	// changed and differs wake the background task of this peer.
	changed, differs chan struct{}
	// ackedVersion is the registry version that the peer acknowledged.
	ackedVersion uint64
	pushedAt     time.Time
	// backoff is the pause after the last failure. It ends at notBefore.
	backoff   time.Duration
	notBefore time.Time
}

// NewRegistrySync returns a RegistrySync for the registry.
func NewRegistrySync(c RegistrySyncConfig) *RegistrySync {
	s := &RegistrySync{
		config:   c,
		wakeup:   make(chan struct{}, 1),
		peers:    map[model.NodeID]*peerSync{},
		pushed:   metrics.GetOrRegisterCounter("node.announce.pushed", c.Metrics),
		repaired: metrics.GetOrRegisterCounter("node.announce.repaired", c.Metrics),
		failed:   metrics.GetOrRegisterCounter("node.announce.failed", c.Metrics),
		lapsed:   metrics.GetOrRegisterCounter("node.announce.lapsed", c.Metrics),
	}
	if s.config.Clock == nil {
		s.config.Clock = wallClock
	}
	for name, p := range c.Client.peers {
		s.peers[name] = &peerSync{peer: p, changed: make(chan struct{}, 1), differs: make(chan struct{}, 1)}
	}
	s.minDelay = min(max(time.Duration(len(s.peers))*renewalDelayPerPeer, minRenewalDelay), maxRenewalDelay)
	return s
}

// Run replicates changes until ctx ends. One task watches the registry, and one
// for each peer sends to it.
func (s *RegistrySync) Run(ctx context.Context) error {
	var tasks conc.WaitGroup
	for _, ps := range s.peers {
		tasks.Go(func() { s.syncPeer(ctx, ps) })
	}
	s.watch(ctx)
	tasks.Wait()
	return ctx.Err()
}

// Notify reports that an instance entered, left or changed at this process, so
// that the change is pushed at once. It is not needed for renewals.
func (s *RegistrySync) Notify() { signal(s.wakeup) }

// renewalDelay returns how long renewals are delayed. At a large site a delivery
// costs many times as much as the renewals in it, and leases are long.
func (s *RegistrySync) renewalDelay() time.Duration {
	return max(s.minDelay, min(s.config.Registry.RenewInterval()/renewalDelayDivisor, longRenewalDelay))
}

// watch wakes the tasks of the peers: at once for a change, together for
// renewals. A task that woke for each renewal would compare and wait many times
// a second.
func (s *RegistrySync) watch(ctx context.Context) {
	var version, changed uint64
	var notifiedAt time.Time
	poll := time.NewTicker(registryPollInterval)
	defer poll.Stop()
	for {
		select {
		case <-s.wakeup:
		case <-poll.C:
			s.lapsed.Inc(int64(s.config.Registry.Tick(s.config.Clock())))
		case <-ctx.Done():
			return
		}
		now := time.Now()
		nextVersion, nextChanged := s.config.Registry.Version(), s.config.Registry.ChangeVersion()
		if nextChanged == changed && (nextVersion == version || now.Sub(notifiedAt) < s.renewalDelay()) {
			continue
		}
		version, changed, notifiedAt = nextVersion, nextChanged, now
		for _, ps := range s.peers {
			signal(ps.changed)
		}
	}
}

// syncPeer keeps one peer up to date until ctx ends.
func (s *RegistrySync) syncPeer(ctx context.Context, ps *peerSync) {
	due := time.NewTimer(0)
	defer due.Stop()
	for ctx.Err() == nil {
		select {
		case <-ps.changed:
		case <-due.C:
		case <-ps.differs:
			s.repair(ctx, ps)
		case <-ctx.Done():
			return
		}
		if wait := s.push(ctx, ps); wait > 0 {
			due.Reset(wait)
		}
	}
}

// push delivers what the peer has not acknowledged, and returns the time until
// the next push; 0 when nothing is left.
func (s *RegistrySync) push(ctx context.Context, ps *peerSync) time.Duration {
	if wait := time.Until(ps.notBefore); wait > 0 {
		return wait
	}
	batch := s.config.Registry.Deltas(ps.ackedVersion, batchLimit, s.config.Clock())
	if batch.Empty() {
		return 0
	}
	if wait := s.renewalDelay() - time.Since(ps.pushedAt); len(batch.Records) == 0 && wait > 0 {
		return wait
	}
	if err := s.deliver(ctx, ps, batch); err != nil {
		ps.backoff = min(max(2*ps.backoff, deliveryBackoff), maxDeliveryBackoff)
		ps.notBefore = time.Now().Add(ps.backoff)
		return ps.backoff
	}
	ps.ackedVersion, ps.backoff, ps.pushedAt = batch.UpToVersion, 0, time.Now()
	s.pushed.Inc(1)
	return nextBatchPause
}

// deliver sends changes to a peer.
func (s *RegistrySync) deliver(ctx context.Context, ps *peerSync, batch registry.Batch) error {
	changes, err := batch.Encode()
	if err != nil {
		return err
	}
	_, err = s.announce(ctx, ps, &nodepb.AnnounceRequest{Node: string(s.config.Self), Changes: changes})
	return err
}

// announce sends one request to a peer and counts a failure.
func (s *RegistrySync) announce(ctx context.Context, ps *peerSync, request *nodepb.AnnounceRequest) (*nodepb.AnnounceReply, error) {
	ctx, cancel := context.WithTimeout(ctx, deliveryTimeout)
	defer cancel()
	reply, err := ps.peer.small.node().Announce(ctx, request)
	if err != nil {
		s.failed.Inc(1)
		ps.peer.recordFailure(ps.peer.small, err)
	}
	return reply, err
}

// compareDigest triggers a repair when a peer's digest differs from the local
// one.
func (s *RegistrySync) compareDigest(name model.NodeID, digest uint64) {
	if ps := s.peers[name]; ps != nil && digest != 0 && digest != s.digest() {
		signal(ps.differs)
	}
}

// repair exchanges digests with a peer; each side gets the records that it lacks.
func (s *RegistrySync) repair(ctx context.Context, ps *peerSync) {
	digest, err := s.config.Registry.Digest().Encode()
	if err != nil {
		return
	}
	reply, err := s.announce(ctx, ps, &nodepb.AnnounceRequest{Node: string(s.config.Self), Digest: digest})
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
		_ = s.deliver(ctx, ps, lacking) // counted; the next beat triggers another repair
	}
}

// handleAnnounce merges a peer's changes and replies to its digest.
func (s *RegistrySync) handleAnnounce(r *nodepb.AnnounceRequest) (*nodepb.AnnounceReply, error) {
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

// merge adds encoded changes to the registry.
func (s *RegistrySync) merge(changes []byte) error {
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

// digest hashes the registry's digest into one number; 0 stands for none.
func (s *RegistrySync) digest() uint64 {
	d := s.config.Registry.Digest()
	buffer := make([]byte, 0, 8*len(d.BucketHashes))
	for _, part := range d.BucketHashes {
		buffer = binary.LittleEndian.AppendUint64(buffer, part)
	}
	return max(xxhash.Sum64(buffer), 1)
}

// signal wakes the receiver of a channel unless a token is already waiting.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
