package slots

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/registry"
)

// TestClockIsReadUnderTheLock guards against a deadlock of all requests of a
// service, which also kept the entry VM from stopping. A request read the clock
// before it took the lock. Another one read a later time, took the lock first
// and queued. The first one then computed a negative age of the waiting request,
// a shift by it panicked, and the lock was never released.
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
		Services: singleService{model.Service{ID: "drafts", Slots: 8, QueueLimit: 10, Timeout: time.Second}},
	})
	k = d.state("drafts")
	k.step(func(model.Instant) {})
	k.tryAcquire(SlotRequest{Service: "drafts"})
	is.Equal(outside, 0)
}

// TestPanicReleasesTheLock guards against a lock that is held forever after a
// panic, as in the failure of TestClockIsReadUnderTheLock.
func TestPanicReleasesTheLock(t *testing.T) {
	is := is.New(t)
	d, _, _ := newSingleDispatcher(t, 8, 10)
	k := d.state("drafts")
	func() {
		defer func() { is.True(recover() != nil) }()
		k.step(func(model.Instant) { panic("panic injected by the test") })
	}()
	is.True(k.mu.TryLock())
}
