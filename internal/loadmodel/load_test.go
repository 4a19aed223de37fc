package loadmodel

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc/iter"
)

// testSeeds are simulated in CI; TestLab runs more.
var testSeeds = []uint64{1, 2, 3, 4, 5, 6, 7, 8}

func simulateAll(p Pattern, rules Rules) []Result {
	return iter.Map(testSeeds, func(seed *uint64) Result { return Simulate(p, *seed, rules) })
}

// gain is the mean difference in value between the runs of on and of off.
func gain(on, off []Result) float64 {
	sum := 0.0
	for i := range on {
		sum += value(on[i]) - value(off[i])
	}
	return sum / float64(len(on))
}

// Guards against late jobs in the first two seconds of each peak when the pools
// peak in rotation. They were late because peaks were known only by their highest
// rate and by successors seen before: VMs moved to the next pool one by one, when
// its rate over a second and a half showed the peak, and none moved to a pool that
// had never followed before. Over 16 seeds of TestLab all mechanisms against none
// gained 0.026 at peak periods of 4.5 s, 0.023 at 9 s and 0.013 at 12 s (standard
// errors 0.004 to 0.007).
func TestRotatingPeaks(t *testing.T) {
	is := is.New(t)
	allOff := Rules{SkipNewSuccessor: true, SkipMean: true, SkipEarlyDetection: true, SkipShortWindow: true, SkipDistinctCheck: true, SkipAccuracyCheck: true}
	p := RotatingPeaks(4500 * time.Millisecond)
	on := simulateAll(p, Rules{})
	is.True(gain(on, simulateAll(p, allOff)) > 0.01)
	is.True(gain(on, simulateAll(p, Rules{SkipNewSuccessor: true})) > 0.003)
	is.True(gain(on, simulateAll(p, Rules{SkipMean: true})) > 0.003)
}

// Guards against late jobs (a quarter of those at the start of each peak) and VMs
// idle in pools without demand when peaks have no order. The VMs went to the pool
// that had followed last while another peaked, because a predicted successor was
// trusted however often it was wrong, and a peak was detected late. Over 16 seeds
// all mechanisms gained 0.103 (0.011), of which the mean level gave 0.052, early
// detection 0.042, the rate from the start of the peak period 0.016 and the check
// of past predictions 0.011.
func TestPeaksInRandomOrder(t *testing.T) {
	is := is.New(t)
	p := with(RotatingPeaks(4500*time.Millisecond), func(p *Pattern) { p.Order = Shuffled })
	on := simulateAll(p, Rules{})
	is.True(gain(on, simulateAll(p, Rules{SkipMean: true})) > 0.015)
	is.True(gain(on, simulateAll(p, Rules{SkipEarlyDetection: true})) > 0.01)
	is.True(gain(on, simulateAll(p, Rules{SkipAccuracyCheck: true})) > 0)
	is.True(gain(on, simulateAll(p, Rules{SkipShortWindow: true})) > 0)
}

// Guards against VMs that move all the time and serve no one when a peak period is
// shorter than two moves: VMs arrive when the next period has begun. A period was
// expected to reach the usual peak although it was nearly over. Over 16 seeds the
// gain was 0.158 (0.010).
func TestPeakPeriodsTooShortForMoves(t *testing.T) {
	is := is.New(t)
	p := RotatingPeaks(2 * time.Second)
	is.True(gain(simulateAll(p, Rules{}), simulateAll(p, Rules{SkipDistinctCheck: true})) > 0.05)
}

// Guards against VMs that are kept and moved for peaks that never come when demand
// is uniform: large jobs make one pool after the other stand out, and random
// variation was mistaken for peak periods. Over 16 seeds the gain was 0.022
// (0.002); the remaining loss against expecting no peaks is 0.004.
func TestUniformDemand(t *testing.T) {
	is := is.New(t)
	p := with(RotatingPeaks(4500*time.Millisecond), func(p *Pattern) { p.Order = Uniform })
	on := simulateAll(p, Rules{})
	is.True(gain(on, simulateAll(p, Rules{SkipDistinctCheck: true})) > 0.005)
	is.True(gain(on, simulateAll(p, Rules{SkipPeaks: true})) > -0.015)
}

func TestSinglePoolGetsOnlyTheVMsItNeeds(t *testing.T) {
	is := is.New(t)
	p := with(RotatingPeaks(9*time.Second), func(p *Pattern) { p.Kinds = []Kind{Short} })
	for _, r := range simulateAll(p, Rules{}) {
		is.True(r.InTime > 0.98)
		is.True(r.VMSeconds < 20*40) // of 49 VMs for 40 s
	}
}

func TestWaveEndsWithinItsWindow(t *testing.T) {
	is := is.New(t)
	p := with(RotatingPeaks(9*time.Second), func(p *Pattern) {
		p.WaveVMs, p.WaveMaxParallel, p.WaveStart, p.WaveWindow = 22, 9, 2*time.Second, 26*time.Second
	})
	for _, r := range simulateAll(p, Rules{}) {
		is.True(r.WaveTime > 0 && r.WaveTime < p.WaveWindow)
	}
}

func TestRunIsDeterministic(t *testing.T) {
	is := is.New(t)
	p := with(RotatingPeaks(4500*time.Millisecond), func(p *Pattern) { p.Length = 8 * time.Second })
	is.Equal(Simulate(p, 5, Rules{}), Simulate(p, 5, Rules{}))
}
