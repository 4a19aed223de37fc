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

// Guards against a VM that stays cut off although its network works. It comes
// about when all open connections stop working at once and new ones work,
// because a device between the two ends has lost its state. The probe ends a
// waiting call. Without the probe, a call without a reply must make the
// following calls use a new connection, and a feed without new entries must
// make the learner change the voter.
func TestBlackholedConnections(t *testing.T) {
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
			is.True(rejectedUnhandled(lend())) // opens the connection
			s.network.blackholeAll()
			blackholedAt := time.Now()
			// Well above the usual time, well below the longest wait of a poll.
			ctx, cancel := context.WithTimeout(t.Context(), followWait/2)
			defer cancel()
			_, err := learner.log.Propose(ctx, claim("a"))
			is.NoErr(err)
			eventually(t, "confirmed anew", s.all(func(p *process) bool {
				return ready(p) && p.heartbeats.Status().ConfirmationAge < time.Since(blackholedAt)
			}))
			if probe == 0 {
				s.network.blackholeAll()
				is.True(!errors.Is(lend(), context.DeadlineExceeded)) // the probe ended it
			}
		})
	}
}

// Guards against one slow VM that delays the messages to all others. It comes
// about when a peer accepts connections and never replies while many messages
// are sent, and the peers share a queue or a sender.
func TestSlowPeerDelaysNoOtherPeer(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 2, 0, 0)
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer unresponsive.Close()
	counters := metrics.NewRegistry()
	addresses := map[model.NodeID]string{"n1": s.addresses["n1"], "slow": unresponsive.Addr().String()}
	client := NewClient(ClientConfig{Self: "n2", Site: testSite, Token: func() string { return s.token }, Addresses: addresses, Metrics: counters})
	replies := make(chan quorum.MessageKind, 1)
	client.SetReceiver(func(m []quorum.Message) { replies <- m[0].Kind })
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { _ = client.Run(ctx); close(done) }()
	for range 3 * sendQueueLength {
		client.Send("slow", []quorum.Message{{Kind: quorum.KindHeartbeat, From: "n2", To: "slow", Term: 1}})
	}
	client.Send("n1", []quorum.Message{{Kind: quorum.KindHeartbeat, From: "n2", To: "n1", Term: 1}})
	is.Equal(<-replies, quorum.KindHeartbeatReply) // in the reply, although n1 can also call n2
	is.True(metrics.GetOrRegisterCounter("node.exchange.dropped", counters).Count() > 0)
	cancel()
	<-done
}

// Guards against a leaving upstream that still gets work from some entry VMs.
// It comes about when the message that it leaves is lost on the way to two of
// them and nothing repairs that.
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
	s.processes["n4"].registrySync.Notify()
	began := time.Now()
	eventually(t, "leaving everywhere", s.all(sees(true)))
	t.Logf("known at every process after %v", time.Since(began))
}

// Guards against an instance whose VM died and that gets requests, and counts
// as serving in every availability budget, for ever. It comes about when it
// announces once and never again, and nothing lets the lease of its
// announcement lapse.
func TestUnresponsiveInstanceLapses(t *testing.T) {
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
	eventually(t, "removed everywhere", s.all(func(p *process) bool { return len(p.registry.All()) == 0 }))
	is.True(metrics.GetOrRegisterCounter("node.announce.lapsed", s.processes["n4"].metrics).Count() > 0)
}
