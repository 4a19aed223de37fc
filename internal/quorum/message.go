package quorum

import "fmt"

// MessageKind is the type of a message.
type MessageKind uint8

const (
	// KindPreVote asks whether the sender would win an election. Granting it
	// does not commit the voter to anything.
	KindPreVote MessageKind = iota + 1
	// KindPreVoteReply answers KindPreVote.
	KindPreVoteReply
	// KindVote requests the receiver's vote in a term.
	KindVote
	// KindVoteReply answers KindVote.
	KindVoteReply
	// KindAppend carries the entries that follow (Index, LogTerm).
	KindAppend
	// KindAppendReply acknowledges that the log is stored and matches the
	// leader's up to Index or, with Reject, that it does not match at Index.
	KindAppendReply
	// KindHeartbeat prevents followers from campaigning and confirms reads.
	KindHeartbeat
	// KindHeartbeatReply answers KindHeartbeat.
	KindHeartbeatReply
	// KindSnapshot carries a chunk of a snapshot.
	KindSnapshot
	// KindSnapshotReply requests the snapshot from an offset on.
	KindSnapshotReply
	// KindCampaignNow tells the transferee of a leadership transfer to start an
	// election immediately.
	KindCampaignNow
	// KindStale informs a leader of an earlier term of the current term.
	KindStale
	kindEnd
)

// Message is sent from one voter to another. It may be lost, duplicated,
// reordered or delayed. Kind determines which fields are used.
type Message struct {
	Kind MessageKind `cbor:"1,keyasint"`
	From ID          `cbor:"2,keyasint"`
	To   ID          `cbor:"3,keyasint"`
	// Term is the sender's term. In KindPreVote and in a reply that grants it,
	// it is the term of the planned election.
	Term uint64 `cbor:"4,keyasint"`
	// Index and LogTerm identify the last entry of a candidate or the entry
	// before Entries. In replies to entries, Index is the acknowledged or
	// rejected index; for snapshots it is the snapshot's index.
	Index   uint64  `cbor:"5,keyasint,omitempty"`
	LogTerm uint64  `cbor:"6,keyasint,omitempty"`
	Entries []Entry `cbor:"7,keyasint,omitempty"`
	Commit  uint64  `cbor:"8,keyasint,omitempty"`
	Reject  bool    `cbor:"9,keyasint,omitempty"`
	// Hint and HintTerm identify an entry of the rejecting follower from which
	// the leader may search backwards.
	Hint     uint64 `cbor:"10,keyasint,omitempty"`
	HintTerm uint64 `cbor:"11,keyasint,omitempty"`
	// Tick is the leader's tick at the time of sending; replies return it.
	Tick uint64 `cbor:"12,keyasint,omitempty"`
	// Round is the number of the read round that a heartbeat confirms; replies
	// return it.
	Round uint64 `cbor:"13,keyasint,omitempty"`
	// Forced marks an election that the leader itself requested; its votes are
	// not withheld.
	Forced bool   `cbor:"14,keyasint,omitempty"`
	Chunk  *Chunk `cbor:"15,keyasint,omitempty"`
	// Offset is the first byte of the snapshot that the follower lacks.
	Offset uint64 `cbor:"16,keyasint,omitempty"`
	// SyncTicks is the duration of the sender's recent syncs, in replies to
	// entries and heartbeats; 0 while its disk is fast.
	SyncTicks int `cbor:"17,keyasint,omitempty"`
}

// Chunk is a part of a snapshot.
type Chunk struct {
	Meta   SnapshotMeta `cbor:"1,keyasint"`
	Total  uint64       `cbor:"2,keyasint"` // bytes of the whole snapshot
	Sum    uint64       `cbor:"3,keyasint"` // xxhash of the whole snapshot
	Offset uint64       `cbor:"4,keyasint"`
	Data   []byte       `cbor:"5,keyasint,omitempty"`
}

// RequiresSync reports whether the message depends on the state that its Ready
// asks to store, so that it must not be sent before that state is durable.
// Other messages may be sent while storing is in progress, which removes the
// leader's own fsync from the commit latency.
func (m *Message) RequiresSync() bool {
	switch m.Kind {
	case KindAppend, KindHeartbeat, KindSnapshot, KindPreVote, KindPreVoteReply:
		return false
	default:
		return true
	}
}

func (m *Message) fromLeader() bool {
	return m.Kind == KindAppend || m.Kind == KindHeartbeat || m.Kind == KindSnapshot
}

// validate returns an error for a message that no correct voter sends.
func (m *Message) validate() error {
	// Only an empty voter that refuses a pre-vote sends a message in term 0.
	missingTerm := m.Term == 0 && m.Kind != KindPreVoteReply
	if m.Kind == 0 || m.Kind >= kindEnd || m.From == "" || m.From == m.To || missingTerm {
		return fmt.Errorf("%w: kind %d from %q to %q term %d", ErrBadMessage, m.Kind, m.From, m.To, m.Term)
	}
	if m.Kind == KindSnapshot && !m.Chunk.valid() {
		return fmt.Errorf("%w: chunk from %q", ErrBadMessage, m.From)
	}
	if m.Kind != KindAppend {
		return nil
	}
	return checkEntries(m.Index, m.LogTerm, m.Term, m.Entries)
}

func (c *Chunk) valid() bool {
	return c != nil && c.Meta.Index > 0 && c.Offset <= c.Total && uint64(len(c.Data)) <= c.Total-c.Offset
}

// checkEntries returns an error unless the entries follow (index, term) without
// a gap and their terms never decrease or exceed limit.
func checkEntries(index, term, limit uint64, entries []Entry) error {
	for i := range entries {
		e := &entries[i]
		if e.Index != index+1 || e.Term < term || e.Term > limit {
			return fmt.Errorf("%w: entry %d of term %d follows %d of term %d", ErrBadMessage, e.Index, e.Term, index, term)
		}
		index, term = e.Index, e.Term
	}
	return nil
}
