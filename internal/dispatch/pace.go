package dispatch

import (
	"time"

	"github.com/comfreyloom/comfreyloom/internal/workload"
)

const (
	// paceDownAt and paceUpAt are shares of a task's latency target: above the
	// first what fills beside it is slowed, below the second it is let go on.
	paceDownAt = 0.8
	paceUpAt   = 0.5
	// paceStep is by how much a task that fills is let go on, in percent; it is
	// slowed at once to a stop: the effect shows within half a second.
	paceStep = 25
	// paceEvery is the time between two changes, longer than a worker takes to
	// act on one and to show it in its figures.
	paceEvery = 900 * time.Millisecond
	// fullPace is the pace at which a task starts.
	fullPace = 100
)

// steerPace slows the tasks that take what others leave while a task beside
// them is near its latency target. What they disturb differs by program and
// changes within seconds, so that no placement prevents it for sure.
func (l *link) steerPace(t *workload.Tables, now time.Duration) {
	if t.Kinds[l.target.ID].Filling == 0 || now-l.pacedAt < paceEvery {
		return
	}
	pressure, fills := l.pressure(t)
	for _, run := range fills {
		before, known := l.paced[run]
		if !known {
			before = fullPace
		}
		after := paceAfter(before, pressure)
		if after == before {
			continue
		}
		l.paced[run], l.pacedAt = after, now
		l.enqueue(call{kind: callPace, run: run, percent: after})
		l.d.logPace(l, run, pressure, after)
	}
}

func paceAfter(before int, pressure float64) int {
	switch {
	case pressure >= paceDownAt:
		return 0
	case pressure <= paceUpAt:
		return min(before+paceStep, fullPace)
	default:
		return before
	}
}

// pressure returns how near the tasks with a latency target are to it, 1 at the
// target, and the tasks that fill.
func (l *link) pressure(t *workload.Tables) (most float64, fills []workload.RunRef) {
	for run, seen := range l.running {
		job, _, task := t.Task(run.Task)
		if task == nil || job.Spec.Steps == nil || !t.HasRun(l.target.ID, run) {
			continue
		}
		spec := &job.Spec.Steps[run.Task.Step]
		if spec.Fills {
			fills = append(fills, run)
		}
		if spec.TargetMS > 0 {
			most = max(most, float64(seen.Load)/float64(spec.TargetMS))
		}
	}
	return most, fills
}
