package caller

import (
	"sync/atomic"
	"time"
)

// breakerProbe is how often one request may try whether claims work again.
const breakerProbe = 250 * time.Millisecond

// claimBreaker is a circuit breaker: it refuses requests that need a claim
// while the control log takes none. Each of them would hold a slot until its
// claim times out, and so keep from the upstreams the requests that need no
// claim.
type claimBreaker struct {
	// open is set by a claim that failed; probeAt is when the next
	// request may pass, in ns since the epoch.
	open    atomic.Bool
	probeAt atomic.Int64
}

// pass reports whether a request may try to claim.
func (b *claimBreaker) pass(now time.Time) bool {
	if !b.open.Load() {
		return true
	}
	due := b.probeAt.Load()
	return now.UnixNano() >= due && b.probeAt.CompareAndSwap(due, now.Add(breakerProbe).UnixNano())
}

// note records how a claim went.
func (b *claimBreaker) note(now time.Time, worked bool) {
	if worked {
		b.open.Store(false)
		return
	}
	b.probeAt.Store(now.Add(breakerProbe).UnixNano())
	b.open.Store(true)
}
