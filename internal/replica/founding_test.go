package replica

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/comfreyloom/comfreyloom/internal/datafolder"
	"github.com/comfreyloom/comfreyloom/internal/datafolder/fakedisk"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/quorum"
)

// foundingSite is voters on their way into a site, without goroutines: a
// round of questions is drawn out over several steps, so that answers are old
// when they are acted upon.
type foundingSite struct {
	random  *rand.Rand
	members []model.NodeID
	disks   map[model.NodeID]*fakedisk.Disk
	folders map[model.NodeID]*datafolder.Folder
	before  map[model.NodeID]answers
	now     map[model.NodeID]answers
	// everActive holds the voters that were active, by founding.
	everActive map[string]map[quorum.ID]bool
	founded    map[string]quorum.Voters
	// committed says that a quorum of the founding was active at one time,
	// givenUp that a disk took another identity to leave it.
	committed map[string]bool
	givenUp   map[string]bool
}

func newFoundingSite(seed uint64) *foundingSite {
	s := &foundingSite{
		random:  rand.New(rand.NewPCG(seed, 3)),
		members: []model.NodeID{"a", "b", "c"},
		disks:   map[model.NodeID]*fakedisk.Disk{}, folders: map[model.NodeID]*datafolder.Folder{},
		before: map[model.NodeID]answers{}, now: map[model.NodeID]answers{},
		everActive: map[string]map[quorum.ID]bool{}, founded: map[string]quorum.Voters{},
		committed: map[string]bool{}, givenUp: map[string]bool{},
	}
	for _, node := range s.members {
		s.loseDisk(node)
	}
	return s
}

func (s *foundingSite) open(node model.NodeID) error {
	s.before[node], s.now[node] = nil, answers{}
	folder, err := datafolder.Open(datafolder.Options{Path: "/data", Site: "s", Node: node, Disk: s.disks[node]})
	s.folders[node] = folder
	return err
}

func (s *foundingSite) loseDisk(node model.NodeID) {
	s.disks[node] = fakedisk.New()
	if err := s.open(node); err != nil {
		panic(err)
	}
}

// ask lets one voter hear one other.
func (s *foundingSite) ask(node, other model.NodeID) {
	if node != other {
		s.now[node][other] = s.folders[other].Identity()
	}
}

func (s *foundingSite) askAll(node model.NodeID) {
	for _, other := range s.members {
		s.ask(node, other)
	}
}

// act ends a round of questions; the machine may crash within the step.
func (s *foundingSite) act(node model.NodeID, crash int) error {
	disk, folder := s.disks[node], s.folders[node]
	disk.SetFault(crashAt(disk.Ops() + crash))
	r := &Replica{config: Config{Self: node}, folder: folder, counters: newCounters(nil)}
	r.config.completeEnvironment()
	r.config.Log = quiet
	next := decide(folder.Identity(), s.members, s.before[node], s.now[node])
	s.before[node], s.now[node] = s.now[node], answers{}
	if next.kind == stepRenew {
		s.givenUp[folder.Identity().Founding.ID] = true
	}
	if next.kind != stepWait {
		s.before[node] = nil
	}
	if err := r.take(next, nil); err != nil {
		s.disks[node] = disk.Reboot(s.random)
		return s.open(node)
	}
	return nil
}

// check asserts what no sequence of events may break.
func (s *foundingSite) check() error {
	activeNow := map[string]map[quorum.ID]bool{}
	for _, node := range s.members {
		id := s.folders[node].Identity()
		if len(id.Founding.Voters.Members) > 0 {
			s.founded[id.Founding.ID] = id.Founding.Voters
		}
		if id.Phase != datafolder.PhaseActive {
			continue
		}
		if s.everActive[id.Founding.ID] == nil {
			s.everActive[id.Founding.ID] = map[quorum.ID]bool{}
		}
		if activeNow[id.Founding.ID] == nil {
			activeNow[id.Founding.ID] = map[quorum.ID]bool{}
		}
		s.everActive[id.Founding.ID][id.Voter()] = true
		activeNow[id.Founding.ID][id.Voter()] = true
	}
	for founding, active := range activeNow {
		s.committed[founding] = s.committed[founding] || s.couldCommit(founding, active)
		if s.committed[founding] && s.givenUp[founding] {
			return fmt.Errorf("a disk gave up founding %s, under which entries may be committed", founding)
		}
	}
	for founding, active := range s.everActive {
		for other := range s.everActive {
			if founding != other && s.couldCommit(founding, active) && s.couldCommit(other, s.everActive[other]) {
				return fmt.Errorf("two foundings could commit: %v", s.everActive)
			}
		}
	}
	return nil
}

// couldCommit says whether a quorum of the founding's disks was ever active.
func (s *foundingSite) couldCommit(founding string, active map[quorum.ID]bool) bool {
	n := 0
	for _, id := range s.founded[founding].Members {
		if active[id] {
			n++
		}
	}
	return n >= s.founded[founding].Quorum()
}

func (s *foundingSite) settle() bool {
	for range 40 {
		for _, node := range s.members {
			s.askAll(node)
			if s.act(node, 0) != nil {
				return false
			}
		}
	}
	active := func(node model.NodeID) bool { return s.folders[node].Identity().Phase == datafolder.PhaseActive }
	same := func(node model.NodeID) bool {
		return s.folders[node].Identity().Founding.ID == s.folders["a"].Identity().Founding.ID
	}
	return !slices.ContainsFunc(s.members, func(n model.NodeID) bool { return !active(n) || !same(n) })
}

// Symptom: after an installation two halves of the voters accept different
// manifests, or the site never comes up.
// Sequence: voters start in any order and crash within any step of the
// founding; answers arrive late; the founder or another voter loses its disk
// before the site has come to life.
// Cause: a voter took part in two foundings, or founded on old answers.
func TestFoundingIsOnlyOne(t *testing.T) {
	stuck, runs := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := newFoundingSite(rapid.Uint64().Draw(t, "seed"))
		node := rapid.SampledFrom(s.members)
		// A third loss may take the last disk that knows the site; founding
		// anew is right then.
		losses := rapid.SliceOfN(rapid.IntRange(0, 60), 0, 2).Draw(t, "losses")
		for i := range 80 {
			n := node.Draw(t, "node")
			if slices.Contains(losses, i) {
				s.loseDisk(n)
			}
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0, 1:
				s.askAll(n)
			case 2, 3, 4:
				if err := s.act(n, rapid.IntRange(0, 6).Draw(t, "crash")); err != nil {
					t.Fatal(err)
				}
			default:
				s.ask(n, node.Draw(t, "other"))
			}
			if err := s.check(); err != nil {
				t.Fatal(err)
			}
		}
		runs++
		if !s.settle() {
			if len(losses) == 0 {
				t.Fatal("the site did not come up although no disk was lost")
			}
			stuck++
		}
		if err := s.check(); err != nil {
			t.Fatal(err)
		}
	})
	// A disk lost within the founding may leave the site to the operator;
	// founding.go says when.
	t.Logf("%d of %d runs, with up to 2 disks lost while founding, were left to the operator", stuck, runs)
	if stuck*10 > runs {
		t.Fatalf("%d of %d runs never came up", stuck, runs)
	}
}

// Symptom: a committed change is stranded, as the disks that hold it are no
// longer a quorum of the voters that they know.
// Sequence: as in TestFoundingIsOnlyOne, here by hand.
// Cause: a disk became active, or gave its founding up, too early.
func TestAdoptedDiskWaits(t *testing.T) {
	is := is.New(t)
	founding := datafolder.NewFounding([]quorum.ID{"a#1", "b#1", "c#1"})
	disk := func(node model.NodeID, disk string, phase datafolder.Phase) Identity {
		return Identity{Node: node, Disk: disk, Phase: phase, Founding: founding}
	}
	self := disk("b", "1", datafolder.PhaseAdopted)
	lost := answers{"a": Identity{Node: "a", Disk: "2", Phase: datafolder.PhaseEmpty}, "c": disk("c", "1", datafolder.PhaseAdopted)}
	one := answers{"a": disk("a", "1", datafolder.PhaseAdopted)}
	is.Equal(decide(self, nil, nil, one).kind, stepWait)    // c may still adopt another
	is.Equal(decide(self, nil, nil, lost).kind, stepWait)   // c was asked before a was known as lost
	is.Equal(decide(self, nil, lost, one).kind, stepWait)   // c did not answer
	is.Equal(decide(self, nil, lost, lost).kind, stepRenew) // a is lost, and c was not active afterwards
	lost["c"] = disk("c", "1", datafolder.PhaseActive)
	is.Equal(decide(self, nil, lost, lost).kind, stepActivate) // c is: the founding lives
}

func TestVotersFollowDisks(t *testing.T) {
	is := is.New(t)
	active := func(node model.NodeID, disk string) Identity {
		return Identity{Node: node, Disk: disk, Phase: datafolder.PhaseActive, Founding: datafolder.Founding{ID: "f"}}
	}
	members := []model.NodeID{"a", "b", "c"}
	known := answers{"a": active("a", "1"), "b": active("b", "2"), "c": active("c", "1")}
	voters := quorum.Voters{Members: []quorum.ID{"a#1", "b#1", "c#1"}}
	next, ok := nextVoters(voters, known["a"], members, known)
	is.True(ok)
	is.Equal(next.Members, []quorum.ID{"a#1", "c#1"}) // the old disk leaves first
	next, ok = nextVoters(next, known["a"], members, known)
	is.True(ok)
	is.Equal(next.Members, []quorum.ID{"a#1", "b#2", "c#1"}) // then the new one comes
	_, ok = nextVoters(next, known["a"], members, known)
	is.True(!ok)
	known["c"] = Identity{Node: "c", Disk: "9", Phase: datafolder.PhaseEmpty}
	_, ok = nextVoters(next, known["a"], members, known)
	is.True(!ok) // a disk that is not ready changes nothing
	foreign := active("c", "9")
	foreign.Founding.ID = "other"
	known["c"] = foreign
	_, ok = nextVoters(next, known["a"], members, known)
	is.True(!ok) // nor one of another founding
	delete(known, "c")
	_, ok = nextVoters(next, known["a"], []model.NodeID{"a", "b", "x"}, known)
	is.True(!ok) // a node that never comes takes nobody's place
	next, ok = nextVoters(next, known["a"], []model.NodeID{"a", "b"}, known)
	is.True(ok)
	is.Equal(next.Members, []quorum.ID{"a#1", "b#2"}) // a node that left the settings leaves
}
