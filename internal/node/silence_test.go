package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/quorum"
	"github.com/comfreyloom/comfreyloom/internal/registry"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
)

// Symptom: a VM stays cut off although its network works. Sequence: all open
// connections go silent at once, new ones work. Cause: something between the
// two ends has lost track of the connections. A call that waits is saved by
// the probe; with the probe off, a call without an answer must save those that
// follow, and a feed that brings nothing the next voter.
func TestSilentConnections(t *testing.T) {
	for _, probe := range []time.Duration{0, time.Hour} {
		t.Run(fmt.Sprintf("probe=%v", probe), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := startSite(t, 3, 1, &site{interval: 100 * time.Millisecond, probe: probe})
			eventually(t, "all ready", s.all(ready))
			learner := s.processes["n4"]
			lend := func() error {
				_, err := learner.client.Lend(t.Context(), "n1", nil)
				return err
			}
			is.True(refusedUnhandled(lend())) // opens the connection
			s.network.silence()
			silenced := time.Now()
			// Well above what it takes, well below what a poll may wait.
			ctx, cancel := context.WithTimeout(t.Context(), followWait/2)
			defer cancel()
			_, err := learner.log.Propose(ctx, claim("a"))
			is.NoErr(err)
			eventually(t, "confirmed anew", s.all(func(p *process) bool {
				return ready(p) && p.heartbeats.Standing().ConfirmationAge < time.Since(silenced)
			}))
			if probe == 0 {
				s.network.silence()
				is.True(!errors.Is(lend(), context.DeadlineExceeded)) // the probe ended it
			}
		})
	}
}

// Symptom: one slow VM delays the messages to all others. Sequence: a peer
// accepts connections and answers nothing while many messages go out. Cause:
// a shared queue, or a sender that waits.
func TestSlowPeerDelaysNobody(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 2, 0, 0)
	deaf, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer deaf.Close()
	counters := metrics.NewRegistry()
	addresses := map[model.NodeID]string{"n1": s.addresses["n1"], "slow": deaf.Addr().String()}
	client := NewClient(ClientConfig{Self: "n2", Site: testSite, Token: func() string { return s.token }, Addresses: addresses, Metrics: counters})
	answered := make(chan quorum.MessageKind, 1)
	client.SetReceiver(func(m []quorum.Message) { answered <- m[0].Kind })
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { _ = client.Run(ctx); close(done) }()
	for range 3 * sendQueue {
		client.Send("slow", []quorum.Message{{Kind: quorum.KindHeartbeat, From: "n2", To: "slow", Term: 1}})
	}
	client.Send("n1", []quorum.Message{{Kind: quorum.KindHeartbeat, From: "n2", To: "n1", Term: 1}})
	is.Equal(<-answered, quorum.KindHeartbeatReply) // in the reply, although n1 can also call n2
	is.True(metrics.GetOrRegisterCounter("node.exchange.dropped", counters).Count() > 0)
	cancel()
	<-done
}

// Symptom: an upstream that is leaving still gets work from some entry VMs.
// Sequence: the message that says so is lost on the way to two of them. Cause:
// a push without repair.
func TestLeavingReachesEveryEntryVM(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSite(t, 3, 2, 0)
	eventually(t, "all ready", s.all(ready))
	u := model.Upstream{Service: "plans", Instance: "i1", Address: "127.0.0.1:9", Incarnation: 1, Sequence: 1, Slots: 8, Connections: 64}
	_, err := s.processes["n4"].registry.Announce(u, wallClock())
	is.NoErr(err)
	sees := func(leaving bool) func(*process) bool {
		return func(p *process) bool {
			for _, known := range p.registry.All() {
				return known.Leaving == leaving
			}
			return false
		}
	}
	eventually(t, "announced everywhere", s.all(sees(false)))
	s.network.cut("n4", "n5", true)
	s.network.cut("n4", "n3", true)
	u.Sequence, u.Leaving = 2, true
	_, err = s.processes["n4"].registry.Announce(u, wallClock())
	is.NoErr(err)
	s.processes["n4"].spreader.Nudge()
	began := time.Now()
	eventually(t, "leaving everywhere", s.all(sees(true)))
	t.Logf("everywhere after %v", time.Since(began))
}

// Symptom: an instance whose VM died gets requests for ever, and counts as
// serving in every budget. Sequence: it announces once and falls silent. Cause:
// nothing lets the lease of its announcement lapse.
func TestSilentInstanceLapses(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSite(t, 3, 1, 0)
	eventually(t, "all ready", s.all(ready))
	u := model.Upstream{Service: "plans", Instance: "i1", Address: "127.0.0.1:9", Incarnation: 1, Sequence: 1, Slots: 8, Connections: 64}
	at := s.processes["n4"].registry
	left := registry.LeaseRenewals*registry.DefaultRenewMin - time.Second
	_, err := at.Announce(u, wallClock().Add(-left)) // its lease ends in a second
	is.NoErr(err)
	_, listed := at.Get(u.Service, u.Instance)
	is.True(listed)
	eventually(t, "gone everywhere", s.all(func(p *process) bool { return len(p.registry.All()) == 0 }))
	is.True(metrics.GetOrRegisterCounter("node.announce.lapsed", s.processes["n4"].metrics).Count() > 0)
}
