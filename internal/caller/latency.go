package caller

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

const (
	// silenceFloor is the least silence from which conclusions are drawn.
	silenceFloor = 250 * time.Millisecond
	// suspectQuantile and suspectFactor define suspicious silence from how
	// long answers took lately.
	suspectQuantile = 0.99
	suspectFactor   = 4
	// giveUpFactor, times the slowest answer of late, is the silence after
	// which a used connection is taken for dead. The quantile would not do:
	// rare slow requests that are in order would each run twice.
	giveUpFactor = 2
	// latencySamples and latencyDecay shape the sample of answer times.
	latencySamples = 256
	latencyDecay   = 0.015
	// latencyEvery is how many answers are taken together to work the
	// quantile out again; one in latencyShare is sampled.
	latencyEvery = 64
	latencyShare = 4
)

// latency learns how long a service's answers take.
type latency struct {
	answers atomic.Int64
	slowest atomic.Int64
	// suspectAfter and giveUpAfter are worked out from the sample, in ns.
	suspectAfter atomic.Int64
	giveUpAfter  atomic.Int64

	mu     sync.Mutex
	sample metrics.Sample
	added  int
}

func newLatency() *latency {
	l := &latency{sample: metrics.NewExpDecaySample(latencySamples, latencyDecay)}
	l.suspectAfter.Store(int64(silenceFloor))
	return l
}

// add takes one answer time. Slow answers are always sampled.
func (l *latency) add(d time.Duration) {
	slow := int64(d) > l.slowest.Load()
	if l.answers.Add(1)%latencyShare != 0 && !slow {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sample.Update(int64(d))
	l.added++
	if slow || l.added%latencyEvery == 0 {
		l.learn()
	}
}

func (l *latency) learn() {
	slowest := l.sample.Max()
	l.slowest.Store(slowest)
	suspect := suspectFactor * int64(l.sample.Percentile(suspectQuantile))
	l.suspectAfter.Store(max(int64(silenceFloor), suspect))
	if l.added >= latencyEvery {
		l.giveUpAfter.Store(max(int64(silenceFloor), giveUpFactor*slowest))
	}
}

// suspect is how long an answer may keep still before its address's other
// connections are no longer trusted.
func (l *latency) suspect() time.Duration { return time.Duration(l.suspectAfter.Load()) }

// giveUp is how long a used connection may keep still before it is taken for
// dead; atMost while too little is known.
func (l *latency) giveUp(atMost time.Duration) time.Duration {
	known := time.Duration(l.giveUpAfter.Load())
	if known == 0 {
		return atMost
	}
	return min(known, atMost)
}

// latencies holds one latency for each service of the manifest.
type latencies struct{ services sync.Map }

func (l *latencies) of(id model.ServiceID) *latency {
	if known, ok := l.services.Load(id); ok {
		return known.(*latency)
	}
	known, _ := l.services.LoadOrStore(id, newLatency())
	return known.(*latency)
}
