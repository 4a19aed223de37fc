package node

import (
	"fmt"
	"os"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// BenchmarkIdle reports the bytes that one process of an idle site writes and
// reads a second (at the connection, both directions, without TCP and IP headers)
// and the processor time for each process. It measures for the duration in the
// environment variable COMFREYLOOM_IDLE, 5 s by default:
//
//	go test -run - -bench Idle -benchtime 1x ./internal/node
func BenchmarkIdle(b *testing.B) {
	for _, shape := range []struct{ voters, learners int }{{3, 4}, {5, 13}} {
		b.Run(fmt.Sprintf("processes=%d", shape.voters+shape.learners), func(b *testing.B) {
			s := startSite(b, shape.voters, shape.learners, &site{folders: b.TempDir()})
			eventually(b, "ready", s.all(ready))
			time.Sleep(2 * time.Second)
			for range b.N {
				measureIdle(b, s, idleTime())
			}
		})
	}
}

// idleTime returns the duration of BenchmarkIdle.
func idleTime() time.Duration {
	if d, err := time.ParseDuration(os.Getenv("COMFREYLOOM_IDLE")); err == nil {
		return d
	}
	return 5 * time.Second
}

func measureIdle(b *testing.B, s *site, d time.Duration) {
	before, cpu := s.byteCounts(), processorTime(b)
	time.Sleep(d)
	after := s.byteCounts()
	used := processorTime(b) - cpu
	var total, worst int64
	for name := range after {
		total += after[name] - before[name]
		worst = max(worst, after[name]-before[name])
	}
	n := float64(len(s.names))
	b.ReportMetric(float64(total)/n/d.Seconds(), "B/s/process")
	b.ReportMetric(float64(worst)/d.Seconds(), "B/s/busiest")
	b.ReportMetric(used.Seconds()/d.Seconds()*100/n, "%core/process")
}

func (s *site) byteCounts() map[model.NodeID]int64 {
	counts := map[model.NodeID]int64{}
	for _, name := range s.names {
		counts[name] = s.network.byteCounter(name).Load()
	}
	return counts
}

// processorTime returns the user and system time of this test process.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkChange proposes changes at a learner of a site of seven processes
// with real voters. For each change it reports the time until the learner has
// applied it, the time until all seven have, and the bytes sent and received by
// a process.
//
//	go test -run - -bench Change -benchtime 200x ./internal/node
func BenchmarkChange(b *testing.B) {
	s := startSite(b, 3, 4, &site{folders: b.TempDir()})
	eventually(b, "ready", s.all(ready))
	learner := s.processes["n7"]
	var proposed, inForce []time.Duration
	before := s.byteCounts()
	b.ResetTimer()
	for i := range b.N {
		began := time.Now()
		command := claim(fmt.Sprint(i))
		command.ClaimRequest.Claim.Digest = command.ClaimRequest.Claim.Digest[:32]
		result, err := learner.log.Propose(b.Context(), command)
		if err != nil {
			b.Fatal(err)
		}
		proposed = append(proposed, time.Since(began))
		if behind := learner.heartbeats.WaitInForce(b.Context(), result.Index); len(behind) > 0 {
			b.Fatal(behind)
		}
		inForce = append(inForce, time.Since(began))
	}
	b.StopTimer()
	var total int64
	for name, bytes := range s.byteCounts() {
		total += bytes - before[name]
	}
	b.ReportMetric(float64(total)/float64(b.N)/float64(len(s.names)), "B/change/process")
	b.ReportMetric(percentile(proposed, 50), "ms-proposed-p50")
	b.ReportMetric(percentile(proposed, 99), "ms-proposed-p99")
	b.ReportMetric(percentile(inForce, 50), "ms-in-force-p50")
	b.ReportMetric(percentile(inForce, 99), "ms-in-force-p99")
}

func percentile(times []time.Duration, p int) float64 {
	slices.Sort(times)
	return float64(times[(len(times)-1)*p/100].Microseconds()) / 1000
}

// BenchmarkRestart reports the time from the start of a learner until it is
// ready, after 500 changes.
//
//	go test -run - -bench Restart -benchtime 5x ./internal/node
func BenchmarkRestart(b *testing.B) {
	s := startSite(b, 3, 1, &site{folders: b.TempDir()})
	eventually(b, "ready", s.all(ready))
	for i := range 500 {
		propose(b, s.processes["n4"], fmt.Sprint(i))
	}
	var times []time.Duration
	for range b.N {
		s.processes["n4"].stop()
		began := time.Now()
		learner := s.start(b, "n4", nil)
		eventually(b, "ready", func() bool { return ready(learner) })
		times = append(times, time.Since(began))
	}
	b.ReportMetric(percentile(times, 50), "ms-to-ready-p50")
	b.ReportMetric(percentile(times, 100), "ms-to-ready-max")
}

// BenchmarkFailover reports how long a proposal of a learner takes when the
// leader's process ended just before.
//
//	go test -run - -bench Failover -benchtime 5x ./internal/node
func BenchmarkFailover(b *testing.B) {
	s := startSite(b, 3, 2, &site{folders: b.TempDir()})
	var times []time.Duration
	for i := range b.N {
		eventually(b, "ready", s.all(ready))
		learner := s.processes["n5"]
		propose(b, learner, fmt.Sprintf("before-%d", i))
		leader, _ := learner.log.Leader()
		s.processes[leader].stop()
		began := time.Now()
		propose(b, learner, fmt.Sprintf("after-%d", i))
		times = append(times, time.Since(began))
		s.start(b, leader, nil)
	}
	b.ReportMetric(percentile(times, 50), "ms-failover-p50")
	b.ReportMetric(percentile(times, 100), "ms-failover-max")
}

// propose commits a small claim.
func propose(b *testing.B, p *process, key string) {
	b.Helper()
	command := claim(key)
	command.ClaimRequest.Claim.Digest = command.ClaimRequest.Claim.Digest[:32]
	if _, err := p.log.Propose(b.Context(), command); err != nil {
		b.Fatal(err)
	}
}
