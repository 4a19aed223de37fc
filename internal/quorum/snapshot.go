package quorum

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// outgoingSnapshot is the latest local snapshot.
type outgoingSnapshot struct {
	Snapshot
	sum uint64
}

// sending is how far a snapshot got to one follower. It keeps its snapshot
// even when a newer one is taken meanwhile, else frequent snapshots would
// start a slow transfer over again and again.
type sending struct {
	snapshot *outgoingSnapshot
	offset   uint64 // the follower has everything before it
	sentAt   uint64 // tick of the latest chunk
}

// incomingSnapshot collects the chunks of one snapshot.
type incomingSnapshot struct {
	meta  SnapshotMeta
	total uint64
	sum   uint64
	data  []byte
}

// SetSnapshot gives the latest local snapshot, also after a restart. It is
// sent to followers that lag too far behind, and entries that it covers are
// forgotten but for Config.KeepEntries. One older than the last is ignored.
func (r *Raft) SetSnapshot(s Snapshot) {
	if r.snapshot != nil && s.Meta.Index <= r.snapshot.Meta.Index || s.Meta.Index > r.log.handed {
		return
	}
	r.snapshot = &outgoingSnapshot{Snapshot: s, sum: xxhash.Sum64(s.Data)}
	if keep := uint64(max(r.cfg.KeepEntries, 0)); s.Meta.Index > keep {
		r.log.compact(s.Meta.Index - keep)
	}
	r.sendDue = r.role == RoleLeader
}

// SnapshotMeta returns the place of a snapshot taken now at an applied index.
// Error: ErrUnknownIndex.
func (r *Raft) SnapshotMeta(index uint64) (SnapshotMeta, error) {
	term, ok := r.log.term(index)
	if !ok || index > r.log.applied {
		return SnapshotMeta{}, ErrUnknownIndex
	}
	return SnapshotMeta{Index: index, Term: term, Voters: r.log.votersAt(index)}, nil
}

func (r *Raft) startSnapshot(id ID, p *progress) {
	if r.snapshot == nil {
		return
	}
	p.state = sendSnapshot
	p.inflight = nil
	p.snapshot = &sending{snapshot: r.snapshot}
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

// repeatChunk sends the chunk again when its answer is overdue.
func (r *Raft) repeatChunk(id ID, p *progress) {
	if p.snapshot != nil && r.now >= p.snapshot.sentAt+uint64(r.cfg.HeartbeatTicks) {
		r.sendChunk(id, p)
	}
}

// handleSnapshotReply goes on from the byte that the follower wants. It goes
// back only when the answer is to the latest chunk, as the follower then lost
// what it had; late and doubled answers would else multiply the chunks.
func (r *Raft) handleSnapshotReply(m Message) {
	p := r.heardFrom(m)
	if p == nil || p.state != sendSnapshot || m.Index != p.snapshot.snapshot.Meta.Index {
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
		r.acknowledge(m, r.log.commit)
		return nil
	}
	if r.log.matches(c.Meta.Index, c.Meta.Term) {
		// The log holds what the snapshot stands for; it may hold more that
		// was acknowledged, which installing would throw away.
		r.commitTo(c.Meta.Index)
		r.acknowledge(m, c.Meta.Index)
		return nil
	}
	if c.Total > uint64(r.cfg.MaxSnapshotBytes) {
		return fmt.Errorf("%w: snapshot of %d bytes exceeds %d", ErrBadMessage, c.Total, r.cfg.MaxSnapshotBytes)
	}
	if r.collect(c) {
		r.acknowledge(m, c.Meta.Index)
		return nil
	}
	wanted := uint64(0)
	if r.incoming != nil {
		wanted = uint64(len(r.incoming.data))
	}
	r.send(Message{Kind: KindSnapshotReply, To: m.From, Index: c.Meta.Index, Offset: wanted, Tick: m.Tick})
	return nil
}

// collect adds a chunk and returns true when the snapshot is complete and was
// installed. A transfer goes on where it stopped, also under another leader
// that sends the same bytes.
func (r *Raft) collect(c *Chunk) bool {
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
	r.restore(Snapshot{Meta: in.meta, Data: in.data})
	return true
}

// restore replaces the log by a snapshot.
func (r *Raft) restore(s Snapshot) {
	r.log.reset(s.Meta)
	r.install = &s
	r.snapshot = &outgoingSnapshot{Snapshot: s, sum: xxhash.Sum64(s.Data)}
	r.votersChanged()
}
