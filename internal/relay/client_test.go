package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/text"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/workers"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

func TestNumberOfRelaysFollowsTheWorkers(t *testing.T) {
	is := is.New(t)
	nodes := []model.NodeID{"a", "b", "c", "d", "e", "f"}
	for _, c := range []struct{ workers, current, want int }{
		{0, 0, 0}, {69, 0, 0}, {70, 0, 1}, {349, 0, 4}, {5000, 0, maxRelays},
		{200, 4, 4}, {139, 4, 1}, {34, 1, 0}, {35, 1, 1},
	} {
		is.Equal(len(choose(nodes, c.workers, 70, c.current)), c.want)
	}
	is.Equal(len(choose(nodes[:2], 5000, 70, 4)), 2)
}

// The workers of a relay that drops out go to the others; no other worker changes its
// relay, as each would be called over new connections.
func TestOnlyTheWorkersOfALostRelayMove(t *testing.T) {
	is := is.New(t)
	all := []model.NodeID{"a", "b", "c", "d"}
	counts := map[model.NodeID]int{}
	for i := range 400 {
		worker := workload.WorkerID(fmt.Sprintf("w-%d", i))
		before := relayFor(worker, all)
		counts[before]++
		if before != "d" {
			is.Equal(relayFor(worker, all[:3]), before)
		}
	}
	for _, relay := range all {
		is.True(counts[relay] > 60 && counts[relay] < 140)
	}
}

// newTestClient returns a client with one relay and a clock of the test.
func newTestClient(direct workers.Client, now *time.Duration) *Client {
	return NewClient(ClientConfig{
		Direct: direct, Available: func() []model.NodeID { return []model.NodeID{"r"} },
		KnownWorkers: func() int { return 100 }, WorkersPerRelay: 70, Now: func() time.Duration { return *now },
		Logger: &log.Logger{Handler: text.New(io.Discard), Level: log.FatalLevel}, Metrics: metrics.NewRegistry(),
	})
}

// A relay that does not answer is left out, and its workers are called from the leader
// at once. After the penalty it is used again.
func TestLostRelayIsLeftOutForAWhile(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	c := newTestClient(&fakeWorkers{}, &now)
	is.True(c.laneFor("w") != nil)
	is.Equal(c.ListRate(), directListsPerSecond+relayedListsPerSecond)
	c.recordLoss("r", errors.New("cut off"))
	is.True(c.laneFor("w") == nil)
	is.Equal(c.ListRate(), directListsPerSecond)
	now += relayPenalty + reviewInterval
	is.True(c.laneFor("w") != nil)
}

// A leader that lacks processor time takes its voters for unresponsive. It must not lose
// its relays for that, or it makes all calls itself when it can least afford them.
func TestRelayThatAnswersStays(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	responsive := []model.NodeID{"r"}
	c := newTestClient(&fakeWorkers{}, &now)
	c.config.Available = func() []model.NodeID { return slices.Clone(responsive) }
	l := c.laneFor("w")
	l.recordAnswer()
	responsive = nil
	now += reviewInterval
	is.Equal(c.laneFor("w"), l)
	now += relayFreshness
	is.True(c.laneFor("w") == nil)
}

// A worker that its relay can't reach is called from the leader: only the path
// between the two may be cut.
func TestWorkerThatItsRelayCannotReachIsCalledDirectly(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	direct := &fakeWorkers{}
	c := newTestClient(direct, &now)
	c.callDirectly("w")
	_, err := c.Start(context.Background(), someTarget, workers.StartOrder{Run: someRun})
	is.NoErr(err)
	is.Equal(direct.startCount(), 1)
	is.True(c.laneFor("other") != nil)
	now += directPeriod
	is.True(c.laneFor("w") != nil)
}
