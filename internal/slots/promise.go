package slots

import (
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// recentMax keeps the longest duration of the current and the previous window.
type recentMax struct {
	current, previous time.Duration
	windowStart       model.Instant
}

// recentMaxWindow is how long a duration is kept at least.
const recentMaxWindow = time.Minute

func (l *recentMax) add(d time.Duration, now model.Instant) {
	if now.Sub(l.windowStart) >= recentMaxWindow {
		l.previous, l.current, l.windowStart = l.current, 0, now
	}
	l.current = max(l.current, d)
}

// maxRunFactor times the service's timeout is the longest that a request on a
// loan may take. A request with a later deadline waits for one of this entry
// VM's own slots.
const maxRunFactor = 2

func (k *core) maxRun() time.Duration { return maxRunFactor * k.service.Timeout }

// promisedRun returns the longest time that a request started on a loan may
// take, as promised to the lenders. It changes in powers of two and therefore
// rarely.
func (k *core) promisedRun() time.Duration {
	run := max(k.service.Timeout, minRun)
	for run < max(k.recentTimeouts.current, k.recentTimeouts.previous) {
		run *= 2
	}
	return min(run, k.maxRun())
}

// minRun is the shortest promised run.
const minRun = time.Second
