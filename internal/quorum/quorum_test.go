package quorum

import (
	"os"
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

const defaultSteps = 20_000

var actions = rapid.SliceOfN(rapid.Map(rapid.Uint64(), func(seed uint64) action { return action(seed) }), 30, 150)

// scenario is the number of voters and kinds of faults of a site, and its actions.
type scenario struct {
	shape   uint32
	actions []action
}

var scenarios = rapid.Custom(func(t *rapid.T) scenario {
	return scenario{shape: rapid.Uint32().Draw(t, "shape"), actions: actions.Draw(t, "actions")}
})

// run performs the actions and then lets the site recover. It returns the number
// of performed actions.
func (r scenario) run(s *simulation) (int, error) {
	for i, a := range r.actions {
		if err := s.perform(a); err != nil {
			return i + 1, err
		}
	}
	return len(r.actions), s.recover()
}

// Guards against two leaders, a lost commit, a stale read and a site that stays
// without a leader, under any mix of crashes that lose unsynced state, lost
// disks, one-way partitions, delayed, duplicated and lost messages, frozen
// processes, drifting clocks, leadership transfers and voter changes. Each rule
// that Faults can disable prevents one of these failures; see
// TestEverySafetyRuleIsNeeded and TestEveryLivenessRuleIsNeeded.
func TestQuorumUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := scenarios.Draw(t, "run")
		if _, err := r.run(newSim(Faults{}, r.shape)); err != nil {
			t.Fatal(err)
		}
	})
}

// The same with commit indexes that are sent only with the next entry or
// heartbeat.
func TestQuorumUnderFaultsWithPiggybackedCommits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := scenarios.Draw(t, "run")
		if _, err := r.run(newSimWith(Faults{}, r.shape, true)); err != nil {
			t.Fatal(err)
		}
	})
}

// The same with reported sync times: syncs take up to nine ticks longer than
// usual at some voters, which then wait longer for a leader, and a leader for
// its followers. The test detects a lease that is extended as well.
func TestQuorumUnderFaultsWithReportedSyncTimes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := scenarios.Draw(t, "run")
		s := newSim(Faults{}, r.shape)
		s.reportSyncTicks = true
		for i, v := range s.vms {
			v.minWrite = uint64(r.shape>>(2*i)%4) * 3 * tickMax
		}
		if _, err := r.run(s); err != nil {
			t.Fatal(err)
		}
	})
}

// TestLongRun performs at least COMFREYLOOM_STEPS actions, defaultSteps by
// default.
func TestLongRun(t *testing.T) {
	steps, err := strconv.Atoi(os.Getenv("COMFREYLOOM_STEPS"))
	if err != nil {
		steps = defaultSteps
	}
	total := &counts{}
	performed, seed := 0, 0
	for ; performed < steps; seed++ {
		r := scenarios.Example(seed)
		s := newSim(Faults{}, r.shape)
		s.count = total
		n, err := r.run(s)
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		performed += n
	}
	t.Logf("seeds 0 to %d, %d steps: %+v", seed-1, performed, *total)
}
