package dispatch

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/comfreyloom/comfreyloom/internal/capacity"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/workers"
)

// Guards against a wave that takes more VMs at once than it may, and against runs on a VM
// that is about to be taken: an order for it had got no answer, and a refused repetition
// was taken for proof that it is not carried out.
func TestRefusedRepetitionDoesNotSettleAnOrder(t *testing.T) {
	unanswered := &workers.CallError{Verdict: model.MayHaveRun, Err: io.EOF}
	unsent := &workers.CallError{Verdict: model.NotRun, Err: io.EOF}
	for _, c := range []struct {
		name    string
		first   error
		after   time.Duration
		reply   FleetReply
		settled bool
	}{
		{"limited, no answer before", unanswered, time.Second, FleetRateLimited, false},
		{"busy, no answer before", unanswered, time.Second, FleetBusy, false},
		{"not part of the wave, no answer before", unanswered, time.Second, FleetWrongWave, true},
		{"limited, long after", unanswered, flightTimeout + time.Second, FleetRateLimited, true},
		{"limited, not sent before", unsent, time.Second, FleetRateLimited, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(1)
			d := sim.leader
			d.group = &conc.WaitGroup{}
			d.fleet = newFleetState(sim.now, &capacity.Demand{})
			fl := &flight{InFlightOrder: capacity.InFlightOrder{Order: capacity.Order{Kind: capacity.Maintain, VM: "m", Wave: 1}}, calls: 1}
			d.fleet.flights["m"] = fl
			is.True(!d.handleFleetReply(fl, 1, FleetUnknown, c.first))
			sim.now += c.after
			fl.calls = 2
			is.Equal(d.handleFleetReply(fl, 2, c.reply, nil), c.settled)
			is.Equal(d.fleet.flights["m"] == nil, c.settled)
		})
	}
}
