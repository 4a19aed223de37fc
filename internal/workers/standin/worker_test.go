package standin

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/workers"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// The acknowledgement of an end counts only if the lease was held from the end
// until then; a lease that is renewed after it expired does not change that.
func TestEndAfterLapsedLeaseIsNotHeld(t *testing.T) {
	for name, c := range map[string]struct {
		pause time.Duration
		held  bool
	}{
		"acknowledged in time": {time.Second, true},
		"the lease expired":    {7 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := New("w", "", workload.Resources{}, 1, 0)
			var heldFlags []bool
			w.OnAck = func(_ workload.End, held bool) { heldFlags = append(heldFlags, held) }
			run := workload.RunRef{Attempt: 1}
			w.Start(workers.StartOrder{Run: run, LeaseUntilMS: 6000, Fence: 1}, 0)
			w.End(run, workload.EndDone)
			w.Hold(workers.HoldOrder{LeaseUntilMS: 20_000, Fence: 1}, c.pause)
			w.Hold(workers.HoldOrder{LeaseUntilMS: 20_000, Fence: 1, Acked: 1}, c.pause+time.Second)
			is.Equal(heldFlags, []bool{c.held})
		})
	}
}
