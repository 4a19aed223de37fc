package balance

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Outcome is how an attempt at an instance ended.
type Outcome uint8

const (
	// Answered: the instance sent a complete response with a status below 500.
	Answered Outcome = iota + 1
	// Busy: the instance refused for lack of capacity; the request did not run.
	Busy
	// Failed: a connection error, truncated response, timeout or status 5xx.
	Failed
	// Abandoned: the caller disconnected, which reveals nothing about the
	// instance.
	Abandoned
)

// Set holds the instances of one service as one entry VM sees them.
type Set struct {
	options Options
	zone    model.ZoneID
	random  func(n int) int
	byID    map[model.InstanceID]*Instance
	// listed are the announced instances by ID. The others in byID only finish
	// their requests.
	listed   []*Instance
	ejected  int
	inUse    int
	outcomes outcomeCounts
}

// Instance is one upstream with the load and health that this entry VM
// observed.
type Instance struct {
	Upstream model.Upstream
	// Allowed is how many slots this entry VM may use now; Own of them are not
	// on loan.
	Allowed int
	Own     int
	// InUse is how many slots it uses. It exceeds Allowed for a while after
	// Allowed was lowered, because running requests are never cut off.
	InUse    int
	listed   bool
	health   health
	outcomes outcomeCounts
}

// Use is one slot in use at an instance.
type Use struct {
	// Instance may only be read under the lock of the set's owner; Upstream is
	// what was announced when the slot was taken and may be read without it.
	Instance *Instance
	Upstream model.Upstream
	Started  model.Instant
	probe    bool
	epoch    int
}

// New returns an empty set for an entry VM in zone. Random returns a number in
// 0..n-1.
func New(o Options, zone model.ZoneID, random func(n int) int) *Set {
	return &Set{options: o.withDefaults(), zone: zone, random: random, byID: map[model.InstanceID]*Instance{}}
}

// Update replaces the announced instances with list. Instances that are no
// longer listed get no new requests; their running requests finish.
func (s *Set) Update(list []model.Upstream, now model.Instant) {
	for _, i := range s.listed {
		i.listed = false
	}
	s.listed = s.listed[:0]
	for _, u := range list {
		s.listed = append(s.listed, s.addListed(u, now))
	}
	slices.SortFunc(s.listed, func(a, b *Instance) int { return cmp.Compare(a.Upstream.Instance, b.Upstream.Instance) })
	for id, i := range s.byID {
		if !i.listed {
			s.readmit(i)
		}
		if !i.listed && i.InUse == 0 {
			delete(s.byID, id)
		}
	}
	s.enforceEjectionCap(now)
}

func (s *Set) addListed(u model.Upstream, now model.Instant) *Instance {
	i := s.byID[u.Instance]
	if i == nil {
		i = &Instance{health: health{joinedAt: now}}
		s.byID[u.Instance] = i
	}
	if i.Upstream.Incarnation != u.Incarnation {
		// A restarted instance starts with a clean record: requests to its
		// previous incarnation reveal nothing about it.
		s.readmit(i)
		i.health = health{joinedAt: now, epoch: i.health.epoch + 1}
		i.outcomes = outcomeCounts{}
	}
	i.Upstream = u
	i.listed = true
	return i
}

// Listed returns the announced instances by ID. The slice must not be changed.
func (s *Set) Listed() []*Instance { return s.listed }

// Get returns an instance that is listed or still in use, or nil.
func (s *Set) Get(id model.InstanceID) *Instance { return s.byID[id] }

// InUse returns the number of slots in use at all instances.
func (s *Set) InUse() int { return s.inUse }

// Preference is what a request prefers or requires of the chosen instance.
type Preference struct {
	// Avoid is an instance not to choose unless it is the only one listed;
	// empty for none.
	Avoid    model.InstanceID
	Priority model.Priority
	// OwnOnly excludes slots that are on loan.
	OwnOnly bool
}

// Pick takes a slot at the best instance, or reports that none has a free one.
// It compares two instances chosen at random and falls back to all of them.
func (s *Set) Pick(p Preference, now model.Instant) (Use, bool) {
	if len(s.listed) == 1 {
		p.Avoid = ""
	}
	best := s.pickTwo(p, now)
	if best == nil {
		best = s.pickAny(p, now)
	}
	if probe := s.pickProbe(p, best != nil, now); probe != nil {
		best = probe
	}
	if best == nil {
		return Use{}, false
	}
	return s.takeSlot(best, now), true
}

func (s *Set) takeSlot(i *Instance, now model.Instant) Use {
	i.InUse++
	s.inUse++
	probe := i.health.ejected
	i.health.probing = i.health.probing || probe
	return Use{Instance: i, Upstream: i.Upstream, Started: now, probe: probe, epoch: i.health.epoch}
}

func (s *Set) pickTwo(p Preference, now model.Instant) *Instance {
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
	if !s.usable(a, p, now) || !s.usable(b, p, now) {
		return nil
	}
	return s.better(a, b, now)
}

func (s *Set) pickAny(p Preference, now model.Instant) *Instance {
	n := len(s.listed)
	if n == 0 {
		return nil
	}
	var best *Instance
	offset := s.random(n)
	for k := range n {
		i := s.listed[(offset+k)%n]
		if s.usable(i, p, now) {
			best = s.better(best, i, now)
		}
	}
	return best
}

func (s *Set) usable(i *Instance, p Preference, now model.Instant) bool {
	return i.hasFreeSlot(p) && !s.Unavailable(i, now)
}

// hasFreeSlot reports whether the instance has a free slot that satisfies the
// preference.
func (i *Instance) hasFreeSlot(p Preference) bool {
	limit := i.Allowed
	if p.OwnOnly {
		limit = i.Own
	}
	return i.InUse < limit && i.Upstream.Instance != p.Avoid
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

// load is the share of allowed slots in use with one more request. It is higher
// during the slow start of a new instance, whose caches are cold.
func (s *Set) load(i *Instance, now model.Instant) float64 {
	age := now.Sub(i.health.joinedAt)
	ramp := 1.0
	if age < s.options.SlowStart {
		ramp = max(minRamp, float64(age)/float64(s.options.SlowStart))
	}
	return float64(i.InUse+1) / (float64(i.Allowed) * ramp)
}

// Done releases a slot and records the outcome.
func (s *Set) Done(u Use, o Outcome, now model.Instant) {
	i := u.Instance
	i.InUse--
	s.inUse--
	s.recordOutcome(u, o, now)
	if !i.listed && i.InUse == 0 && s.byID[i.Upstream.Instance] == i {
		delete(s.byID, i.Upstream.Instance)
	}
}

// FreeSlots returns the number of slots that Pick could take at an instance now.
func (s *Set) FreeSlots(i *Instance, now model.Instant) int {
	if !i.listed || !s.usable(i, Preference{}, now) {
		return 0
	}
	return i.Allowed - i.InUse
}

// Unavailable reports whether an instance is ejected or busy.
func (s *Set) Unavailable(i *Instance, now model.Instant) bool {
	return i.health.ejected || now < i.health.busyUntil
}

// TotalFreeSlots returns the number of slots that Pick could take now.
func (s *Set) TotalFreeSlots(now model.Instant) int {
	free := 0
	for _, i := range s.listed {
		free += s.FreeSlots(i, now)
	}
	return free
}

// Check returns the invariants that are violated, if any.
func (s *Set) Check() []string {
	var violations []string
	sum, ejected := 0, 0
	for id, i := range s.byID {
		sum += i.InUse
		if i.InUse < 0 {
			violations = append(violations, fmt.Sprintf("instance %s has %d slots in use", id, i.InUse))
		}
		if i.health.ejected {
			ejected++
		}
	}
	if sum != s.inUse {
		violations = append(violations, fmt.Sprintf("%d slots in use, but the instances have %d", s.inUse, sum))
	}
	if ejected != s.ejected || ejected > s.maxEjected() {
		violations = append(violations, fmt.Sprintf("%d instances ejected of %d", ejected, len(s.listed)))
	}
	return violations
}
