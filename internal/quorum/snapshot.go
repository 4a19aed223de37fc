package quorum

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// outgoingSnapshot is the latest local snapshot and its checksum.
type outgoingSnapshot struct {
	Snapshot
	sum uint64
}

// snapshotTransfer is the state of sending a snapshot to one follower. It keeps
// its snapshot even if a newer one is taken meanwhile; otherwise frequent
// snapshots would restart a slow transfer repeatedly.
type snapshotTransfer struct {
	snapshot *outgoingSnapshot
	offset   uint64 // the follower has all bytes before it
	sentAt   uint64 // tick of the latest chunk
}

// incomingSnapshot collects the received chunks of one snapshot.
type incomingSnapshot struct {
	meta  SnapshotMeta
	total uint64
	sum   uint64
	data  []byte
}

// SetSnapshot sets the latest local snapshot; the caller also calls it after a
// restart. The snapshot is sent to followers that lag too far behind, and
// entries that it covers are dropped except for the last Config.KeepEntries and
// Config.KeepBytes.
// It is ignored unless it is newer than the previous one.
func (r *Raft) SetSnapshot(s Snapshot) {
	if r.snapshot != nil && s.Meta.Index <= r.snapshot.Meta.Index || s.Meta.Index > r.log.applying {
		return
	}
	r.snapshot = &outgoingSnapshot{Snapshot: s, sum: xxhash.Sum64(s.Data)}
	if keep := r.log.countWithin(s.Meta.Index, max(r.cfg.KeepEntries, 0), r.cfg.KeepBytes); s.Meta.Index > keep {
		r.log.compact(s.Meta.Index - keep)
	}
	r.appendDue = r.role == RoleLeader
}

// SnapshotMeta returns the metadata of a snapshot taken at an applied index.
//
// Errors: ErrUnknownIndex.
func (r *Raft) SnapshotMeta(index uint64) (SnapshotMeta, error) {
	term, ok := r.log.term(index)
	if !ok || index > r.log.applied {
		return SnapshotMeta{}, ErrUnknownIndex
	}
	return SnapshotMeta{Index: index, Term: term, Voters: r.log.votersAt(index)}, nil
}

func (r *Raft) startSnapshotTransfer(id ID, p *progress) {
	if r.snapshot == nil {
		return
	}
	p.state = stateSnapshot
	p.inflight = nil
	p.snapshot = &snapshotTransfer{snapshot: r.snapshot}
	r.sendChunk(id, p)
}

func (r *Raft) sendChunk(id ID, p *progress) {
	s := p.snapshot
	total := uint64(len(s.snapshot.Data))
	end := min(total, s.offset+uint64(r.cfg.SnapshotChunk))
	s.sentAt = r.now
	r.send(Message{
		Kind: KindSnapshot, To: id, Index: s.snapshot.Meta.Index, Tick: r.now,
		Chunk: &Chunk{
			Meta: s.snapshot.Meta, Total: total, Sum: s.snapshot.sum,
			Offset: s.offset, Data: s.snapshot.Data[s.offset:end],
		},
	})
}

// resendOverdueChunk resends the latest chunk if its reply is overdue.
func (r *Raft) resendOverdueChunk(id ID, p *progress) {
	if p.snapshot != nil && r.now >= p.snapshot.sentAt+uint64(r.cfg.HeartbeatTicks) {
		r.sendChunk(id, p)
	}
}

// handleSnapshotReply continues at the offset that the follower requests. It
// goes back to an earlier offset only if the reply is to the latest chunk,
// since only then the follower lost what it had received. Otherwise delayed
// and duplicated replies would multiply the chunks.
func (r *Raft) handleSnapshotReply(m Message) {
	p := r.recordReply(m)
	if p == nil || p.state != stateSnapshot || m.Index != p.snapshot.snapshot.Meta.Index {
		return
	}
	s := p.snapshot
	ahead := m.Offset > s.offset
	restarted := m.Offset < s.offset && m.Tick == s.sentAt
	if m.Offset > uint64(len(s.snapshot.Data)) || !ahead && !restarted {
		return
	}
	s.offset = m.Offset
	r.sendChunk(m.From, p)
}

func (r *Raft) handleSnapshot(m Message) error {
	c := m.Chunk
	if c.Meta.Index <= r.log.commit {
		r.sendAck(m, r.log.commit)
		return nil
	}
	if r.log.matchesTerm(c.Meta.Index, c.Meta.Term) {
		// The log contains everything that the snapshot covers. It may contain
		// further acknowledged entries, which installing would discard.
		r.commitTo(c.Meta.Index)
		r.sendAck(m, c.Meta.Index)
		return nil
	}
	if c.Total > uint64(r.cfg.MaxSnapshotBytes) {
		return fmt.Errorf("%w: snapshot of %d bytes exceeds %d", ErrBadMessage, c.Total, r.cfg.MaxSnapshotBytes)
	}
	if r.addChunk(c) {
		r.sendAck(m, c.Meta.Index)
		return nil
	}
	wanted := uint64(0)
	if r.incoming != nil {
		wanted = uint64(len(r.incoming.data))
	}
	r.send(Message{Kind: KindSnapshotReply, To: m.From, Index: c.Meta.Index, Offset: wanted, Tick: m.Tick})
	return nil
}

// addChunk adds a received chunk and returns true if it completed the snapshot
// and the snapshot was restored. An interrupted transfer is resumed, also by
// another leader that sends the same bytes.
func (r *Raft) addChunk(c *Chunk) bool {
	in := r.incoming
	same := in != nil && in.meta.Index == c.Meta.Index && in.meta.Term == c.Meta.Term && in.total == c.Total && in.sum == c.Sum
	if !same {
		in = &incomingSnapshot{meta: c.Meta, total: c.Total, sum: c.Sum}
		r.incoming = in
	}
	if c.Offset != uint64(len(in.data)) {
		return false
	}
	in.data = append(in.data, c.Data...)
	if uint64(len(in.data)) < in.total {
		return false
	}
	r.incoming = nil
	if xxhash.Sum64(in.data) != in.sum {
		return false
	}
	r.restoreSnapshot(Snapshot{Meta: in.meta, Data: in.data})
	return true
}

// restoreSnapshot replaces the log by a snapshot.
func (r *Raft) restoreSnapshot(s Snapshot) {
	r.log.resetToSnapshot(s.Meta)
	r.toInstall = &s
	r.snapshot = &outgoingSnapshot{Snapshot: s, sum: xxhash.Sum64(s.Data)}
	r.updatePeers()
}
