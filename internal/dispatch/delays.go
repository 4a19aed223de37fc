package dispatch

import (
	"sync"
	"time"

	"github.com/apex/log"
)

// delays sums up how long the steps of a task take at the leader. From the sums
// follows for how long a worker's capacity counts as used while no task runs on
// it. It is safe for concurrent use.
type delays struct {
	mu   sync.Mutex
	sums delaySums
	// loggedAt is when the sums were last logged and cleared.
	loggedAt time.Duration
}

// delaySums holds the sums since they were last logged.
type delaySums struct {
	// rounds counts the rounds, roundTime is their time without their commits.
	rounds    int
	roundTime time.Duration
	// commits are those of rounds.
	commits    int
	commitTime time.Duration
	// starts counts the answered starts; orderWait is the time that they were
	// queued, callTime that of their calls.
	starts              int
	orderWait, callTime time.Duration
	// lists counts the lists with ends; listGap is the time between two calls to
	// the same worker, in which an end waits there unseen.
	lists   int
	listGap time.Duration
}

// delaysInterval is the time between two log lines on delays.
const delaysInterval = time.Second

func (a *delays) recordRound(work time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sums.rounds++
	a.sums.roundTime += work
}

func (a *delays) recordCommit(took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sums.commits++
	a.sums.commitTime += took
}

func (a *delays) recordStart(wait, call time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sums.starts++
	a.sums.orderWait += wait
	a.sums.callTime += call
}

func (a *delays) recordListGap(gap time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sums.lists++
	a.sums.listGap += gap
}

// take returns the sums and clears them, at most once per delaysInterval.
func (a *delays) take(now time.Duration) (delaySums, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now-a.loggedAt < delaysInterval {
		return delaySums{}, false
	}
	sums := a.sums
	a.sums, a.loggedAt = delaySums{}, now
	return sums, true
}

// logDelays logs the mean delays of the last second.
func (d *Dispatcher) logDelays(now time.Duration) {
	s, due := d.delays.take(now)
	if !due {
		return
	}
	d.config.Logger.WithFields(log.Fields{
		"rounds": s.rounds, "round_ms": s.roundTime.Milliseconds(),
		"commits": s.commits, "commit_ms": meanMS(s.commitTime, s.commits),
		"starts": s.starts, "order_wait_ms": meanMS(s.orderWait, s.starts), "start_ms": meanMS(s.callTime, s.starts),
		"lists": s.lists, "list_gap_ms": meanMS(s.listGap, s.lists),
	}).Info("delays")
}

func meanMS(sum time.Duration, n int) int64 {
	return (sum / time.Duration(max(n, 1))).Milliseconds()
}
