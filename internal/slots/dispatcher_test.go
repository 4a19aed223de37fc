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

// siteOf is a site with one service.
type siteOf struct{ service model.Service }

func (s siteOf) Service(id model.ServiceID) (model.Service, bool) {
	return s.service, id == s.service.ID
}

func (s siteOf) Team(id model.TeamID) (model.Team, bool) {
	return model.Team{ID: id, MaxRequests: 100}, true
}

// fakeClock is an Instant that a test moves.
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

func newAlone(t *testing.T, slots, queueLimit int) (*Dispatcher, *fakeClock, *registry.Registry) {
	t.Helper()
	clock := &fakeClock{}
	r := registry.New(registry.Options{})
	d := New(Config{
		Self: "n1", Registry: r, Now: clock.Now,
		Services: siteOf{model.Service{ID: "drafts", Slots: slots, Connections: 64, QueueLimit: queueLimit, Timeout: 10 * time.Second}},
	})
	return d, clock, r
}

type result struct {
	grant *Grant
	err   error
}

// asking starts an Acquire and waits until it is in the queue.
func asking(d *Dispatcher, ask Ask) chan result {
	out := make(chan result, 1)
	queued := d.counters.queued.Count() + d.counters.refused.Count()
	go func() {
		grant, err := d.Acquire(context.Background(), ask)
		out <- result{grant, err}
	}()
	for d.counters.queued.Count()+d.counters.refused.Count() == queued {
		time.Sleep(100 * time.Microsecond)
	}
	return out
}

// Symptom: an urgent draft waits for minutes behind overnight reconciliations.
// Sequence: the queue is full of batch requests when an urgent one comes.
// Cause: a queue that serves in order of arrival, or refuses when it is full.
// The batch request that is shed for it learns so at once, not at its deadline.
func TestUrgentGoesBeforeBatchFlood(t *testing.T) {
	is := is.New(t)
	d, clock, r := newAlone(t, 1, 3)
	announce(t, r, 1, false, 1)
	deadline := model.Instant(60_000)
	running, err := d.Acquire(context.Background(), Ask{Service: "drafts", Priority: model.Batch, Deadline: deadline})
	is.NoErr(err)
	var batch []chan result
	for range 3 {
		batch = append(batch, asking(d, Ask{Service: "drafts", Priority: model.Batch, Deadline: deadline}))
	}
	urgent := asking(d, Ask{Service: "drafts", Priority: model.Urgent, Deadline: deadline})
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

// Symptom: a request that can't be served any more waits half a second for its
// refusal. Sequence: it queues while every service is at rest. Cause: a tick
// that rests until its time, whatever comes meanwhile.
func TestQueueEndsTheRest(t *testing.T) {
	is := is.New(t)
	d, _, r := newAlone(t, 1, 3)
	announce(t, r, 1, false, 1)
	running, err := d.Acquire(context.Background(), Ask{Service: "drafts", Deadline: 60_000})
	is.NoErr(err)
	d.Tick()
	is.Equal(d.interval(), restInterval)
	for len(d.busy) > 0 {
		<-d.busy
	}
	waiting := asking(d, Ask{Service: "drafts", Deadline: 60_000})
	select {
	case <-d.busy:
	case <-time.After(time.Minute):
		t.Fatal("the queue did not end the rest")
	}
	is.Equal(d.interval(), tickInterval)
	running.Release(Answered)
	is.NoErr((<-waiting).err)
	is.Equal(d.interval(), restInterval)
}

// Symptom: a request is sent to an address put together from two
// announcements; the race detector reports a write in balance.Set against a
// read in the grant.
// Sequence: requests are granted while the instance's announcement changes.
// Cause: the grant read the instance's record after the lock was given back.
func TestGrantWhileTheAnnouncementChanges(t *testing.T) {
	is := is.New(t)
	d, _, r := newAlone(t, 8, 20)
	announce(t, r, 1, false, 1)
	first := make(chan result, 1)
	go func() {
		grant, err := d.Acquire(context.Background(), Ask{Service: "drafts", Deadline: 10_000})
		// Nothing orders this goroutine with the other one until then, so the
		// race detector sees a read outside the lock every time.
		time.Sleep(200 * time.Millisecond)
		first <- result{grant, err}
	}()
	time.Sleep(100 * time.Millisecond)
	announce(t, r, 2, false, 1, 2)
	second, err := d.Acquire(context.Background(), Ask{Service: "drafts", Deadline: 10_000})
	is.NoErr(err)
	got := <-first
	is.NoErr(got.err)
	is.Equal(got.grant.Upstream.Address, "127.0.0.1:9001")
	second.Release(Answered)
	got.grant.Release(Answered)
}
