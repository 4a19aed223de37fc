package quorum

import (
	"fmt"
	"slices"
)

// disk is the state that survives a crash.
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

// store writes the first records of a Ready, in the order snapshot, truncation
// of the log, hard state, entries.
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

func (s *simulation) start(v *vm) {
	cfg := Config{
		Self: v.id, ElectionTicks: electionTicks, HeartbeatTicks: 2, Random: func(n int) int { return s.random.IntN(n) },
		MaxBatchBytes: entryOverhead, MaxInflight: 3, SnapshotChunk: 16, KeepEntries: s.keepEntries, Faults: s.faults,
	}
	cfg.PiggybackCommit = s.piggybackCommit
	raft, err := New(cfg, v.disk.hard, v.disk.snapshot.Meta, slices.Clone(v.disk.entries))
	if err != nil {
		s.fail("%s restarts: %w", v.id, err)
		return
	}
	if raft.LogDropped() {
		v.disk.entries = nil
	}
	v.raft, v.ready, v.frozenUntil = raft, nil, 0
	v.incarnation++
	v.tickPeriod = tickMin + s.random.Uint64N(tickMax-tickMin)
	v.nextTick = s.now + s.random.Uint64N(v.tickPeriod)
	s.restoreStateMachine(v)
	if v.disk.snapshot.Meta.Index > 0 {
		raft.SetSnapshot(v.disk.snapshot)
	}
	s.checker.VoterRestarted(v.id)
	s.schedule(&event{at: v.nextTick, vm: v})
}

// crash loses all unsynced state; some records of a write in progress survive.
func (s *simulation) crash(v *vm) {
	if v.raft == nil {
		return
	}
	if v.ready != nil {
		v.disk.store(v.ready, s.random.IntN(4+len(v.ready.Entries)))
	}
	v.raft, v.ready = nil, nil
	s.count.crashes++
}

// loseDisk replaces the disk of a VM by an empty one, provided that the voters
// with intact disks remain a quorum of every set of voters that may be in force.
// Disks that were lost before count as well.
func (s *simulation) loseDisk(v *vm) {
	lost := 1
	for _, id := range s.voters.Members {
		if id != v.id && !s.diskExists(id) {
			lost++
		}
	}
	member, size := s.voters.Has(v.id), len(s.voters.Members)
	founded := s.maxApplied > foundingIndex
	if member && (!founded || lost > size-s.voters.Quorum()) {
		return
	}
	if s.hasUncommittedVoters() && (member || size < 2 || lost > 1) {
		return
	}
	s.crash(v)
	v.diskGeneration++
	if !s.reuseID {
		v.id = ID(fmt.Sprintf("%d#%d", v.index, v.diskGeneration))
	}
	v.disk = disk{}
	s.count.disks++
	s.start(v)
}

func (s *simulation) diskExists(id ID) bool {
	return slices.ContainsFunc(s.vms, func(v *vm) bool { return v.id == id })
}

// hasUncommittedVoters reports whether an uncommitted voter change exists on
// any disk, in any log or in a message in flight.
func (s *simulation) hasUncommittedVoters() bool {
	uncommitted := func(entries []Entry) bool {
		return slices.ContainsFunc(entries, func(e Entry) bool { return e.Kind == EntryVoters && e.Index > s.maxApplied })
	}
	for _, v := range s.vms {
		if uncommitted(v.disk.entries) || v.raft != nil && uncommitted(v.raft.log.entries) {
			return true
		}
	}
	return slices.ContainsFunc(s.queue, func(e *event) bool { return e.message != nil && uncommitted(e.message.Entries) })
}

func (s *simulation) takeSnapshot(v *vm) {
	if v.applied < v.disk.snapshot.Meta.Index+20 {
		return
	}
	meta, err := v.raft.SnapshotMeta(v.applied)
	if err != nil {
		return // a received snapshot that is not installed yet replaced the log
	}
	v.disk.snapshot = Snapshot{Meta: meta, Data: snapshotData(v.digest)}
	v.disk.entries = slices.DeleteFunc(slices.Clone(v.disk.entries), func(e Entry) bool { return e.Index+uint64(s.keepEntries) < meta.Index })
	v.raft.SetSnapshot(v.disk.snapshot)
}
