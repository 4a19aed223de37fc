package slots

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/registry"
	"github.com/comfreyloom/comfreyloom/internal/slots/lending"
)

// loopback delivers encoded messages between dispatchers of one process.
type loopback struct {
	mu   sync.Mutex
	all  map[model.NodeID]*Dispatcher
	down map[model.NodeID]bool
}

func (l *loopback) from(self model.NodeID) Peer {
	return NewPeer(func(ctx context.Context, to model.NodeID, body []byte) ([]byte, error) {
		l.mu.Lock()
		d := l.all[to]
		down := l.down[to] || l.down[self]
		l.mu.Unlock()
		if down || d == nil {
			return nil, fmt.Errorf("entry VM %s is unreachable", to)
		}
		return d.Lend(ctx, self, body)
	})
}

// newSite starts dispatchers that lend to each other, each with its own
// registry.
func newSite(tb testing.TB, nodes int, service model.Service) ([]*Dispatcher, *loopback) {
	tb.Helper()
	l := &loopback{all: map[model.NodeID]*Dispatcher{}, down: map[model.NodeID]bool{}}
	var names []model.NodeID
	for n := range nodes {
		names = append(names, model.NodeID(fmt.Sprintf("n%d", n)))
	}
	var all []*Dispatcher
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, name := range names {
		r := registry.New(registry.Options{})
		for i := range 2 {
			_, err := r.Announce(model.Upstream{
				Service: "drafts", Instance: model.InstanceID(fmt.Sprintf("i%d", i)), Address: fmt.Sprintf("127.0.0.1:%d", 9000+i),
				Incarnation: 1, Sequence: 1, Slots: 8, Connections: 64,
			}, model.InstantOf(time.Now()))
			if err != nil {
				tb.Fatal(err)
			}
		}
		d := New(Config{Self: name, Nodes: names, Registry: r, Services: singleService{service}, Peer: l.from(name)})
		l.mu.Lock()
		l.all[name] = d
		l.mu.Unlock()
		all = append(all, d)
		running.Go(func() { _ = d.Run(ctx) })
	}
	tb.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return all, l
}

// TestOneEntryVMBorrowsAll checks that callers that the balancer sends to a
// single entry VM can use all slots of the service but no more, and that a
// released slot can be used by another entry VM.
func TestOneEntryVMBorrowsAll(t *testing.T) {
	is := is.New(t)
	service := model.Service{ID: "drafts", Slots: 4, Connections: 64, QueueLimit: 100, Timeout: 20 * time.Second}
	site, _ := newSite(t, 3, service)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	newRequest := func(p model.Priority) SlotRequest {
		return SlotRequest{Service: "drafts", Priority: p, Deadline: model.InstantOf(time.Now().Add(20 * time.Second))}
	}
	var grants []*Grant
	for range 8 {
		grant, err := site[0].Acquire(ctx, newRequest(model.Batch))
		is.NoErr(err)
		grants = append(grants, grant)
	}
	short, stop := context.WithTimeout(ctx, 100*time.Millisecond)
	defer stop()
	_, err := site[1].Acquire(short, newRequest(model.Normal))
	is.Equal(err, context.DeadlineExceeded) // All 2 x 4 slots are in use at the first entry VM.
	waiting := make(chan acquired, 1)
	go func() {
		grant, err := site[1].Acquire(ctx, newRequest(model.Urgent))
		waiting <- acquired{grant, err}
	}()
	for site[1].counters.queued.Count() < 2 {
		time.Sleep(time.Millisecond)
	}
	grants[0].Release(Answered)
	got := <-waiting
	is.NoErr(got.err)
	got.grant.Release(Answered)
	got.grant.Release(Answered)
	is.Equal(site[1].counters.releasedTwice.Count(), int64(1))
	for _, g := range grants[1:] {
		g.Release(Answered)
	}
	for _, d := range site {
		is.Equal(d.counters.violations.Count(), int64(0))
	}
}

// TestLeavingInstanceGetsNoNewWork checks that an entry VM uses no slot of an
// instance once it has received the announcement that the instance is leaving,
// and that requests are refused at once when no instance is left.
func TestLeavingInstanceGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	d, _, r := newSingleDispatcher(t, 8, 10)
	announce(t, r, 1, false, 1, 2)
	announce(t, r, 2, true, 1)
	for range 8 {
		grant, err := d.Acquire(context.Background(), SlotRequest{Service: "drafts", Deadline: 1000})
		is.NoErr(err)
		is.Equal(grant.Upstream.Instance, model.InstanceID("i2"))
	}
	waiting := acquireAsync(d, SlotRequest{Service: "drafts", Deadline: 1000})
	announce(t, r, 3, true, 2)
	d.Tick()
	got := <-waiting // Rejected at once, as no instance is left to wait for.
	rejection, ok := got.err.(*Rejection)
	is.True(ok)
	is.Equal(rejection.RetryAfter, noInstanceRetry)
}

// TestUnreachableDeadlineIsRejectedAtOnce guards against callers that wait until
// their deadline although the rejection is foreseeable: the queue is long, the
// measured rate low and the deadline near. The queue used to drop a request only
// when its deadline had passed.
func TestUnreachableDeadlineIsRejectedAtOnce(t *testing.T) {
	is := is.New(t)
	d, clock, r := newSingleDispatcher(t, 1, 100)
	announce(t, r, 1, false, 1)
	for range 3 { // Each request takes a second, which sets the measured rate.
		grant, err := d.Acquire(context.Background(), SlotRequest{Service: "drafts", Deadline: clock.Now() + 5000})
		is.NoErr(err)
		clock.Advance(time.Second)
		grant.Release(Answered)
	}
	running, err := d.Acquire(context.Background(), SlotRequest{Service: "drafts", Deadline: clock.Now() + 60_000})
	is.NoErr(err)
	patient := acquireAsync(d, SlotRequest{Service: "drafts", Deadline: clock.Now() + 1800})
	_, err = d.Acquire(context.Background(), SlotRequest{Service: "drafts", Deadline: clock.Now() + 1500})
	rejection, ok := err.(*Rejection)
	is.True(ok)
	is.Equal(rejection.RetryAfter, 2*time.Second) // The running and the waiting request take that long.
	clock.Advance(1300 * time.Millisecond)        // The running request takes longer than expected.
	d.Tick()
	got := <-patient
	_, ok = got.err.(*Rejection)
	is.True(ok) // Dropped 500 ms before its deadline and rejected at once.
	running.Release(Answered)
	is.Equal(d.counters.granted.Count(), int64(4))
}

func BenchmarkAcquireRelease(b *testing.B) {
	for _, mode := range []string{"alone", "site"} {
		b.Run(mode, func(b *testing.B) {
			service := model.Service{ID: "drafts", Slots: 8, Connections: 64, QueueLimit: 100, Timeout: 10 * time.Second}
			site, _ := newSite(b, map[string]int{"alone": 1, "site": 3}[mode], service)
			request := SlotRequest{Service: "drafts", Deadline: model.InstantOf(time.Now().Add(time.Hour))}
			for len(site[0].state("drafts").core.unrecovered) > 0 {
				time.Sleep(time.Millisecond)
			}
			b.ReportAllocs()
			for b.Loop() {
				grant, err := site[0].Acquire(context.Background(), request)
				if err != nil {
					b.Fatal(err)
				}
				grant.Release(Answered)
			}
		})
	}
}

// BenchmarkIdleTick measures the processor time that idle services take, at the
// present and the expected future size of a site: 5 services of 10 instances and
// 42 services of 31.
func BenchmarkIdleTick(b *testing.B) {
	for _, size := range []struct{ services, instances int }{{5, 10}, {42, 31}} {
		b.Run(fmt.Sprintf("%dx%d", size.services, size.instances), func(b *testing.B) {
			r := registry.New(registry.Options{})
			clock := &fakeClock{}
			d := New(Config{Self: "n0", Nodes: []model.NodeID{"n0", "n1", "n2"}, Registry: r, Now: clock.Now, Services: anyService{}})
			for s := range size.services {
				id := model.ServiceID(fmt.Sprintf("s%d", s))
				for i := range size.instances {
					_, _ = r.Announce(model.Upstream{
						Service: id, Instance: model.InstanceID(fmt.Sprintf("i%d", i)), Address: "127.0.0.1:9000",
						Incarnation: 1, Sequence: 1, Slots: 8, Connections: 64,
					}, 0)
				}
				grant, err := d.Acquire(context.Background(), SlotRequest{Service: id, Deadline: 1000})
				if err != nil {
					b.Fatal(err)
				}
				grant.Release(Answered)
			}
			for b.Loop() {
				d.Tick()
			}
			perSecond := float64(time.Second / tickInterval)
			b.ReportMetric(100*perSecond*b.Elapsed().Seconds()/float64(b.N), "%core")
		})
	}
}

// anyService implements Services with a service for every name.
type anyService struct{}

func (anyService) Service(id model.ServiceID) (model.Service, bool) {
	return model.Service{ID: id, Slots: 8, Connections: 64, QueueLimit: 100, Timeout: 10 * time.Second}, true
}

func (anyService) Team(model.TeamID) (model.Team, bool) { return model.Team{}, false }

// BenchmarkLend measures how long a lender takes for one request, including
// encoding and decoding.
func BenchmarkLend(b *testing.B) {
	service := model.Service{ID: "drafts", Slots: 8, Connections: 64, QueueLimit: 100, Timeout: 10 * time.Second}
	site, _ := newSite(b, 2, service)
	request := LendRequest{Service: "drafts", Borrower: "n1", Incarnation: 1 << 62, RunMS: 10_000}
	b.ReportAllocs()
	for b.Loop() {
		request.Number++
		body, err := lending.EncodeRequest(request)
		if err != nil {
			b.Fatal(err)
		}
		if _, err = site[0].Lend(context.Background(), "n1", body); err != nil {
			b.Fatal(err)
		}
	}
}
