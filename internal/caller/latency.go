package caller

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

const (
	// minUnresponsiveTime is the shortest inactivity after which a connection is
	// suspected or an attempt on it is aborted.
	minUnresponsiveTime = 250 * time.Millisecond
	// suspectQuantile and suspectFactor derive the threshold for suspecting a
	// connection from recent response times.
	suspectQuantile = 0.99
	suspectFactor   = 4
	// abortFactor times the slowest recent response is how long a used
	// connection may be unresponsive before it is considered dead. A multiple of
	// the quantile is not enough: rare slow but healthy requests would each run
	// twice.
	abortFactor = 2
	// sampleSize and sampleDecay configure the sample of response times.
	sampleSize  = 256
	sampleDecay = 0.015
	// samplesPerUpdate is how many samples are added between two updates of the
	// thresholds; one response in sampleOneIn is sampled.
	samplesPerUpdate = 64
	sampleOneIn      = 4
)

// latencyEstimator derives the thresholds of a service from its response times.
type latencyEstimator struct {
	responses atomic.Int64
	slowest   atomic.Int64
	// suspectAfter and abortAfter are computed from the sample, in ns.
	suspectAfter atomic.Int64
	abortAfter   atomic.Int64

	mu     sync.Mutex
	sample metrics.Sample
	added  int
}

func newLatencyEstimator() *latencyEstimator {
	l := &latencyEstimator{sample: metrics.NewExpDecaySample(sampleSize, sampleDecay)}
	l.suspectAfter.Store(int64(minUnresponsiveTime))
	return l
}

// add adds a response time. A response slower than all sampled ones is always
// sampled.
func (l *latencyEstimator) add(d time.Duration) {
	slow := int64(d) > l.slowest.Load()
	if l.responses.Add(1)%sampleOneIn != 0 && !slow {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sample.Update(int64(d))
	l.added++
	if slow || l.added%samplesPerUpdate == 0 {
		l.recompute()
	}
}

func (l *latencyEstimator) recompute() {
	slowest := l.sample.Max()
	l.slowest.Store(slowest)
	suspect := suspectFactor * int64(l.sample.Percentile(suspectQuantile))
	l.suspectAfter.Store(max(int64(minUnresponsiveTime), suspect))
	if l.added >= samplesPerUpdate {
		l.abortAfter.Store(max(int64(minUnresponsiveTime), abortFactor*slowest))
	}
}

// suspectTime is how long a response may make no progress before the other
// connections to its address are no longer trusted.
func (l *latencyEstimator) suspectTime() time.Duration { return time.Duration(l.suspectAfter.Load()) }

// abortTime is how long a used connection may be unresponsive before it
// is considered dead: at most limit, and limit while there are too few samples.
func (l *latencyEstimator) abortTime(limit time.Duration) time.Duration {
	known := time.Duration(l.abortAfter.Load())
	if known == 0 {
		return limit
	}
	return min(known, limit)
}

// latencyEstimators holds one estimator per service of the manifest.
type latencyEstimators struct{ services sync.Map }

func (l *latencyEstimators) forService(id model.ServiceID) *latencyEstimator {
	if known, ok := l.services.Load(id); ok {
		return known.(*latencyEstimator)
	}
	known, _ := l.services.LoadOrStore(id, newLatencyEstimator())
	return known.(*latencyEstimator)
}
