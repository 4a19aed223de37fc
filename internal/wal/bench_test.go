package wal

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/comfreyloom/comfreyloom/internal/quorum"
)

// BenchmarkAppend measures one synced append and the overhead in bytes of an
// entry of 200 bytes, alone or together with others.
func BenchmarkAppend(b *testing.B) {
	for _, entriesPerAppend := range []int{1, 64} {
		b.Run(fmt.Sprintf("entries=%d", entriesPerAppend), func(b *testing.B) {
			l, _, err := Open(b.TempDir()+"/log", Options{MayCreate: true, SegmentBytes: 1 << 30})
			if err != nil {
				b.Fatal(err)
			}
			begin := l.size
			hard := quorum.HardState{Term: 3, VotedFor: "port-klang-1#5e1d8a36-51a7-4b5a-9a51-6f3a1b0f2c11"}
			entries := make([]quorum.Entry, entriesPerAppend)
			index := uint64(100_000)
			l.last = index
			for b.Loop() {
				for i := range entries {
					index++
					entries[i] = quorum.Entry{Index: index, Term: 3, Kind: quorum.EntryCommand, Data: bytes.Repeat([]byte("x"), 200)}
				}
				if err := l.Append(&hard, entries); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(l.size-begin)/float64(b.N*entriesPerAppend)-200, "overhead-B/entry")
			_ = l.Close()
		})
	}
}
