package state

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// testSite has two pools, one service, one team and two waves over both pools.
func testSite(revision uint64) *model.Site {
	shape := model.Resources{MilliCPU: 16_000, MemoryMB: 64_000}
	return &model.Site{
		Name:     "test",
		Revision: revision,
		Pools: []model.Pool{
			{ID: "a", MinVMs: 1, MaxVMs: 4, Shape: shape},
			{ID: "b", MinVMs: 1, MaxVMs: 4, Shape: shape},
		},
		Services: []model.Service{{ID: "plans", Pool: "a", Instances: 3, MinAvailable: 2}},
		Teams:    []model.Team{{ID: "berths", MaxJobs: 30}},
		Waves: []model.Wave{
			{ID: "w1", Pools: []model.PoolID{"a", "b"}, Start: 50, Soak: 20 * time.Millisecond},
			{ID: "w2", Pools: []model.PoolID{"a", "b"}, Start: 90, MaxParallel: 1},
		},
	}
}

// testManifest returns a manifest command; variants of a revision have different
// digests.
func testManifest(revision uint64, variant string) *ApplyManifest {
	text := []byte(fmt.Sprintf("revision %d %s", revision, variant))
	sum := sha256.Sum256(text)
	return &ApplyManifest{
		Revision: revision,
		Digest:   hex.EncodeToString(sum[:]),
		Text:     text,
		Site:     testSite(revision),
	}
}

// driver applies commands at consecutive indexes, with new IDs.
type driver struct {
	t       *testing.T
	machine *Machine
	index   uint64
	at      model.Instant
}

func newDriver(t *testing.T, rules Rules) *driver {
	d := &driver{t: t, machine: NewMachine(Options{Rules: rules}), at: 100}
	d.apply(Command{ApplyManifest: testManifest(1, "")})
	return d
}

func (d *driver) apply(c Command) Result {
	d.index++
	if c.ID == "" {
		c.ID = model.CommandID(fmt.Sprintf("c%d", d.index))
	}
	if c.At == 0 {
		c.At = d.at
	}
	data, err := Encode(c)
	if err != nil {
		d.t.Fatal(err)
	}
	return d.machine.Apply(d.index, data)
}

// act applies one action and returns its refusal.
func (d *driver) act(a Action) Refusal {
	return d.apply(Command{Term: 1, Plan: &Plan{Actions: []Action{a}}}).Actions[0]
}

func TestStateSurvivesSnapshot(t *testing.T) {
	is := is.New(t)
	d := newDriver(t, Rules{})
	is.Equal(d.act(Action{BeginMove: &BeginMove{VM: "v1", Target: "a"}}), Refusal(""))
	task := model.Task{ID: "t1", Service: "plans", VM: "v1", Worker: "k1", LeaseUntil: 1000}
	is.Equal(d.act(Action{StartTask: &StartTask{Task: task, Pool: "a"}}), Refusal(""))
	d.apply(Command{SubmitJob: &SubmitJob{Spec: model.JobSpec{ID: "j1", Team: "berths", Pool: "a", Payload: []byte("x")}}})
	d.apply(Command{ClaimRequest: &ClaimRequest{Claim: model.Claim{Key: "k", Owner: "n1"}}})

	data, err := d.machine.Snapshot()
	is.NoErr(err)
	restored := NewMachine(Options{})
	is.NoErr(restored.Restore(data))
	is.Equal(restored.View().Digest, d.machine.View().Digest)
	is.Equal(restored.Check(), nil)
	reencoded, err := restored.Snapshot()
	is.NoErr(err)
	is.Equal(reencoded, data) // equal states encode to equal bytes
}
