package dispatch

import (
	"time"

	"github.com/comfreyloom/comfreyloom/internal/workload"
)

const (
	// paceDownAt and paceUpAt are shares of a task's latency target. Above the
	// first, best-effort tasks beside it are slowed; below the second, they are
	// sped up again.
	paceDownAt = 0.8
	paceUpAt   = 0.5
	// paceStep is by how much a best-effort task is sped up, in percent. It is
	// slowed to a stop at once, as the effect shows within half a second.
	paceStep = 25
	// paceInterval is the time between two changes. It is longer than a worker
	// takes to apply a change and to show it in its figures.
	paceInterval = 900 * time.Millisecond
	// fullPace is the pace at which a task starts.
	fullPace = 100
)

// adjustPace slows best-effort tasks while a task beside them is near its
// latency target. How much they disturb others differs by program and changes
// within seconds, so placement alone can't prevent it.
func (l *link) adjustPace(t *workload.Tables, now time.Duration) {
	if t.RunKinds[l.target.ID].BestEffort == 0 || now-l.paceChangedAt < paceInterval {
		return
	}
	pressure, bestEffort := l.pressure(t)
	for _, run := range bestEffort {
		before, known := l.pacePercent[run]
		if !known {
			before = fullPace
		}
		after := nextPace(before, pressure)
		if after == before && !l.paceUnconfirmed[run] {
			continue
		}
		l.pacePercent[run], l.paceChangedAt = after, now
		l.enqueue(call{kind: callPace, run: run, percent: after})
		l.d.logPace(l, run, pressure, after)
	}
}

func nextPace(before int, pressure float64) int {
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
// target, and the best-effort tasks.
func (l *link) pressure(t *workload.Tables) (highest float64, bestEffort []workload.RunRef) {
	for run, seen := range l.running {
		job, _, task := t.Task(run.Task)
		if task == nil || job.Spec.Steps == nil || !t.HasRun(l.target.ID, run) {
			continue
		}
		spec := &job.Spec.Steps[run.Task.Step]
		if spec.BestEffort {
			bestEffort = append(bestEffort, run)
		}
		if spec.TargetMS > 0 {
			highest = max(highest, float64(seen.Load)/float64(spec.TargetMS))
		}
	}
	return highest, bestEffort
}
