package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/workers"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// link is the leader's side of one worker. Its goroutines make the calls: some
// send orders, one holds leases and asks for lists. The round reads and fills it
// under its lock.
type link struct {
	d      *Dispatcher
	target workers.Target
	fence  uint64
	cancel context.CancelFunc
	// woken holds one token when there may be an order to send, listen one
	// when the worker should be asked for its list.
	woken, listen chan struct{}

	mu     sync.Mutex
	lease  lease
	orders map[workload.RunRef]*order
	queue  []call
	// inherited holds runs that an earlier leader committed; they are ordered
	// again only if the first list does not hold them.
	inherited map[workload.RunRef]bool
	// contact is when the worker last answered or reported, listedAt when the
	// call was sent that the lists come from; 0 before the first.
	contact, listedAt time.Duration
	// answered is when it last answered a call, failures the calls since that
	// got no answer.
	answered time.Duration
	failures int
	// brokeAt is when the first of them failed, 0 while none has.
	brokeAt time.Duration
	// lostHoldAt is when a call for the lists last got no answer; 0 for never.
	lostHoldAt time.Duration
	running    map[workload.RunRef]*observed
	ends       []workload.End
	// unread counts the rows of the last list that could not be read.
	unread int
	// wanted says that runs are committed on the worker, so that it is held.
	wanted        bool
	acked, judged uint64
	// asked: another incarnation reports at the address, and the worker must say
	// whether it is still there.
	asked bool
	// outranked: the worker follows a later leader. gone: the incarnation is over.
	outranked, gone bool
	closing         bool
	// sequence is that of the worker's last report, reported when it came.
	sequence  uint64
	reported  time.Duration
	suspicion suspicion
	// refusedUntil is when a worker that refused for want of room or health is
	// tried again.
	refusedUntil time.Duration
	// paced holds the pace of tasks that fill where it was changed, in percent.
	paced   map[workload.RunRef]int
	pacedAt time.Duration
	// evicted holds runs that are stopped though their job goes on.
	evicted map[workload.RunRef]bool
	// dirty: something was heard or noted since the last look. changes is the
	// count of changes of its runs at that look.
	dirty        bool
	changes      uint64
	reconciledAt time.Duration
	// foreign: at that look the worker listed a run that is not committed there.
	foreign bool
	// idleSince is since when nothing is committed or listed here; 0 while
	// something is.
	idleSince time.Duration
	// doomed: the VM has a maintenance before it.
	doomed bool
}

// observed is a run that the worker listed.
type observed struct {
	workers.Running
	// first is when it was first listed.
	first time.Duration
	// sinceMS and listedMS are the worker's clock when its progress was first
	// listed as it is, and in the last list.
	sinceMS, listedMS int64
}

// still returns for how long the worker has listed the same progress. It counts
// from list to list: while none arrives nothing is known.
func (o *observed) still() time.Duration {
	return time.Duration(o.listedMS-o.sinceMS) * time.Millisecond
}

// order is what was asked of a worker about a run.
type order struct {
	start, stop progress
	// refusal is the answer to the start.
	refusal workers.Refusal
	// uncertain says that a start was sent that nobody answered: the worker
	// may carry it out seconds later, whatever it answered to the next one.
	uncertain bool
	// tries counts the calls about the run.
	tries int
	// dropped: the run is given up; it must not be sent any more.
	dropped bool
	// standing: the run was judged to stand still.
	standing bool
}

// surelyNot says that the start was refused and can't be carried out later.
func (o *order) surelyNot() bool {
	return o.start.answered && !o.uncertain && o.refusal != workers.Accepted && o.refusal != workers.RefusedOld
}

// progress is how far one call has come.
type progress struct {
	queued, calling, sent, answered bool
	// answeredAt is when the answer came.
	answeredAt time.Duration
	// sentAt is when it was first sent.
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
		d: d, target: workers.Target{ID: w.ID, Address: w.Address}, fence: fence, acked: w.Acked,
		woken: make(chan struct{}, 1), listen: make(chan struct{}, 1),
		orders: map[workload.RunRef]*order{}, inherited: map[workload.RunRef]bool{},
		running: map[workload.RunRef]*observed{}, paced: map[workload.RunRef]int{},
		evicted: map[workload.RunRef]bool{},
		cancel:  func() {},
	}
}

// orderSenders is how many orders to one worker are on their way at once. A
// step of many tasks that is packed on one worker would otherwise start over
// many round trips. Orders may overtake each other: a stop that comes first
// makes the worker refuse the start.
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
	// silentCalls without an answer make a worker count as silent if it has not
	// answered any for silentSoon, a single one if it has not for silentAfter.
	// One lost answer says little: others come over the next connection.
	silentCalls = 3
	silentSoon  = 400 * time.Millisecond
	silentAfter = holdWait + 300*time.Millisecond
)

// silent says whether the worker does not answer.
func (l *link) silent(now time.Duration) bool {
	since := now - l.answered
	return l.failures >= silentCalls && since > silentSoon || l.failures > 0 && since > silentAfter
}

// usable says whether new work may go to the worker.
func (l *link) usable(now time.Duration) bool {
	return !l.gone && !l.outranked && l.lease.known && !l.silent(now) && l.unread == 0 &&
		now >= l.refusedUntil && now-l.contact < freshContact &&
		(len(l.inherited) == 0 || l.listedAt > 0)
}

// heard notes an answer of the worker.
func (l *link) heard(a workers.Answer, sentAt time.Duration) {
	now := l.d.now()
	l.dirty = true
	if a.Refusal == workers.RefusedIncarnation {
		l.gone = true
		return // another incarnation answered
	}
	l.lease.hear(a.ClockMS, sentAt, now)
	l.contact, l.answered, l.failures, l.brokeAt = now, now, 0, 0
	l.asked = false
	switch a.Refusal {
	case workers.RefusedFence:
		l.outranked = true
	case workers.RefusedBusy, workers.RefusedRoom:
		l.refusedUntil = now + refusedPause
	}
}

// enqueue queues a call.
func (l *link) enqueue(c call) {
	l.queue = append(l.queue, c)
	poke(l.woken)
}

func (l *link) orderOf(run workload.RunRef) *order {
	o := l.orders[run]
	if o == nil {
		o = &order{}
		l.orders[run] = o
	}
	return o
}

func (l *link) isGone() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.gone
}

func (l *link) reportedAt() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reported
}

func (l *link) evicts(run workload.RunRef) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.evicted[run]
}

// evictRun has a run stopped in the next round.
func (l *link) evictRun(run workload.RunRef) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evicted[run] = true
	l.dirty = true
	l.d.wakeUp()
}

// isAtWork says whether a lasting run was at work in the last list, while the
// worker answers and the run is not being stopped.
func (l *link) isAtWork(run workload.RunRef) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	seen := l.running[run]
	return seen != nil && seen.Percent >= atWork && !l.silent(l.d.now()) && !l.gone && !l.evicted[run]
}

// standsStill says whether a run showed no progress for too long in the lists of a
// worker that answers, and is not being stopped.
func (l *link) standsStill(run workload.RunRef) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	seen := l.running[run]
	return seen != nil && seen.still() >= standstill && !l.silent(l.d.now()) && !l.gone && !l.evicted[run]
}

// poke puts a token in a channel that holds one.
func poke(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
