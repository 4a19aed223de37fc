package loadmodel

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc/iter"
)

// testSeeds are played in CI; TestLab plays more.
var testSeeds = []uint64{1, 2, 3, 4, 5, 6, 7, 8}

func play(p Pattern, rules Rules) []Result {
	return iter.Map(testSeeds, func(seed *uint64) Result { return Play(p, *seed, rules) })
}

// gain is what the mechanisms that are on are worth against the other run, over
// all seeds.
func gain(on, off []Result) float64 {
	sum := 0.0
	for i := range on {
		sum += value(on[i]) - value(off[i])
	}
	return sum / float64(len(on))
}

// Symptom: the jobs of the first two seconds of each peak come late. Sequence: the
// pools have their peaks in turns; the next pool's VMs set out when its rate over a
// second and a half shows it, one by one, and to a pool that never followed before
// nobody sends any. Cause: turns known only by their highest rate and by successors
// that were seen. The figures: 16 seeds of TestLab, all mechanisms against none of
// them, +0.026 at turns of 4.5 s, +0.023 at 9 s, +0.013 at 12 s (errors 0.004 to 0.007).
func TestPeaksInTurns(t *testing.T) {
	is := is.New(t)
	none := Rules{SkipNewSuccessor: true, SkipMean: true, SkipEarlyDetection: true, SkipShortWindow: true, SkipDistinctCheck: true, SkipAccuracyCheck: true}
	p := Turns(4500 * time.Millisecond)
	on := play(p, Rules{})
	is.True(gain(on, play(p, none)) > 0.01)
	is.True(gain(on, play(p, Rules{SkipNewSuccessor: true})) > 0.003)
	is.True(gain(on, play(p, Rules{SkipMean: true})) > 0.003)
}

// Symptom: where peaks come in no order, a quarter of the jobs at the start of each
// is late, and VMs wait in pools that nobody asks for. Sequence: the pool that last
// followed is given the VMs, another has its peak. Cause: a successor was believed
// however often it was wrong, and a peak was noticed late. The figures: 16 seeds,
// +0.103 (0.011) for all, of which 0.052 for the level, 0.042 for noticing early,
// 0.016 for the rate from the turn's start and 0.011 for the record.
func TestPeaksInNoOrder(t *testing.T) {
	is := is.New(t)
	p := with(Turns(4500*time.Millisecond), func(p *Pattern) { p.Order = Shuffled })
	on := play(p, Rules{})
	is.True(gain(on, play(p, Rules{SkipMean: true})) > 0.015)
	is.True(gain(on, play(p, Rules{SkipEarlyDetection: true})) > 0.01)
	is.True(gain(on, play(p, Rules{SkipAccuracyCheck: true})) > 0)
	is.True(gain(on, play(p, Rules{SkipShortWindow: true})) > 0)
}

// Symptom: VMs are on their way all the time and serve nobody. Sequence: turns are
// shorter than two moves take; each sends VMs that come when the next has begun.
// Cause: a turn was taken for as high as turns are though it was nearly over. The
// figures: 16 seeds, +0.158 (0.010).
func TestTurnsTooShortForMoves(t *testing.T) {
	is := is.New(t)
	p := Turns(2 * time.Second)
	is.True(gain(play(p, Rules{}), play(p, Rules{SkipDistinctCheck: true})) > 0.05)
}

// Symptom: VMs are kept, and moved, for peaks that never come. Sequence: all pools
// are asked for the same all the time; large jobs make one after the other stand
// out. Cause: chance taken for turns. The figures: 16 seeds, +0.022 (0.002); what is
// left of it costs 0.004 against expecting nothing.
func TestNoTurns(t *testing.T) {
	is := is.New(t)
	p := with(Turns(4500*time.Millisecond), func(p *Pattern) { p.Order = Level })
	on := play(p, Rules{})
	is.True(gain(on, play(p, Rules{SkipDistinctCheck: true})) > 0.005)
	is.True(gain(on, play(p, Rules{SkipPeaks: true})) > -0.015)
}

func TestAPoolAloneIsServedByWhatItNeeds(t *testing.T) {
	is := is.New(t)
	p := with(Turns(9*time.Second), func(p *Pattern) { p.Kinds = []Kind{Short} })
	for _, r := range play(p, Rules{}) {
		is.True(r.InTime > 0.98)
		is.True(r.VMSeconds < 20*40) // of 49 VMs for 40 s
	}
}

func TestAWaveEndsInTime(t *testing.T) {
	is := is.New(t)
	p := with(Turns(9*time.Second), func(p *Pattern) {
		p.Wave, p.WaveMost, p.WaveAt, p.WaveFor = 22, 9, 2*time.Second, 26*time.Second
	})
	for _, r := range play(p, Rules{}) {
		is.True(r.WaveTime > 0 && r.WaveTime < p.WaveFor)
	}
}

func TestARunRepeats(t *testing.T) {
	is := is.New(t)
	p := with(Turns(4500*time.Millisecond), func(p *Pattern) { p.Length = 8 * time.Second })
	is.Equal(Play(p, 5, Rules{}), Play(p, 5, Rules{}))
}
