package loadmodel

import (
	"fmt"
	"math"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/sourcegraph/conc/iter"
)

// namedPattern is a pattern with its name for tables.
type namedPattern struct {
	name    string
	pattern Pattern
}

func with(p Pattern, change func(*Pattern)) Pattern {
	change(&p)
	return p
}

// patterns returns the loads under which policies are compared: rotating peak
// periods of several lengths, peaks in random order, no peaks, a single pool, and
// a maintenance wave during a peak. In the names a turn is a peak period.
func patterns() []namedPattern {
	return []namedPattern{
		{"turns 4.5 s", RotatingPeaks(4500 * time.Millisecond)},
		{"turns 9 s", RotatingPeaks(9 * time.Second)},
		{"turns 2 s", RotatingPeaks(2 * time.Second)},
		{"turns 12 s", RotatingPeaks(12 * time.Second)},
		{"shuffled 4.5 s", with(RotatingPeaks(4500*time.Millisecond), func(p *Pattern) { p.Order = Shuffled })},
		{"no turns", with(RotatingPeaks(4500*time.Millisecond), func(p *Pattern) { p.Order = Uniform })},
		{"one pool", with(RotatingPeaks(9*time.Second), func(p *Pattern) { p.Kinds = []Kind{Short} })},
		{"wave in turns 9 s", with(RotatingPeaks(9*time.Second), func(p *Pattern) {
			p.WaveVMs, p.WaveMaxParallel, p.WaveStart, p.WaveWindow = 22, 9, 2*time.Second, 26*time.Second
		})},
	}
}

// switches returns the mechanisms that can be disabled separately.
func switches() []struct {
	name  string
	rules Rules
} {
	return []struct {
		name  string
		rules Rules
	}{
		{"all on", Rules{}},
		{"turns", Rules{SkipPeaks: true}},
		{"successor", Rules{SkipNewSuccessor: true}},
		{"level", Rules{SkipMean: true}},
		{"notice", Rules{SkipEarlyDetection: true}},
		{"anchor", Rules{SkipShortWindow: true}},
		{"distinct", Rules{SkipDistinctCheck: true}},
		{"record", Rules{SkipAccuracyCheck: true}},
		{"all of these", Rules{SkipNewSuccessor: true, SkipMean: true, SkipEarlyDetection: true, SkipShortWindow: true, SkipDistinctCheck: true, SkipAccuracyCheck: true}},
	}
}

// vmSecondPrice and movePrice are the costs of a second of a VM in a pool and of a
// move, as shares of the value of a run of this length. They are the weights that
// the users of the sites state, at the size of these patterns.
const (
	vmSecondPrice = 0.17 / 1600
	movePrice     = 0.025 / 206
)

// value is the weighted sum of the measures of a run, with the users' weights.
func value(r Result) float64 {
	return 0.75*r.InTime + 0.25*r.WorstShare - vmSecondPrice*r.VMSeconds - movePrice*float64(r.Moves)
}

// TestLab prints the value of each mechanism under each pattern, over
// COMFREYLOOM_LAB seeds. It asserts nothing and is skipped when the variable isn't
// set.
func TestLab(t *testing.T) {
	seeds, _ := strconv.Atoi(os.Getenv("COMFREYLOOM_LAB"))
	if seeds == 0 {
		t.Skip("COMFREYLOOM_LAB sets the number of seeds to simulate")
	}
	list := make([]uint64, seeds)
	for i := range list {
		list[i] = uint64(i + 1)
	}
	for _, p := range patterns() {
		var base []Result
		for _, s := range switches() {
			results := iter.Map(list, func(seed *uint64) Result { return Simulate(p.pattern, *seed, s.rules) })
			if base == nil {
				base = results
			}
			fmt.Println(row(p.name, s.name, base, results))
		}
	}
}

func row(pattern, disabled string, base, results []Result) string {
	var mean Result
	var sum, square float64
	n := float64(len(results))
	for i, r := range results {
		mean.InTime += r.InTime / n
		mean.WorstShare += r.WorstShare / n
		mean.VMSeconds += r.VMSeconds / n
		mean.Moves += r.Moves
		mean.WaveTime += r.WaveTime / time.Duration(len(results))
		gain := value(r) - value(base[i])
		sum, square = sum+gain, square+gain*gain
	}
	meanGain := sum / n
	stdError := math.Sqrt(max(square/n-meanGain*meanGain, 0) / n)
	return fmt.Sprintf("%-18s off: %-13s in time %.3f worst %.3f VM-seconds %5.0f moves %4d wave %4.1f s  against all on %+.4f (%.4f)",
		pattern, disabled, mean.InTime, mean.WorstShare, mean.VMSeconds, mean.Moves/len(results), mean.WaveTime.Seconds(), meanGain, stdError)
}
