package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The end of a task stays unseen while its worker is not called, and its capacity is
// idle. A fifth of the shortest tasks' 800 ms at most may pass between two calls.
func TestEndsAreSeenSoonOnAGrownSite(t *testing.T) {
	is := is.New(t)
	d := newSimulation(1).leader
	d.heldWorkers.Store(350)
	is.True(d.holdPause() <= 160*time.Millisecond)
}
