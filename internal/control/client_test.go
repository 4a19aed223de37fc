package control

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/comfreyloom/comfreyloom/internal/control/controlpb"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/steady"
)

func newTestClient(now *time.Duration, cores ...model.NodeID) *Client {
	d := NewDirectory(cores, func() time.Duration { return *now })
	return &Client{self: "entry", directory: d, stubs: map[model.NodeID]stub{}}
}

// Guards against requests that wait for their whole timeout during an election
// and end with an unknown outcome. It comes about when the leader is cut off,
// the others still name it, and the client forgets that it was unresponsive.
func TestUnresponsiveLeaderIsSkipped(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	c := newTestClient(&now, "a", "b", "c")
	c.directory.Leader.Update("a", 3)
	to, _ := c.nextTarget("", 0)
	is.Equal(to, model.NodeID("a"))
	c.directory.MarkUnresponsive("a")
	for turn := 0; turn < 6; {
		to, turn = c.nextTarget(to, turn)
		is.True(to != "a")
	}
	is.True(c.shouldPause("b", "a")) // b names a, which is unresponsive
	now += unresponsiveFor
	to, _ = c.nextTarget("b", 0)
	is.Equal(to, model.NodeID("a"))
}

func TestDirectoryForgetsCoresWithoutContact(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	d := NewDirectory([]model.NodeID{"seed"}, func() time.Duration { return now })
	d.RecordContact("x")
	d.AddNamed([]string{"y", ""})
	is.Equal(d.Cores(), []model.NodeID{"seed", "x", "y"})
	now += forgetCoreAfter / 2
	d.RecordContact("x")
	d.AddNamed([]string{"y"}) // others still name it
	now += forgetCoreAfter/2 + time.Second
	is.Equal(d.Cores(), []model.NodeID{"seed", "x"})
}

// replies is a process that leads and returns one reply after the other.
type replies []*controlpb.Reply

func (r *replies) Ask(context.Context, *controlpb.Request) (*controlpb.Reply, error) {
	next := (*r)[0]
	*r = (*r)[1:]
	next.Leader = "core"
	return next, nil
}

func (r *replies) Hello(context.Context, *controlpb.HelloRequest) (*controlpb.HelloReply, error) {
	return nil, ErrUnknown
}

// Guards against a job that is said not to run and runs: the proposal of a first attempt is
// still under way when a second one finds no room for the job.
func TestRefusalAfterAnUnknownOutcomeIsUnknown(t *testing.T) {
	is := is.New(t)
	ask := func(r ...*controlpb.Reply) error {
		local := replies(r)
		c := NewClient("core", &local, nil, NewDirectory([]model.NodeID{"core"}, steady.Now), metrics.NewRegistry())
		_, err := c.Ask(t.Context(), &controlpb.Request{})
		return err
	}
	refused := func() *controlpb.Reply { return &controlpb.Reply{Outcome: controlpb.Outcome_OUTCOME_DONE} }
	is.NoErr(ask(refused()))
	is.NoErr(ask(&controlpb.Reply{Outcome: controlpb.Outcome_OUTCOME_NOT_RUN}, refused()))
	is.Equal(ask(&controlpb.Reply{Outcome: controlpb.Outcome_OUTCOME_UNKNOWN}, refused()), ErrUnknown)
}
