package slots

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/registry"
)

// Symptom: under load, all requests of one service hang at an entry VM, and its
// stop never ends. Sequence: a request reads the clock; another one reads a
// later time, takes the lock first and queues; the first one computes the age
// of what waits. Cause: the clock was read before the lock, so the age was
// negative, a shift by it panicked, and the panic kept the lock.
func TestClockIsReadUnderTheLock(t *testing.T) {
	is := is.New(t)
	var k *serviceState
	outside := 0
	now := func() model.Instant {
		if k != nil && k.mu.TryLock() {
			outside++
			k.mu.Unlock()
		}
		return 0
	}
	d := New(Config{
		Self: "n1", Registry: registry.New(registry.Options{}), Now: now,
		Services: siteOf{model.Service{ID: "drafts", Slots: 8, QueueLimit: 10, Timeout: time.Second}},
	})
	k = d.state("drafts")
	k.step(func(model.Instant) {})
	k.acquireNow(Ask{Service: "drafts"})
	is.Equal(outside, 0)
}

// Symptom and cause are those above; this is the rest of the sequence.
func TestPanicLeavesNoLock(t *testing.T) {
	is := is.New(t)
	d, _, _ := newAlone(t, 8, 10)
	k := d.state("drafts")
	func() {
		defer func() { is.True(recover() != nil) }()
		k.step(func(model.Instant) { panic("fault of a test") })
	}()
	is.True(k.mu.TryLock())
}
