package node

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/node/nodepb"
	"github.com/comfreyloom/comfreyloom/internal/quorum"
	"github.com/comfreyloom/comfreyloom/internal/state"
	"github.com/comfreyloom/comfreyloom/internal/steady"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
)

func writeFile(tb testing.TB, path, text string) {
	tb.Helper()
	is.New(tb).NoErr(os.WriteFile(path, []byte(text), 0o600))
}

// claim is a command of 60 KB that yields another result if it runs twice.
func claim(key string) state.Command {
	return state.Command{ID: model.CommandID("command-" + key), Actor: "test", ClaimRequest: &state.ClaimRequest{
		Claim: model.Claim{Key: model.RequestKey(key), Digest: bytes.Repeat([]byte("x"), 60<<10)},
	}}
}

func (p *process) count(name string) int64 {
	return metrics.GetOrRegisterCounter(name, p.metrics).Count()
}

func ready(p *process) bool { return p.heartbeats.Ready() }

func TestSiteBecomesReady(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 3, 2, 0)
	eventually(t, "all ready", s.all(ready))
	p := s.processes["n5"]
	result, err := p.log.Propose(t.Context(), claim("a"))
	is.NoErr(err)
	is.True(p.machine.Applied() >= result.Index) // applied here before it is answered
	is.Equal(len(p.heartbeats.WaitInForce(t.Context(), result.Index)), 0)
	index, err := p.log.Confirm(t.Context())
	is.NoErr(err)
	is.Equal(index, result.Index)
	eventually(t, "all members", s.all(func(p *process) bool { return len(p.heartbeats.View().Live) == 5 }))
	for _, p := range s.processes {
		is.Equal(p.heartbeats.Check(), nil)
	}
	p.heartbeats.Leave()
	eventually(t, "the leaving one is out", s.all(func(o *process) bool { return !o.heartbeats.View().Has("n5") }))
	is.True(!p.heartbeats.Ready())
}

// Symptom: a process of another site, or one with an old token, changes this
// site's state. Sequence: it proposes and exchanges messages. Cause: the
// settings of two sites were mixed up, or a token was revoked.
func TestRefusedAtTheDoor(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSite(t, 3, 0, 0)
	leader := s.processes["n1"]
	for _, c := range []struct{ site, token, counter string }{
		{"other-site", s.token, "node.refused.site"},
		{testSite, "a-token-of-somebody-else", "security.nodes.refused"},
		{testSite, "", "security.nodes.refused"},
	} {
		before := leader.count(c.counter)
		client := NewClient(ClientConfig{Self: "n2", Site: c.site, Token: func() string { return c.token }, Addresses: s.addresses, Metrics: metrics.NewRegistry()})
		ctx, giveUp := givingUpAfter(t, 5)
		log := NewLog(LogConfig{Self: "n2", Machine: leader.machine, Client: client, Voters: s.voters, Leader: &LeaderHint{}, Metrics: metrics.NewRegistry(), Pause: giveUp})
		_, err := log.Propose(ctx, claim("a"))
		is.True(errors.Is(err, state.ErrNotProposed)) // and so not outcome unknown
		is.True(leader.count(c.counter) > before)
		is.Equal(leader.machine.Applied(), uint64(0))
		client.Close()
	}
	request := httptest.NewRequest(http.MethodPost, nodepb.NodePathPrefix+"Propose", strings.NewReader("{}"))
	credentials{testSite, func() string { return s.token }}.sign(request.Header)
	request.Header.Set("Content-Type", "application/json")
	answer := httptest.NewRecorder()
	leader.server.Handler().ServeHTTP(answer, request)
	is.Equal(answer.Code, http.StatusBadRequest)
	is.Equal(leader.count("node.refused.form"), int64(1))
}

// givingUpAfter returns a context that ends between two tries, after so many. A
// context that ended by time could end a try on its way, whose outcome is
// rightly unknown.
func givingUpAfter(t *testing.T, tries int) (context.Context, func(context.Context, time.Duration)) {
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	return ctx, func(ctx context.Context, d time.Duration) {
		if tries--; tries == 0 {
			cancel()
		}
		steady.Pause(ctx, d)
	}
}

// Symptom: a change takes effect twice, or is reported as not made although
// it was. Sequence: the leader commits, its answer is lost, and the command
// comes again, or the caller's time is over. Cause: the answer to a command
// can be lost after its effect.
func TestLostAnswersOfPropose(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSite(t, 3, 1, 0)
	leader, learner := s.processes["n1"], s.processes["n4"]
	calls := 0
	loseFirst := proposeHook(func(next func() (state.Result, error)) (state.Result, error) {
		calls++
		result, err := next()
		if calls == 1 {
			return state.Result{}, errors.New("the answer is lost")
		}
		return result, err
	})
	leader.voter.hook.Store(&loseFirst)
	result, err := learner.log.Propose(t.Context(), claim("a"))
	is.NoErr(err)
	is.Equal(calls, 2)
	is.True(result.Claim.Granted) // the first result, not that of a second claim
	is.True(learner.log.Claim("a") != nil)

	loseLast := proposeHook(func(next func() (state.Result, error)) (state.Result, error) {
		_, _ = next()
		s.log.lead("") // from now on every voter says that it does not lead
		leader.voter.hook.Store(nil)
		return state.Result{}, errors.New("the answer is lost")
	})
	leader.voter.hook.Store(&loseLast)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	_, err = learner.log.Propose(ctx, claim("b"))
	is.True(errors.Is(err, state.ErrOutcomeUnknown))
	is.True(!errors.Is(err, state.ErrNotProposed))

	ctx, giveUp := givingUpAfter(t, 5)
	log := NewLog(LogConfig{Self: "n4", Machine: learner.machine, Client: learner.client, Voters: s.voters, Leader: &LeaderHint{}, Metrics: metrics.NewRegistry(), Pause: giveUp})
	_, err = log.Propose(ctx, claim("c"))
	is.True(errors.Is(err, state.ErrNotProposed)) // nobody took it
	_, err = learner.log.Propose(t.Context(), state.Command{})
	is.True(errors.Is(err, state.ErrNotProposed)) // no ID
}

// Symptom: a VM forgets an accepted change. Sequence: a voter with an older
// or another log answers the feed after a newer one did. Cause: a restored
// disk, a site that was founded anew, or a fault of a voter.
func TestLearnerNeverStepsBack(t *testing.T) {
	is := is.New(t)
	machine := state.NewMachine(state.Options{})
	f := NewFollower(FollowerConfig{Self: "n4", Machine: machine, Leader: &LeaderHint{}, Metrics: metrics.NewRegistry()})
	feed := func(term uint64, indexes ...uint64) *nodepb.FollowReply {
		var entries []quorum.Entry
		for _, index := range indexes {
			entries = append(entries, quorum.Entry{Index: index, Term: term, Kind: quorum.EntryNoop})
		}
		data, err := encode(entries)
		is.NoErr(err)
		return &nodepb.FollowReply{Entries: data}
	}
	older, err := machine.Snapshot()
	is.NoErr(err)
	snapshot := func(index, term uint64) *nodepb.FollowReply {
		c, err := chunk(&quorum.Snapshot{Meta: quorum.SnapshotMeta{Index: index, Term: term}, Data: older}, 0)
		is.NoErr(err)
		return &nodepb.FollowReply{Snapshot: c}
	}
	is.NoErr(f.apply(feed(3, 1, 2, 3)))
	for _, c := range []struct {
		reply *nodepb.FollowReply
		want  error
	}{
		{feed(3, 2, 3, 4), ErrBadFeed},           // starts before what was asked for
		{feed(3, 5), ErrBadFeed},                 // leaves a gap
		{feed(3, 4, 6), ErrBadFeed},              // has a gap; no part of it is applied
		{feed(2, 4), ErrStepBack},                // of another history
		{snapshot(3, 3), ErrStepBack},            // not later
		{snapshot(9, 2), ErrStepBack},            // of another history
		{snapshot(9, 3), state.ErrStaleSnapshot}, // says 9 but holds index 0
		{&nodepb.FollowReply{Entries: []byte("x")}, ErrBadFeed},
	} {
		is.True(errors.Is(f.apply(c.reply), c.want))
		is.Equal(machine.Applied(), uint64(3))
	}
	is.NoErr(f.apply(feed(4, 4)))
}

// Symptom: a restarted VM serves on an empty or old state. Sequence: a learner
// restarts; its beats are answered at once, but its feed is slow. Cause:
// being connected is taken for being up to date.
func TestRestartedLearnerIsUnreadyUntilCaughtUp(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 3, 1, 0)
	eventually(t, "all ready", s.all(ready))
	for i := range 12 {
		_, err := s.processes["n4"].log.Propose(t.Context(), claim(fmt.Sprint(i)))
		is.NoErr(err)
	}
	index := s.processes["n4"].machine.Applied()
	s.processes["n4"].stop()
	is.NoErr(s.processes["n1"].voter.compact())
	hold := make(chan struct{})
	for _, name := range s.voters {
		s.processes[name].voter.hold = hold
	}
	learner := s.start(t, "n4", nil)
	eventually(t, "the quorum's word arrived", func() bool {
		return strings.HasPrefix(learner.heartbeats.Standing().Reason, "catching up")
	})
	is.True(!learner.heartbeats.Ready())
	close(hold)
	eventually(t, "ready", func() bool { return ready(learner) })
	is.True(learner.machine.Applied() >= index)
	is.Equal(learner.count("node.follow.snapshots"), int64(1)) // 720 KB, so in two chunks
	is.True(learner.log.Claim("11") != nil)
}

// Symptom: a VM stays on an old state although most voters go on. Sequence:
// the leader that it follows is cut off from the other voters, which elect
// another; the old one still answers the learner. Cause: a feed without news
// looks the same from both sides of a partition.
func TestLearnerLeavesVoterOnTheWrongSide(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSite(t, 3, 1, 0)
	old, learner := s.processes["n1"], s.processes["n4"]
	eventually(t, "all ready", s.all(ready))
	old.voter.stale.Store(&Standing{Leader: "n1", Term: 1, Leads: true})
	s.network.isolate("n1", []model.NodeID{"n2", "n3"}, true)
	s.log.lead("n2")
	_, err := s.processes["n3"].log.Propose(t.Context(), claim("a"))
	is.NoErr(err)
	eventually(t, "the learner has the change", func() bool { return learner.machine.Applied() == 1 })
	eventually(t, "ready", func() bool { return ready(learner) })
	eventually(t, "the new leader is known", func() bool {
		leader, term := learner.log.Leader()
		return leader == "n2" && term == 2
	})
	is.True(learner.count("node.follow.rotations") > 0)
}

// Symptom: a VM that was cut off as the leader goes on for as long as it is cut
// off: its controller sends commands, and its status names it as the leader.
// Sequence: it led and heard so from itself; its lease lapsed; it hears of no
// other leader. Cause: without a leader the last hint counts, which is itself.
func TestFormerLeaderIsNoHintToItself(t *testing.T) {
	is := is.New(t)
	voter, hint := &fakeVoter{}, &LeaderHint{}
	l := NewLog(LogConfig{Self: "n1", Voter: voter, Leader: hint, Metrics: metrics.NewRegistry()})
	hint.Learn("n1", 2)
	voter.stale.Store(&Standing{Leader: "n1", Term: 2, Leads: true})
	leader, term := l.Leader()
	is.Equal(leader, model.NodeID("n1"))
	is.Equal(term, uint64(2))
	voter.stale.Store(&Standing{Term: 2})
	leader, _ = l.Leader()
	is.Equal(leader, model.NodeID(""))
}

// Symptom: a VM takes requests on an old state, or is given slots, while the
// others don't hear it. Sequence: everything that it sends is lost, what is
// sent to it arrives. Cause: a one-way partition.
func TestOneWayPartition(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSite(t, 3, 2, 100*time.Millisecond)
	muted := s.processes["n5"]
	eventually(t, "all members", s.all(func(p *process) bool { return ready(p) && len(p.heartbeats.View().Live) == 5 }))
	for _, other := range s.names {
		s.network.cut("n5", other, other != "n5")
	}
	eventually(t, "unready and out", func() bool { return !ready(muted) && !s.processes["n1"].heartbeats.View().Has("n5") })
	is.True(s.all(func(p *process) bool { return ready(p) == (p != muted) })())
	is.Equal(s.processes["n1"].heartbeats.InForce(1), s.names)
	for _, other := range s.names {
		s.network.cut("n5", other, false)
	}
	eventually(t, "ready and member again", s.all(func(p *process) bool { return ready(p) && p.heartbeats.View().Has("n5") }))
}
