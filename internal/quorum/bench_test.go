package quorum

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// BenchmarkCommit measures the CPU time of all three voters from a proposal to
// its commit at all of them, the messages sent, and the size of an encoded
// heartbeat.
func BenchmarkCommit(b *testing.B) {
	for _, batch := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("batch-%d", batch), func(b *testing.B) {
			s := newSim(Faults{}, 0)
			leader := waitForLeader(s)
			s.runFor(2_000)
			for _, v := range s.vms[:3] {
				v.raft.cfg.MaxBatchBytes, v.raft.cfg.MaxUncommittedBytes = defaultMaxBatchBytes, defaultMaxUncommitted
			}
			data, sent := make([]byte, 200), 0
			b.ReportAllocs()
			for done := 0; done < b.N; done += batch {
				for range batch {
					_, _, _ = leader.raft.Propose(data)
				}
				sent += deliverAll(s.vms[:3])
			}
			b.ReportMetric(float64(sent)/float64(b.N), "messages/op")
			encoded, _ := cbor.Marshal(Message{Kind: KindHeartbeat, From: "voter-1#0123456789abcdef", To: "voter-2#0123456789abcdef", Term: 9, Commit: 1e6, Tick: 1e6})
			b.ReportMetric(float64(len(encoded)), "heartbeat-bytes")
		})
	}
}

// deliverAll delivers messages without delay until no voter has work left.
func deliverAll(vms []*vm) (sent int) {
	for busy := true; busy; {
		busy = false
		for _, v := range vms {
			if !v.raft.HasReady() {
				continue
			}
			busy = true
			rd := v.raft.Ready()
			sent += len(rd.Messages)
			for _, m := range rd.Messages {
				_ = vms[m.To[0]-'0'].raft.Step(m)
			}
			v.raft.Advance(rd)
			if applied := v.raft.log.applied; applied > v.disk.snapshot.Meta.Index+10_000 {
				meta, _ := v.raft.SnapshotMeta(applied)
				v.disk.snapshot = Snapshot{Meta: meta}
				v.raft.SetSnapshot(v.disk.snapshot)
			}
		}
	}
	return sent
}
