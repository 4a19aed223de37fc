package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// ackTime returns how long a worker whose runs don't end waits for its acknowledgement, and
// the longest single attempt. The attempts follow each other as those of control.Client.
func ackTime(sim *simulation, id workload.WorkerID) (ack, attempt time.Duration) {
	began := sim.now
	for sim.now-began < 2*time.Minute {
		at := sim.now
		err := sim.leader.Leave(context.Background(), id)
		attempt = max(attempt, sim.now-at)
		if err == nil {
			return sim.now - began, attempt
		}
		sim.advance(5 * time.Millisecond)
	}
	return sim.now - began, attempt
}

// Guards against a worker that leaves without an acknowledgement within a second.
func TestNoticeIsAcknowledgedWithinASecond(t *testing.T) {
	for _, stop := range []time.Duration{400 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second, time.Minute} {
		t.Run(stop.String(), func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(11)
			sim.faultPercent, sim.knownStopTime, sim.stopTime = 0, stop, stop
			sim.elect()
			for _, f := range sim.workers {
				sim.startIncarnation(f)
			}
			sim.run(9 * time.Second)
			sim.submitJob("j", workload.StepSpec{Count: 40, Need: workload.Resources{CPU: 100}})
			sim.runWithoutEnds(500 * time.Millisecond)
			f := sim.workers[0]
			is.True(len(f.worker.Running()) > 0)
			f.draining = true
			sim.report(f)
			f.partitioned = true
			ack, attempt := ackTime(sim, f.worker.ID)
			t.Logf("stop %v: acknowledged after %v, longest attempt %v", stop, ack, attempt)
			is.True(ack < time.Second)
		})
	}
}

// slowLog commits after a time.
type slowLog struct {
	*fakeLog
	takes time.Duration
}

func (l *slowLog) Propose(ctx context.Context, c *workload.Command) error {
	if c.Term == 0 { // a round's own commits run beside the notice
		l.sim.now += l.takes
	}
	return l.fakeLog.Propose(ctx, c)
}

// Guards against a leader that counts as unresponsive, because an attempt at a notice took
// longer than control allows for one.
func TestAttemptAtANoticeFitsControlsTimeout(t *testing.T) {
	for _, takes := range []time.Duration{20 * time.Millisecond, 60 * time.Millisecond, 100 * time.Millisecond, 160 * time.Millisecond} {
		t.Run(takes.String(), func(t *testing.T) {
			is := is.New(t)
			sim, f := newLeavingSite(t, leavingSteps["task"], 0)
			sim.leader.config.Log = &slowLog{fakeLog: &fakeLog{sim: sim, term: sim.term}, takes: takes}
			sim.leader.config.StopTime = 400 * time.Millisecond
			f.worker.StopTime = 180 * time.Millisecond
			_, attempt := ackTime(sim, f.worker.ID)
			t.Logf("commit %v: longest attempt %v", takes, attempt)
			is.True(attempt <= 350*time.Millisecond)
		})
	}
}
