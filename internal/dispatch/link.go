package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/workers"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// link is the leader's side of one worker. Its goroutines make the calls: some
// send orders, one renews leases and requests lists. The round reads and
// updates it under its lock.
type link struct {
	d      *Dispatcher
	target workers.Target
	fence  uint64
	cancel context.CancelFunc
	// orderReady holds one token when there may be an order to send, listDue one
	// when the worker's list should be requested.
	orderReady, listDue chan struct{}

	mu     sync.Mutex
	lease  lease
	orders map[workload.RunRef]*order
	queue  []call
	// inherited holds runs that an earlier leader committed. They are ordered
	// again only if the first list lacks them.
	inherited map[workload.RunRef]bool
	// lastContact is when the worker last answered or reported, listedAt when the
	// call that returned the last complete lists was sent; 0 before the first.
	lastContact, listedAt time.Duration
	// openedAt is when this leader began to call the worker.
	openedAt time.Duration
	// lastListAt is when the last reply with lists arrived, 0 before the first.
	lastListAt time.Duration
	// lastReply is when it last answered a call, failures the number of calls
	// since then that got no reply.
	lastReply time.Duration
	failures  int
	// firstFailure is when the first of them failed, 0 while none has.
	firstFailure time.Duration
	// listsRefusedAt is when the worker was called that has refused its lists since, 0 if
	// it has not refused the last call.
	listsRefusedAt time.Duration
	// lastHoldFailure is when a call for the lists last got no reply, 0 for
	// never.
	lastHoldFailure time.Duration
	running         map[workload.RunRef]*observedRun
	ends            []workload.End
	// firstListMS is the worker's clock in its first list for this leader.
	firstListMS int64
	// unreadableRows counts the rows of the last list that could not be read.
	unreadableRows int
	// moreEnds: the last list may have left out ends.
	moreEnds bool
	// needsCalls is true while runs are committed on the worker, or it has recorded
	// losses and reported recently: the leader must renew its leases or learn what
	// runs there.
	needsCalls bool
	// acked is the number of the last committed end, scored that of the last end
	// that was counted for or against the worker.
	acked, scored uint64
	// checkIncarnation is set when another incarnation reports from the address
	// and the worker must confirm that it still runs.
	checkIncarnation bool
	// fenced: the worker follows a later leader. replaced: another incarnation
	// answered, so this one has ended.
	fenced, replaced bool
	// endedByOrder: an order for the worker's VM has ended it.
	endedByOrder bool
	// draining: the worker has announced its end. leaving: it has sent the notice that
	// it ends now, first at leavingSince; its runs are stopped.
	draining, leaving bool
	leavingSince      time.Duration
	// forgotten: the worker is removed because of its silence. It may still run.
	forgotten bool
	// notListening: the last call found that no process listens at the address. The
	// worker may still run.
	notListening bool
	closing      bool
	// evacuating: the VM is to be maintained; its long-running tasks leave first, and
	// no other starts there.
	evacuating bool
	// sequence is that of the worker's last report, lastReport when it arrived.
	sequence   uint64
	lastReport time.Duration
	suspicion  suspicion
	// refusedUntil is when a worker that refused for lack of capacity or health is
	// tried again.
	refusedUntil time.Duration
	// pacePercent holds the pace of best-effort tasks whose pace was changed.
	pacePercent map[workload.RunRef]int
	// paceUnconfirmed holds the runs whose worker has not accepted the last change.
	paceUnconfirmed map[workload.RunRef]bool
	paceChangedAt   time.Duration
	// evicted holds runs that are stopped although their job continues.
	evicted map[workload.RunRef]bool
	// dirty is set when anything about the worker changed since the last
	// reconciliation. reconciledChanges is Tables.Changes of the worker at that
	// time.
	dirty             bool
	reconciledChanges uint64
	reconciledAt      time.Duration
	// listsUnplanned: at the last reconciliation the worker listed a run that is
	// not committed there.
	listsUnplanned bool
	// idleSince is since when nothing is committed or listed here, 0 while
	// something is.
	idleSince time.Duration
	// maintenanceSoon: the VM is in a wave and its maintenance has not begun.
	maintenanceSoon bool
}

// observedRun is a run that the worker listed.
type observedRun struct {
	workers.RunStatus
	// firstListed is when it was first listed.
	firstListed time.Duration
	// progressSinceMS and listedMS are readings of the worker's clock: when the
	// current progress was first listed, and in the last list.
	progressSinceMS, listedMS int64
}

// stalledFor returns for how long the worker has listed the same progress. It
// counts from list to list, as nothing is known between lists.
func (o *observedRun) stalledFor() time.Duration {
	return time.Duration(o.listedMS-o.progressSinceMS) * time.Millisecond
}

// order records what was requested from a worker for a run.
type order struct {
	start, stop callState
	// refusal is that of the reply to the start.
	refusal workers.Refusal
	// uncertain is set when a start was sent and got no reply, or one that does not say
	// what became of it. The worker may carry it out seconds later, whatever it replies to
	// the next one.
	uncertain bool
	// tries counts the calls about the run.
	tries int
	// abandoned: the run must not be sent any more.
	abandoned bool
	// stallRecorded: the run was found stalled.
	stallRecorded bool
	// unplanned: the worker listed the run while it was not committed there.
	unplanned bool
}

// certainlyRefused reports whether the start was refused and can't be carried
// out later.
func (o *order) certainlyRefused() bool {
	return o.start.answered && !o.uncertain && o.refusal != workers.Accepted && o.refusal != workers.RefusedStale
}

// callState is the state of one call. A stop is answered once it was accepted.
type callState struct {
	queued, calling, sent, answered bool
	// answeredAt is when the reply arrived, for a stop the one that accepted it.
	answeredAt time.Duration
	// refusedAt is when a stop was last refused, 0 for never.
	refusedAt time.Duration
	// sentAt is when the call was first sent.
	sentAt   time.Duration
	queuedAt time.Duration
}

// callKind is what a queued call does.
type callKind uint8

const (
	callStart callKind = iota + 1
	callStop
	callPace
)

// call is a queued call about a run.
type call struct {
	kind    callKind
	run     workload.RunRef
	percent int
}

func newLink(d *Dispatcher, w *workload.Worker, fence uint64) *link {
	return &link{
		d: d, target: workers.Target{ID: w.ID, Address: w.Address}, fence: fence, acked: w.Acked, draining: w.Draining, openedAt: d.now(),
		orderReady: make(chan struct{}, 1), listDue: make(chan struct{}, 1),
		orders: map[workload.RunRef]*order{}, inherited: map[workload.RunRef]bool{},
		running: map[workload.RunRef]*observedRun{}, pacePercent: map[workload.RunRef]int{}, paceUnconfirmed: map[workload.RunRef]bool{},
		evicted: map[workload.RunRef]bool{},
		cancel:  func() {},
	}
}

// orderSenders is how many orders to one worker may be in flight at once. With
// a single one, a step of many tasks packed on one worker would start over many
// round trips. Orders may overtake each other: a stop that arrives first makes
// the worker refuse the start.
const orderSenders = 3

// run makes the calls until ctx ends.
func (l *link) run(ctx context.Context) {
	ctx, l.cancel = context.WithCancel(ctx)
	for range orderSenders {
		l.d.group.Go(func() { l.sendOrders(ctx) })
	}
	l.d.group.Go(func() { l.holdLeases(ctx) })
}

const (
	// After unresponsiveFailures calls without a reply a worker counts as
	// unresponsive if it has answered none for unresponsiveAfterFailures. After a
	// single such call it does if it has answered none for unresponsiveAfter. A
	// single lost reply proves little, as others arrive over the next connection.
	unresponsiveFailures      = 3
	unresponsiveAfterFailures = 400 * time.Millisecond
	unresponsiveAfter         = holdWait + 300*time.Millisecond
)

// unresponsive reports whether the worker does not answer, or refuses the calls that
// renew its lease and list its runs.
func (l *link) unresponsive(now time.Duration) bool {
	if l.listsRefusedAt > 0 && now-l.listsRefusedAt > unresponsiveAfter {
		return true
	}
	since := now - l.lastReply
	return l.failures >= unresponsiveFailures && since > unresponsiveAfterFailures || l.failures > 0 && since > unresponsiveAfter
}

// usable reports whether new work may go to the worker.
func (l *link) usable(now time.Duration) bool {
	return !l.replaced && !l.fenced && l.lease.clockKnown && !l.unresponsive(now) && l.unreadableRows == 0 &&
		now >= l.refusedUntil && now-l.lastContact < maxContactAge &&
		!l.lacksFirstList()
}

// lacksFirstList reports whether an earlier leader committed runs on the worker and no
// complete list has shown yet what became of them.
func (l *link) lacksFirstList() bool { return len(l.inherited) > 0 && l.listedAt == 0 }

// recordReply records a reply of the worker.
func (l *link) recordReply(a workers.Reply, sentAt time.Duration) {
	now := l.d.now()
	l.dirty = true
	if a.Refusal == workers.RefusedIncarnation {
		l.replaced = true
		return // another incarnation answered
	}
	l.lease.recordClock(a.ClockMS, sentAt, now)
	l.lastContact, l.lastReply, l.failures, l.firstFailure = now, now, 0, 0
	l.checkIncarnation, l.notListening = false, false
	switch a.Refusal {
	case workers.RefusedFence:
		l.fenced = true
	case workers.RefusedBusy, workers.RefusedCapacity, workers.OutcomeUnclear:
		l.refusedUntil = now + refusalBackoff
	}
}

// enqueue queues a call.
func (l *link) enqueue(c call) {
	l.queue = append(l.queue, c)
	notify(l.orderReady)
}

func (l *link) orderOf(run workload.RunRef) *order {
	o := l.orders[run]
	if o == nil {
		o = &order{}
		l.orders[run] = o
	}
	return o
}

func (l *link) isReplaced() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.replaced
}

func (l *link) isForgotten() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.forgotten
}

func (l *link) reportedAt() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastReport
}

func (l *link) isEvicted(run workload.RunRef) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.evicted[run]
}

// evictionReason is why a run is stopped although it could continue.
type evictionReason string

const (
	evictedForMaintenance evictionReason = "its VM is to be maintained"
	evictedFromDraining   evictionReason = "its worker is draining"
	evictedStalled        evictionReason = "it shows no progress"
	evictedWithJob        evictionReason = "its job has ended"
)

// evictRun has a run stopped in the next round.
func (l *link) evictRun(run workload.RunRef, why evictionReason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.d.logEviction(l, run, why)
	l.evicted[run] = true
	l.dirty = true
	l.d.wakeUp()
}

// isAvailable reports whether a long-running run was available in the last
// list, while the worker answers and the run is not being stopped.
func (l *link) isAvailable(run workload.RunRef) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	seen := l.running[run]
	return seen != nil && seen.Percent >= availablePercent && l.outlivedEarlierStops(seen) && !l.unresponsive(l.d.now()) && !l.replaced && !l.leaving && !l.evicted[run]
}

// outlivedEarlierStops reports whether no stop of an earlier leader can end a run
// any more. The worker refuses these since it answered this leader, but what it
// accepted before takes effect up to StopTime later, and is listed until then.
func (l *link) outlivedEarlierStops(seen *observedRun) bool {
	return time.Duration(seen.listedMS-l.firstListMS)*time.Millisecond >= l.d.config.StopTime
}

// isStalled reports whether a run showed no progress for too long in the lists
// of a worker that answers, and is not being stopped.
func (l *link) isStalled(run workload.RunRef) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	seen := l.running[run]
	return seen != nil && seen.stalledFor() >= stallTimeout && !l.unresponsive(l.d.now()) && !l.replaced && !l.leaving && !l.evicted[run]
}

// notify puts a token into a channel that holds one.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
