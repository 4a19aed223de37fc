package slots

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/registry"
)

// singleService implements Services with one service.
type singleService struct{ service model.Service }

func (s singleService) Service(id model.ServiceID) (model.Service, bool) {
	return s.service, id == s.service.ID
}

func (s singleService) Team(id model.TeamID) (model.Team, bool) {
	return model.Team{ID: id, MaxRequests: 100}, true
}

// fakeClock is a clock that a test advances.
type fakeClock struct{ now atomic.Int64 }

func (c *fakeClock) Now() model.Instant      { return model.Instant(c.now.Load()) }
func (c *fakeClock) Advance(d time.Duration) { c.now.Add(d.Milliseconds()) }

func announce(t *testing.T, r *registry.Registry, sequence uint64, leaving bool, instances ...int) {
	t.Helper()
	for _, n := range instances {
		_, err := r.Announce(model.Upstream{
			Service: "drafts", Instance: model.InstanceID(fmt.Sprintf("i%d", n)),
			Address: fmt.Sprintf("127.0.0.1:%d", 9000+n), Incarnation: 1, Sequence: sequence,
			Slots: 8, Connections: 64, Leaving: leaving,
		}, 0)
		if err != nil {
			t.Fatal(err)
		}
	}
}

func newSingleDispatcher(t *testing.T, slots, queueLimit int) (*Dispatcher, *fakeClock, *registry.Registry) {
	t.Helper()
	clock := &fakeClock{}
	r := registry.New(registry.Options{})
	d := New(Config{
		Self: "n1", Registry: r, Now: clock.Now,
		Services: singleService{model.Service{ID: "drafts", Slots: slots, Connections: 64, QueueLimit: queueLimit, Timeout: 10 * time.Second}},
	})
	return d, clock, r
}

type acquired struct {
	grant *Grant
	err   error
}

// acquireAsync starts an Acquire and waits until it is queued or refused.
func acquireAsync(d *Dispatcher, request SlotRequest) chan acquired {
	out := make(chan acquired, 1)
	queued := d.counters.queued.Count() + d.counters.refused.Count()
	go func() {
		grant, err := d.Acquire(context.Background(), request)
		out <- acquired{grant, err}
	}()
	for d.counters.queued.Count()+d.counters.refused.Count() == queued {
		time.Sleep(100 * time.Microsecond)
	}
	return out
}

// TestUrgentGoesBeforeBatchFlood guards against urgent requests that wait for
// minutes behind batch requests or are refused because these fill the queue. The
// batch request that is shed for an urgent one must be rejected at once, not at
// its deadline.
func TestUrgentGoesBeforeBatchFlood(t *testing.T) {
	is := is.New(t)
	d, clock, r := newSingleDispatcher(t, 1, 3)
	announce(t, r, 1, false, 1)
	deadline := model.Instant(60_000)
	running, err := d.Acquire(context.Background(), SlotRequest{Service: "drafts", Priority: model.Batch, Deadline: deadline})
	is.NoErr(err)
	var batch []chan acquired
	for range 3 {
		batch = append(batch, acquireAsync(d, SlotRequest{Service: "drafts", Priority: model.Batch, Deadline: deadline}))
	}
	urgent := acquireAsync(d, SlotRequest{Service: "drafts", Priority: model.Urgent, Deadline: deadline})
	shed := <-batch[2]
	var rejection *Rejection
	is.True(errors.As(shed.err, &rejection))
	is.True(rejection.RetryAfter > 0)
	clock.Advance(time.Second)
	running.Release(Answered)
	first := <-urgent
	is.NoErr(first.err)
	is.Equal(d.counters.granted.Count(), int64(2))
	first.grant.Release(Answered)
	is.NoErr((<-batch[0]).err)
}

// TestQueuedRequestEndsIdleInterval guards against a late refusal: a request
// that queued while every service was idle was only checked at the end of the
// idle interval of half a second.
func TestQueuedRequestEndsIdleInterval(t *testing.T) {
	is := is.New(t)
	d, _, r := newSingleDispatcher(t, 1, 3)
	announce(t, r, 1, false, 1)
	running, err := d.Acquire(context.Background(), SlotRequest{Service: "drafts", Deadline: 60_000})
	is.NoErr(err)
	d.Tick()
	is.Equal(d.nextInterval(), idleTickInterval)
	for len(d.wakeup) > 0 {
		<-d.wakeup
	}
	waiting := acquireAsync(d, SlotRequest{Service: "drafts", Deadline: 60_000})
	select {
	case <-d.wakeup:
	case <-time.After(time.Minute):
		t.Fatal("the queued request did not end the idle interval")
	}
	is.Equal(d.nextInterval(), tickInterval)
	running.Release(Answered)
	is.NoErr((<-waiting).err)
	is.Equal(d.nextInterval(), idleTickInterval)
}

// TestGrantDuringAnnouncementChange guards against a data race: the grant read
// the instance's record after the lock was released. When the instance's
// announcement changed at that moment, a request was sent to an address made up
// of two announcements, and the race detector reported a write in balance.Set
// and a read in the grant.
func TestGrantDuringAnnouncementChange(t *testing.T) {
	is := is.New(t)
	d, _, r := newSingleDispatcher(t, 8, 20)
	announce(t, r, 1, false, 1)
	first := make(chan acquired, 1)
	go func() {
		grant, err := d.Acquire(context.Background(), SlotRequest{Service: "drafts", Deadline: 10_000})
		// No synchronisation orders the two goroutines before this sleep ends, so
		// the race detector always sees a read outside the lock.
		time.Sleep(200 * time.Millisecond)
		first <- acquired{grant, err}
	}()
	time.Sleep(100 * time.Millisecond)
	announce(t, r, 2, false, 1, 2)
	second, err := d.Acquire(context.Background(), SlotRequest{Service: "drafts", Deadline: 10_000})
	is.NoErr(err)
	got := <-first
	is.NoErr(got.err)
	is.Equal(got.grant.Upstream.Address, "127.0.0.1:9001")
	second.Release(Answered)
	got.grant.Release(Answered)
}
