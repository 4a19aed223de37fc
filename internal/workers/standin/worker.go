// Package standin is a worker as the published protocol describes it, for
// tests: leases on its own clock, fences, attempts, ends that are listed until
// they are acknowledged. It has no goroutine, socket or clock of its own.
package standin

import (
	"time"

	"github.com/comfreyloom/comfreyloom/internal/workers"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// Worker is one incarnation of a worker.
type Worker struct {
	ID       workload.WorkerID
	Address  string
	Capacity workload.Resources
	// Speed is the share at which its clock runs, 0.98 at the slowest.
	Speed float64
	// Born is the time of its start; its clock begins there at BornMS.
	Born   time.Duration
	BornMS int64
	// Dead: the incarnation is over.
	Dead bool
	// Fails makes every run end failed.
	Fails bool
	// Hangs keeps the progress of every run where it is, at HangsAt percent.
	Hangs   bool
	HangsAt int
	// Acked is told of each end that was acknowledged, and whether the lease
	// held since the end: otherwise the end does not count as taken note of.
	Acked func(end workload.End, held bool)
	// Ended is told of each end.
	Ended func(workload.End)

	fence   uint64
	until   int64
	runs    map[workload.RunRef]*run
	highest map[workload.TaskRef]int
	ends    []workload.End
	next    uint64
	// lapsed is the number of the last end that was listed when the lease lapsed.
	lapsed uint64
}

type run struct{ started time.Duration }

// New returns a worker that was just started.
func New(id workload.WorkerID, address string, capacity workload.Resources, speed float64, now time.Duration) *Worker {
	return &Worker{
		ID: id, Address: address, Capacity: capacity, Speed: speed, Born: now, BornMS: 1000,
		runs: map[workload.RunRef]*run{}, highest: map[workload.TaskRef]int{},
	}
}

// ClockMS reads the worker's clock.
func (w *Worker) ClockMS(now time.Duration) int64 {
	return w.BornMS + int64(float64((now-w.Born).Milliseconds())*w.Speed)
}

// Expire ends what has lapsed.
func (w *Worker) Expire(now time.Duration) {
	if w.ClockMS(now) < w.until {
		return
	}
	w.lapsed = w.next
	for r := range w.runs {
		w.End(r, workload.EndLapsed)
	}
}

// Running returns the runs that run now.
func (w *Worker) Running() []workload.RunRef {
	var all []workload.RunRef
	if w.Dead {
		return nil
	}
	for r := range w.runs {
		all = append(all, r)
	}
	return all
}

// Age returns for how long a run has been running, 0 when it is not there.
func (w *Worker) Age(r workload.RunRef, now time.Duration) time.Duration {
	if w.runs[r] == nil {
		return 0
	}
	return now - w.runs[r].started
}

// End ends a run.
func (w *Worker) End(r workload.RunRef, kind workload.EndKind) {
	delete(w.runs, r)
	w.next++
	end := workload.End{Worker: w.ID, Number: w.next, Run: r, Kind: kind}
	w.ends = append(w.ends, end)
	if w.Ended != nil {
		w.Ended(end)
	}
	w.highest[r.Task] = max(w.highest[r.Task], r.Attempt)
}

// Listed returns the ends that are not acknowledged.
func (w *Worker) Listed() []workload.End { return w.ends }

// Start carries out a start.
func (w *Worker) Start(o workers.StartOrder, now time.Duration) workers.Answer {
	w.Expire(now)
	answer := workers.Answer{ClockMS: w.ClockMS(now)}
	switch {
	case o.Fence < w.fence:
		answer.Refusal = workers.RefusedFence
		return answer
	case w.runs[o.Run] != nil:
		w.fence = o.Fence
		return answer
	case o.LeaseUntilMS <= answer.ClockMS:
		answer.Refusal = workers.RefusedLate
	case o.Run.Attempt <= w.highest[o.Run.Task]:
		answer.Refusal = workers.RefusedOld
	}
	w.fence = o.Fence
	w.until = max(w.until, o.LeaseUntilMS)
	if answer.Refusal == workers.Accepted {
		w.runs[o.Run] = &run{started: now}
	}
	return answer
}

// Stop carries out a stop.
func (w *Worker) Stop(r workload.RunRef, fence uint64, now time.Duration) workers.Answer {
	w.Expire(now)
	answer := workers.Answer{ClockMS: w.ClockMS(now)}
	if fence < w.fence {
		answer.Refusal = workers.RefusedFence
		return answer
	}
	w.fence = fence
	w.highest[r.Task] = max(w.highest[r.Task], r.Attempt)
	if w.runs[r] != nil {
		w.End(r, workload.EndStopped)
	}
	return answer
}

// Hold carries out a hold.
func (w *Worker) Hold(o workers.HoldOrder, now time.Duration) workers.List {
	w.Expire(now)
	list := workers.List{Answer: workers.Answer{ClockMS: w.ClockMS(now)}}
	if o.Fence < w.fence {
		list.Refusal = workers.RefusedFence
		return list
	}
	w.fence = o.Fence
	w.until = max(w.until, o.LeaseUntilMS)
	for len(w.ends) > 0 && w.ends[0].Number <= o.Acked {
		if w.Acked != nil {
			w.Acked(w.ends[0], w.ends[0].Number > w.lapsed)
		}
		w.ends = w.ends[1:]
	}
	list.Ends = append(list.Ends, w.ends...)
	for r, running := range w.runs {
		percent := int(min((now-running.started)/(10*time.Millisecond), 100))
		if w.Hangs {
			percent = w.HangsAt
		}
		list.Running = append(list.Running, workers.Running{Run: r, Percent: percent})
	}
	return list
}
