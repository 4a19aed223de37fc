package node

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/node/nodepb"
	"github.com/comfreyloom/comfreyloom/internal/quorum"
	"github.com/comfreyloom/comfreyloom/internal/state"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"
)

var methods = []string{"Exchange", "Propose", "ReadIndex", "Follow", "Heartbeat", "Announce", "Lend", "Identify"}

// FuzzServer sends arbitrary bodies to every method. The server replies or
// rejects the call, never panics (twirp turns a panic into status 500), and no
// invariant of the membership is violated.
func FuzzServer(f *testing.F) {
	s := newSite(f, 1, 0, 0)
	p := s.processes["n1"]
	reject := proposeHook(func(func() (state.Result, error)) (state.Result, error) { return state.Result{}, state.ErrNotProposed })
	p.voter.hook.Store(&reject) // the effects of commands are tested in package state
	handler := p.server.Handler()
	for i, m := range seeds(f) {
		f.Add(uint8(i), m)
	}
	f.Fuzz(func(t *testing.T, method uint8, body []byte) {
		name := methods[int(method)%len(methods)]
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond) // ends long polls
		defer cancel()
		r := httptest.NewRequest(http.MethodPost, nodepb.NodePathPrefix+name, bytes.NewReader(body)).WithContext(ctx)
		credentials{testSite, func() string { return s.token }}.sign(r.Header)
		r.Header.Set("Content-Type", "application/protobuf")
		response := httptest.NewRecorder()
		handler.ServeHTTP(response, r)
		if response.Code == http.StatusInternalServerError {
			t.Fatalf("%s: %s", name, response.Body)
		}
		if violations := p.heartbeats.Violations(); len(violations) > 0 {
			t.Fatal(violations)
		}
	})
}

// seeds returns one valid body for each of the first methods.
func seeds(f *testing.F) (bodies [][]byte) {
	command, err := state.Encode(claim("a"))
	if err != nil {
		f.Fatal(err)
	}
	messages, err := encode([]quorum.Message{{Kind: quorum.KindHeartbeat, From: "n2#d", To: "n1#d", Term: 1}})
	if err != nil {
		f.Fatal(err)
	}
	for _, m := range []proto.Message{
		&nodepb.ExchangeRequest{Node: "n2", Messages: messages},
		&nodepb.ProposeRequest{Node: "n2", Command: command},
		&nodepb.ReadIndexRequest{Node: "n2"},
		&nodepb.FollowRequest{Node: "n2", From: 1, WaitMs: 1},
		&nodepb.Beat{Node: "n2", Incarnation: 1, ConfirmedAgeMs: 1, Members: []*nodepb.Member{{Node: "n2"}}},
		&nodepb.AnnounceRequest{Node: "n2", Changes: []byte{0xa0}, Digest: []byte{0x80}},
	} {
		body, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		bodies = append(bodies, body)
	}
	return bodies
}

// FuzzFollowReply passes arbitrary replies to a learner. Its applied index never
// decreases, and doesn't change when a reply is refused.
func FuzzFollowReply(f *testing.F) {
	for _, kind := range []quorum.EntryKind{quorum.EntryNoop, quorum.EntryCommand} {
		data, err := encode([]quorum.Entry{{Index: 1, Term: 1, Kind: kind, Data: []byte("x")}})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, []byte{}, []byte{}, uint64(0), uint64(0))
	}
	meta, err := encode(quorum.SnapshotMeta{Index: 5, Term: 2})
	if err != nil {
		f.Fatal(err)
	}
	f.Add([]byte{}, meta, []byte("data"), uint64(0), uint64(4))
	f.Fuzz(func(t *testing.T, entries, meta, data []byte, offset, total uint64) {
		machine := state.NewMachine(state.Options{})
		follower := NewFollower(FollowerConfig{Machine: machine, Leader: &LeaderHint{}, Metrics: metrics.NewRegistry()})
		reply := &nodepb.FollowReply{Entries: entries}
		if len(meta) > 0 {
			reply.Snapshot = &nodepb.SnapshotChunk{Meta: meta, Offset: offset, Total: total, Data: data}
		}
		before := machine.Applied()
		err := follower.apply(reply)
		if after := machine.Applied(); after < before || (err != nil && after != before) {
			t.Fatalf("the applied index changed from %d to %d with error %v", before, after, err)
		}
	})
}

// FuzzBeatReply passes arbitrary replies to a beat to a process. No invariant of
// the membership is violated.
func FuzzBeatReply(f *testing.F) {
	body, err := proto.Marshal(&nodepb.Beat{Node: "n2", Incarnation: 3, Sequence: 1, Doubts: []string{"n1"}, WitnessReports: []*nodepb.WitnessReport{{Node: "n2"}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(body)
	f.Fuzz(func(t *testing.T, body []byte) {
		m := &nodepb.Beat{}
		if proto.Unmarshal(body, m) != nil {
			return
		}
		beat, err := fromWire(m)
		if err != nil {
			return
		}
		h := NewHeartbeats(HeartbeatsConfig{Self: "n1", Members: []model.NodeID{"n1", "n2"}, Machine: state.NewMachine(state.Options{}),
			Client: NewClient(ClientConfig{Self: "n1"}), Leader: &LeaderHint{}, Metrics: metrics.NewRegistry()})
		h.handleReply(h.clock(), beat)
		if violations := h.Violations(); len(violations) > 0 {
			t.Fatal(violations)
		}
	})
}
