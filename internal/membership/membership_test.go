package membership

import (
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

var actions = rapid.SliceOfN(rapid.Map(rapid.Uint32(), func(seed uint32) action { return action(seed) }), 20, 100)

func runSimulation(list []action, rules Rules) error {
	sim := newSimulation(rules)
	for _, a := range list {
		if err := sim.perform(a); err != nil {
			return err
		}
	}
	return sim.checkRecovery()
}

// No VM may serve an old state, and no two VMs may disagree about the members,
// under any mix of one-way partitions, crashes, freezes, lost, delayed and
// duplicated beats, elections and commits. Each rule of Rules prevents one such
// failure; see TestEveryRuleIsNeeded.
func TestMembershipUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := runSimulation(actions.Draw(t, "actions"), Rules{}); err != nil {
			t.Fatal(err)
		}
	})
}

// The randomized run must detect the absence of each safety rule: a check that
// can't fail proves nothing. Each rule is disabled alone and the run is repeated
// over fixed seeds.
func TestEveryRuleIsNeeded(t *testing.T) {
	rules := map[string]Rules{
		"catch up":    {SkipCatchUp: true},
		"age":         {SkipAge: true},
		"view order":  {SkipViewOrder: true},
		"lease":       {SkipLease: true},
		"incarnation": {SkipIncarnation: true},
	}
	for name, faulty := range rules {
		t.Run(name, func(t *testing.T) {
			for seed := range 400 {
				if err := runSimulation(actions.Example(seed), faulty); err != nil {
					t.Logf("found by seed %d: %v", seed, err)
					return
				}
			}
			t.Fatal("no run detected that the rule is disabled")
		})
	}
}

// TestLongRun runs at least COMFREYLOOM_STEPS actions.
func TestLongRun(t *testing.T) {
	steps, _ := strconv.Atoi(os.Getenv("COMFREYLOOM_STEPS"))
	performed := 0
	for seed := 0; performed < steps; seed++ {
		list := actions.Example(seed)
		performed += len(list)
		if err := runSimulation(list, Rules{}); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
	t.Logf("%d steps", performed)
}

// A healthy VM must not lose its slots, and one that is cut off must not keep
// them. Both happen if a process that is only cut off from the leader is taken
// for down. One VM loses single directions of its links, without other faults.
func TestLivenessUnderPartitions(t *testing.T) {
	const leader, node = 0, 5
	cases := []struct {
		name  string
		cut   func(sim *simulation)
		rules Rules
		stays bool
	}{
		{"leader receives nothing from it", func(sim *simulation) { sim.cut[node][leader] = true }, Rules{}, true},
		{"cut off from the leader in both directions", func(sim *simulation) { sim.cut[node][leader], sim.cut[leader][node] = true, true }, Rules{}, true},
		{"cut off from the leader, without witnesses", func(sim *simulation) { sim.cut[node][leader], sim.cut[leader][node] = true, true }, Rules{SkipWitness: true}, false},
		{"nobody receives anything from it", func(sim *simulation) {
			for i := range simNodes {
				sim.cut[node][i] = true
			}
		}, Rules{}, false},
		{"it receives nothing", func(sim *simulation) {
			for i := range simNodes {
				sim.cut[i][node] = true
			}
		}, Rules{}, false},
		{"its process ended", func(sim *simulation) { sim.nodes[node].up = false }, Rules{}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(c.rules)
			sim.faultFree = true
			is.NoErr(sim.run(3 * time.Second))
			is.Equal(len(sim.nodes[leader].core.View().Live), simNodes)
			c.cut(sim)
			is.NoErr(sim.run(2*ConfirmLimit + sim.nodes[leader].core.DownAfter()))
			for i, n := range sim.nodes {
				if i != node {
					is.Equal(n.core.View().Has(sim.nodes[node].name), c.stays) // all agree
					is.True(n.core.Status(sim.now).Ready)
				}
			}
			if c.rules == (Rules{}) {
				is.Equal(sim.nodes[node].core.Status(sim.now).Ready, c.stays)
			}
			is.NoErr(sim.checkRecovery())
		})
	}
}

// A VM must not become ready with an older revision than its predecessor served.
// It serves revision 4, loses its disk and restarts within a second. A peer then
// forwards a confirmation of revision 3 from before the restart, which the VM has
// applied. Such a confirmation doesn't cover what the predecessor served.
func TestConfirmationFromBeforeStartIsIgnored(t *testing.T) {
	is := is.New(t)
	const startedAt model.Instant = 1_000_000
	members := []model.NodeID{"a", "b", "c"}
	c := New(Config{Self: "a", Members: members, Voters: members}, 7)
	c.Update(startedAt, Local{Applied: 3})
	receive := func(at model.Instant, sequence, commit uint64, age time.Duration) {
		c.ReceiveReply(at, at, Beat{From: "b", Incarnation: 1, Sequence: sequence, Confirmed: true, Commit: commit, ConfirmationAge: age})
	}
	at := startedAt.Add(100 * time.Millisecond)
	receive(at, 1, 3, 400*time.Millisecond)
	is.True(!c.Status(at).Ready)
	receive(at, 2, 4, 10*time.Millisecond)
	is.True(!c.Status(at).Ready) // index 4 is not applied
	c.Update(at, Local{Applied: 4})
	is.True(c.Status(at).Ready)
}
