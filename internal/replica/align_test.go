package replica

import (
	"testing"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/quorum"
	"github.com/comfreyloom/comfreyloom/internal/wal"
)

// Guards against losing acknowledged entries at the second start. Stale entries
// of an old leader may end at the very index of a received snapshot when a
// crash comes before the log is reset to continue after it. Comparing indexes
// instead of terms then makes the log look as if it continued the snapshot.
func TestStaleLogEndingAtSnapshotIsDropped(t *testing.T) {
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
	is.Equal(recovered.Base, meta.Index) // only entries after the snapshot remain
	is.Equal(len(recovered.Entries), 1)
	is.Equal(recovered.Entries[0].Index, uint64(3))
}
