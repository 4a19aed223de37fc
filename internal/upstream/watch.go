package upstream

import (
	"sync"
	"time"
)

// watch draws conclusions from the silence of one exchange. Whatever lost
// track of one connection lost track of others too: after SuspectAfter the
// other connections to the address are no longer trusted, which costs one
// round trip for a new one. After a longer silence the request itself may be
// given up, if the caller path can send it again.
type watch struct {
	pool     *pool
	exchange *exchange
	request  *Request

	mu        sync.Mutex
	timer     *time.Timer
	stopped   bool
	suspected bool
}

// startWatch returns nil when the request asks for no conclusions.
func startWatch(p *pool, x *exchange, r *Request) *watch {
	if r.SuspectAfter <= 0 {
		return nil
	}
	w := &watch{pool: p, exchange: x, request: r}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(r.SuspectAfter, w.fire)
	return w
}

func (w *watch) stop() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// fire looks at how long the exchange has been silent.
func (w *watch) fire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	quiet := w.quiet()
	if quiet < w.limit() {
		w.timer.Reset(w.limit() - quiet)
		return
	}
	if !w.suspected {
		w.suspected = true
		w.pool.distrust()
		w.awaitLimit(quiet)
		return
	}
	if w.request.GiveUp() {
		w.exchange.cancel(ErrSilent)
		return
	}
	w.timer.Reset(w.limit())
}

// awaitLimit sets the timer for the next conclusion, if there is one.
func (w *watch) awaitLimit(quiet time.Duration) {
	if w.request.GiveUp != nil {
		w.timer.Reset(max(w.limit()-quiet, 0))
	}
}

// limit is the silence that leads to the next conclusion.
func (w *watch) limit() time.Duration {
	switch {
	case !w.suspected:
		return w.request.SuspectAfter
	case w.exchange.reused.Load():
		return w.request.GiveUpReused
	default:
		return w.request.GiveUpAfter
	}
}

// quiet is how long no byte has moved; waiting for a connection is no silence.
func (w *watch) quiet() time.Duration {
	if !w.exchange.begun() {
		return 0
	}
	return w.pool.now() - time.Duration(w.exchange.movedAt.Load())
}
