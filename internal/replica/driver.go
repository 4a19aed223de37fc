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

// driver owns the quorum core and runs in one goroutine. No other goroutine
// accesses its fields while it runs.
type driver struct {
	*Replica
	raft *quorum.Raft

	lastTick      time.Duration
	ticks         uint64
	ticksToReview int
	role          quorum.Role
	term          uint64
	leader        quorum.ID
	lastStatus    quorum.Status
	waiters       waiters
	reads         *reads
	sinceSnapshot appliedSize
	syncTimes     syncTimes
	saving        bool
	fatalErr      error
	report        report

	toSave  *ring.Ring[quorum.Snapshot]
	reviews *ring.Ring[struct{}]
}

// appliedSize is the number and size of the entries applied since the last
// snapshot was taken.
type appliedSize struct {
	entries int
	bytes   int
}

// maxStatusAge is the age, in ticks, up to which a published status is
// current. Together with the lease it stays well below the time after which the
// other voters elect another leader.
func maxStatusAge(electionTicks int) time.Duration { return time.Duration(max(electionTicks/4, 1)) }

// newDriver starts the quorum core from the recovered snapshot and log.
func newDriver(r *Replica) (*driver, error) {
	if err := r.createFoundingSnapshot(); err != nil {
		return nil, err
	}
	var meta quorum.SnapshotMeta
	if r.loadedSnapshot != nil {
		meta = r.loadedSnapshot.Meta
		if err := r.config.StateMachine.Restore(r.loadedSnapshot.Data); err != nil {
			return nil, fmt.Errorf("restore the snapshot: %w", err)
		}
	}
	raft, err := quorum.New(r.coreConfig(), r.recovered.HardState, meta, r.recovered.Entries)
	if err != nil {
		return nil, &wal.CorruptError{File: r.folder.LogPath(), Reason: err.Error(), Hint: datafolder.HintRejoin}
	}
	if err := r.alignLog(raft, meta); err != nil {
		return nil, err
	}
	if r.loadedSnapshot != nil {
		r.feed.reset(r.loadedSnapshot)
		r.saver.savedIndex = meta.Index
		raft.SetSnapshot(*r.loadedSnapshot)
	}
	r.recovered, r.loadedSnapshot = wal.Recovered{}, nil
	return &driver{
		Replica:       r,
		raft:          raft,
		lastTick:      r.config.Clock(),
		ticksToReview: r.config.ReviewTicks,
		waiters:       waiters{},
		reads:         newReads(),
		toSave:        ring.New[quorum.Snapshot](1),
		reviews:       ring.New[struct{}](1),
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
		KeepBytes:      r.config.KeepBytes,

		PiggybackCommit: r.config.PiggybackCommit,
	}
}

// createFoundingSnapshot saves the snapshot from which a new site starts; it is
// the same on every founding voter. A disk that joins later gets a snapshot
// from the leader.
func (r *Replica) createFoundingSnapshot() error {
	founding := r.Identity().Founding
	if r.loadedSnapshot != nil || len(founding.Voters.Members) == 0 {
		return nil
	}
	if r.recovered.Records > 0 {
		return &datafolder.CorruptError{File: r.folder.SnapshotPath(),
			Reason: "the snapshot of the founding is missing", Hint: datafolder.HintRejoin}
	}
	meta := quorum.FoundingMeta(founding.Voters)
	r.config.StateMachine.Apply(meta.Index, nil)
	data, err := r.config.StateMachine.Snapshot()
	if err != nil {
		return fmt.Errorf("snapshot of the empty state: %w", err)
	}
	first := quorum.Snapshot{Meta: meta, Data: data}
	if err := r.saver.save(first); err != nil {
		return err
	}
	r.loadedSnapshot = &first
	return nil
}

// alignLog makes the log on disk end where the core's log ends. They differ
// after a crash between saving a received snapshot and resetting the log to
// continue after it. Comparing the last indexes is not enough: stale entries
// may end at the very index of the snapshot. Entries appended after them would
// be dropped together with them at the next start, although they were
// acknowledged.
func (r *Replica) alignLog(raft *quorum.Raft, meta quorum.SnapshotMeta) error {
	if !raft.LogDropped() && raft.Status().Last == r.log.Last() {
		return nil
	}
	hard := r.log.HardState()
	return r.log.Reset(&hard, meta.Index)
}

// runTasks runs the driver, the snapshot writer and the voter review until one
// of them fails or ctx ends.
func (d *driver) runTasks(ctx context.Context) error {
	p := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	p.Go(d.run)
	p.Go(d.saveSnapshots)
	p.Go(d.reviewVoters)
	return p.Wait()
}

func (d *driver) run(ctx context.Context) error {
	defer d.failPending()
	ticker := time.NewTicker(d.config.TickInterval)
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

// round processes everything that has arrived. It advances the clock by missed
// ticks first, so that a leader that was suspended beyond its lease steps down
// before it acts on any input.
func (d *driver) round() error {
	d.tick()
	if err := d.processMessages(); err != nil {
		return err
	}
	d.runControls()
	d.processProposals()
	d.reads.start(d.raft, d.notLeaderError())
	for d.raft.HasReady() {
		if err := d.handle(d.raft.Ready()); err != nil {
			return err
		}
		d.trackRole()
	}
	d.trackRole()
	d.handOverIfDiskSlow()
	d.publishStatus()
	if d.fatalErr != nil {
		return d.fatalErr
	}
	return d.checkInvariants()
}

// tick advances the core's clock. After a long suspension the number of ticks
// is limited to what ends any lease and any election.
func (d *driver) tick() {
	passed := uint64((d.config.Clock() - d.lastTick) / d.config.TickInterval)
	d.lastTick += time.Duration(passed) * d.config.TickInterval
	for range min(passed, uint64(4*d.config.ElectionTicks)) {
		d.ticks++
		d.raft.Tick()
		d.ticksToReview--
	}
	if passed == 0 {
		return
	}
	d.trackRole()
	d.publishResponsiveVoters()
	d.logVotersAndLeader(passed)
	d.expireWaiters()
	if d.ticksToReview <= 0 && d.raft.Status().Ready {
		d.ticksToReview = d.config.ReviewTicks
		_ = d.reviews.TryPut(struct{}{}) // full: a review is in progress
	}
}

// failPending completes all waiting requests when the driver ends.
func (d *driver) failPending() {
	d.reads.failAll(ErrNotLeader{})
	n := d.waiters.unknown("this voter stopped before the command was applied", func(uint64, *waiter) bool { return true })
	d.counters.unknown.Inc(n)
}

// transfer transfers leadership to the responsive voter with the most complete
// log.
func (d *driver) transfer() error {
	return d.transferTo(func(quorum.PeerStatus) bool { return true })
}

// transferTo transfers leadership to the responsive voter with the most
// complete log among those that are eligible.
func (d *driver) transferTo(eligible func(quorum.PeerStatus) bool) error {
	if s := d.raft.Status(); s.Role != quorum.RoleLeader || s.Transferring {
		return nil
	}
	peers := slices.DeleteFunc(d.raft.Peers(), func(p quorum.PeerStatus) bool {
		return p.UnresponsiveTicks > uint64(d.config.ElectionTicks/2) || p.Snapshot || !eligible(p)
	})
	if len(peers) == 0 {
		return ErrNoSuccessor
	}
	best := slices.MaxFunc(peers, func(a, b quorum.PeerStatus) int { return int(int64(a.Match) - int64(b.Match)) })
	return d.raft.TransferLeadership(best.ID)
}
