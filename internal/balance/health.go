package balance

import (
	"math"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Options tune choice and ejection. Zero values take the defaults.
type Options struct {
	// SlowStart is how long a new instance gets less than its part.
	SlowStart time.Duration
	// EjectFailures is the least number of failures in a row that ejects.
	EjectFailures int
	// EjectBase is the first time out; each further one doubles, up to EjectMax.
	EjectBase time.Duration
	EjectMax  time.Duration
	// EjectEverything lifts the cap of a third; for tests of the cap only.
	EjectEverything bool
	// EjectBlind ignores how the other instances fare; for tests only.
	EjectBlind bool
}

// Defaults of Options.
const (
	DefaultSlowStart     = 10 * time.Second
	DefaultEjectFailures = 5
	DefaultEjectBase     = 5 * time.Second
	DefaultEjectMax      = 5 * time.Minute
)

const (
	// minRamp bounds how much a new instance is held back.
	minRamp = 0.1
	// maxEjectedShare: at most one in so many instances is ejected.
	maxEjectedShare = 3
	// byChance is the probability at which a row of failures is no longer
	// taken for chance, given how often the other instances fail.
	byChance = 1e-4
	// tallyHalf is when the counts of outcomes are halved.
	tallyHalf = 10 * time.Second
	// busyBase and busyMax bound how long a busy instance is passed over.
	busyBase = 20 * time.Millisecond
	busyMax  = time.Second
	// forgive is how long an instance must answer until its earlier
	// ejections no longer lengthen the next one.
	forgive = 5 * time.Minute
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

// health is what an entry VM learned from the outcomes at one instance.
type health struct {
	joined model.Instant
	// row counts the failures since the last answer.
	row     int
	ejected bool
	// probeAt is when one request may try an ejected instance.
	probeAt model.Instant
	probing bool
	// ejections lengthens the next time out; admitted is when the last ended.
	ejections int
	admitted  model.Instant
	busyUntil model.Instant
	busyRow   int
	// epoch grows with each ejection and return: an outcome of a request that
	// was sent before says nothing about the instance after.
	epoch int
}

// tally counts outcomes, halved every tallyHalf.
type tally struct {
	good, bad float64
	halved    model.Instant
}

func (t *tally) add(failed bool, now model.Instant) {
	for now.Sub(t.halved) >= tallyHalf {
		if t.good+t.bad < 0.01 {
			t.halved = now
			break
		}
		t.good /= 2
		t.bad /= 2
		t.halved = t.halved.Add(tallyHalf)
	}
	if failed {
		t.bad++
		return
	}
	t.good++
}

// judge learns from an outcome.
func (s *Set) judge(u Use, o Outcome, now model.Instant) {
	h := &u.Instance.health
	if u.probe && u.epoch == h.epoch {
		h.probing = false
	}
	if u.epoch != h.epoch || o == Abandoned {
		return
	}
	switch o {
	case Busy:
		h.busyUntil = now.Add(min(busyBase<<min(h.busyRow, 10), busyMax))
		h.busyRow++
		return
	case Answered:
		h.row, h.busyRow = 0, 0
		s.count(u.Instance, false, now)
		if h.ejected {
			s.admit(u.Instance)
			h.joined, h.admitted = now, now
		} else if h.ejections > 0 && now.Sub(h.admitted) > forgive {
			h.ejections = 0
		}
	case Failed:
		h.row++
		s.count(u.Instance, true, now)
		if h.ejected || s.failsMore(u.Instance) {
			s.eject(u.Instance, now)
		}
	}
}

func (s *Set) count(i *Instance, failed bool, now model.Instant) {
	i.seen.add(failed, now)
	s.all.add(failed, now)
}

// failsMore reports whether the failures in a row at i are more than chance,
// given how the other instances fare. A caller whose requests fail everywhere
// makes all instances look bad; comparing with the others shows that the
// fault is not with this one.
func (s *Set) failsMore(i *Instance) bool {
	if i.health.row < s.options.EjectFailures {
		return false
	}
	if s.options.EjectBlind {
		return true
	}
	good := max(0, s.all.good-i.seen.good)
	bad := max(0, s.all.bad-i.seen.bad)
	if good+bad < float64(s.options.EjectFailures) {
		return false
	}
	share := (bad + 1) / (good + bad + 2)
	return math.Pow(share, float64(i.health.row)) < byChance
}

// eject takes an instance out of the choice for a growing time.
func (s *Set) eject(i *Instance, now model.Instant) {
	h := &i.health
	if !h.ejected {
		if s.ejected >= s.maxEjected() {
			return
		}
		h.ejected = true
		s.ejected++
	}
	h.probeAt = now.Add(min(s.options.EjectBase<<min(h.ejections, 16), s.options.EjectMax))
	h.ejections++
	h.epoch++
	h.probing = false
}

// admit takes an ejected instance back into the choice.
func (s *Set) admit(i *Instance) {
	if !i.health.ejected {
		return
	}
	i.health.ejected = false
	i.health.row = 0
	i.health.epoch++
	s.ejected--
}

func (s *Set) maxEjected() int {
	if s.options.EjectEverything {
		return len(s.byID)
	}
	return len(s.listed) / maxEjectedShare
}

// enforceCap takes back the instances whose probe is due first when the list
// became so short that more than a third of it would be ejected.
func (s *Set) enforceCap(now model.Instant) {
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
		s.admit(first)
		first.health.joined = now
	}
}

// pickProbe returns an ejected instance whose time out is over, for one
// request at a time. Urgent requests probe only when nothing else is left.
func (s *Set) pickProbe(w Wish, other bool, now model.Instant) *Instance {
	if s.ejected == 0 || (w.Priority == model.Urgent && other) {
		return nil
	}
	for _, i := range s.listed {
		h := &i.health
		if h.ejected && !h.probing && now >= h.probeAt && i.free(w) {
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
