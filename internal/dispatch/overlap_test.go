package dispatch

import "testing"

// maxCallsUnderway bounds the calls that are on their way at once in a simulation,
// maxOverlappingSteps the steps before and after a call is carried out.
const (
	maxCallsUnderway    = 2
	maxOverlappingSteps = 3
)

// Guards against a task that runs twice: its start was answered, or its stop, while an
// older list was on its way.
func TestCallsThatOverlapKeepTheInvariants(t *testing.T) {
	simulateFirstSeeds(t, seeds(t)/2, func(sim *simulation) {
		sim.callsOverlap, sim.leaves, sim.unreadablePercent = true, true, 5
		sim.keepBusy()
		sim.limitEnds(2)
		sim.stopEnds(workerStopTime)
	})
}

// makeOtherSteps has other things happen while a call is on its way.
func (sim *simulation) makeOtherSteps() {
	if !sim.callsOverlap || sim.callsUnderway >= maxCallsUnderway {
		return
	}
	sim.callsUnderway++
	for range sim.random.IntN(maxOverlappingSteps + 1) {
		sim.step()
	}
	sim.callsUnderway--
}
