package replica

import (
	"testing"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/quorum"
)

// A feed must not keep large commands in memory by their number alone.
func TestFeedIsBoundedInBytes(t *testing.T) {
	is := is.New(t)
	keep := func(entries, bytes int) int {
		f := newFeed()
		for i := range 10 {
			f.append([]quorum.Entry{{Index: uint64(i + 1), Data: make([]byte, 100)}})
		}
		f.compact(&quorum.Snapshot{Meta: quorum.SnapshotMeta{Index: 7}}, entries, bytes)
		return len(f.entries)
	}
	is.Equal(keep(2, 1000), 3+2) // 8, 9 and 10 aren't in the snapshot
	is.Equal(keep(100, 350), 3+3)
	is.Equal(keep(100, 0), 3)
	is.Equal(keep(100, 1000), 10)
}
