package quorum

// ID identifies a voter together with its disk ("name#disk"). A voter that
// lost its disk restarts under another ID, so that it cannot vote a second
// time in a term in which it has already voted.
type ID string

// EntryKind is the type of an entry's data.
type EntryKind uint8

const (
	// EntryCommand holds a command for the state machine.
	EntryCommand EntryKind = iota + 1
	// EntryNoop is a leader's first entry; committing it commits all earlier entries.
	EntryNoop
	// EntryVoters holds an encoded Voters, which is in force once it is appended.
	EntryVoters
)

// Entry is one record of the replicated log.
type Entry struct {
	Index uint64    `cbor:"1,keyasint"`
	Term  uint64    `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint"`
	Data  []byte    `cbor:"4,keyasint,omitempty"`
}

// Voters is a set of voters. Consecutive sets differ in at most one member.
type Voters struct {
	Members []ID `cbor:"1,keyasint"`
}

// HardState is the state that must be durable before a message that depends on
// it is sent.
type HardState struct {
	Term     uint64 `cbor:"1,keyasint"`
	VotedFor ID     `cbor:"2,keyasint,omitempty"`
	// Commit need not be durable at once; it only saves work after a restart.
	Commit uint64 `cbor:"3,keyasint"`
}

// SnapshotMeta is the last entry that a snapshot covers and the voters in force there.
type SnapshotMeta struct {
	Index  uint64 `cbor:"1,keyasint"`
	Term   uint64 `cbor:"2,keyasint"`
	Voters Voters `cbor:"3,keyasint"`
}

// Snapshot is the content of the state machine at one position of the log.
type Snapshot struct {
	Meta SnapshotMeta `cbor:"1,keyasint"`
	Data []byte       `cbor:"2,keyasint,omitempty"`
}
