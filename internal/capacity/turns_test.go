package capacity

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// feedRates feeds rates in steps of 100 ms, with a peak period of the given
// length for each pool in turn.
func feedRates(t *peakTracker, from, to, length time.Duration, pools ...string) {
	for now := from; now < to; now += 100 * time.Millisecond {
		active := pools[int(now/length)%len(pools)]
		rates := map[string]int64{}
		for _, p := range pools {
			rates[p] = 50
		}
		rates[active] = 1000
		t.observe(rates, now)
	}
}

func TestNextPeakIsExpectedBeforeItBegins(t *testing.T) {
	is := is.New(t)
	length := 5 * time.Second
	pools := []string{"a", "b", "c"}
	tracker := newPeakTracker()
	feedRates(&tracker, 0, 16500*time.Millisecond, length, pools...)
	is.Equal(tracker.successor["a"], "b")
	is.Equal(tracker.expectedDemand(pools, 16500*time.Millisecond)["b"], int64(0)) // a's peak period ends at 20 s
	feedRates(&tracker, 16500*time.Millisecond, 18*time.Second, length, pools...)
	is.Equal(tracker.expectedDemand(pools, 18*time.Second)["b"], int64(1000))
}

// Even demand and a single large job must not count as a peak period, or VMs
// move to a pool that needs none.
func TestNoPeakPeriodForEvenDemand(t *testing.T) {
	is := is.New(t)
	tracker := newPeakTracker()
	for now := time.Duration(0); now < 20*time.Second; now += 100 * time.Millisecond {
		tracker.observe(map[string]int64{"a": 400, "b": 380, "c": 390}, now)
	}
	is.Equal(tracker.current, "")
	tracker.observe(map[string]int64{"a": 4000, "b": 380, "c": 390}, 21*time.Second)
	tracker.observe(map[string]int64{"a": 400, "b": 380, "c": 390}, 21100*time.Millisecond)
	is.Equal(tracker.current, "")
	is.Equal(len(tracker.expectedDemand([]string{"a", "b", "c"}, 22*time.Second)), 0)
}

// A new leader replays the jobs in their order, while wall clocks may have
// stepped back by seconds between jobs, so that the jobs' ages go up and down.
// Averages over such times predicted peak periods higher than any that was
// measured.
func TestReplayedArrivalsNeverGoBackInTime(t *testing.T) {
	is := is.New(t)
	s := newTestSite(map[string]int{"a": 1, "b": 1})
	const nowMS = 60_000
	for i := range 410 {
		pool := []string{"a", "b"}[i/60%2]
		step := int64(i/20%2) * 2400 // the wall clock steps forward and back
		s.apply(&workload.Command{AtMS: 20_000 + int64(i)*90 + step, Submit: []workload.Submit{{
			ID: workload.JobID(fmt.Sprintf("%016x", i)), Queue: workload.QueueID{Host: "h", Prefix: "/" + pool + "/"},
			Spec: workload.JobSpec{Steps: []workload.StepSpec{{Count: 4, Need: workload.Resources{CPU: 2000}, EstimatedMS: 1000}}},
		}}})
	}
	s.machine.Read(func(tables *workload.Tables) {
		d := NewDemand(tables, time.Hour, nowMS)
		is.True(d.peaks.leaderShare >= 0 && d.peaks.leaderShare <= 1)
		for _, p := range d.pools {
			for i := 1; i < len(p.recent); i++ {
				is.True(p.recent[i].at >= p.recent[i-1].at)
			}
		}
		is.True(len(d.peaks.mean) > 0)
		for pool, mean := range d.peaks.mean {
			is.True(mean > 0 && mean <= d.peaks.peak[pool])
		}
	})
}
