package slots

import (
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// longest remembers the longest time that requests were given lately.
type longest struct {
	now, before time.Duration
	since       model.Instant
}

// longestWindow is how long it is remembered at least.
const longestWindow = time.Minute

func (l *longest) add(d time.Duration, now model.Instant) {
	if now.Sub(l.since) >= longestWindow {
		l.before, l.now, l.since = l.now, 0, now
	}
	l.now = max(l.now, d)
}

// maxRunFactor bounds, in timeouts of the service, how long a request on a loan
// may take. One that is given longer waits for a slot of this entry VM's own.
const maxRunFactor = 2

func (k *core) maxRun() time.Duration { return maxRunFactor * k.service.Timeout }

// run is the longest time that a request may take which starts on a loan, as
// promised to the lenders. It changes in powers of two, thus seldom.
func (k *core) run() time.Duration {
	run := max(k.service.Timeout, minRun)
	for run < max(k.given.now, k.given.before) {
		run *= 2
	}
	return min(run, k.maxRun())
}

const minRun = time.Second
