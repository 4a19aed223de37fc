package replica

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/datafolder"
	"github.com/comfreyloom/comfreyloom/internal/datafolder/fakedisk"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// lostDisks is how many disks the site of these tests tolerates to lose at once.
const lostDisks = 2

// newGrowingCluster returns a cluster of nine nodes that know three seeds and
// discover each other.
func newGrowingCluster(t *testing.T) *cluster {
	c := newCluster(t, "a", "b", "c", "d", "e", "f", "g", "h", "i")
	c.adjustConfig = func(config *Config) {
		config.LostDisks = lostDisks
		config.Members = nil
		if !c.founded {
			config.Members = []model.NodeID{"a", "b", "c"}
		}
		config.Candidates = func() []model.NodeID { return c.members }
	}
	return c
}

// loseDisks cuts the power of all nodes, replaces the disks of some by empty
// ones, and starts all again.
func (c *cluster) loseDisks(random *rand.Rand, lost []model.NodeID) {
	c.founded = true
	disks := map[model.NodeID]*fakedisk.Disk{}
	for _, name := range c.members {
		disk := c.nodes[name].disk
		disks[name] = disk.Reboot(random)
		if slices.Contains(lost, name) {
			disks[name] = nil
		}
	}
	for _, name := range c.members {
		c.stop(name)
		c.setIsolated(name, false)
	}
	for _, name := range c.members {
		c.start(name, disks[name])
	}
}

// holders returns the voters that have the most entries of the leader's log,
// the leader first.
func (c *cluster) holders() []model.NodeID {
	name, leader := c.leader()
	peers := leader.peers()
	slices.SortFunc(peers, func(a, b peerMatch) int { return int(int64(b.match) - int64(a.match)) })
	names := []model.NodeID{name}
	for _, p := range peers {
		names = append(names, p.node)
	}
	return names
}

type peerMatch struct {
	node  model.NodeID
	match uint64
}

// peers returns the other voters as this leader sees them.
func (n *node) peers() []peerMatch {
	done := make(chan []peerMatch, 1)
	n.controls.TryPut(func(d *driver) {
		var list []peerMatch
		for _, p := range d.raft.Peers() {
			list = append(list, peerMatch{datafolder.NodeOf(p.ID), p.Match})
		}
		done <- list
	})
	n.wakeUp()
	return <-done
}

// isolateFollowers cuts off some nodes that don't lead.
func (c *cluster) isolateFollowers(count int) {
	name, _ := c.leader()
	for _, other := range c.members {
		if count > 0 && other != name && !c.isolated[other] {
			c.setIsolated(other, true)
			count--
		}
	}
}

// checkSurvives loses the disks of two voters that stored the command, and the
// power of all others, and checks that the site still has the command.
func (c *cluster) checkSurvives(random *rand.Rand, command string) {
	c.t.Helper()
	c.loseDisks(random, c.holders()[:lostDisks])
	c.propose("end")
	is.New(c.t).True(slices.Contains(c.waitForAgreement(), command))
}

// Guards against an acknowledged command that is lost with two disks, which the
// site tolerates, while all others lose power: it was acknowledged while the site
// had too few voters, as it was still growing.
func TestFirstCommandSurvivesLostDisks(t *testing.T) {
	for seed := range uint64(8) {
		passed := t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			c := newGrowingCluster(t)
			c.startAll()
			c.propose("first")
			c.checkSurvives(rand.New(rand.NewPCG(seed, 17)), "first")
		})
		if !passed {
			return // each failure takes a minute
		}
	}
}

// Guards against an acknowledged command that is lost with two disks, which the
// site tolerates, because voters that were cut off for long had been removed until
// too few were left.
func TestCommandSurvivesLostDisksAfterRemovals(t *testing.T) {
	t.Parallel()
	c := newGrowingCluster(t)
	c.startAll()
	c.waitForVoters()
	c.isolateFollowers(4)
	c.waitForVoters() // a change of leader restarts the time after which a voter is removed
	for range 2 {
		c.isolateFollowers(1)
		c.pass(removeAfter + removeAfter/2)
	}
	c.propose("late")
	c.checkSurvives(rand.New(rand.NewPCG(1, 17)), "late")
}

// Guards against the same with any disks, again and again: a minority is cut off
// for up to fifteen seconds, commands are acknowledged meanwhile, two disks are
// lost while all others lose power, and the next two once the site has caught up.
func TestCommandsSurviveRepeatedLostDisks(t *testing.T) {
	seeds := uint64(3)
	if steps, err := strconv.ParseUint(os.Getenv("COMFREYLOOM_STEPS"), 10, 64); err == nil {
		seeds = max(seeds, steps/40) // a run is 40 commands
	}
	for seed := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			loseDisksRepeatedly(t, rand.New(rand.NewPCG(seed, 23)))
		})
	}
}

func loseDisksRepeatedly(t *testing.T, random *rand.Rand) {
	c := newGrowingCluster(t)
	c.startAll()
	var acknowledged []string
	for cycle := range 5 {
		c.waitForVoters()
		names := slices.Clone(c.members)
		random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		for _, name := range names[:random.IntN(5)] {
			c.setIsolated(name, true)
		}
		c.pass(time.Duration(random.IntN(15000)) * time.Millisecond)
		for i := range 8 {
			command := fmt.Sprintf("%d/%d", cycle, i)
			c.propose(command)
			acknowledged = append(acknowledged, command)
		}
		lost := names[len(names)-lostDisks:]
		if random.IntN(2) == 0 {
			lost = c.holders()[:lostDisks]
		}
		c.loseDisks(random, lost)
		c.propose(fmt.Sprintf("%d/end", cycle))
	}
	found := c.waitForAgreement()
	for _, command := range acknowledged {
		if !slices.Contains(found, command) {
			t.Fatalf("%s was acknowledged and is lost", command)
		}
	}
}

// pass advances the clock by d.
func (c *cluster) pass(d time.Duration) {
	c.t.Helper()
	end := c.clock() + d
	c.waitFor("time passes", func() bool { return c.clock() >= end })
}
