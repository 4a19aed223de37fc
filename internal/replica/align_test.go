package replica

import (
	"testing"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/quorum"
	"github.com/comfreyloom/comfreyloom/internal/wal"
)

// Symptom: a voter loses entries that it had acknowledged, at its second start.
// Sequence: it stores entries of an old leader; a snapshot of the new leader is
// saved, and a crash comes before the log is restarted behind it; the stale
// entries end at the snapshot's very index, so the log looks as if it fitted.
// Cause: the indexes were compared, not the terms.
func TestStaleLogThatEndsAtTheSnapshotIsDropped(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	log, _, err := wal.Open(dir, wal.Options{MayCreate: true})
	is.NoErr(err)
	stale := []quorum.Entry{
		{Index: 1, Term: 1, Kind: quorum.EntryCommand}, {Index: 2, Term: 1, Kind: quorum.EntryCommand},
	}
	hard := quorum.HardState{Term: 2}
	is.NoErr(log.Append(&hard, stale))
	self := quorum.ID("a#1")
	meta := quorum.SnapshotMeta{Index: 2, Term: 2, Voters: quorum.Voters{Members: []quorum.ID{self}}}
	raft, err := quorum.New(quorum.Config{Self: self, ElectionTicks: 8, HeartbeatTicks: 2, Random: func(int) int { return 0 }}, hard, meta, stale)
	is.NoErr(err)

	r := &Replica{log: log}
	is.NoErr(r.alignLog(raft, meta))
	is.NoErr(log.Append(nil, []quorum.Entry{{Index: 3, Term: 2, Kind: quorum.EntryNoop}}))
	is.NoErr(log.Close())

	log, recovered, err := wal.Open(dir, wal.Options{})
	is.NoErr(err)
	defer log.Close()
	is.Equal(recovered.Base, meta.Index) // only what follows the snapshot is left
	is.Equal(len(recovered.Entries), 1)
	is.Equal(recovered.Entries[0].Index, uint64(3))
}
