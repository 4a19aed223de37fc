package explain

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Cause is what delayed the first start of a job, as far as logs show it.
type Cause uint8

// The causes, in the order in which they are checked.
const (
	// NoLeader: no process was the leader.
	NoLeader Cause = iota
	// WithheldCapacity: the job's pool had less capacity than it needed, and would
	// have had enough with its VMs that were closed for maintenance or under it.
	WithheldCapacity
	// InsufficientCapacity: the job's pool had less capacity than it needed.
	InsufficientCapacity
	// ArrivingCapacity: the job's pool had enough only with VMs on their way.
	ArrivingCapacity
	// LeaderDelay: the leader had not planned and committed since the submission.
	LeaderDelay
	// OtherCause: any other cause, such as jobs that come first or an unresponsive
	// worker.
	OtherCause
	numCauses
)

// String returns the form used in tables.
func (c Cause) String() string {
	return [...]string{"no leader", "VMs in maintenance", "too few VMs", "VMs on their way", "leader", "else"}[c]
}

// Wait is the time between the response to a job's submission and the commit of
// its first run.
type Wait struct {
	Job, Pool string
	From      time.Time
	Total     time.Duration
	// ByCause splits Total by cause.
	ByCause [numCauses]time.Duration
}

// BalanceSample is what the leader logged about the pools at one time.
type BalanceSample struct {
	Time time.Time
	// Source is the process that was the leader.
	Source string
	Pools  map[string]Balance
	// LeaderDelay is how long the leader took from the start of a round to the end
	// of its commit, 0 if unknown.
	LeaderDelay time.Duration
}

// Balance is the capacity that a pool had and needed, in thousandths of a core.
type Balance struct {
	Have, Need int64
	// Arriving is the part of Have that is on its way, Withheld what Have lacks
	// because of maintenance.
	Arriving, Withheld int64
	// IdleVMs counts the VMs of the pool without work.
	IdleVMs int64
}

// Waits returns how long the jobs waited for their first start and why, in the
// order of submission, and the balance of the pools over time. A job whose
// submission or first run isn't logged is left out.
func Waits(lines []Line) ([]Wait, []BalanceSample) {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	tracker := &waitTracker{submitted: map[string]time.Time{}, started: map[string]bool{}, poolOf: map[string]string{}}
	for i := range lines {
		tracker.observe(&lines[i])
	}
	for i := range tracker.waits {
		tracker.splitByCause(&tracker.waits[i])
	}
	slices.SortStableFunc(tracker.waits, func(x, y Wait) int { return x.From.Compare(y.From) })
	return tracker.waits, tracker.samples
}

// span is a time without a leader; to is zero until a new leader is known.
type span struct{ from, to time.Time }

// waitTracker processes log lines in the order of time.
type waitTracker struct {
	submitted map[string]time.Time
	started   map[string]bool
	// poolOf maps workers to pools; leaders holds the processes that lead.
	poolOf     map[string]string
	leaders    map[string]bool
	waits      []Wait
	samples    []BalanceSample
	leaderless []span
	// leaderDelay is that of the last "delays" line.
	leaderDelay time.Duration
}

func (t *waitTracker) observe(l *Line) {
	switch l.Message {
	case "answered":
		if l.text("kind") == "submit" && l.number("status") == 200 {
			t.recordSubmission(l.text("id"), l.Time)
		}
	case "worker announced":
		t.poolOf[l.text("worker")] = l.text("pool")
	case "runs committed":
		t.recordFirstRun(l)
	case "leading":
		t.recordLeader(l)
	case "no longer leading":
		t.recordLeaderLoss(l)
	case "balance":
		t.recordBalance(l)
	case "delays":
		t.recordDelays(l)
	}
}

// recordDelays takes the mean time of a round and its commit from a line that sums
// up one second.
func (t *waitTracker) recordDelays(l *Line) {
	if rounds := l.number("rounds"); rounds > 0 {
		t.leaderDelay = time.Second/time.Duration(rounds) + time.Duration(l.number("commit_ms"))*time.Millisecond
	}
}

func (t *waitTracker) recordSubmission(job string, at time.Time) {
	if _, known := t.submitted[job]; !known {
		t.submitted[job] = at
	}
}

func (t *waitTracker) recordFirstRun(l *Line) {
	job := l.text("job")
	from, known := t.submitted[job]
	if !known || t.started[job] {
		return
	}
	t.started[job] = true
	_, rest, _ := strings.Cut(l.text("runs"), "@")
	worker, _, _ := strings.Cut(rest, "#")
	t.waits = append(t.waits, Wait{Job: job, Pool: t.poolOf[worker], From: from, Total: max(l.Time.Sub(from), 0)})
}

func (t *waitTracker) recordLeader(l *Line) {
	if n := len(t.leaderless); n > 0 && t.leaderless[n-1].to.IsZero() {
		t.leaderless[n-1].to = l.Time
	}
	if t.leaders == nil {
		t.leaders = map[string]bool{}
	}
	t.leaders[l.Source] = true
}

// recordLeaderLoss records that a process stopped leading. A killed leader logs
// nothing: the span without a leader then lasts from half of maxSampleGap after its
// last balance to the first balance of its successor, see recordBalance.
func (t *waitTracker) recordLeaderLoss(l *Line) {
	if delete(t.leaders, l.Source); len(t.leaders) == 0 {
		t.leaderless = append(t.leaderless, span{from: l.Time})
	}
}

// maxSampleGap is the longest time between two logged balances while there is a
// leader; a leader logs the balance once a second.
const maxSampleGap = 1500 * time.Millisecond

// recordBalance records the balance of one pool. Lines of one leader that follow
// each other within a tenth of maxSampleGap belong to one sample.
func (t *waitTracker) recordBalance(l *Line) {
	n := len(t.samples)
	if n > 0 && t.samples[n-1].Source != l.Source && l.Time.Sub(t.samples[n-1].Time) > maxSampleGap {
		t.leaderless = append(t.leaderless, span{from: t.samples[n-1].Time.Add(maxSampleGap / 2), to: l.Time})
	}
	if n == 0 || t.samples[n-1].Source != l.Source || l.Time.Sub(t.samples[n-1].Time) > maxSampleGap/10 {
		t.samples = append(t.samples, BalanceSample{Time: l.Time, Source: l.Source, Pools: map[string]Balance{}, LeaderDelay: t.leaderDelay})
	}
	t.samples[len(t.samples)-1].Pools[l.text("pool")] = Balance{
		Have: l.number("have_mcpu"), Need: l.number("need_mcpu"), IdleVMs: l.number("spare_vms"),
		Arriving: l.number("arriving_mcpu"), Withheld: l.number("withheld_mcpu"),
	}
}

// splitStep is the resolution at which a wait is split by cause.
const splitStep = 10 * time.Millisecond

func (t *waitTracker) splitByCause(w *Wait) {
	for passed := time.Duration(0); passed < w.Total; passed += splitStep {
		middle := w.From.Add(passed + splitStep/2)
		w.ByCause[t.causeAt(middle, w.Pool, passed)] += min(splitStep, w.Total-passed)
	}
}

// causeAt returns why a job waited at a time, waited after its submission.
func (t *waitTracker) causeAt(at time.Time, pool string, waited time.Duration) Cause {
	for _, s := range t.leaderless {
		if !at.Before(s.from) && at.Before(s.to) {
			return NoLeader
		}
	}
	next, _ := slices.BinarySearchFunc(t.samples, at, func(m BalanceSample, at time.Time) int { return m.Time.Compare(at) })
	if next == len(t.samples) {
		return OtherCause
	}
	switch b := t.samples[next].Pools[pool]; {
	case b.Need > b.Have && b.Need <= b.Have+b.Withheld:
		return WithheldCapacity
	case b.Need > b.Have:
		return InsufficientCapacity
	case b.Need > b.Have-b.Arriving:
		return ArrivingCapacity
	case waited < t.samples[next].LeaderDelay:
		return LeaderDelay
	default:
		return OtherCause
	}
}

// PoolWaits sums up the waits of the jobs of one pool.
type PoolWaits struct {
	Pool        string
	Jobs        int
	Median, P95 time.Duration
	ByCause     [numCauses]time.Duration
}

// ByPool sums up the waits by pool, the pool with the largest total first.
func ByPool(waits []Wait) []PoolWaits {
	byPool := map[string][]Wait{}
	for _, w := range waits {
		byPool[w.Pool] = append(byPool[w.Pool], w)
	}
	var pools []PoolWaits
	for pool, list := range byPool {
		slices.SortFunc(list, func(a, b Wait) int { return cmp.Compare(a.Total, b.Total) })
		sum := PoolWaits{Pool: pool, Jobs: len(list), Median: list[len(list)/2].Total, P95: list[len(list)*95/100].Total}
		for i := range list {
			for c := range numCauses {
				sum.ByCause[c] += list[i].ByCause[c]
			}
		}
		pools = append(pools, sum)
	}
	slices.SortFunc(pools, func(a, b PoolWaits) int {
		return cmp.Or(cmp.Compare(total(b.ByCause), total(a.ByCause)), cmp.Compare(a.Pool, b.Pool))
	})
	return pools
}

func total(by [numCauses]time.Duration) (sum time.Duration) {
	for _, d := range by {
		sum += d
	}
	return sum
}

// Pools returns the pools that occur in the samples, sorted.
func Pools(samples []BalanceSample) []string {
	names := map[string]bool{}
	for i := range samples {
		for pool := range samples[i].Pools {
			names[pool] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}
