package quorum

import (
	"fmt"
	"slices"
)

// disk holds what survives a crash.
type disk struct {
	hard     HardState
	snapshot Snapshot
	entries  []Entry
}

func (d *disk) last() uint64 {
	if n := len(d.entries); n > 0 {
		return max(d.entries[n-1].Index, d.snapshot.Meta.Index)
	}
	return d.snapshot.Meta.Index
}

// store writes what a Ready asks for, up to a number of records, in the order
// snapshot, cut of the log, hard state, entries.
func (d *disk) store(rd *Ready, records int) {
	write := func() bool { records--; return records >= 0 }
	if rd.Snapshot != nil && write() {
		d.snapshot = *rd.Snapshot
	}
	if rd.Snapshot != nil && write() {
		d.entries = nil
	}
	if rd.Hard != nil && write() {
		d.hard = *rd.Hard
	}
	for _, e := range rd.Entries {
		if write() {
			at := slices.IndexFunc(d.entries, func(o Entry) bool { return o.Index >= e.Index })
			if at >= 0 {
				d.entries = d.entries[:at:at]
			}
			d.entries = append(d.entries, e)
		}
	}
}

func (w *world) start(v *vm) {
	cfg := Config{
		Self: v.id, ElectionTicks: electionTicks, HeartbeatTicks: 2, Random: func(n int) int { return w.random.IntN(n) },
		MaxBatchBytes: entryOverhead, MaxInflight: 3, SnapshotChunk: 16, KeepEntries: w.keep, Rules: w.rules,
	}
	cfg.CommitsWithNext = w.later
	raft, err := New(cfg, v.disk.hard, v.disk.snapshot.Meta, slices.Clone(v.disk.entries))
	if err != nil {
		w.fail("%s restarts: %w", v.id, err)
		return
	}
	if raft.LogDropped() {
		v.disk.entries = nil
	}
	v.raft, v.ready, v.frozen = raft, nil, 0
	v.life++
	v.period = tickMin + w.random.Uint64N(tickMax-tickMin)
	v.due = w.now + w.random.Uint64N(v.period)
	w.restoreMachine(v)
	if v.disk.snapshot.Meta.Index > 0 {
		raft.SetSnapshot(v.disk.snapshot)
	}
	w.witness.Restarted(v.id)
	w.push(&event{at: v.due, vm: v})
}

// crash loses what was not synced; of a write under way some records survive.
func (w *world) crash(v *vm) {
	if v.raft == nil {
		return
	}
	if v.ready != nil {
		v.disk.store(v.ready, w.random.IntN(4+len(v.ready.Entries)))
	}
	v.raft, v.ready = nil, nil
	w.count.crashes++
}

// loseDisk is allowed while the voters that keep their disks are a quorum of
// every set of voters that may be in force, including one lost before.
func (w *world) loseDisk(v *vm) {
	lost := 1
	for _, id := range w.voters.Members {
		if id != v.id && !w.alive(id) {
			lost++
		}
	}
	member, size := w.voters.Has(v.id), len(w.voters.Members)
	founded := w.top > foundingIndex
	if member && (!founded || lost > size-w.voters.Quorum()) {
		return
	}
	if w.votersInDoubt() && (member || size < 2 || lost > 1) {
		return
	}
	w.crash(v)
	v.generation++
	if !w.sameID {
		v.id = ID(fmt.Sprintf("%d#%d", v.index, v.generation))
	}
	v.disk = disk{}
	w.count.disks++
	w.start(v)
}

func (w *world) alive(id ID) bool {
	return slices.ContainsFunc(w.vms, func(v *vm) bool { return v.id == id })
}

// votersInDoubt says whether an uncommitted change of the voters is anywhere.
func (w *world) votersInDoubt() bool {
	doubt := func(entries []Entry) bool {
		return slices.ContainsFunc(entries, func(e Entry) bool { return e.Kind == EntryVoters && e.Index > w.top })
	}
	for _, v := range w.vms {
		if doubt(v.disk.entries) || v.raft != nil && doubt(v.raft.log.entries) {
			return true
		}
	}
	return slices.ContainsFunc(w.queue, func(e *event) bool { return e.message != nil && doubt(e.message.Entries) })
}

func (w *world) takeSnapshot(v *vm) {
	if v.applied < v.disk.snapshot.Meta.Index+20 {
		return
	}
	meta, err := v.raft.SnapshotMeta(v.applied)
	if err != nil {
		return // a received snapshot, not installed yet, replaced the log meanwhile
	}
	v.disk.snapshot = Snapshot{Meta: meta, Data: snapshotData(v.sum)}
	v.disk.entries = slices.DeleteFunc(slices.Clone(v.disk.entries), func(e Entry) bool { return e.Index+uint64(w.keep) < meta.Index })
	v.raft.SetSnapshot(v.disk.snapshot)
}
