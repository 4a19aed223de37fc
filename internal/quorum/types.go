package quorum

// ID names a voter together with the identity of its disk ("name#disk"). A
// voter that lost its disk comes back under another ID, so that it can never
// vote a second time in a term it voted in before.
type ID string

// EntryKind says what an entry holds.
type EntryKind uint8

const (
	// EntryCommand holds a command for the state machine.
	EntryCommand EntryKind = iota + 1
	// EntryNoop is a leader's first entry; committing it commits all before.
	EntryNoop
	// EntryVoters holds an encoded Voters, in force from when it is appended.
	EntryVoters
)

// Entry is one position of the log.
type Entry struct {
	Index uint64    `cbor:"1,keyasint"`
	Term  uint64    `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint"`
	Data  []byte    `cbor:"4,keyasint,omitempty"`
}

// Voters is the set of voters; at most one member differs from the set before.
type Voters struct {
	Members []ID `cbor:"1,keyasint"`
}

// HardState must be durable before any message that follows from it is sent.
type HardState struct {
	Term     uint64 `cbor:"1,keyasint"`
	VotedFor ID     `cbor:"2,keyasint,omitempty"`
	// Commit need not be durable at once; it only saves work at a restart.
	Commit uint64 `cbor:"3,keyasint"`
}

// SnapshotMeta says which entries a snapshot stands for.
type SnapshotMeta struct {
	Index  uint64 `cbor:"1,keyasint"`
	Term   uint64 `cbor:"2,keyasint"`
	Voters Voters `cbor:"3,keyasint"`
}

// Snapshot is a state machine's content with its place in the log.
type Snapshot struct {
	Meta SnapshotMeta `cbor:"1,keyasint"`
	Data []byte       `cbor:"2,keyasint,omitempty"`
}
