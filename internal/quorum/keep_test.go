package quorum

import (
	"testing"

	"github.com/matryer/is"
)

// Large commands must not be kept in memory by their number alone.
func TestEntriesKeptBeforeASnapshotAreBoundedInBytes(t *testing.T) {
	is := is.New(t)
	l := &entryLog{baseIndex: 10}
	for i := range 5 {
		l.entries = append(l.entries, Entry{Index: uint64(11 + i), Data: make([]byte, 100-entryOverhead)})
	}
	is.Equal(l.countWithin(15, 3, 1000), uint64(3))
	is.Equal(l.countWithin(15, 100, 250), uint64(2))
	is.Equal(l.countWithin(13, 100, 1000), uint64(3)) // all there are
	is.Equal(l.countWithin(13, 100, 99), uint64(0))
	is.Equal(l.countWithin(10, 100, 1000), uint64(0))
}
