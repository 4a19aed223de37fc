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

// claim returns a command of 60 KiB whose result differs if it runs twice.
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
	is.True(p.machine.Applied() >= result.Index) // applied here before Propose returns
	is.Equal(len(p.heartbeats.WaitInForce(t.Context(), result.Index)), 0)
	index, err := p.log.Confirm(t.Context())
	is.NoErr(err)
	is.Equal(index, result.Index)
	eventually(t, "all members", s.all(func(p *process) bool { return len(p.heartbeats.View().Live) == 5 }))
	for _, p := range s.processes {
		is.Equal(p.heartbeats.Violations(), nil)
	}
	p.heartbeats.Leave()
	eventually(t, "the leaving process is no member", s.all(func(o *process) bool { return !o.heartbeats.View().Has("n5") }))
	is.True(!p.heartbeats.Ready())
}

// Guards against a process that changes the state of this site although it
// belongs to another one or its token was revoked. It comes about when the
// settings of two sites are mixed up.
func TestForeignCallsAreRefused(t *testing.T) {
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
		is.True(errors.Is(err, state.ErrNotProposed)) // and not outcome unknown
		is.True(leader.count(c.counter) > before)
		is.Equal(leader.machine.Applied(), uint64(0))
		client.Close()
	}
	request := httptest.NewRequest(http.MethodPost, nodepb.NodePathPrefix+"Propose", strings.NewReader("{}"))
	credentials{testSite, func() string { return s.token }}.sign(request.Header)
	request.Header.Set("Content-Type", "application/json")
	response := httptest.NewRecorder()
	leader.server.Handler().ServeHTTP(response, request)
	is.Equal(response.Code, http.StatusBadRequest)
	is.Equal(leader.count("node.refused.form"), int64(1))
}

// givingUpAfter returns a context that ends between two attempts, after a
// number of them, and the pause function that ends it. A context with a
// deadline could end during an attempt, whose outcome would rightly be unknown.
func givingUpAfter(t *testing.T, attempts int) (context.Context, func(context.Context, time.Duration)) {
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	return ctx, func(ctx context.Context, d time.Duration) {
		if attempts--; attempts == 0 {
			cancel()
		}
		steady.Pause(ctx, d)
	}
}

// Guards against a change that takes effect twice, or is reported as not made
// although it was. It comes about when the leader commits a command, its reply is
// lost, and the command is sent again or the caller's deadline passes.
func TestLostRepliesOfPropose(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSite(t, 3, 1, 0)
	leader, learner := s.processes["n1"], s.processes["n4"]
	calls := 0
	loseFirst := proposeHook(func(next func() (state.Result, error)) (state.Result, error) {
		calls++
		result, err := next()
		if calls == 1 {
			return state.Result{}, errors.New("the reply is lost")
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
		s.log.setLeader("") // from now on every voter replies that it does not lead
		leader.voter.hook.Store(nil)
		return state.Result{}, errors.New("the reply is lost")
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
	is.True(errors.Is(err, state.ErrNotProposed)) // no process accepted it
	_, err = learner.log.Propose(t.Context(), state.Command{})
	is.True(errors.Is(err, state.ErrNotProposed)) // no ID
}

// Guards against a VM that forgets an accepted change. It comes about when a
// voter with an older or another log serves the feed after one with a newer log
// did, because of a restored disk, a site that was founded anew, or a faulty
// voter.
func TestLearnerRefusesStaleFeeds(t *testing.T) {
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
		{feed(3, 2, 3, 4), ErrInvalidFeed},       // starts before the requested index
		{feed(3, 5), ErrInvalidFeed},             // leaves a gap
		{feed(3, 4, 6), ErrInvalidFeed},          // has a gap; no part of it is applied
		{feed(2, 4), ErrStaleFeed},               // of another history
		{snapshot(3, 3), ErrStaleFeed},           // not later
		{snapshot(9, 2), ErrStaleFeed},           // of another history
		{snapshot(9, 3), state.ErrStaleSnapshot}, // claims index 9 but holds index 0
		{&nodepb.FollowReply{Entries: []byte("x")}, ErrInvalidFeed},
	} {
		is.True(errors.Is(f.apply(c.reply), c.want))
		is.Equal(machine.Applied(), uint64(3))
	}
	is.NoErr(f.apply(feed(4, 4)))
}

// Guards against a restarted VM that serves on an empty or old state. It comes
// about when a learner restarts, its heartbeats get replies at once while its
// feed is slow, and being connected counts as being up to date.
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
	eventually(t, "the confirmation of a quorum arrived", func() bool {
		return strings.HasPrefix(learner.heartbeats.Status().Reason, "catching up")
	})
	is.True(!learner.heartbeats.Ready())
	close(hold)
	eventually(t, "ready", func() bool { return ready(learner) })
	is.True(learner.machine.Applied() >= index)
	is.Equal(learner.count("node.follow.snapshots"), int64(1)) // 720 KB, which is more than one chunk
	is.True(learner.log.Claim("11") != nil)
}

// Guards against a VM that stays on an old state although the majority of voters
// continues. It comes about when the leader that it follows is cut off from the
// other voters, which elect another, and still replies to the learner: a feed
// without new entries looks the same on both sides of a partition.
func TestLearnerLeavesPartitionedVoter(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSite(t, 3, 1, 0)
	old, learner := s.processes["n1"], s.processes["n4"]
	eventually(t, "all ready", s.all(ready))
	old.voter.stale.Store(&VoterStatus{Leader: "n1", Term: 1, Leads: true})
	s.network.isolate("n1", []model.NodeID{"n2", "n3"}, true)
	s.log.setLeader("n2")
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

// Guards against a leader that was cut off and continues as the leader for as
// long as the partition lasts: its controller sends commands, and its status
// names it as the leader. It comes about when its lease has lapsed, it learns
// of no other leader, and the last hint, which is itself, is used.
func TestFormerLeaderIgnoresHintOfItself(t *testing.T) {
	is := is.New(t)
	voter, hint := &fakeVoter{}, &LeaderHint{}
	l := NewLog(LogConfig{Self: "n1", Voter: voter, Leader: hint, Metrics: metrics.NewRegistry()})
	hint.Update("n1", 2)
	voter.stale.Store(&VoterStatus{Leader: "n1", Term: 2, Leads: true})
	leader, term := l.Leader()
	is.Equal(leader, model.NodeID("n1"))
	is.Equal(term, uint64(2))
	voter.stale.Store(&VoterStatus{Term: 2})
	leader, _ = l.Leader()
	is.Equal(leader, model.NodeID(""))
}

// Guards against a VM that takes requests on an old state, or is assigned slots,
// while the others get no message from it. It comes about in a one-way partition:
// everything that it sends is lost, and what is sent to it arrives.
func TestOneWayPartition(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSite(t, 3, 2, 100*time.Millisecond)
	cutOff := s.processes["n5"]
	eventually(t, "all members", s.all(func(p *process) bool { return ready(p) && len(p.heartbeats.View().Live) == 5 }))
	for _, other := range s.names {
		s.network.cut("n5", other, other != "n5")
	}
	eventually(t, "unready and no member", func() bool { return !ready(cutOff) && !s.processes["n1"].heartbeats.View().Has("n5") })
	is.True(s.all(func(p *process) bool { return ready(p) == (p != cutOff) })())
	is.Equal(s.processes["n1"].heartbeats.Behind(1), s.names)
	for _, other := range s.names {
		s.network.cut("n5", other, false)
	}
	eventually(t, "ready and member again", s.all(func(p *process) bool { return ready(p) && p.heartbeats.View().Has("n5") }))
}
