package capacity

import (
	"slices"
	"time"
)

const (
	// leadingShare is the share of all arriving work that makes a pool the
	// leading one.
	leadingShare = 0.5
	// leadTime is how long before its expected peak period a pool is given VMs:
	// a move takes about two seconds, and a peak period is detected about one
	// second after it began.
	leadTime = 3 * time.Second
	// lateTolerance is how long after the expected time a peak period is still
	// expected.
	lateTolerance = 2 * time.Second
	// minPeriod is the shortest time that counts as a peak period; a shorter
	// peak is a single large job.
	minPeriod = time.Second
	// meanFrom is how long after the start of a peak period its rate counts for
	// its mean: before that, the window of rates still includes the time before
	// the peak period.
	meanFrom = rateWindow
	// assumedMeanFor is how long after its start a peak period is assumed to
	// have the mean rate of earlier ones; after that its own rate is known.
	assumedMeanFor = 2500 * time.Millisecond
	// meanToPeak is about the ratio of the mean to the highest rate. It is used
	// for peak periods too short to measure the mean, since the rate of a few
	// large jobs varies by half.
	meanToPeak = 0.6
	// unconfirmedFor is how long a peak period that was detected early counts
	// without being confirmed by rates over the whole window.
	unconfirmedFor = 1500 * time.Millisecond
	// surgeFactor is by what factor the jobs of a pool must increase for its
	// peak period to be detected early: by chance they double at most.
	surgeFactor = 3
	// minDistinctShare is the share of all arriving work that the leading pool
	// must get, averaged over shareWindow, for the load to have peak periods.
	// Where large jobs make one pool after the other lead by chance, the share
	// is a half.
	minDistinctShare = 0.75
	shareWindow      = 5 * time.Second
	// minPaybackPeriod is the shortest peak period for which VMs are moved
	// before its own rate requires them: a move takes two seconds, and as much
	// time must remain for work.
	minPaybackPeriod = 4 * time.Second
	// accuracyWeight is the weight of the last prediction in the accuracy of
	// predictions; below minAccuracy no pool is predicted to be next.
	accuracyWeight = 0.3
	minAccuracy    = 0.4
)

// peakTracker learns the order in which pools have their peak periods. Where
// demand moves from one pool to the next, VMs can be there before the peak; a
// pool that waits for its peak to be measured loses about three seconds of
// each.
type peakTracker struct {
	// current is the pool that has its peak period, since currentSince; empty
	// before the first.
	current      string
	currentSince time.Duration
	// candidate is the pool that is about to take over, since candidateSince.
	candidate      string
	candidateSince time.Duration
	// detected is a pool whose peak period seems to have begun at detectedAt,
	// going only by the jobs of the last burstWindow; empty for none.
	detected   string
	detectedAt time.Duration
	// successor maps a pool to the one that followed it, length to the duration
	// of its last peak period, endedAt to the end of that period.
	successor map[string]string
	length    map[string]time.Duration
	endedAt   map[string]time.Duration
	// peak is the highest rate in a pool's last peak period, mean the mean
	// rate, both in thousandths of a core.
	peak, mean map[string]int64
	// sampledWork over sampledFor is the mean of the current peak period so
	// far, up to sampledAt.
	sampledWork           float64
	sampledFor, sampledAt time.Duration
	// leaderShare is the recent share of all arriving work that the leading
	// pool got.
	leaderShare   float64
	leaderShareAt time.Duration
	// predicted holds the pools expected after the current peak period with the
	// demand expected for each, accuracy the recent rate of correct predictions,
	// between 0 and 1.
	predicted map[string]int64
	accuracy  float64
	rules     Rules
}

func newPeakTracker() peakTracker {
	return peakTracker{
		successor: map[string]string{}, length: map[string]time.Duration{}, endedAt: map[string]time.Duration{},
		peak: map[string]int64{}, mean: map[string]int64{}, accuracy: 1, leaderShare: 1,
	}
}

// observe processes the rates of arriving work at a time.
func (t *peakTracker) observe(rates map[string]int64, now time.Duration) {
	t.updateLeaderShare(rates, now)
	leader := leadingPool(rates)
	if leader == "" || leader == t.current {
		t.candidate = ""
		if leader != "" {
			t.peak[leader] = max(t.peak[leader], rates[leader])
			t.sample(rates[leader], now)
		}
		return
	}
	if leader != t.candidate {
		t.candidate, t.candidateSince = leader, now
		return
	}
	if now-t.candidateSince < minPeriod/2 {
		return
	}
	t.endPeriod(leader)
	t.current, t.currentSince, t.candidate = leader, t.candidateSince, ""
	t.peak[leader] = rates[leader]
	t.sampledWork, t.sampledFor, t.sampledAt = 0, 0, now
}

// sample adds the rate since the last sample to the mean of the current peak
// period.
func (t *peakTracker) sample(rate int64, now time.Duration) {
	if now-t.currentSince > meanFrom {
		t.sampledWork += float64(rate) * float64(now-t.sampledAt)
		t.sampledFor += now - t.sampledAt
	}
	t.sampledAt = now
}

// endPeriod records the properties of the current peak period when another pool
// takes over.
func (t *peakTracker) endPeriod(successor string) {
	if t.current == "" || t.candidateSince-t.currentSince < minPeriod {
		return
	}
	t.successor[t.current] = successor
	t.length[t.current] = t.candidateSince - t.currentSince
	t.endedAt[t.current] = t.candidateSince
	t.mean[t.current] = int64(meanToPeak * float64(t.peak[t.current]))
	if t.sampledFor > 0 {
		t.mean[t.current] = int64(t.sampledWork / float64(t.sampledFor))
	}
	t.updateAccuracy(successor)
}

// updateLeaderShare averages the share of all arriving work that the leading
// pool gets.
func (t *peakTracker) updateLeaderShare(rates map[string]int64, now time.Duration) {
	var total, largest int64
	for _, r := range rates {
		total += r
		largest = max(largest, r)
	}
	passed := min(now-t.leaderShareAt, shareWindow)
	if total > 0 && t.leaderShareAt > 0 {
		t.leaderShare += float64(passed) / float64(shareWindow) * (float64(largest)/float64(total) - t.leaderShare)
	}
	t.leaderShareAt = now
}

// updateAccuracy records whether the pool that took over was predicted.
func (t *peakTracker) updateAccuracy(successor string) {
	if len(t.predicted) > 0 {
		hit := 0.0
		if t.predicted[successor] > 0 {
			hit = 1
		}
		t.accuracy += accuracyWeight * (hit - t.accuracy)
	}
	t.predicted = nil
}

// hasDistinctPeaks reports whether the load has peak periods that stand out and
// are long enough to move VMs before the arriving work requires them.
func (t *peakTracker) hasDistinctPeaks() bool {
	length := t.medianLength()
	return !t.rules.SkipPeaks && (t.rules.SkipDistinctCheck || t.leaderShare >= minDistinctShare && (length == 0 || length >= minPaybackPeriod))
}

// detectEarly processes what arrived within the last burstWindow. It detects a
// peak period a second before the rates over rateWindow do, and that is the
// second in which its VMs have to start moving.
func (t *peakTracker) detectEarly(arrived map[string]burst, now time.Duration) {
	if t.detected != "" && (t.detected == t.current || now-t.detectedAt > unconfirmedFor) {
		t.detected = ""
	}
	if t.rules.SkipEarlyDetection || !t.hasDistinctPeaks() {
		return
	}
	var total int64
	for _, b := range arrived {
		total += b.work
	}
	for pool, b := range arrived {
		if pool != t.current && pool != t.detected && b.isSurge() && float64(b.work) > leadingShare*float64(total) {
			t.detected, t.detectedAt = pool, now
		}
	}
}

// currentPeriod returns the pool whose peak period seems to be the current one,
// and since when.
func (t *peakTracker) currentPeriod() (string, time.Duration) {
	if t.detected != "" {
		return t.detected, t.detectedAt - burstWindow/2
	}
	return t.current, t.currentSince
}

// leadingPool returns the pool that gets most of the arriving work, empty when
// none gets leadingShare of it.
func leadingPool(rates map[string]int64) string {
	var total, largest int64
	pool := ""
	for name, rate := range rates {
		total += rate
		if rate > largest || rate == largest && name < pool {
			pool, largest = name, rate
		}
	}
	if total == 0 || float64(largest) < leadingShare*float64(total) {
		return ""
	}
	return pool
}

// expectedDemand returns the demand expected soon for each pool, in thousandths
// of a core.
func (t *peakTracker) expectedDemand(pools []string, now time.Duration) map[string]int64 {
	if t.rules.SkipPeaks {
		return nil
	}
	next := t.predictNext(pools, now)
	if current, since := t.currentPeriod(); !t.rules.SkipMean && current != "" && now-since < assumedMeanFor && len(t.mean) > 0 && t.hasDistinctPeaks() {
		return map[string]int64{current: t.meanOf(current)}
	}
	if t.accuracy < minAccuracy && !t.rules.SkipAccuracyCheck {
		return nil
	}
	return next
}

// predictNext returns the demand expected for the pools that may take over
// soon.
func (t *peakTracker) predictNext(pools []string, now time.Duration) map[string]int64 {
	length, known := t.length[t.current], true
	if length == 0 {
		length, known = t.medianLength(), false
	}
	if t.current == "" || length == 0 {
		return nil
	}
	left := t.currentSince + length - now
	if left > leadTime || left < -lateTolerance {
		return nil
	}
	t.predicted = t.predictWithoutHistory(pools)
	if next := t.successor[t.current]; known && next != "" {
		t.predicted = map[string]int64{next: t.meanOf(next)}
	}
	return t.predicted
}

// meanOf returns the mean rate of a pool's peak periods, or the median of the
// other pools' means if it had none.
func (t *peakTracker) meanOf(pool string) int64 {
	if t.rules.SkipMean {
		return t.peak[pool]
	}
	if mean := t.mean[pool]; mean > 0 {
		return mean
	}
	var all []int64
	for _, l := range t.mean {
		all = append(all, l)
	}
	if len(all) == 0 {
		return int64(meanToPeak * float64(t.peak[t.current]))
	}
	slices.Sort(all)
	return all[len(all)/2]
}

// medianLength returns the median length of the pools' last peak periods, 0 if
// none is known.
func (t *peakTracker) medianLength() time.Duration {
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

// predictWithoutHistory predicts the next pool if none has followed the current
// one yet: the pools without a peak period so far, each with an equal share of
// one; if there are none, the pool whose peak period is the longest ago.
func (t *peakTracker) predictWithoutHistory(pools []string) map[string]int64 {
	var unseen []string
	oldest := ""
	for _, p := range pools {
		switch {
		case p == t.current:
		case t.peak[p] == 0:
			unseen = append(unseen, p)
		case oldest == "" || t.endedAt[p] < t.endedAt[oldest]:
			oldest = p
		}
	}
	expected := map[string]int64{}
	for _, p := range unseen {
		expected[p] = t.meanOf(t.current) / int64(len(unseen))
	}
	if len(unseen) == 0 && oldest != "" && !t.rules.SkipNewSuccessor {
		expected[oldest] = t.meanOf(oldest)
	}
	return expected
}
