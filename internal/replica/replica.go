package replica

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"github.com/comfreyloom/comfreyloom/internal/datafolder"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/quorum"
	"github.com/comfreyloom/comfreyloom/internal/ring"
	"github.com/comfreyloom/comfreyloom/internal/snapshot"
	"github.com/comfreyloom/comfreyloom/internal/wal"
)

// errStopped is returned when the voter no longer runs.
var errStopped = errors.New("replica: the voter has stopped")

// Replica is one voter. Its methods are safe for concurrent use.
type Replica struct {
	config   Config
	folder   *datafolder.Folder
	counters *counters

	messages  *ring.Ring[[]quorum.Message]
	proposals *ring.Ring[*proposal]
	controls  *ring.Ring[func(*driver)]
	// pending is the total size of the commands in the ring.
	pending atomic.Int64
	// wake holds one token while the rings are not empty.
	wake chan struct{}
	// stopped is closed when the driver has ended and completed all requests.
	stopped      chan struct{}
	shutDownOnce sync.Once

	feed   *feed
	status atomic.Pointer[publishedStatus]
	// responsive holds what ResponsiveVoters returns.
	responsive atomic.Pointer[[]model.NodeID]
	notify     *broadcast

	// Recovered state; consumed when the core starts.
	log            *wal.Log
	recovered      wal.Recovered
	loadedSnapshot *quorum.Snapshot
	saver          *saver
}

const controlRingSize = 1_024

// Open locks and reads the data folder. Errors name the damaged file or the
// failed operation and the remedy; after an error the process must not continue
// as a voter.
func Open(c Config) (*Replica, error) {
	if err := c.complete(); err != nil {
		return nil, err
	}
	folder, err := datafolder.Open(datafolder.Options{Path: c.Folder, Site: c.Site, Node: c.Self, Founders: c.Members, Disk: c.Disk})
	if err != nil {
		return nil, oops.In("replica").Wrapf(err, "open data folder")
	}
	r := newReplica(c, folder)
	if err := r.load(); err != nil {
		_ = folder.Close()
		return nil, oops.In("replica").Wrapf(err, "read data folder")
	}
	return r, nil
}

func newReplica(c Config, folder *datafolder.Folder) *Replica {
	r := &Replica{
		config:    c,
		folder:    folder,
		counters:  newCounters(c.Metrics),
		messages:  ring.New[[]quorum.Message](c.MessageRingSize),
		proposals: ring.New[*proposal](c.ProposalRingSize),
		controls:  ring.New[func(*driver)](controlRingSize),
		wake:      make(chan struct{}, 1),
		stopped:   make(chan struct{}),
		feed:      newFeed(),
		notify:    newBroadcast(),
		saver:     newSaver(folder.FS(), folder.SnapshotPath()),
	}
	r.status.Store(&publishedStatus{})
	return r
}

// load reads the snapshot and the log. The log is durable before the disk can
// leave PhaseEmpty, so that from then on a missing log means that it was lost.
func (r *Replica) load() error {
	phase := r.Identity().Phase
	loaded, err := snapshot.Load(r.folder.FS(), r.folder.SnapshotPath())
	if err != nil {
		return err
	}
	log, recovered, err := wal.Open(r.folder.LogPath(), wal.Options{
		Disk:         r.folder.FS(),
		SegmentBytes: r.config.SegmentBytes,
		MayCreate:    phase == datafolder.PhaseEmpty,
	})
	if err != nil {
		return err
	}
	r.log, r.recovered, r.loadedSnapshot = log, recovered, loaded
	if recovered.TruncatedBytes > 0 {
		r.config.Log.WithField("bytes", recovered.TruncatedBytes).Warn("removed a torn tail of the log; nothing in it had been acknowledged")
	}
	return r.checkPhase(phase)
}

// checkPhase rejects a folder whose files contradict each other.
func (r *Replica) checkPhase(phase datafolder.Phase) error {
	used := r.recovered.Records > 0 || r.recovered.Base > 0
	damaged := func(file, reason string) error {
		_ = r.log.Close()
		return &datafolder.CorruptError{File: file, Reason: reason, Hint: datafolder.HintRejoin}
	}
	switch {
	case phase != datafolder.PhaseActive && (used || r.loadedSnapshot != nil):
		return damaged(r.folder.LogPath(), "the disk never took part in the quorum, but it holds a log or a snapshot")
	case r.loadedSnapshot == nil && (len(r.recovered.Entries) > 0 || r.recovered.Base > 0):
		return damaged(r.folder.SnapshotPath(), "the snapshot that precedes the log is missing")
	}
	return nil
}

// Run enters the site if the disk is not active yet, and then takes part in the
// quorum until ctx ends. Any other return is an error after which the process
// must end: only a restart determines what is durable then.
func (r *Replica) Run(ctx context.Context) error {
	defer r.shutDown()
	if err := r.enterSite(ctx); err != nil {
		return ignoreCancellation(ctx, err)
	}
	d, err := newDriver(r)
	if err != nil {
		return oops.In("replica").Wrapf(err, "start")
	}
	return ignoreCancellation(ctx, d.runTasks(ctx))
}

// ignoreCancellation returns nil when err only reports that ctx ended.
func ignoreCancellation(ctx context.Context, err error) error {
	if ctx.Err() != nil && errors.Is(err, ctx.Err()) {
		return nil
	}
	return err
}

// shutDown completes all waiting requests and releases the folder.
func (r *Replica) shutDown() {
	r.shutDownOnce.Do(func() {
		r.status.Store(&publishedStatus{})
		r.messages.Close()
		r.proposals.Close()
		r.controls.Close()
		close(r.stopped)
		r.feed.close()
		r.notify.signal()
		_ = r.log.Close()
		_ = r.folder.Close()
	})
}

// Close releases the folder when Run was never called.
func (r *Replica) Close() { r.shutDown() }

// Identity returns the identity of this voter, which includes the phase of its
// disk.
func (r *Replica) Identity() Identity { return r.folder.Identity() }

// Step queues messages of other voters without blocking. When the ring is full
// they are dropped, which the protocol tolerates.
func (r *Replica) Step(messages []quorum.Message) {
	if err := r.messages.TryPut(messages); err != nil {
		r.counters.messagesDropped.Inc(int64(len(messages)))
		return
	}
	r.wakeUp()
}

func (r *Replica) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// control runs f in the driver; it blocks while the ring is full.
func (r *Replica) control(ctx context.Context, f func(*driver)) error {
	if err := r.controls.Put(ctx, f); errors.Is(err, ring.ErrClosed) {
		return errStopped
	} else if err != nil {
		return err
	}
	r.wakeUp()
	return nil
}

// broadcast wakes all goroutines that wait for a change.
type broadcast struct {
	mu sync.Mutex
	ch chan struct{}
}

func newBroadcast() *broadcast { return &broadcast{ch: make(chan struct{})} }

func (b *broadcast) wait() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ch
}

func (b *broadcast) signal() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.ch)
	b.ch = make(chan struct{})
}

// publishedStatus is the status at an instant of the clock.
type publishedStatus struct {
	status quorum.Status
	at     time.Duration
}
