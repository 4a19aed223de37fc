package telemetry

import (
	"sync"
	"time"
)

// maxThrottledKeys bounds the memory of a Throttle. When it is reached, all keys are
// forgotten, and each may pass once more.
const maxThrottledKeys = 4096

// Throttle limits log lines that others can cause: of each key, one passes in each
// interval. The zero value lets every line pass.
type Throttle struct {
	Interval time.Duration

	mu     sync.Mutex
	passed map[string]time.Duration
}

// Allow reports whether a line about key may be written at now, the time on any clock
// that does not step back.
func (t *Throttle) Allow(key string, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at, known := t.passed[key]; known && now-at < t.Interval {
		return false
	}
	if t.passed == nil || len(t.passed) >= maxThrottledKeys {
		t.passed = map[string]time.Duration{}
	}
	t.passed[key] = now
	return true
}
