package replica

import (
	"testing"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/datafolder"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/quorum"
)

var testLimits = unresponsiveLimits{replace: 30, remove: 100}

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
