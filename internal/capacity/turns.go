package capacity

import (
	"slices"
	"time"
)

const (
	// leadShare of all arriving work makes a pool the one whose turn it is.
	leadShare = 0.5
	// turnLead is how long before its expected turn a pool is given VMs: a move
	// takes about two seconds, and a turn is noticed about one after it began.
	turnLead = 3 * time.Second
	// turnLate is how long after the expected time a turn is still expected.
	turnLate = 2 * time.Second
	// shortestTurn is the shortest time that counts as a turn; what is shorter
	// is a single large job.
	shortestTurn = time.Second
)

// turns learns in which order pools have their peaks. Where demand goes from
// one pool to the next in turns, VMs can be there before the peak is; a pool
// that waits for its peak to show loses about three seconds of each.
type turns struct {
	// pool has its turn since a time; empty before the first.
	pool  string
	since time.Duration
	// next is the pool that is about to take over, since a time.
	next      string
	nextSince time.Duration
	// after holds which pool followed another, length how long its turn was.
	after  map[string]string
	length map[string]time.Duration
	// peak is the most that arrived in a pool's last turn, in thousandths of a core.
	peak map[string]int64
}

func newTurns() turns {
	return turns{after: map[string]string{}, length: map[string]time.Duration{}, peak: map[string]int64{}}
}

// observe takes in the rates of arriving work at a time.
func (t *turns) observe(rates map[string]int64, now time.Duration) {
	leader := leading(rates)
	if leader == "" || leader == t.pool {
		t.next = ""
		if leader != "" {
			t.peak[leader] = max(t.peak[leader], rates[leader])
		}
		return
	}
	if leader != t.next {
		t.next, t.nextSince = leader, now
		return
	}
	if now-t.nextSince < shortestTurn/2 {
		return
	}
	if t.pool != "" && t.nextSince-t.since >= shortestTurn {
		t.after[t.pool] = leader
		t.length[t.pool] = t.nextSince - t.since
	}
	t.pool, t.since, t.next = leader, t.nextSince, ""
	t.peak[leader] = rates[leader]
}

// leading returns the pool that gets most of the arriving work, empty when
// none does.
func leading(rates map[string]int64) string {
	var total, most int64
	pool := ""
	for name, rate := range rates {
		total += rate
		if rate > most || rate == most && name < pool {
			pool, most = name, rate
		}
	}
	if total == 0 || float64(most) < leadShare*float64(total) {
		return ""
	}
	return pool
}

// expect returns what pools will be asked for soon, in thousandths of a core.
func (t *turns) expect(pools []string, now time.Duration) map[string]int64 {
	length, known := t.length[t.pool], true
	if length == 0 {
		length, known = t.typical(), false
	}
	if t.pool == "" || length == 0 {
		return nil
	}
	left := t.since + length - now
	if left > turnLead || left < -turnLate {
		return nil
	}
	if next := t.after[t.pool]; known && next != "" {
		return map[string]int64{next: t.peak[next]}
	}
	return t.guess(pools)
}

// typical returns the length of the last turns, 0 when none is known.
func (t *turns) typical() time.Duration {
	var all []time.Duration
	for _, l := range t.length {
		all = append(all, l)
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[len(all)/2]
}

// guess spreads a peak like the present one over the pools that had no turn yet.
func (t *turns) guess(pools []string) map[string]int64 {
	var unseen []string
	for _, p := range pools {
		if t.peak[p] == 0 && p != t.pool {
			unseen = append(unseen, p)
		}
	}
	expected := map[string]int64{}
	for _, p := range unseen {
		expected[p] = t.peak[t.pool] / int64(len(unseen))
	}
	return expected
}
