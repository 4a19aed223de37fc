package node

import (
	"fmt"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// BenchmarkIdle reports what one process of an idle site writes and reads a
// second (bytes at the connection, both directions, without TCP and IP
// headers) and the processor time of all processes together. It measures for
// COMFREYLOOM_IDLE, 5 s by default:
//
//	go test -run - -bench Idle -benchtime 1x ./internal/node
func BenchmarkIdle(b *testing.B) {
	for _, shape := range []struct{ voters, learners int }{{3, 4}, {5, 13}} {
		b.Run(fmt.Sprintf("processes=%d", shape.voters+shape.learners), func(b *testing.B) {
			s := newSite(b, shape.voters, shape.learners, 0)
			eventually(b, "ready", s.all(func(p *process) bool { return p.heartbeats.Ready() }))
			time.Sleep(2 * time.Second)
			for range b.N {
				measureIdle(b, s, idleTime())
			}
		})
	}
}

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
		counts[name] = s.network.meter(name).Load()
	}
	return counts
}

func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
