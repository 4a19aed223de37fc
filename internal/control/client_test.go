package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

func newTestClient(now *time.Duration, cores ...model.NodeID) *Client {
	d := NewDirectory(cores, func() time.Duration { return *now })
	return &Client{self: "entry", directory: d, stubs: map[model.NodeID]stub{}}
}

// Symptom: during an election each request waits its whole time and ends with
// an unknown outcome. Sequence: the leader is cut off, the others still name it,
// every request goes there. Cause: the silence of the leader forgotten.
func TestASilentLeaderIsNotAsked(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	c := newTestClient(&now, "a", "b", "c")
	c.directory.Leader.Learn("a", 3)
	to, _ := c.next("", 0)
	is.Equal(to, model.NodeID("a"))
	c.directory.DidNotAnswer("a")
	for turn := 0; turn < 6; {
		to, turn = c.next(to, turn)
		is.True(to != "a")
	}
	is.True(c.mustWait("b", "a")) // b names a, which is silent
	now += silentFor
	to, _ = c.next("b", 0)
	is.Equal(to, model.NodeID("a"))
}

func TestDirectoryForgetsWhatNobodyHears(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	d := NewDirectory([]model.NodeID{"seed"}, func() time.Duration { return now })
	d.Heard("x")
	d.Learn([]string{"y", ""})
	is.Equal(d.Cores(), []model.NodeID{"seed", "x", "y"})
	now += forgetCore / 2
	d.Heard("x")
	d.Learn([]string{"y"}) // others still name it
	now += forgetCore/2 + time.Second
	is.Equal(d.Cores(), []model.NodeID{"seed", "x"})
}
