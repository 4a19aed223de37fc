package caller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
	"github.com/comfreyloom/comfreyloom/internal/upstream"
	"github.com/comfreyloom/comfreyloom/internal/upstream/standin"
)

// crashingSender kills its process when the upstream has accepted a request, or
// when its response has arrived.
type crashingSender struct {
	Sender
	onAccepted, onResponse func()
	upstream               func() *standin.Upstream
}

func (sender *crashingSender) Send(ctx context.Context, u model.Upstream, r *upstream.Request) (*http.Response, upstream.SentState, error) {
	if sender.onAccepted != nil {
		go func() { _, _, _ = sender.Sender.Send(ctx, u, r) }()
		for sender.upstream().Total() == 0 {
			time.Sleep(time.Millisecond)
		}
		sender.onAccepted()
	}
	resp, sent, err := sender.Sender.Send(ctx, u, r)
	if sender.onResponse != nil {
		sender.onResponse()
	}
	return resp, sent, err
}

// An entry VM is lost between accepting a request and storing its response, and
// the caller resends with the same key through another entry VM. The run at the
// upstream and its record are in two systems, and a crash can happen between any
// two steps; the request must not run twice.
func TestCrashAtEachStep(t *testing.T) {
	const timeout = "Comfreyloom-Timeout: 400ms"
	for _, step := range []struct {
		name    string
		verdict string
		runs    int
		arm     func(cl *cluster, crash func() error, sender *crashingSender)
	}{
		{"before the claim", "ran", 1, func(cl *cluster, crash func() error, _ *crashingSender) {
			cl.log.onCommand(&cl.log.before, isClaim, crash)
		}},
		{"after the claim", "may-have-run", 0, func(cl *cluster, crash func() error, _ *crashingSender) {
			cl.log.onCommand(&cl.log.after, isClaim, crash)
		}},
		{"after the upstream accepted", "may-have-run", 1, func(_ *cluster, crash func() error, sender *crashingSender) {
			sender.onAccepted = func() { _ = crash() }
		}},
		{"after the response", "may-have-run", 1, func(_ *cluster, crash func() error, sender *crashingSender) {
			sender.onResponse = func() { _ = crash() }
		}},
		{"before the outcome is recorded", "may-have-run", 1, func(cl *cluster, crash func() error, _ *crashingSender) {
			cl.log.onCommand(&cl.log.before, isSettle, crash)
		}},
		{"after the outcome is recorded", "ran", 1, func(cl *cluster, crash func() error, _ *crashingSender) {
			cl.log.onCommand(&cl.log.after, isSettle, crash)
		}},
	} {
		t.Run(step.name, func(t *testing.T) {
			is := is.New(t)
			cl := newCluster(t, 1, 0, Limits{})
			limits := Limits{OwnerGrace: 20 * time.Millisecond}
			sender := &crashingSender{Sender: newTransport(t), upstream: func() *standin.Upstream { return cl.instances[0] }}
			first := cl.addEntry(t, Config{Limits: limits, Sender: sender})
			second := cl.addEntry(t, Config{Limits: limits})
			crashed := make(chan struct{})
			var once sync.Once
			step.arm(cl, func() error {
				once.Do(func() { close(crashed) })
				return cl.kill(first)
			}, sender)

			go func() { _, _ = first.call("POST", "/s/drafts/plan", "grain", "Idempotency-Key: k", timeout) }()
			<-crashed
			cl.log.before.Store(nil)
			cl.log.after.Store(nil)
			var got callerResponse
			eventually(t, "a final response to the resend", func() bool {
				var err error
				got, err = second.call("POST", "/s/drafts/plan", "grain", "Idempotency-Key: k", timeout)
				is.NoErr(err)
				return got.header.Get("Retry-After") == ""
			})
			is.Equal(got.verdict, step.verdict)
			is.Equal(cl.runs("k"), step.runs)
			late, err := second.call("GET", "/requests/k", "")
			is.NoErr(err)
			is.Equal(late.verdict, step.verdict)
		})
	}
}

// As in TestCrashAtEachStep, the entry VM is lost after the upstream accepted
// the request, but the request has no key. Nothing links the resend to the
// first request, so it runs twice. Callers without keys must expect this.
func TestCrashWithoutKeyRunsTwice(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 1, 0, Limits{})
	sender := &crashingSender{Sender: newTransport(t), upstream: func() *standin.Upstream { return cl.instances[0] }}
	first, second := cl.addEntry(t, Config{Sender: sender}), cl.addEntry(t, Config{})
	crashed := make(chan struct{})
	sender.onAccepted = func() {
		close(crashed)
		_ = cl.kill(first)
	}
	go func() { _, _ = first.call("POST", "/s/drafts/plan", "grain") }()
	<-crashed
	got, err := second.call("POST", "/s/drafts/plan", "grain")
	is.NoErr(err)
	is.Equal(got.verdict, "ran")
	is.Equal(cl.runs("grain"), 2)
}

func isClaim(c state.Command) bool  { return c.ClaimRequest != nil }
func isSettle(c state.Command) bool { return c.SettleRequest != nil && !c.SettleRequest.Takeover }

// Guards against a blocked key, or a request that runs twice, after the control
// log changed its leader: the result of the claim is lost for longer than the
// claim timeout, but the claim is committed. The caller gets not-run and
// resends. An unknown outcome must not be treated as a refusal or as a grant.
func TestClaimResultLost(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 1, 2, Limits{ClaimTimeout: 50 * time.Millisecond})
	cl.log.onCommand(&cl.log.after, isClaim, func() error { return state.ErrOutcomeUnknown })
	got, err := cl.entries[0].call("POST", "/s/drafts/plan", "grain", "Idempotency-Key: k")
	is.NoErr(err)
	is.Equal(got.status, 503)
	is.Equal(got.verdict, "not-run")
	is.True(got.header.Get("Retry-After") != "")
	is.Equal(cl.runs("k"), 0)

	// While claims fail, the next one is refused without waiting for a slot.
	got, err = cl.entries[0].call("POST", "/s/drafts/plan", "other", "Idempotency-Key: k2")
	is.NoErr(err)
	is.Equal(got.verdict, "not-run")
	is.Equal(cl.log.Claim("k2"), nil) // it was not even proposed

	cl.log.after.Store(nil)
	eventually(t, "the claim that was committed late ends as not run", func() bool {
		c := cl.log.Claim("k")
		return c != nil && c.State == model.ClaimSettled && c.Verdict == model.NotRun
	})
	got, err = cl.entries[1].call("POST", "/s/drafts/plan", "grain", "Idempotency-Key: k")
	is.NoErr(err)
	is.Equal(got.verdict, "ran")
	is.Equal(cl.runs("k"), 1)
}

// Checks verdicts against the runs at the upstreams: many callers send and
// resend through several entry VMs while upstreams cut, truncate, refuse and
// fail, and the control log loses proposals and results. A non-idempotent
// request must not run twice.
func TestVerdictsMatchRuns(t *testing.T) {
	is := is.New(t)
	const callers = 8
	cl := newCluster(t, 3, 3, Limits{ClaimTimeout: 100 * time.Millisecond, OwnerGrace: 10 * time.Millisecond})
	faults := rand.New(rand.NewPCG(3, 4))
	var mu sync.Mutex
	loseProposal := func(c state.Command) error {
		mu.Lock()
		defer mu.Unlock()
		if faults.IntN(12) == 0 {
			return []error{state.ErrNotProposed, state.ErrOutcomeUnknown}[faults.IntN(2)]
		}
		return nil
	}
	loseResult := func(c state.Command) error {
		if loseProposal(c) != nil {
			return state.ErrOutcomeUnknown
		}
		return nil
	}
	cl.log.before.Store(&loseProposal)
	cl.log.after.Store(&loseResult)

	verdicts := make(map[string]string) // by the body of a request without a key
	var all sync.WaitGroup
	for caller := range callers {
		random := rand.New(rand.NewPCG(uint64(caller), 7))
		all.Go(func() {
			for i := range steps(60) {
				faults := []standin.Fault{standin.FaultNone, standin.FaultBusy, standin.FaultError, standin.FaultCut, standin.FaultTruncate, standin.FaultWrongID}
				cl.instances[random.IntN(3)].InjectFault(faults[random.IntN(len(faults))], 1)
				e := cl.entries[random.IntN(3)]
				if random.IntN(2) == 0 {
					key := fmt.Sprintf("key-%d", random.IntN(40))
					_, _ = e.call("POST", "/s/drafts/plan", key, "Idempotency-Key: "+key, "Comfreyloom-Timeout: 2s")
					continue
				}
				body := fmt.Sprintf("body-%d-%d", caller, i)
				got, err := e.call("POST", "/s/drafts/plan", body, "Comfreyloom-Timeout: 2s")
				if err == nil {
					mu.Lock()
					verdicts[body] = got.verdict
					mu.Unlock()
				}
			}
		})
	}
	all.Wait()
	for body, verdict := range verdicts {
		runs := cl.runs(body)
		is.True(runs <= 1)                         // at most once
		is.True(verdict != "not-run" || runs == 0) // not-run is true
		is.True(verdict != "ran" || runs == 1)     // ran is true
		is.True(verdict != "")                     // every response has a verdict
	}
	for key := range 40 {
		is.True(cl.runs(fmt.Sprintf("key-%d", key)) <= 1) // at most once, across resends
	}
}

// steps returns the length of a run; COMFREYLOOM_STEPS overrides it.
func steps(usual int) int {
	if n, err := strconv.Atoi(os.Getenv("COMFREYLOOM_STEPS")); err == nil && n > 0 {
		return n
	}
	return usual
}

// A caller that got "ran" looks the request up before its outcome is recorded.
// The claim still says that the request runs, but this VM already knows its
// outcome, so the look-up must return the same verdict and not may-have-run.
func TestLookupRightAfterResponse(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 1, 0, Limits{})
	e := cl.addEntry(t, Config{})
	cl.log.onCommand(&cl.log.before, isSettle, func() error {
		time.Sleep(100 * time.Millisecond)
		return nil
	})
	got, err := e.call("POST", "/s/drafts/plan", "grain", "Idempotency-Key: k")
	is.NoErr(err)
	is.Equal(got.verdict, "ran")
	late, err := e.call("GET", "/requests/k", "")
	is.NoErr(err)
	is.Equal(late.verdict, "ran")
	is.Equal(late.body, got.body)
}
