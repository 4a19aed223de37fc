package replica

import (
	"testing"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/datafolder"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/quorum"
)

var growingLimits = silenceLimits{replace: 30, remove: 100}

func activeDisk(node model.NodeID, disk string) Identity {
	return Identity{Site: "s", Node: node, Disk: disk, Phase: datafolder.PhaseActive, Founding: datafolder.Founding{ID: "f"}}
}

// growingSite has voters a to e with disk 1, led by a.
func growingSite() (quorum.Voters, answers) {
	known, voters := answers{}, quorum.Voters{}
	for _, node := range []model.NodeID{"a", "b", "c", "d", "e"} {
		known[node] = activeDisk(node, "1")
		voters.Members = append(voters.Members, known[node].Voter())
	}
	return voters, known
}

func silent(id quorum.ID, ticks uint64) []quorum.PeerStatus {
	return []quorum.PeerStatus{{ID: id, UnresponsiveTicks: ticks}, {ID: "b#1", UnresponsiveTicks: 1}}
}

func TestNewcomerVotes(t *testing.T) {
	is := is.New(t)
	voters, known := growingSite()
	_, changed := nextGrowing(voters, known["a"], known, nil, growingLimits)
	is.True(!changed)
	known["f"] = activeDisk("f", "1")
	next, _ := nextGrowing(voters, known["a"], known, nil, growingLimits)
	is.True(next.Has("f#1"))
	known["f"] = Identity{Site: "s", Node: "f", Disk: "1", Phase: datafolder.PhaseEmpty}
	_, changed = nextGrowing(voters, known["a"], known, nil, growingLimits)
	is.True(!changed) // an empty disk has not joined yet
}

// Symptom: the site stops though most core VMs run. Sequence: two VMs are
// replaced by newcomers at other addresses, then two more fail. Cause: the
// voters that are gone for good still counted.
func TestASilentVoterMakesRoom(t *testing.T) {
	is := is.New(t)
	voters, known := growingSite()
	delete(known, "e")
	known["f"] = activeDisk("f", "1")
	next, _ := nextGrowing(voters, known["a"], known, silent("e#1", 40), growingLimits)
	is.True(!next.Has("e#1"))
	is.Equal(len(next.Members), 4)
	next, _ = nextGrowing(next, known["a"], known, nil, growingLimits)
	is.True(next.Has("f#1"))

	delete(known, "f")
	_, changed := nextGrowing(voters, known["a"], known, silent("e#1", 40), growingLimits)
	is.True(!changed) // nobody waits: it may come back
	next, _ = nextGrowing(voters, known["a"], known, silent("e#1", 100), growingLimits)
	is.True(!next.Has("e#1"))
}

func TestALostDiskLeavesBeforeItReturns(t *testing.T) {
	is := is.New(t)
	voters, known := growingSite()
	known["c"] = activeDisk("c", "2")
	next, _ := nextGrowing(voters, known["a"], known, nil, growingLimits)
	is.True(!next.Has("c#1"))
	is.True(!next.Has("c#2"))
	next, _ = nextGrowing(next, known["a"], known, nil, growingLimits)
	is.True(next.Has("c#2"))
}

func TestThreeVotersStay(t *testing.T) {
	is := is.New(t)
	voters, known := growingSite()
	voters = voters.Without("d#1").Without("e#1")
	_, changed := nextGrowing(voters, known["a"], answers{"a": known["a"], "b": known["b"]}, silent("c#1", 1000), growingLimits)
	is.True(!changed)
}

// Symptom: two sites where there was one. Sequence: a seed loses its disk and
// starts again while the others are cut off from it. Cause: an empty seed that
// founds.
func TestAnEmptySeedOnlyJoinsAfterTheFirstStart(t *testing.T) {
	is := is.New(t)
	empty := Identity{Site: "s", Node: "a", Disk: "2", Phase: datafolder.PhaseEmpty}
	is.Equal(decide(empty, nil, nil, answers{}).kind, stepWait)
	others := answers{"b": {Site: "s", Node: "b", Disk: "1", Phase: datafolder.PhaseEmpty}}
	is.Equal(decide(empty, nil, nil, others).kind, stepWait)
	others["c"] = activeDisk("c", "1")
	is.Equal(decide(empty, nil, nil, others).kind, stepJoin)
}
