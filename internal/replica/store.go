package replica

import (
	"context"
	"fmt"
	"time"

	"github.com/samber/oops"

	"github.com/comfreyloom/comfreyloom/internal/datafolder"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/quorum"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

// handle processes one Ready in the order that durability requires: state that
// commits this voter is durable before a message that depends on it is sent,
// and an entry is applied before its proposer gets a reply.
func (d *driver) handle(rd quorum.Ready) error {
	d.send(rd.Messages, false)
	if err := d.store(rd); err != nil {
		return err
	}
	if err := d.checkDurableBeforeSend(rd.Messages); err != nil {
		return err
	}
	d.send(rd.Messages, true)
	if err := d.install(rd.Snapshot); err != nil {
		return err
	}
	d.apply(rd.Committed)
	d.reads.confirmed(rd.Reads)
	d.raft.Advance(rd)
	return d.takeSnapshot()
}

// store makes hard state, snapshot and entries durable; entries and hard state
// share one sync. After an error nothing has been acknowledged, and the driver
// ends.
func (d *driver) store(rd quorum.Ready) error {
	if rd.Snapshot != nil {
		if err := d.saver.save(*rd.Snapshot); err != nil {
			return err
		}
		if err := d.log.Reset(rd.Hard, rd.Snapshot.Meta.Index); err != nil {
			return err
		}
	}
	if len(rd.Entries) == 0 && (rd.Hard == nil || rd.Snapshot != nil) {
		return nil
	}
	start := time.Now()
	if err := d.log.Append(rd.Hard, rd.Entries); err != nil {
		return err
	}
	d.counters.syncs.Inc(1)
	d.counters.syncTime.UpdateSince(start)
	d.syncTimes.record(time.Since(start))
	d.raft.SetSyncTicks(d.syncTimes.ticks(d.config.TickInterval))
	return nil
}

// send sends either the messages that depend on durable state or the others.
// Messages to one voter stay in order.
func (d *driver) send(messages []quorum.Message, needDurable bool) {
	var nodes []model.NodeID
	batches := map[model.NodeID][]quorum.Message{}
	for i := range messages {
		if messages[i].RequiresSync() != needDurable {
			continue
		}
		node := datafolder.NodeOf(messages[i].To)
		if batches[node] == nil {
			nodes = append(nodes, node)
		}
		batches[node] = append(batches[node], messages[i])
	}
	for _, node := range nodes {
		d.config.Transport.Send(node, batches[node])
	}
}

// install replaces the state by a snapshot received from a leader.
func (d *driver) install(s *quorum.Snapshot) error {
	if s == nil {
		return nil
	}
	if err := d.config.StateMachine.Restore(s.Data); err != nil {
		return fmt.Errorf("restore a received snapshot: %w", err)
	}
	d.counters.installed.Inc(1)
	d.sinceSnapshot = appliedSize{}
	d.feed.reset(s)
	n := d.waiters.unknown("a snapshot took the place of the command", func(index uint64, _ *waiter) bool {
		return index <= s.Meta.Index
	})
	d.counters.unknown.Inc(n)
	d.config.Log.WithField("index", s.Meta.Index).Info("installed a snapshot of the leader")
	return d.log.Compact(s.Meta.Index + 1)
}

func (d *driver) apply(entries []quorum.Entry) {
	for i := range entries {
		e := &entries[i]
		d.waiters.applied(e.Index, e.Term, d.applyEntry(e))
		d.sinceSnapshot.bytes += len(e.Data)
	}
	d.sinceSnapshot.entries += len(entries)
	d.counters.applied.Inc(int64(len(entries)))
	d.feed.append(entries)
}

// applyEntry applies an entry to the state machine; entries of the quorum core
// itself only advance its applied index.
func (d *driver) applyEntry(e *quorum.Entry) state.Result {
	if e.Kind != quorum.EntryCommand {
		return d.config.StateMachine.Apply(e.Index, nil)
	}
	return d.config.StateMachine.Apply(e.Index, e.Data)
}

// takeSnapshot encodes a snapshot when enough was applied since the last one; a
// background task writes it.
func (d *driver) takeSnapshot() error {
	due := d.sinceSnapshot.entries >= d.config.SnapshotEntries || d.sinceSnapshot.bytes >= d.config.SnapshotBytes
	if !due || d.saving {
		return nil
	}
	meta, err := d.raft.SnapshotMeta(d.config.StateMachine.Applied())
	if err != nil {
		return fmt.Errorf("take a snapshot: metadata: %w", err)
	}
	data, err := d.config.StateMachine.Snapshot()
	if err != nil {
		return fmt.Errorf("take a snapshot: encode the state: %w", err)
	}
	d.saving = true
	d.sinceSnapshot = appliedSize{}
	return d.toSave.TryPut(quorum.Snapshot{Meta: meta, Data: data})
}

// saveSnapshots is the background task that writes snapshots.
func (d *driver) saveSnapshots(ctx context.Context) error {
	for {
		s, err := d.toSave.Get(ctx)
		if err != nil {
			return err
		}
		if err := d.saver.save(s); err != nil {
			return oops.In("replica").Wrapf(err, "save a snapshot")
		}
		if err := d.control(ctx, func(d *driver) { d.snapshotSaved(s) }); err != nil {
			return err
		}
	}
}

// snapshotSaved drops what the durable snapshot covers. Some entries before it
// are kept for followers that lag behind a little.
func (d *driver) snapshotSaved(s quorum.Snapshot) {
	d.saving = false
	d.counters.snapshots.Inc(1)
	d.raft.SetSnapshot(s)
	d.feed.compact(&s, d.config.KeepEntries, d.config.KeepBytes)
	if err := d.log.Compact(s.Meta.Index + 1); err != nil {
		d.fatalErr = err
	}
}
