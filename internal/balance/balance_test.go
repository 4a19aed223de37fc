package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// seededRandom returns a random source that is the same in every run.
func seededRandom() func(n int) int {
	state := uint32(1)
	return func(n int) int {
		state = state*1664525 + 1013904223
		return int(state>>8) % n
	}
}

func setOf(n, slots int, o Options) *Set {
	s := New(o, "a", seededRandom())
	s.Update(upstreams(n), 0)
	for _, i := range s.Listed() {
		i.Allowed, i.Own = slots, slots
	}
	return s
}

func upstreams(n int) []model.Upstream {
	var list []model.Upstream
	for k := range n {
		list = append(list, model.Upstream{Instance: model.InstanceID(fmt.Sprintf("i%02d", k)), Incarnation: 1, Zone: model.ZoneID(fmt.Sprint(k % 2))})
	}
	return list
}

// serve sends requests one by one; outcome returns how each ends.
func serve(s *Set, requests int, now *model.Instant, outcome func(id model.InstanceID) Outcome) map[model.InstanceID]int {
	got := map[model.InstanceID]int{}
	for range requests {
		*now = now.Add(10 * time.Millisecond)
		use, ok := s.Pick(Preference{}, *now)
		if !ok {
			continue
		}
		id := use.Instance.Upstream.Instance
		got[id]++
		s.Done(use, outcome(id), *now)
	}
	return got
}

// An instance that fails every request must be ejected, probed and readmitted
// after it recovers. A choice that ignores earlier outcomes would fail a third
// of the requests although the other instances are healthy.
func TestFailingInstanceIsEjectedAndProbed(t *testing.T) {
	is := is.New(t)
	s := setOf(4, 8, Options{})
	now := model.Instant(0)
	bad := func(id model.InstanceID) Outcome {
		if id == "i01" {
			return Failed
		}
		return Answered
	}
	is.True(serve(s, 400, &now, bad)["i01"] <= 2*DefaultEjectFailures) // Enough outcomes of the other instances are needed to compare with.
	is.Equal(s.Ejected(), []model.InstanceID{"i01"})
	probes := serve(s, 6000, &now, bad)["i01"] // A minute: each ejection lasts twice as long as the last.
	is.True(probes >= 1 && probes <= 4)
	now = now.Add(DefaultEjectMax)
	serve(s, 100, &now, func(model.InstanceID) Outcome { return Answered })
	is.Equal(len(s.Ejected()), 0)
	is.Equal(s.Check(), nil)
}

// One caller's bad requests must not eject all instances of a service, whether
// they arrive among good ones or alone: failures are compared with those of the
// other instances, and ejections are capped. With both rules off (IgnoreOthers,
// NoEjectionCap) every instance is ejected.
func TestBadCallerEjectsNoInstance(t *testing.T) {
	is := is.New(t)
	// ejectedAt returns the most instances ejected at once when this percentage
	// of the requests fails.
	ejectedAt := func(o Options, percent int) int {
		s := setOf(9, 8, o)
		now, n, maxEjected := model.Instant(0), 0, 0
		random := seededRandom()
		for range 4000 {
			serve(s, 1, &now, func(model.InstanceID) Outcome {
				n++
				if random(100) < percent {
					return Failed
				}
				return Answered
			})
			maxEjected = max(maxEjected, len(s.Ejected()))
		}
		return maxEjected
	}
	is.Equal(ejectedAt(Options{}, 100), 0)
	is.Equal(ejectedAt(Options{}, 70), 0)
	is.True(ejectedAt(Options{IgnoreOthers: true}, 90) <= 3) // The cap works alone.
	is.Equal(ejectedAt(Options{IgnoreOthers: true, NoEjectionCap: true}, 100), 9)
}

// After any mix of requests, outcomes and changes of the list, the invariants
// hold, and no request exceeds the slots allowed at an instance or goes to the
// instance to avoid while others are listed.
func TestRandomOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 8).Draw(t, "size")
		s := setOf(size, 3, Options{})
		var uses []Use
		now := model.Instant(0)
		t.Repeat(map[string]func(*rapid.T){
			"pick": func(t *rapid.T) {
				avoid := model.InstanceID(fmt.Sprintf("i%02d", rapid.IntRange(0, 7).Draw(t, "avoid")))
				use, ok := s.Pick(Preference{Avoid: avoid, OwnOnly: rapid.Bool().Draw(t, "own")}, now)
				if !ok {
					return
				}
				i := use.Instance
				if i.InUse > i.Allowed || (i.Upstream.Instance == avoid && len(s.Listed()) > 1) {
					t.Fatalf("picked %+v", i)
				}
				uses = append(uses, use)
			},
			"done": func(t *rapid.T) {
				if len(uses) == 0 {
					return
				}
				n := rapid.IntRange(0, len(uses)-1).Draw(t, "use")
				s.Done(uses[n], rapid.SampledFrom([]Outcome{Answered, Busy, Failed, Failed, Abandoned}).Draw(t, "outcome"), now)
				uses = append(uses[:n], uses[n+1:]...)
			},
			"pass": func(t *rapid.T) { now += model.Instant(rapid.IntRange(0, 20_000).Draw(t, "ms")) },
			"list": func(t *rapid.T) {
				list := upstreams(rapid.IntRange(0, 8).Draw(t, "listed"))
				if len(list) > 0 && rapid.Bool().Draw(t, "restart") {
					list[0].Incarnation = uint64(now) + 2
				}
				s.Update(list, now)
				for _, i := range s.Listed() {
					i.Allowed = rapid.IntRange(0, 4).Draw(t, "allowed")
					i.Own = rapid.IntRange(0, i.Allowed).Draw(t, "own")
				}
			},
			"": func(t *rapid.T) {
				if violations := s.Check(); len(violations) > 0 || s.InUse() != len(uses) {
					t.Fatalf("%v, %d in use of %d", violations, s.InUse(), len(uses))
				}
			},
		})
	})
}

// The static shares of all entry VMs must add up to the limit exactly.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var nodes []model.NodeID
		for n := range rapid.IntRange(1, 20).Draw(t, "nodes") {
			nodes = append(nodes, model.NodeID(fmt.Sprint("n", n)))
		}
		limit := rapid.IntRange(0, 100).Draw(t, "limit")
		key := rapid.String().Draw(t, "key")
		sum := 0
		for _, n := range nodes {
			share := Share(limit, nodes, n, key)
			if share < limit/len(nodes) || share > limit/len(nodes)+1 {
				t.Fatalf("share %d of %d over %d", share, limit, len(nodes))
			}
			sum += share
		}
		if sum != limit {
			t.Fatalf("shares add up to %d, not %d", sum, limit)
		}
	})
}

// On equal load the instance in the same availability zone must be chosen, and a
// new instance must get few requests at first.
func TestZoneAndSlowStart(t *testing.T) {
	is := is.New(t)
	s := New(Options{}, "1", seededRandom())
	s.Update(upstreams(2), 0)
	for _, i := range s.Listed() {
		i.Allowed = 8
	}
	later := model.Instant(0).Add(DefaultSlowStart)
	first, _ := s.Pick(Preference{}, later)
	is.Equal(first.Instance.Upstream.Zone, model.ZoneID("1")) // Equal load: the instance in the same zone.
	s.Done(first, Answered, later)
	s.Update(upstreams(3), later) // i02 is new.
	s.Get("i02").Allowed = 8
	counts := map[model.InstanceID]int{}
	for range 8 {
		use, _ := s.Pick(Preference{}, later.Add(time.Second))
		counts[use.Instance.Upstream.Instance]++
	}
	is.True(counts["i02"] <= 1)
}
