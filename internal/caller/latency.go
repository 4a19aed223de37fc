package caller

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

const (
	// suspectFloor is the least silence that counts as suspicious.
	suspectFloor = 250 * time.Millisecond
	// suspectQuantile and suspectFactor define suspicious silence from how
	// long answers took lately.
	suspectQuantile = 0.99
	suspectFactor   = 4
	// latencySamples and latencyDecay shape the sample of answer times.
	latencySamples = 256
	latencyDecay   = 0.015
	// latencyEvery is how many answers may pass before the quantile is
	// worked out again.
	latencyEvery = 64
)

// latency learns how long a service's answers take.
type latency struct {
	mu     sync.Mutex
	sample metrics.Sample
	added  int
	after  atomic.Int64
}

func newLatency() *latency {
	l := &latency{sample: metrics.NewExpDecaySample(latencySamples, latencyDecay)}
	l.after.Store(int64(suspectFloor))
	return l
}

func (l *latency) add(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sample.Update(int64(d))
	l.added++
	if l.added%latencyEvery == 0 {
		l.after.Store(max(int64(suspectFloor), suspectFactor*int64(l.sample.Percentile(suspectQuantile))))
	}
}

// suspect is how long an answer may keep still before its address's other
// connections are no longer trusted.
func (l *latency) suspect() time.Duration { return time.Duration(l.after.Load()) }

// latencies holds one latency for each service of the manifest.
type latencies struct{ services sync.Map }

func (l *latencies) of(id model.ServiceID) *latency {
	if known, ok := l.services.Load(id); ok {
		return known.(*latency)
	}
	known, _ := l.services.LoadOrStore(id, newLatency())
	return known.(*latency)
}
