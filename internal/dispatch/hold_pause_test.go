package dispatch

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/text"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/relay"
	"github.com/comfreyloom/comfreyloom/internal/workers"
)

// The end of a task stays unseen while its worker is not called, and its capacity is
// idle. A fifth of the shortest tasks' 800 ms at most may pass between two calls.
func TestEndsAreSeenSoonOnAGrownSite(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1)
	d := sim.leader
	d.heldWorkers.Store(350)
	d.config.ListRate = grownSite(sim).ListRate
	is.True(d.holdPause() <= 160*time.Millisecond)
}

// grownSite returns the client of a leader with 350 workers and eight other core VMs.
func grownSite(sim *simulation) *relay.Client {
	others := []model.NodeID{"a", "b", "c", "d", "e", "f", "g", "h"}
	c := relay.NewClient(relay.ClientConfig{
		Direct: fakeNet{sim}, Available: func() []model.NodeID { return others }, KnownWorkers: func() int { return 350 },
		WorkersPerRelay: 70, Now: func() time.Duration { return sim.now },
		Logger: &log.Logger{Handler: text.New(io.Discard), Level: log.FatalLevel}, Metrics: metrics.NewRegistry(),
	})
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_, _ = c.Hold(ended, workers.Target{ID: "w"}, workers.HoldOrder{}) // the first call chooses the relays
	return c
}
