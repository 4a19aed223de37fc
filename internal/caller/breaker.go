package caller

import (
	"sync/atomic"
	"time"
)

// probeInterval is how often one request may test whether claims work again.
const probeInterval = 250 * time.Millisecond

// claimBreaker is a circuit breaker: it refuses requests that need a claim
// while the control log accepts none. Each of them would hold a slot until its
// claim times out, and so keep requests that need no claim from the upstreams.
type claimBreaker struct {
	// open is set when a claim fails; nextProbe is when the next request is
	// allowed as a probe, in ns since the epoch.
	open      atomic.Bool
	nextProbe atomic.Int64
}

// allow reports whether a request may try to claim its key.
func (b *claimBreaker) allow(now time.Time) bool {
	if !b.open.Load() {
		return true
	}
	due := b.nextProbe.Load()
	return now.UnixNano() >= due && b.nextProbe.CompareAndSwap(due, now.Add(probeInterval).UnixNano())
}

// record updates the breaker with the result of a claim.
func (b *claimBreaker) record(now time.Time, worked bool) {
	if worked {
		b.open.Store(false)
		return
	}
	b.nextProbe.Store(now.Add(probeInterval).UnixNano())
	b.open.Store(true)
}
