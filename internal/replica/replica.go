package replica

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"github.com/comfreyloom/comfreyloom/internal/datafolder"
	"github.com/comfreyloom/comfreyloom/internal/quorum"
	"github.com/comfreyloom/comfreyloom/internal/ring"
	"github.com/comfreyloom/comfreyloom/internal/snapshot"
	"github.com/comfreyloom/comfreyloom/internal/wal"
)

// errEnded says that the voter does not run any more.
var errEnded = errors.New("replica: the voter has stopped")

// Replica is one voter. Its methods are safe for concurrent use.
type Replica struct {
	config   Config
	folder   *datafolder.Folder
	counters *counters

	messages  *ring.Ring[[]quorum.Message]
	proposals *ring.Ring[*proposal]
	controls  *ring.Ring[func(*driver)]
	// pending is the size of the commands in the ring.
	pending atomic.Int64
	// wake holds one token while something lies in the rings.
	wake chan struct{}
	// ended is closed when the duty is over and has answered everybody.
	ended   chan struct{}
	endOnce sync.Once

	feed   *feed
	status atomic.Pointer[published]
	notify *broadcast

	// What was recovered; used up when the core starts.
	log       *wal.Log
	recovered wal.Recovered
	loaded    *quorum.Snapshot
	saver     *saver
}

const controlRing = 1_024

// Open locks and reads the data folder. Errors say which file is damaged or
// which operation failed, and what to do; the process must not go on as a
// voter after one.
func Open(c Config) (*Replica, error) {
	if err := c.complete(); err != nil {
		return nil, err
	}
	folder, err := datafolder.Open(datafolder.Options{Path: c.Folder, Site: c.Site, Node: c.Self, Disk: c.Disk})
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
		messages:  ring.New[[]quorum.Message](c.MessageRing),
		proposals: ring.New[*proposal](c.ProposalRing),
		controls:  ring.New[func(*driver)](controlRing),
		wake:      make(chan struct{}, 1),
		ended:     make(chan struct{}),
		feed:      newFeed(),
		notify:    newBroadcast(),
		saver:     newSaver(folder.FS(), folder.SnapshotPath()),
	}
	r.status.Store(&published{})
	return r
}

// load reads snapshot and log. The log is made durable before the disk can
// leave PhaseEmpty: from then on a missing log means that it was lost.
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
	r.log, r.recovered, r.loaded = log, recovered, loaded
	if recovered.CutBytes > 0 {
		r.config.Log.WithField("bytes", recovered.CutBytes).Warn("cut a torn tail off the log; nothing in it was promised")
	}
	return r.checkPhase(phase)
}

// checkPhase refuses a folder whose files contradict each other.
func (r *Replica) checkPhase(phase datafolder.Phase) error {
	used := r.recovered.Records > 0 || r.recovered.Base > 0
	damaged := func(file, why string) error {
		_ = r.log.Close()
		return &datafolder.CorruptError{File: file, Why: why, Remedy: datafolder.RemedyRejoin}
	}
	switch {
	case phase != datafolder.PhaseActive && (used || r.loaded != nil):
		return damaged(r.folder.LogPath(), "the disk never took part in the quorum, yet it holds a log")
	case r.loaded == nil && (len(r.recovered.Entries) > 0 || r.recovered.Base > 0):
		return damaged(r.folder.SnapshotPath(), "the snapshot is missing that the log continues")
	}
	return nil
}

// Run brings the disk into the site if need be and then takes part in the
// quorum until ctx ends. Any other return is an error after which the process
// must end: what is durable is then known only to the next start.
func (r *Replica) Run(ctx context.Context) error {
	defer r.end()
	if err := r.enterSite(ctx); err != nil {
		return endOf(ctx, err)
	}
	d, err := newDriver(r)
	if err != nil {
		return oops.In("replica").Wrapf(err, "start")
	}
	return endOf(ctx, d.runDuties(ctx))
}

// endOf returns nil when the duties ended only because ctx did.
func endOf(ctx context.Context, err error) error {
	if ctx.Err() != nil && errors.Is(err, ctx.Err()) {
		return nil
	}
	return err
}

// end answers everybody who still waits and gives the folder back.
func (r *Replica) end() {
	r.endOnce.Do(func() {
		r.status.Store(&published{})
		r.messages.Close()
		r.proposals.Close()
		r.controls.Close()
		close(r.ended)
		r.feed.end()
		r.notify.signal()
		_ = r.log.Close()
		_ = r.folder.Close()
	})
}

// Close gives the folder back when Run was never called.
func (r *Replica) Close() { r.end() }

// Identity says who this voter is and how far its disk has come.
func (r *Replica) Identity() Identity { return r.folder.Identity() }

// Step hands over messages of other voters without waiting. When too much
// waits already they are dropped, which the protocol tolerates.
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

// control lets the duty run f; it waits until the duty has room for it.
func (r *Replica) control(ctx context.Context, f func(*driver)) error {
	if err := r.controls.Put(ctx, f); errors.Is(err, ring.ErrClosed) {
		return errEnded
	} else if err != nil {
		return err
	}
	r.wakeUp()
	return nil
}

// broadcast wakes everybody who waits for a change.
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

// published is the status as of an instant of the clock.
type published struct {
	status quorum.Status
	at     time.Duration
}
