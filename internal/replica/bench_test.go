package replica

import (
	"bytes"
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/datafolder"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/quorum"
	"github.com/comfreyloom/comfreyloom/internal/wal"
)

// commandBytes is roughly the size of a claim or a task start.
const commandBytes = 200

// realCluster runs voters on real disks with the real clock.
func realCluster(b *testing.B, members ...model.NodeID) *cluster {
	c := newCluster(b, members...)
	parent := b.TempDir()
	c.adjustConfig = func(config *Config) {
		config.Folder = filepath.Join(parent, string(config.Self))
		config.Disk, config.Clock = nil, nil
		config.TickInterval = 20 * time.Millisecond
		config.SnapshotEntries, config.SnapshotBytes, config.SegmentBytes = 1<<30, 1<<40, 0
	}
	c.startAll()
	c.waitFor("leader ready", func() bool {
		_, leader := c.leader()
		return leader.Status().Ready
	})
	return c
}

// BenchmarkCommit measures commits per second and latency with 64 proposers, on
// one and on three disks, with commands that share syncs and with one sync for
// each.
func BenchmarkCommit(b *testing.B) {
	for _, members := range [][]model.NodeID{{"a"}, {"a", "b", "c"}} {
		for _, shared := range []bool{false, true} {
			b.Run(fmt.Sprintf("voters=%d/shared_sync=%v", len(members), shared), func(b *testing.B) {
				_, leader := realCluster(b, members...).leader()
				benchmarkCommit(b, leader, shared)
			})
		}
	}
}

func benchmarkCommit(b *testing.B, leader *node, shared bool) {
	const proposers = 64
	var one sync.Mutex
	data := bytes.Repeat([]byte("x"), commandBytes)
	took := make([][]time.Duration, proposers)
	syncs := leader.counters.syncs.Count()
	b.ResetTimer()
	var all sync.WaitGroup
	for p := range proposers {
		all.Go(func() {
			for i := p; i < b.N; i += proposers {
				start := time.Now()
				if !shared {
					one.Lock()
				}
				if _, err := leader.Propose(context.Background(), data); err != nil {
					b.Error(err)
				}
				if !shared {
					one.Unlock()
				}
				took[p] = append(took[p], time.Since(start))
			}
		})
	}
	all.Wait()
	b.StopTimer()
	latencies := slices.Sorted(slices.Values(slices.Concat(took...)))
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
	b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99-µs")
	b.ReportMetric(float64(leader.counters.syncs.Count()-syncs)/float64(b.N), "syncs/commit")
}

// BenchmarkRestart measures the time from opening the data folder until all its
// entries are applied.
func BenchmarkRestart(b *testing.B) {
	for _, entries := range []int{500, 50_000, 300_000} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			c := realCluster(b, "a")
			c.stop("a")
			appendEntries(b, c.config("a", nil, nil).Folder, entries)
			for b.Loop() {
				restart(b, c.config("a", nil, &listMachine{}), uint64(entries))
			}
			b.ReportMetric(b.Elapsed().Seconds()*1e3/float64(b.N), "ms/restart")
		})
	}
}

func restart(b *testing.B, config Config, applied uint64) {
	r, err := Open(config)
	if err != nil {
		b.Fatal(err)
	}
	defer r.Close()
	d, err := newDriver(r)
	if err != nil {
		b.Fatal(err)
	}
	for d.raft.HasReady() {
		if err := d.handle(d.raft.Ready()); err != nil {
			b.Fatal(err)
		}
	}
	if d.config.StateMachine.Applied() < applied {
		b.Fatalf("applied %d of %d", d.config.StateMachine.Applied(), applied)
	}
}

// noSyncDisk is a disk whose files are not synced, to write a long log quickly.
type noSyncDisk struct{ datafolder.Disk }

type noSyncFile struct{ datafolder.File }

func (noSyncFile) Sync() error { return nil }

func (d noSyncDisk) Create(name string) (datafolder.File, error) {
	f, err := d.Disk.Create(name)
	return noSyncFile{f}, err
}

// appendEntries appends committed entries, one per record.
func appendEntries(b *testing.B, folder string, entries int) {
	l, recovered, err := wal.Open(folder+"/log", wal.Options{Disk: noSyncDisk{}})
	if err != nil {
		b.Fatal(err)
	}
	hard := recovered.HardState
	data := bytes.Repeat([]byte("x"), commandBytes)
	for index := recovered.Last() + 1; index <= uint64(entries)+1; index++ {
		hard.Commit = index
		if err := l.Append(&hard, []quorum.Entry{{Index: index, Term: hard.Term, Kind: quorum.EntryCommand, Data: data}}); err != nil {
			b.Fatal(err)
		}
	}
	if err := l.Close(); err != nil {
		b.Fatal(err)
	}
}
