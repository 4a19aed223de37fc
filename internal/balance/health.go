package balance

import (
	"math"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Options configures the choice and the ejection of instances. Zero values take
// the defaults.
type Options struct {
	// SlowStart is how long a new instance gets less than its full share of
	// requests.
	SlowStart time.Duration
	// EjectFailures is the number of failures in a row from which an instance
	// may be ejected.
	EjectFailures int
	// EjectBase is how long the first ejection lasts; each further one lasts
	// twice as long, up to EjectMax.
	EjectBase time.Duration
	EjectMax  time.Duration
	// NoEjectionCap allows more than a third of the instances to be ejected; only
	// for tests of this cap.
	NoEjectionCap bool
	// IgnoreOthers ignores the failures of the other instances; only for tests.
	IgnoreOthers bool
}

// Defaults of Options.
const (
	DefaultSlowStart     = 10 * time.Second
	DefaultEjectFailures = 5
	DefaultEjectBase     = 5 * time.Second
	DefaultEjectMax      = 5 * time.Minute
)

const (
	// minRamp bounds how much the load of a new instance is reduced.
	minRamp = 0.1
	// At most one in instancesPerEjection instances is ejected.
	instancesPerEjection = 3
	// maxChance is the probability below which a series of failures is not
	// considered chance, given how often the other instances fail.
	maxChance = 1e-4
	// outcomeHalfLife is the interval at which the counts of outcomes are
	// halved.
	outcomeHalfLife = 10 * time.Second
	// busyBase and busyMax bound the backoff from a busy instance.
	busyBase = 20 * time.Millisecond
	busyMax  = time.Second
	// ejectionMemory is how long an instance must answer until its earlier
	// ejections no longer lengthen the next one.
	ejectionMemory = 5 * time.Minute
)

func (o Options) withDefaults() Options {
	if o.SlowStart <= 0 {
		o.SlowStart = DefaultSlowStart
	}
	if o.EjectFailures <= 0 {
		o.EjectFailures = DefaultEjectFailures
	}
	if o.EjectBase <= 0 {
		o.EjectBase = DefaultEjectBase
	}
	if o.EjectMax <= 0 {
		o.EjectMax = DefaultEjectMax
	}
	return o
}

// health is the state of one instance that an entry VM derives from the
// outcomes of its requests there.
type health struct {
	joinedAt model.Instant
	// failuresInRow counts the failures since the last answer.
	failuresInRow int
	ejected       bool
	// probeAt is when one request may probe an ejected instance.
	probeAt model.Instant
	probing bool
	// ejectionCount lengthens the next ejection; readmittedAt is when the last
	// one ended.
	ejectionCount int
	readmittedAt  model.Instant
	busyUntil     model.Instant
	busyInRow     int
	// epoch increases with each ejection and readmission: the outcome of a
	// request that was sent before reveals nothing about the instance after it.
	epoch int
}

// outcomeCounts counts outcomes, halved every outcomeHalfLife.
type outcomeCounts struct {
	good, bad float64
	halvedAt  model.Instant
}

func (t *outcomeCounts) add(failed bool, now model.Instant) {
	for now.Sub(t.halvedAt) >= outcomeHalfLife {
		if t.good+t.bad < 0.01 {
			t.halvedAt = now
			break
		}
		t.good /= 2
		t.bad /= 2
		t.halvedAt = t.halvedAt.Add(outcomeHalfLife)
	}
	if failed {
		t.bad++
		return
	}
	t.good++
}

// recordOutcome updates the health of an instance with an outcome.
func (s *Set) recordOutcome(u Use, o Outcome, now model.Instant) {
	h := &u.Instance.health
	if u.probe && u.epoch == h.epoch {
		h.probing = false
	}
	if u.epoch != h.epoch || o == Abandoned {
		return
	}
	switch o {
	case Busy:
		h.busyUntil = now.Add(min(busyBase<<min(h.busyInRow, 10), busyMax))
		h.busyInRow++
		return
	case Answered:
		h.failuresInRow, h.busyInRow = 0, 0
		s.countOutcome(u.Instance, false, now)
		if h.ejected {
			s.readmit(u.Instance)
			h.joinedAt, h.readmittedAt = now, now
		} else if h.ejectionCount > 0 && now.Sub(h.readmittedAt) > ejectionMemory {
			h.ejectionCount = 0
		}
	case Failed:
		h.failuresInRow++
		s.countOutcome(u.Instance, true, now)
		if h.ejected || s.isOutlier(u.Instance) {
			s.eject(u.Instance, now)
		}
	}
}

func (s *Set) countOutcome(i *Instance, failed bool, now model.Instant) {
	i.outcomes.add(failed, now)
	s.outcomes.add(failed, now)
}

// isOutlier reports whether the failures in a row at i are more than chance,
// given how often the other instances fail. A caller whose requests fail
// everywhere makes all instances look unhealthy; the comparison shows that this
// instance is not the cause.
func (s *Set) isOutlier(i *Instance) bool {
	if i.health.failuresInRow < s.options.EjectFailures {
		return false
	}
	if s.options.IgnoreOthers {
		return true
	}
	good := max(0, s.outcomes.good-i.outcomes.good)
	bad := max(0, s.outcomes.bad-i.outcomes.bad)
	if good+bad < float64(s.options.EjectFailures) {
		return false
	}
	failureRate := (bad + 1) / (good + bad + 2)
	return math.Pow(failureRate, float64(i.health.failuresInRow)) < maxChance
}

// eject ejects an instance, or extends its ejection, for a growing time.
func (s *Set) eject(i *Instance, now model.Instant) {
	h := &i.health
	if !h.ejected {
		if s.ejected >= s.maxEjected() {
			return
		}
		h.ejected = true
		s.ejected++
	}
	h.probeAt = now.Add(min(s.options.EjectBase<<min(h.ejectionCount, 16), s.options.EjectMax))
	h.ejectionCount++
	h.epoch++
	h.probing = false
}

// readmit ends the ejection of an instance.
func (s *Set) readmit(i *Instance) {
	if !i.health.ejected {
		return
	}
	i.health.ejected = false
	i.health.failuresInRow = 0
	i.health.epoch++
	s.ejected--
}

func (s *Set) maxEjected() int {
	if s.options.NoEjectionCap {
		return len(s.byID)
	}
	return len(s.listed) / instancesPerEjection
}

// enforceEjectionCap readmits the instances whose probe is due first if the
// list became so short that more than a third of it would be ejected.
func (s *Set) enforceEjectionCap(now model.Instant) {
	for s.ejected > s.maxEjected() {
		var first *Instance
		for _, i := range s.listed {
			if i.health.ejected && (first == nil || i.health.probeAt < first.health.probeAt) {
				first = i
			}
		}
		if first == nil {
			return
		}
		s.readmit(first)
		first.health.joinedAt = now
	}
}

// pickProbe returns an ejected instance whose ejection time has passed, for one
// request at a time. Urgent requests probe only when no other instance is
// available.
func (s *Set) pickProbe(p Preference, other bool, now model.Instant) *Instance {
	if s.ejected == 0 || (p.Priority == model.Urgent && other) {
		return nil
	}
	for _, i := range s.listed {
		h := &i.health
		if h.ejected && !h.probing && now >= h.probeAt && i.hasFreeSlot(p) {
			return i
		}
	}
	return nil
}

// Ejected returns the instances that are ejected now.
func (s *Set) Ejected() []model.InstanceID {
	var out []model.InstanceID
	for _, i := range s.listed {
		if i.health.ejected {
			out = append(out, i.Upstream.Instance)
		}
	}
	return out
}
