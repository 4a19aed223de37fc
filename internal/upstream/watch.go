package upstream

import (
	"sync"
	"time"
)

// stallDetector reacts to the inactivity of one exchange. What breaks one
// connection silently, such as a firewall that loses its state, mostly breaks
// others too. So after SuspectAfter the other connections to the address are no
// longer reused, which costs one round trip for a new one. After a longer
// inactivity the request itself may be aborted, if the caller path can send it
// again.
type stallDetector struct {
	pool     *pool
	exchange *exchange
	request  *Request

	mu        sync.Mutex
	timer     *time.Timer
	stopped   bool
	suspected bool
}

// startStallDetector returns nil when the request sets no SuspectAfter.
func startStallDetector(p *pool, x *exchange, r *Request) *stallDetector {
	if r.SuspectAfter <= 0 {
		return nil
	}
	w := &stallDetector{pool: p, exchange: x, request: r}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(r.SuspectAfter, w.onTimer)
	return w
}

func (w *stallDetector) stop() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// onTimer acts on the time for which the exchange has been inactive.
func (w *stallDetector) onTimer() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	inactive := w.inactiveFor()
	if inactive < w.limit() {
		w.timer.Reset(w.limit() - inactive)
		return
	}
	if !w.suspected {
		w.suspected = true
		w.pool.invalidate()
		w.scheduleNext(inactive)
		return
	}
	if w.request.MayAbort() {
		w.exchange.cancel(ErrUnresponsive)
		return
	}
	w.timer.Reset(w.limit())
}

// scheduleNext sets the timer for the next step, if there is one.
func (w *stallDetector) scheduleNext(inactive time.Duration) {
	if w.request.MayAbort != nil {
		w.timer.Reset(max(w.limit()-inactive, 0))
	}
}

// limit returns the inactivity after which the next step is taken.
func (w *stallDetector) limit() time.Duration {
	switch {
	case !w.suspected:
		return w.request.SuspectAfter
	case w.exchange.reused.Load():
		return w.request.AbortReusedAfter
	default:
		return w.request.AbortAfter
	}
}

// inactiveFor returns how long no byte has been sent or received. Waiting for a
// connection doesn't count.
func (w *stallDetector) inactiveFor() time.Duration {
	if !w.exchange.mayHaveSent() {
		return 0
	}
	return w.pool.now() - time.Duration(w.exchange.lastByteAt.Load())
}
