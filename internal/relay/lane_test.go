package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/twitchtv/twirp"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/relay/relaypb"
	"github.com/comfreyloom/comfreyloom/internal/steady"
	"github.com/comfreyloom/comfreyloom/internal/workers"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// fakeWorkers records the calls that it gets. A hold waits until release is closed.
type fakeWorkers struct {
	mu      sync.Mutex
	starts  []workers.StartOrder
	targets []workers.Target
	err     error
	release chan struct{}
}

func (f *fakeWorkers) Start(_ context.Context, to workers.Target, o workers.StartOrder) (workers.Reply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts, f.targets = append(f.starts, o), append(f.targets, to)
	return workers.Reply{Refusal: workers.RefusedCapacity, ClockMS: 7}, f.err
}

func (f *fakeWorkers) Stop(context.Context, workers.Target, workload.RunRef, uint64) (workers.Reply, error) {
	return workers.Reply{ClockMS: 8}, f.err
}

func (f *fakeWorkers) Pace(context.Context, workers.Target, workload.RunRef, int, uint64) (workers.Reply, error) {
	return workers.Reply{ClockMS: 9}, f.err
}

func (f *fakeWorkers) Hold(ctx context.Context, _ workers.Target, o workers.HoldOrder) (workers.List, error) {
	if f.release != nil {
		select {
		case <-f.release:
		case <-ctx.Done():
			return workers.List{}, &workers.CallError{Verdict: model.MayHaveRun, Err: ctx.Err()}
		}
	}
	return workers.List{
		Reply:   workers.Reply{ClockMS: o.LeaseUntilMS},
		Running: []workers.RunStatus{{Run: someRun, Checkpoint: "c", Percent: 40, Load: 3}},
		Ends:    []workload.End{{Worker: "w", Number: 5, Run: someRun, Kind: workload.EndDone}}, MoreEnds: true, EndsAfterGap: 1, UnreadableRows: 2,
	}, f.err
}

func (f *fakeWorkers) startCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.starts)
}

var (
	someRun    = workload.RunRef{Task: workload.TaskRef{Job: "j", Step: 1, Index: 2}, Attempt: 3}
	someTarget = workers.Target{ID: "w", Address: "10.0.0.1:80"}
)

// testLane is a lane to a server in this process.
type testLane struct {
	*lane
	server *Server
	direct *fakeWorkers
	// unreachable makes exchanges fail.
	mu          sync.Mutex
	unreachable error
	lost        []error
}

func newTestLane(t *testing.T) *testLane {
	direct := &fakeWorkers{}
	l := &testLane{server: NewServer(direct, steady.Now), direct: direct}
	l.lane = &lane{
		relay: "r", session: 1, send: l.exchangeWith, now: steady.Now, lost: l.recordLost,
		queued: make(chan struct{}, 1), expecting: make(chan struct{}, 1), waiting: map[uint64]chan reply{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go l.handOver(ctx)
	go l.collect(ctx)
	return l
}

func (l *testLane) exchangeWith(ctx context.Context, _ model.NodeID, r *relaypb.ExchangeRequest) (*relaypb.ExchangeReply, error) {
	l.mu.Lock()
	err := l.unreachable
	l.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return l.server.Exchange(ctx, r)
}

func (l *testLane) recordLost(_ model.NodeID, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lost = append(l.lost, err)
}

func (l *testLane) cutOff(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unreachable = err
}

func TestEveryKindOfCallArrivesAsWritten(t *testing.T) {
	is := is.New(t)
	l := newTestLane(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	order := workers.StartOrder{Run: someRun, Payload: "p", Checkpoint: "c", Ticket: "t", LeaseUntilMS: 99, Fence: 4}
	list, err := l.do(ctx, call{Kind: callStart, Worker: someTarget.ID, Address: someTarget.Address, Run: order.Run,
		Payload: order.Payload, Checkpoint: order.Checkpoint, Ticket: order.Ticket, LeaseUntilMS: order.LeaseUntilMS, Fence: order.Fence})
	is.NoErr(err)
	is.Equal(list.Reply, workers.Reply{Refusal: workers.RefusedCapacity, ClockMS: 7})
	is.Equal(l.direct.starts, []workers.StartOrder{order})
	is.Equal(l.direct.targets, []workers.Target{someTarget})
	list, err = l.do(ctx, call{Kind: callHold, LeaseUntilMS: 12})
	is.NoErr(err)
	want, _ := l.direct.Hold(ctx, someTarget, workers.HoldOrder{LeaseUntilMS: 12})
	is.Equal(list, want)
	list, err = l.do(ctx, call{Kind: callStop})
	is.NoErr(err)
	is.Equal(list.ClockMS, int64(8))
	list, err = l.do(ctx, call{Kind: callPace})
	is.NoErr(err)
	is.Equal(list.ClockMS, int64(9))
}

// A relay that makes a call and whose answer is lost must not be taken for one that
// never made it: the run would be started elsewhere and run twice.
func TestCallsAtALostRelayMayHaveRun(t *testing.T) {
	is := is.New(t)
	l := newTestLane(t)
	l.direct.release = make(chan struct{})
	defer close(l.direct.release)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	failed := make(chan error, 1)
	go func() {
		_, err := l.do(ctx, call{Kind: callHold})
		failed <- err
	}()
	for !l.expectsReply() {
		time.Sleep(time.Millisecond)
	}
	l.cutOff(errors.New("cut off"))
	err := <-failed
	is.True(err != nil)
	is.Equal(workers.NotSent(err), false)
	is.True(ctx.Err() == nil) // the call ended long before its own deadline
}

// A call that its caller gave up while it was queued must not be made later: the
// leader decides on the ground that it was never sent.
func TestWithdrawnCallIsNeverMade(t *testing.T) {
	is := is.New(t)
	l := &lane{queued: make(chan struct{}, 1), expecting: make(chan struct{}, 1), waiting: map[uint64]chan reply{}}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := l.do(ctx, call{Kind: callStart})
	is.True(workers.NotSent(err))
	is.Equal(len(l.takeQueue()), 0)
	is.Equal(len(l.waiting), 0)
}

// The caller's time ends while the relay has the call: the call may have run.
func TestCallBeyondItsDeadlineMayHaveRun(t *testing.T) {
	is := is.New(t)
	l := newTestLane(t)
	l.direct.release = make(chan struct{})
	defer close(l.direct.release)
	ctx, cancel := context.WithCancel(context.Background())
	failed := make(chan error, 1)
	go func() {
		_, err := l.do(ctx, call{Kind: callHold, TimeoutMS: 10_000})
		failed <- err
	}()
	for !l.expectsReply() {
		time.Sleep(time.Millisecond)
	}
	cancel()
	err := <-failed
	is.True(err != nil)
	is.Equal(workers.NotSent(err), false)
}

// A call without a deadline of its own is made all the same.
func TestCallWithoutDeadlineIsMade(t *testing.T) {
	is := is.New(t)
	l := newTestLane(t)
	l.direct.release = make(chan struct{})
	time.AfterFunc(50*time.Millisecond, func() { close(l.direct.release) })
	_, err := l.do(context.Background(), call{Kind: callHold})
	is.NoErr(err)
}

// The verdict of a call that the relay could not send reaches the leader.
func TestVerdictOfTheRelayIsKept(t *testing.T) {
	is := is.New(t)
	for _, verdict := range []model.Verdict{model.NotRun, model.MayHaveRun} {
		l := newTestLane(t)
		l.direct.err = &workers.CallError{Verdict: verdict, Err: errors.New("no route")}
		_, err := l.do(context.Background(), call{Kind: callStart, TimeoutMS: 1000})
		is.True(err != nil)
		is.Equal(workers.NotSent(err), verdict == model.NotRun)
	}
	is.Equal(verdictOf(errors.New("unknown")), model.MayHaveRun)
}

// Guards against lines about a lost worker on a large site that hide that its address
// refuses connections, because the leader isn't told.
func TestRelayTellsThatNothingListens(t *testing.T) {
	is := is.New(t)
	for _, notListening := range []bool{true, false} {
		l := newTestLane(t)
		l.direct.err = &workers.CallError{Verdict: model.NotRun, NotListening: notListening, Err: errors.New("refused")}
		_, err := l.do(context.Background(), call{Kind: callHold, TimeoutMS: 1000})
		is.True(err != nil)
		is.Equal(workers.NotListening(err), notListening)
	}
}

// A relay that is stopping takes no call, so that none ends with its process.
func TestStoppingRelayTakesNoCall(t *testing.T) {
	is := is.New(t)
	l := newTestLane(t)
	l.server.Stop()
	_, err := l.do(context.Background(), call{Kind: callStart, TimeoutMS: 1000})
	is.True(err != nil)
	is.Equal(l.direct.startCount(), 0)
	l.mu.Lock()
	defer l.mu.Unlock()
	is.True(len(l.lost) > 0)
}

// A relay bounds the calls in progress: a leader that repeats calls to hanging
// workers must not fill its memory.
func TestRelayBoundsItsCalls(t *testing.T) {
	is := is.New(t)
	s := NewServer(&fakeWorkers{}, steady.Now)
	s.calls = maxCalls
	from, err := s.open(1)
	is.NoErr(err)
	s.begin(from, &call{ID: 1, Kind: callStart, TimeoutMS: 1000})
	replies := s.take(from)
	is.Equal(len(replies), 1)
	is.Equal(replies[0].Verdict, model.NotRun)
	is.True(replies[0].Error != "")
}

// Replies for a leader of the past are dropped, and never reach the next one.
func TestRepliesOfAnEndedSessionAreDropped(t *testing.T) {
	is := is.New(t)
	now := time.Duration(0)
	s := NewServer(&fakeWorkers{}, func() time.Duration { return now })
	old, err := s.open(1)
	is.NoErr(err)
	s.deliver(old, reply{ID: 1})
	now = forgetSessionAfter + time.Second
	next, err := s.open(2)
	is.NoErr(err)
	is.Equal(len(s.take(next)), 0)
	is.Equal(len(s.sessions), 1)
}

func TestMalformedExchangeIsRefused(t *testing.T) {
	is := is.New(t)
	s := NewServer(&fakeWorkers{}, steady.Now)
	_, err := s.Exchange(context.Background(), &relaypb.ExchangeRequest{Session: 1, Calls: []byte{0xff}})
	is.True(err != nil)
}

func FuzzExchange(f *testing.F) {
	f.Add([]byte{0x80}, uint32(0))
	f.Add([]byte{0x81, 0x80}, uint32(1))
	f.Fuzz(func(t *testing.T, calls []byte, wait uint32) {
		s := NewServer(&fakeWorkers{}, steady.Now)
		_, _ = s.Exchange(context.Background(), &relaypb.ExchangeRequest{Session: 1, Calls: calls, WaitMs: min(wait, 1)})
	})
}

// Calls are handed over while exchanges fail before and after the relay took them. A
// call that is said not to have run was never made, and none is made twice: otherwise a
// task would run twice.
func TestNoCallIsMadeTwiceOrDenied(t *testing.T) {
	const calls = 400
	is := is.New(t)
	l := newTestLane(t)
	random := rand.New(rand.NewPCG(3, 5))
	var mu sync.Mutex
	l.send = func(ctx context.Context, _ model.NodeID, r *relaypb.ExchangeRequest) (*relaypb.ExchangeReply, error) {
		mu.Lock()
		outcome := random.IntN(6)
		mu.Unlock()
		if outcome == 0 {
			return nil, twirp.NewError(twirp.BadRoute, "not offered")
		}
		result, err := l.server.Exchange(ctx, r)
		if outcome == 1 {
			return nil, errors.New("the reply is lost")
		}
		return result, err
	}
	var group sync.WaitGroup
	var denied, unknown, made atomic.Int64
	notRun := make([]atomic.Bool, calls)
	for i := range calls {
		time.Sleep(time.Millisecond)
		group.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(5+i%60)*time.Millisecond)
			defer cancel()
			run := someRun
			run.Task.Index = i
			_, err := l.do(ctx, call{Kind: callStart, Run: run})
			switch {
			case err == nil:
				made.Add(1)
			case workers.NotSent(err):
				denied.Add(1)
				notRun[i].Store(true)
			default:
				unknown.Add(1)
			}
		})
	}
	group.Wait()
	is.True(denied.Load() > 0 && unknown.Load() > 0 && made.Load() > 0) // all outcomes occur
	l.direct.mu.Lock()
	defer l.direct.mu.Unlock()
	seen := map[int]bool{}
	for _, start := range l.direct.starts {
		index := start.Run.Task.Index
		is.True(!seen[index])          // made once
		is.True(!notRun[index].Load()) // and not denied
		seen[index] = true
	}
}
