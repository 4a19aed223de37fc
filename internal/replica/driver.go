package replica

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/samber/oops"
	"github.com/sourcegraph/conc/pool"

	"github.com/comfreyloom/comfreyloom/internal/datafolder"
	"github.com/comfreyloom/comfreyloom/internal/quorum"
	"github.com/comfreyloom/comfreyloom/internal/ring"
	"github.com/comfreyloom/comfreyloom/internal/wal"
)

// driver is the duty that owns the quorum core. Nothing else touches its
// fields while it runs.
type driver struct {
	*Replica
	raft *quorum.Raft

	lastTick  time.Duration
	ticks     uint64
	reviewIn  int
	role      quorum.Role
	term      uint64
	leader    quorum.ID
	lastSeen  quorum.Status
	waiters   waiters
	reads     *reads
	sinceSnap snapshotDebt
	disk      diskPace
	saving    bool
	fatal     error

	toSave  *ring.Ring[quorum.Snapshot]
	reviews *ring.Ring[struct{}]
}

// snapshotDebt is what was applied since the last snapshot was taken.
type snapshotDebt struct {
	entries int
	bytes   int
}

// freshTicks is how many ticks old a published status may be. Together with
// the lease it stays well below the silence after which another is elected.
func freshTicks(electionTicks int) time.Duration { return time.Duration(max(electionTicks/4, 1)) }

// newDriver starts the core from what was recovered.
func newDriver(r *Replica) (*driver, error) {
	if err := r.foundState(); err != nil {
		return nil, err
	}
	var meta quorum.SnapshotMeta
	if r.loaded != nil {
		meta = r.loaded.Meta
		if err := r.config.Machine.Restore(r.loaded.Data); err != nil {
			return nil, fmt.Errorf("restore the snapshot: %w", err)
		}
	}
	raft, err := quorum.New(r.coreConfig(), r.recovered.Hard, meta, r.recovered.Entries)
	if err != nil {
		return nil, &wal.CorruptError{File: r.folder.LogPath(), Why: err.Error(), Remedy: datafolder.RemedyRejoin}
	}
	if err := r.alignLog(raft, meta); err != nil {
		return nil, err
	}
	if r.loaded != nil {
		r.feed.reset(r.loaded)
		r.saver.saved = meta.Index
		raft.SetSnapshot(*r.loaded)
	}
	r.recovered, r.loaded = wal.Recovered{}, nil
	return &driver{
		Replica:  r,
		raft:     raft,
		lastTick: r.config.Clock(),
		reviewIn: r.config.ReviewTicks,
		waiters:  waiters{},
		reads:    newReads(),
		toSave:   ring.New[quorum.Snapshot](1),
		reviews:  ring.New[struct{}](1),
	}, nil
}

func (r *Replica) coreConfig() quorum.Config {
	return quorum.Config{
		Self:           r.Identity().Voter(),
		ElectionTicks:  r.config.ElectionTicks,
		HeartbeatTicks: r.config.HeartbeatTicks,
		LeaseTicks:     max(r.config.ElectionTicks/2, 1),
		Random:         r.config.Random,
		KeepEntries:    r.config.KeepEntries,

		PiggybackCommit: r.config.CommitsWithNext,
	}
}

// foundState makes the snapshot from which a founded site starts, the same
// on every founding voter. A disk that joined later gets one from the leader.
func (r *Replica) foundState() error {
	founding := r.Identity().Founding
	if r.loaded != nil || len(founding.Voters.Members) == 0 {
		return nil
	}
	if r.recovered.Records > 0 {
		return &datafolder.CorruptError{File: r.folder.SnapshotPath(),
			Why: "the snapshot of the founding is missing", Remedy: datafolder.RemedyRejoin}
	}
	meta := quorum.FoundingMeta(founding.Voters)
	r.config.Machine.Apply(meta.Index, nil)
	data, err := r.config.Machine.Snapshot()
	if err != nil {
		return fmt.Errorf("snapshot of the empty state: %w", err)
	}
	first := quorum.Snapshot{Meta: meta, Data: data}
	if err := r.saver.save(first); err != nil {
		return err
	}
	r.loaded = &first
	return nil
}

// alignLog makes the log on disk end where the core's does. They differ when
// a crash came after a received snapshot was saved and before the log was
// restarted behind it. Comparing the last indexes is not enough: stale entries
// may end at the very index of the snapshot, and what is appended behind them
// would be dropped with them at the next start, though it was acknowledged.
func (r *Replica) alignLog(raft *quorum.Raft, meta quorum.SnapshotMeta) error {
	if !raft.LogDropped() && raft.Status().Last == r.log.Last() {
		return nil
	}
	hard := r.log.Hard()
	return r.log.Restart(&hard, meta.Index)
}

// runDuties runs the core, the writer of snapshots and the review of voters
// until one of them fails or ctx ends.
func (d *driver) runDuties(ctx context.Context) error {
	p := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	p.Go(d.run)
	p.Go(d.saveSnapshots)
	p.Go(d.reviewVoters)
	return p.Wait()
}

func (d *driver) run(ctx context.Context) error {
	defer d.finish()
	ticker := time.NewTicker(d.config.TickEvery)
	defer ticker.Stop()
	for {
		if err := d.round(); err != nil {
			return oops.In("replica").Wrapf(err, "voter %s", d.config.Self)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-d.wake:
		}
	}
}

// round takes in what has come and does what follows from it. Missed ticks
// pass first, so that a leader that was stopped past its lease finds out
// before it acts on anything.
func (d *driver) round() error {
	d.tick()
	if err := d.takeMessages(); err != nil {
		return err
	}
	d.takeControls()
	d.takeProposals()
	d.reads.start(d.raft, d.notLeader())
	for d.raft.HasReady() {
		if err := d.handle(d.raft.Ready()); err != nil {
			return err
		}
		d.followRole()
	}
	d.followRole()
	d.leaveSlowDisk()
	d.publish()
	if d.fatal != nil {
		return d.fatal
	}
	return d.checkInvariants()
}

// tick lets the core's time pass. After a long stop only so many ticks count
// as it takes to end any lease and any campaign.
func (d *driver) tick() {
	passed := uint64((d.config.Clock() - d.lastTick) / d.config.TickEvery)
	d.lastTick += time.Duration(passed) * d.config.TickEvery
	for range min(passed, uint64(4*d.config.ElectionTicks)) {
		d.ticks++
		d.raft.Tick()
		d.reviewIn--
	}
	if passed == 0 {
		return
	}
	d.followRole()
	d.expireWaiters()
	if d.reviewIn <= 0 && d.raft.Status().Ready {
		d.reviewIn = d.config.ReviewTicks
		_ = d.reviews.TryPut(struct{}{}) // full: a review is on its way
	}
}

// finish answers everybody when the duty ends.
func (d *driver) finish() {
	d.reads.fail(ErrNotLeader{})
	n := d.waiters.unknown("this voter stopped before the command was applied", func(uint64, *waiter) bool { return true })
	d.counters.unknown.Inc(n)
}

// transfer hands leadership to the voter that answers and is furthest.
func (d *driver) transfer() error {
	return d.transferTo(func(quorum.PeerStatus) bool { return true })
}

// transferTo hands leadership to the voter that answers and is furthest of
// those that suit.
func (d *driver) transferTo(suits func(quorum.PeerStatus) bool) error {
	if s := d.raft.Status(); s.Role != quorum.RoleLeader || s.Transferring {
		return nil
	}
	peers := slices.DeleteFunc(d.raft.Peers(), func(p quorum.PeerStatus) bool {
		return p.UnresponsiveTicks > uint64(d.config.ElectionTicks/2) || p.Snapshot || !suits(p)
	})
	if len(peers) == 0 {
		return ErrNoSuccessor
	}
	best := slices.MaxFunc(peers, func(a, b quorum.PeerStatus) int { return int(int64(a.Match) - int64(b.Match)) })
	return d.raft.TransferLeadership(best.ID)
}
