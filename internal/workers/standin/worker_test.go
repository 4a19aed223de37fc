package standin

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/workers"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// An end counts as taken note of only if the lease held from the end until its
// acknowledgement; a lease that is granted anew does not mend that.
func TestAnEndBehindALapsedLeaseIsNotNoted(t *testing.T) {
	for name, c := range map[string]struct {
		silence time.Duration
		held    bool
	}{
		"acknowledged in time": {time.Second, true},
		"the lease lapsed":     {7 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := New("w", "", workload.Resources{}, 1, 0)
			var noted []bool
			w.Acked = func(_ workload.End, held bool) { noted = append(noted, held) }
			run := workload.RunRef{Attempt: 1}
			w.Start(workers.StartOrder{Run: run, LeaseUntilMS: 6000, Fence: 1}, 0)
			w.End(run, workload.EndDone)
			w.Hold(workers.HoldOrder{LeaseUntilMS: 20_000, Fence: 1}, c.silence)
			w.Hold(workers.HoldOrder{LeaseUntilMS: 20_000, Fence: 1, Acked: 1}, c.silence+time.Second)
			is.Equal(noted, []bool{c.held})
		})
	}
}
