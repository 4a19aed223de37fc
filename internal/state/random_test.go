package state

import (
	"math/rand/v2"
	"os"
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

// TestRandomCommands lets rapid choose, so that a failure is made small.
func TestRandomCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(Rules{}, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") })
		for range 60 {
			if problem := w.step(); problem != "" {
				t.Fatal(problem)
			}
		}
	})
}

// seeded returns a choice from a seed.
func seeded(seed uint64) func(n int) int {
	return rand.New(rand.NewPCG(seed, 0)).IntN
}

// run makes steps from a seed and returns the step of the first problem, 0 for
// none. The world starts anew every 1,000 steps.
func run(rules Rules, seed uint64, steps int) (at int, problem string) {
	const length = 1_000
	var w *world
	for step := range steps {
		if step%length == 0 {
			w = newWorld(rules, seeded(seed+uint64(step/length)))
		}
		if problem := w.step(); problem != "" {
			return step + 1, problem
		}
	}
	return 0, ""
}

// TestLongRun makes COMFREYLOOM_STEPS steps, 4,000 by default.
func TestLongRun(t *testing.T) {
	steps := 4_000
	if text := os.Getenv("COMFREYLOOM_STEPS"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		steps = n
	}
	const seed = 1
	at, problem := run(Rules{}, seed, steps)
	if problem != "" {
		t.Fatalf("seed %d, step %d: %s", seed, at, problem)
	}
	t.Logf("seed %d: %d steps", seed, steps)
}

// TestSwitchedOffRulesAreFound switches off one safety rule after the other:
// the same random run that passes with all rules must fail without any of
// them. A rule whose loss nobody notices is not proved by the runs above.
func TestSwitchedOffRulesAreFound(t *testing.T) {
	cases := map[string]Rules{
		"revision":       {SkipRevision: true},
		"generation":     {SkipGeneration: true},
		"term":           {SkipTerm: true},
		"single owner":   {SkipSingleOwner: true},
		"lease":          {SkipLease: true},
		"permit":         {SkipPermit: true},
		"claim once":     {SkipClaimOnce: true},
		"claim owner":    {SkipClaimOwner: true},
		"one task":       {SkipOneTask: true},
		"step back":      {SkipStepBack: true},
		"command memory": {SkipCommandMemory: true},
		"cancel":         {SkipCancel: true},
	}
	for name, rules := range cases {
		t.Run(name, func(t *testing.T) {
			const seed, most = 1, 20_000
			at, problem := run(rules, seed, most)
			if problem == "" {
				t.Fatalf("not found in %d steps", most)
			}
			t.Logf("seed %d: found at step %d: %s", seed, at, problem)
		})
	}
}
