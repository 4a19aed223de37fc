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

// named is a pattern with its name for tables.
type named struct {
	name    string
	pattern Pattern
}

func with(p Pattern, change func(*Pattern)) Pattern {
	change(&p)
	return p
}

// patterns are the loads that policies are compared under: turns of several
// lengths, in no order, no turns at all, one pool only, and a wave in a peak.
func patterns() []named {
	return []named{
		{"turns 4.5 s", Turns(4500 * time.Millisecond)},
		{"turns 9 s", Turns(9 * time.Second)},
		{"turns 2 s", Turns(2 * time.Second)},
		{"turns 12 s", Turns(12 * time.Second)},
		{"shuffled 4.5 s", with(Turns(4500*time.Millisecond), func(p *Pattern) { p.Order = Shuffled })},
		{"no turns", with(Turns(4500*time.Millisecond), func(p *Pattern) { p.Order = Level })},
		{"one pool", with(Turns(9*time.Second), func(p *Pattern) { p.Kinds = []Kind{Short} })},
		{"wave in turns 9 s", with(Turns(9*time.Second), func(p *Pattern) {
			p.Wave, p.WaveMost, p.WaveAt, p.WaveFor = 22, 9, 2*time.Second, 26*time.Second
		})},
	}
}

// switches are the mechanisms that can be turned off alone.
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

// vmSecondPrice and movePrice weigh a VM in a pool and a move against jobs in
// time, as shares of the worth of a run of this length; they are the ones that
// the users of the sites state, at the size of these patterns.
const (
	vmSecondPrice = 0.17 / 1600
	movePrice     = 0.025 / 206
)

// value weighs the measures of a run as the users do.
func value(r Result) float64 {
	return 0.75*r.InTime + 0.25*r.Worst - vmSecondPrice*r.VMSeconds - movePrice*float64(r.Moves)
}

// TestLab prints what each mechanism is worth under each pattern, over
// COMFREYLOOM_LAB seeds; without it it is skipped, as it decides nothing.
func TestLab(t *testing.T) {
	seeds, _ := strconv.Atoi(os.Getenv("COMFREYLOOM_LAB"))
	if seeds == 0 {
		t.Skip("COMFREYLOOM_LAB says how many seeds to play")
	}
	list := make([]uint64, seeds)
	for i := range list {
		list[i] = uint64(i + 1)
	}
	for _, p := range patterns() {
		var base []Result
		for _, s := range switches() {
			results := iter.Map(list, func(seed *uint64) Result { return Play(p.pattern, *seed, s.rules) })
			if base == nil {
				base = results
			}
			fmt.Println(row(p.name, s.name, base, results))
		}
	}
}

func row(pattern, off string, base, results []Result) string {
	var m Result
	var sum, square float64
	n := float64(len(results))
	for i, r := range results {
		m.InTime += r.InTime / n
		m.Worst += r.Worst / n
		m.VMSeconds += r.VMSeconds / n
		m.Moves += r.Moves
		m.WaveTime += r.WaveTime / time.Duration(len(results))
		d := value(r) - value(base[i])
		sum, square = sum+d, square+d*d
	}
	mean := sum / n
	spread := math.Sqrt(max(square/n-mean*mean, 0) / n)
	return fmt.Sprintf("%-18s off: %-13s in time %.3f worst %.3f VM-seconds %5.0f moves %4d wave %4.1f s  against all on %+.4f (%.4f)",
		pattern, off, m.InTime, m.Worst, m.VMSeconds, m.Moves/len(results), m.WaveTime.Seconds(), mean, spread)
}
