package balance

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Outcome says how an attempt at an instance ended.
type Outcome uint8

const (
	// Answered: the instance gave a whole answer, whatever its status below 500.
	Answered Outcome = iota + 1
	// Busy: the instance refused for lack of capacity; the request did not run.
	Busy
	// Failed: a connection error, truncated answer, timeout or status 5xx.
	Failed
	// Abandoned: the caller went away; says nothing about the instance.
	Abandoned
)

// Set is the instances of one service as one entry VM sees them.
type Set struct {
	options Options
	zone    model.ZoneID
	random  func(n int) int
	byID    map[model.InstanceID]*Instance
	// listed are the announced instances by ID; the others only finish.
	listed  []*Instance
	ejected int
	inUse   int
	all     tally
}

// Instance is one upstream with what this entry VM knows of it.
type Instance struct {
	Upstream model.Upstream
	// Allowed is how many slots this entry VM may use now; Own of them are not
	// on loan.
	Allowed int
	Own     int
	// InUse is how many it uses; it exceeds Allowed for a while after Allowed
	// was lowered, because running requests are never cut off.
	InUse  int
	listed bool
	health health
	seen   tally
}

// Use is one slot in use at an instance.
type Use struct {
	// Instance may be read under the lock of the set's owner only; Upstream is
	// what was announced when the slot was taken and may be read anywhere.
	Instance *Instance
	Upstream model.Upstream
	Started  model.Instant
	probe    bool
	epoch    int
}

// New returns an empty set for an entry VM in zone. Random returns a number
// in 0..n-1.
func New(o Options, zone model.ZoneID, random func(n int) int) *Set {
	return &Set{options: o.withDefaults(), zone: zone, random: random, byID: map[model.InstanceID]*Instance{}}
}

// Update makes list the announced instances. Instances that are gone get no
// new work; their running requests finish.
func (s *Set) Update(list []model.Upstream, now model.Instant) {
	for _, i := range s.listed {
		i.listed = false
	}
	s.listed = s.listed[:0]
	for _, u := range list {
		s.listed = append(s.listed, s.list(u, now))
	}
	slices.SortFunc(s.listed, func(a, b *Instance) int { return cmp.Compare(a.Upstream.Instance, b.Upstream.Instance) })
	for id, i := range s.byID {
		if !i.listed {
			s.admit(i)
		}
		if !i.listed && i.InUse == 0 {
			delete(s.byID, id)
		}
	}
	s.enforceCap(now)
}

func (s *Set) list(u model.Upstream, now model.Instant) *Instance {
	i := s.byID[u.Instance]
	if i == nil {
		i = &Instance{health: health{joined: now}}
		s.byID[u.Instance] = i
	}
	if i.Upstream.Incarnation != u.Incarnation {
		// A restarted instance starts with a clean record; what ran at the one
		// before says nothing about it.
		s.admit(i)
		i.health = health{joined: now, epoch: i.health.epoch + 1}
		i.seen = tally{}
	}
	i.Upstream = u
	i.listed = true
	return i
}

// Listed returns the announced instances by ID. The slice must not be changed.
func (s *Set) Listed() []*Instance { return s.listed }

// Get returns an instance that is listed or still in use, or nil.
func (s *Set) Get(id model.InstanceID) *Instance { return s.byID[id] }

// InUse is the number of slots in use at all instances.
func (s *Set) InUse() int { return s.inUse }

// Wish is what a request asks of the choice.
type Wish struct {
	// Avoid is an instance that is not wanted; empty for none.
	Avoid    model.InstanceID
	Priority model.Priority
	// OwnOnly keeps the request off slots that are on loan.
	OwnOnly bool
}

// Pick takes a slot at the best instance, or reports that none has one. It
// compares two instances chosen at random and falls back to all of them.
func (s *Set) Pick(w Wish, now model.Instant) (Use, bool) {
	if len(s.listed) == 1 {
		w.Avoid = ""
	}
	best := s.pickTwo(w, now)
	if best == nil {
		best = s.pickAny(w, now)
	}
	if probe := s.pickProbe(w, best != nil, now); probe != nil {
		best = probe
	}
	if best == nil {
		return Use{}, false
	}
	return s.use(best, now), true
}

func (s *Set) use(i *Instance, now model.Instant) Use {
	i.InUse++
	s.inUse++
	probe := i.health.ejected
	i.health.probing = i.health.probing || probe
	return Use{Instance: i, Upstream: i.Upstream, Started: now, probe: probe, epoch: i.health.epoch}
}

func (s *Set) pickTwo(w Wish, now model.Instant) *Instance {
	n := len(s.listed)
	if n < 2 {
		return nil
	}
	first := s.random(n)
	second := s.random(n - 1)
	if second >= first {
		second++
	}
	a, b := s.listed[first], s.listed[second]
	if !s.usable(a, w, now) || !s.usable(b, w, now) {
		return nil
	}
	return s.better(a, b, now)
}

func (s *Set) pickAny(w Wish, now model.Instant) *Instance {
	n := len(s.listed)
	if n == 0 {
		return nil
	}
	var best *Instance
	offset := s.random(n)
	for k := range n {
		i := s.listed[(offset+k)%n]
		if s.usable(i, w, now) {
			best = s.better(best, i, now)
		}
	}
	return best
}

func (s *Set) usable(i *Instance, w Wish, now model.Instant) bool {
	return i.free(w) && !s.Rests(i, now)
}

// free reports whether the instance has a slot that suits the wish.
func (i *Instance) free(w Wish) bool {
	limit := i.Allowed
	if w.OwnOnly {
		limit = i.Own
	}
	return i.InUse < limit && i.Upstream.Instance != w.Avoid
}

// better returns the less loaded instance; on equal load the one in this
// availability zone, else a.
func (s *Set) better(a, b *Instance, now model.Instant) *Instance {
	if a == nil {
		return b
	}
	loadA, loadB := s.load(a, now), s.load(b, now)
	switch {
	case loadB < loadA:
		return b
	case loadA == loadB && b.Upstream.Zone == s.zone && a.Upstream.Zone != s.zone:
		return b
	default:
		return a
	}
}

// load is the share of allowed slots in use with one more request. It counts
// higher in the slow start of a new instance, whose caches are cold.
func (s *Set) load(i *Instance, now model.Instant) float64 {
	age := now.Sub(i.health.joined)
	ramp := 1.0
	if age < s.options.SlowStart {
		ramp = max(minRamp, float64(age)/float64(s.options.SlowStart))
	}
	return float64(i.InUse+1) / (float64(i.Allowed) * ramp)
}

// Done gives a slot back.
func (s *Set) Done(u Use, o Outcome, now model.Instant) {
	i := u.Instance
	i.InUse--
	s.inUse--
	s.judge(u, o, now)
	if !i.listed && i.InUse == 0 && s.byID[i.Upstream.Instance] == i {
		delete(s.byID, i.Upstream.Instance)
	}
}

// Idle is the number of slots at an instance that Pick could hand out now.
func (s *Set) Idle(i *Instance, now model.Instant) int {
	if !i.listed || !s.usable(i, Wish{}, now) {
		return 0
	}
	return i.Allowed - i.InUse
}

// Rests reports whether an instance is ejected or busy.
func (s *Set) Rests(i *Instance, now model.Instant) bool {
	return i.health.ejected || now < i.health.busyUntil
}

// Free is the number of slots that Pick could hand out now.
func (s *Set) Free(now model.Instant) int {
	free := 0
	for _, i := range s.listed {
		free += s.Idle(i, now)
	}
	return free
}

// Check returns the invariants that are broken; none when all is well.
func (s *Set) Check() []string {
	var broken []string
	sum, ejected := 0, 0
	for id, i := range s.byID {
		sum += i.InUse
		if i.InUse < 0 {
			broken = append(broken, fmt.Sprintf("instance %s has %d slots in use", id, i.InUse))
		}
		if i.health.ejected {
			ejected++
		}
	}
	if sum != s.inUse {
		broken = append(broken, fmt.Sprintf("%d slots in use, but the instances have %d", s.inUse, sum))
	}
	if ejected != s.ejected || ejected > s.maxEjected() {
		broken = append(broken, fmt.Sprintf("%d instances ejected of %d", ejected, len(s.listed)))
	}
	return broken
}
