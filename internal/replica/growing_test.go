package replica

import (
	"testing"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/datafolder"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/quorum"
)

var testLimits = voterLimits{replace: 30, remove: 100, required: 3}

func activeDisk(node model.NodeID, disk string) Identity {
	return Identity{Site: "s", Node: node, Disk: disk, Phase: datafolder.PhaseActive, Founding: datafolder.Founding{ID: "f"}}
}

// fiveVoters returns voters a to e with disk 1; a is the leader.
func fiveVoters() (quorum.Voters, identities) {
	known, voters := identities{}, quorum.Voters{}
	for _, node := range []model.NodeID{"a", "b", "c", "d", "e"} {
		known[node] = activeDisk(node, "1")
		voters.Members = append(voters.Members, known[node].Voter())
	}
	return voters, known
}

func unresponsivePeer(id quorum.ID, ticks uint64) []quorum.PeerStatus {
	return []quorum.PeerStatus{{ID: id, UnresponsiveTicks: ticks}, {ID: "b#1", UnresponsiveTicks: 1}}
}

func TestNewNodeBecomesVoter(t *testing.T) {
	is := is.New(t)
	voters, known := fiveVoters()
	_, why := nextDynamicVoters(voters, known["a"], known, nil, testLimits)
	is.Equal(why, noVoterChange)
	known["f"] = activeDisk("f", "1")
	next, _ := nextDynamicVoters(voters, known["a"], known, nil, testLimits)
	is.True(next.Has("f#1"))
	known["f"] = Identity{Site: "s", Node: "f", Disk: "1", Phase: datafolder.PhaseEmpty}
	_, why = nextDynamicVoters(voters, known["a"], known, nil, testLimits)
	is.Equal(why, noVoterChange) // an empty disk has not joined the site yet
}

// Guards against lost voters that still count: two VMs are replaced by new ones
// at other addresses, then two more fail, and the site stops though most core
// VMs run.
func TestUnresponsiveVoterIsReplaced(t *testing.T) {
	is := is.New(t)
	voters, known := fiveVoters()
	delete(known, "e")
	known["f"] = activeDisk("f", "1")
	next, _ := nextDynamicVoters(voters, known["a"], known, unresponsivePeer("e#1", 40), testLimits)
	is.True(!next.Has("e#1"))
	is.Equal(len(next.Members), 4)
	next, _ = nextDynamicVoters(next, known["a"], known, nil, testLimits)
	is.True(next.Has("f#1"))

	delete(known, "f")
	_, why := nextDynamicVoters(voters, known["a"], known, unresponsivePeer("e#1", 40), testLimits)
	is.Equal(why, noVoterChange) // no node waits to vote, and the voter may return
	next, _ = nextDynamicVoters(voters, known["a"], known, unresponsivePeer("e#1", 100), testLimits)
	is.True(!next.Has("e#1"))
}

func TestVoterWithNewDiskIsRemovedFirst(t *testing.T) {
	is := is.New(t)
	voters, known := fiveVoters()
	known["c"] = activeDisk("c", "2")
	next, _ := nextDynamicVoters(voters, known["a"], known, nil, testLimits)
	is.True(!next.Has("c#1"))
	is.True(!next.Has("c#2"))
	next, _ = nextDynamicVoters(next, known["a"], known, nil, testLimits)
	is.True(next.Has("c#2"))
}

// Guards against removals of voters that only don't respond until two lost disks
// are all that held an acknowledged command. Five voters tolerate two lost disks;
// a node that waits to vote is added before a voter is removed.
func TestNeverFewerVotersThanLossesNeed(t *testing.T) {
	is := is.New(t)
	limits := testLimits
	limits.required = 5
	voters, known := fiveVoters()
	delete(known, "e")
	silent := unresponsivePeer("e#1", 1000)
	_, why := nextDynamicVoters(voters, known["a"], known, silent, limits)
	is.Equal(why, noVoterChange)
	known["f"] = activeDisk("f", "1")
	next, why := nextDynamicVoters(voters, known["a"], known, silent, limits)
	is.Equal(why, voterJoins)
	is.Equal(len(next.Members), 6)
	next, why = nextDynamicVoters(next, known["a"], known, silent, limits)
	is.Equal(why, voterUnresponsive)
	is.True(!next.Has("e#1"))
}

// Guards against two replaced disks that are both removed before either node is
// added again: three voters are left, and two more lost disks end the site.
func TestReplacedDisksAreExchangedOneByOne(t *testing.T) {
	is := is.New(t)
	limits := testLimits
	limits.required = 5
	voters, known := fiveVoters()
	known["d"], known["e"] = activeDisk("d", "2"), activeDisk("e", "2")
	for _, expected := range []struct {
		why  voterChange
		size int
	}{{voterLostDisk, 4}, {voterJoins, 5}, {voterLostDisk, 4}, {voterJoins, 5}, {noVoterChange, 0}} {
		next, why := nextDynamicVoters(voters, known["a"], known, nil, limits)
		is.Equal(why, expected.why)
		is.Equal(len(next.Members), expected.size)
		voters = next
	}
}

func TestNeverFewerThanThreeVoters(t *testing.T) {
	is := is.New(t)
	voters, known := fiveVoters()
	voters = voters.Without("d#1").Without("e#1")
	_, why := nextDynamicVoters(voters, known["a"], identities{"a": known["a"], "b": known["b"]}, unresponsivePeer("c#1", 1000), testLimits)
	is.Equal(why, noVoterChange)
}

// Guards against a second site: a seed loses its disk and restarts while it is
// partitioned from the others. An empty seed must not found a site then.
func TestEmptySeedJoinsAndNeverFounds(t *testing.T) {
	is := is.New(t)
	empty := Identity{Site: "s", Node: "a", Disk: "2", Phase: datafolder.PhaseEmpty}
	is.Equal(nextStep(empty, founders{}, nil, identities{}).kind, stepWait)
	others := identities{"b": {Site: "s", Node: "b", Disk: "1", Phase: datafolder.PhaseEmpty}}
	is.Equal(nextStep(empty, founders{}, nil, others).kind, stepWait)
	others["c"] = activeDisk("c", "1")
	is.Equal(nextStep(empty, founders{}, nil, others).kind, stepJoin)
}
