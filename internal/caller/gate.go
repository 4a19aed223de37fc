package caller

import (
	"sync/atomic"
	"time"
)

// gateProbe is how often one request may try whether claims work again.
const gateProbe = 250 * time.Millisecond

// claimGate refuses requests that need a claim while the control log takes
// none. Each of them would hold a slot until its claim times out, and so keep
// from the upstreams the requests that need no claim.
type claimGate struct {
	// closed is set by a claim that failed; probeAt is when the next
	// request may pass, in ns since the epoch.
	closed  atomic.Bool
	probeAt atomic.Int64
}

// pass reports whether a request may try to claim.
func (g *claimGate) pass(now time.Time) bool {
	if !g.closed.Load() {
		return true
	}
	due := g.probeAt.Load()
	return now.UnixNano() >= due && g.probeAt.CompareAndSwap(due, now.Add(gateProbe).UnixNano())
}

// note records how a claim went.
func (g *claimGate) note(now time.Time, worked bool) {
	if worked {
		g.closed.Store(false)
		return
	}
	g.probeAt.Store(now.Add(gateProbe).UnixNano())
	g.closed.Store(true)
}
