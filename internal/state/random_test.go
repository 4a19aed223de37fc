package state

import (
	"math/rand/v2"
	"os"
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

// TestRandomCommands draws its choices from rapid, so that failures are shrunk.
func TestRandomCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(Rules{}, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") })
		for range 60 {
			if problem := s.step(); problem != "" {
				t.Fatal(problem)
			}
		}
	})
}

// seededChoice returns a seeded random source for newSim.
func seededChoice(seed uint64) func(n int) int {
	return rand.New(rand.NewPCG(seed, 0)).IntN
}

// simulate runs steps from a seed and returns the step of the first problem, 0 if
// there is none. A new simulation starts every 1,000 steps.
func simulate(rules Rules, seed uint64, steps int) (failedStep int, problem string) {
	const stepsPerSimulation = 1_000
	var s *sim
	for step := range steps {
		if step%stepsPerSimulation == 0 {
			s = newSim(rules, seededChoice(seed+uint64(step/stepsPerSimulation)))
		}
		if problem := s.step(); problem != "" {
			return step + 1, problem
		}
	}
	return 0, ""
}

// TestLongRun runs COMFREYLOOM_STEPS steps, 4,000 by default.
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
	failedStep, problem := simulate(Rules{}, seed, steps)
	if problem != "" {
		t.Fatalf("seed %d, step %d: %s", seed, failedStep, problem)
	}
	t.Logf("seed %d: %d steps", seed, steps)
}

// TestDisabledRulesAreDetected switches off one safety rule at a time: the random
// run that passes with all rules must fail without this one. The runs above don't
// verify a rule whose absence goes undetected.
func TestDisabledRulesAreDetected(t *testing.T) {
	cases := map[string]Rules{
		"revision":     {SkipRevision: true},
		"generation":   {SkipGeneration: true},
		"term":         {SkipTerm: true},
		"single owner": {SkipSingleOwner: true},
		"lease":        {SkipLease: true},
		"permit":       {SkipPermit: true},
		"claim once":   {SkipClaimOnce: true},
		"claim owner":  {SkipClaimOwner: true},
		"one task":     {SkipOneTask: true},
		"index order":  {SkipIndexOrder: true},
		"dedup table":  {SkipDedup: true},
		"cancel":       {SkipCancel: true},
	}
	for name, rules := range cases {
		t.Run(name, func(t *testing.T) {
			const seed, maxSteps = 1, 20_000
			failedStep, problem := simulate(rules, seed, maxSteps)
			if problem == "" {
				t.Fatalf("not detected in %d steps", maxSteps)
			}
			t.Logf("seed %d: detected at step %d: %s", seed, failedStep, problem)
		})
	}
}
