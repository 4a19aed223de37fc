// Package standin provides a worker for tests that follows the published
// protocol: leases by its own clock, fences, attempts, and ends that are listed
// until they are acknowledged. It has no goroutine, socket or clock of its own;
// callers pass the time.
package standin

import (
	"time"

	"github.com/comfreyloom/comfreyloom/internal/workers"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// defaultEndsPerList is how many ends one list holds by the protocol.
const defaultEndsPerList = 500

// defaultPercentTime is how long a run takes for one percent of its progress.
const defaultPercentTime = 10 * time.Millisecond

// Worker is one incarnation of a worker.
type Worker struct {
	ID       workload.WorkerID
	Address  string
	Capacity workload.Resources
	// ClockRate is the rate of its clock relative to the time that is passed in;
	// it is 0.98 at the slowest.
	ClockRate float64
	// StartedAt is the time at which it started, and ClockAtStartMS the reading
	// of its clock at that time.
	StartedAt      time.Duration
	ClockAtStartMS int64
	// Terminated is set when the incarnation has ended.
	Terminated bool
	// FailRuns makes every run end as failed; nothing in this package reads it.
	FailRuns bool
	// HangRuns keeps the progress of every run at HangAtPercent percent.
	HangRuns      bool
	HangAtPercent int
	// PercentTime is how long a run takes for one percent of its progress.
	PercentTime time.Duration
	// EndsPerList is how many ends one list holds at most.
	EndsPerList int
	// StopTime is how long a run that was ordered to stop still runs and is listed.
	StopTime time.Duration
	// LapseTime is how long a run still runs and is listed after the lease has expired.
	LapseTime time.Duration
	// CheckTicket reports whether the ticket of an order is valid; nil accepts any.
	CheckTicket func(o workers.StartOrder, now time.Duration) bool
	// OnAck is called for each acknowledged end, with whether the lease was held
	// from the end until its acknowledgement. If it was not, the
	// acknowledgement does not count.
	OnAck func(end workload.End, held bool)
	// OnEnd is called for each end.
	OnEnd func(workload.End)

	fence          uint64
	leaseUntilMS   int64
	runs           map[workload.RunRef]*run
	highestAttempt map[workload.TaskRef]int
	ends           []workload.End
	lastEnd        uint64
	// lastLapsedEnd is the number of the last end that was listed when Expire
	// last found the lease expired.
	lastLapsedEnd uint64
}

// run is one run. stopsAt is when it ends after an order to stop, lapsesAt after the lease
// has expired, 0 without one.
type run struct{ started, stopsAt, lapsesAt time.Duration }

// New returns a worker that starts now.
func New(id workload.WorkerID, address string, capacity workload.Resources, speed float64, now time.Duration) *Worker {
	return &Worker{
		ID: id, Address: address, Capacity: capacity, ClockRate: speed, StartedAt: now, ClockAtStartMS: 1000,
		EndsPerList: defaultEndsPerList, PercentTime: defaultPercentTime,
		runs: map[workload.RunRef]*run{}, highestAttempt: map[workload.TaskRef]int{},
	}
}

// ClockMS returns the reading of the worker's clock.
func (w *Worker) ClockMS(now time.Duration) int64 {
	return w.ClockAtStartMS + int64(float64((now-w.StartedAt).Milliseconds())*w.ClockRate)
}

// Expire ends the runs whose stop is due, and all if the lease has expired.
func (w *Worker) Expire(now time.Duration) {
	for r, running := range w.runs {
		switch {
		case running.stopsAt > 0 && now >= running.stopsAt:
			w.End(r, workload.EndStopped)
		case running.lapsesAt > 0 && now >= running.lapsesAt:
			w.End(r, workload.EndLapsed)
		}
	}
	if w.ClockMS(now) < w.leaseUntilMS {
		return
	}
	w.lastLapsedEnd = w.lastEnd
	for r, running := range w.runs {
		switch {
		case w.LapseTime == 0:
			w.End(r, workload.EndLapsed)
		case running.lapsesAt == 0:
			running.lapsesAt = now + w.LapseTime
		}
	}
}

// Running returns the present runs; none once the incarnation has ended.
func (w *Worker) Running() []workload.RunRef {
	var all []workload.RunRef
	if w.Terminated {
		return nil
	}
	for r := range w.runs {
		all = append(all, r)
	}
	return all
}

// RunAge returns how long a run has been running; 0 when the worker does not run it.
func (w *Worker) RunAge(r workload.RunRef, now time.Duration) time.Duration {
	if w.runs[r] == nil {
		return 0
	}
	return now - w.runs[r].started
}

// IsStopping reports whether a run was ordered to stop and still runs.
func (w *Worker) IsStopping(r workload.RunRef) bool {
	return w.runs[r] != nil && w.runs[r].stopsAt > 0
}

// End ends a run and lists its end.
func (w *Worker) End(r workload.RunRef, kind workload.EndKind) {
	delete(w.runs, r)
	w.lastEnd++
	end := workload.End{Worker: w.ID, Number: w.lastEnd, Run: r, Kind: kind}
	w.ends = append(w.ends, end)
	if w.OnEnd != nil {
		w.OnEnd(end)
	}
	w.highestAttempt[r.Task] = max(w.highestAttempt[r.Task], r.Attempt)
}

// DropEnds forgets all listed ends, as if they had been acknowledged.
func (w *Worker) DropEnds() { w.ends = nil }

// UnackedEnds returns the listed ends that are not acknowledged yet.
func (w *Worker) UnackedEnds() []workload.End { return w.ends }

// Start carries out a start order.
func (w *Worker) Start(o workers.StartOrder, now time.Duration) workers.Reply {
	w.Expire(now)
	reply := workers.Reply{ClockMS: w.ClockMS(now)}
	switch {
	case o.Fence < w.fence:
		reply.Refusal = workers.RefusedFence
		return reply
	case w.runs[o.Run] != nil:
		w.fence = o.Fence
		return reply
	case o.LeaseUntilMS <= reply.ClockMS:
		reply.Refusal = workers.RefusedLate
	case o.Run.Attempt <= w.highestAttempt[o.Run.Task]:
		reply.Refusal = workers.RefusedStale
	case w.CheckTicket != nil && !w.CheckTicket(o, now):
		reply.Refusal = workers.RefusedTicket
	}
	w.fence = o.Fence
	w.leaseUntilMS = max(w.leaseUntilMS, o.LeaseUntilMS)
	if reply.Refusal == workers.Accepted {
		w.runs[o.Run] = &run{started: now}
	}
	return reply
}

// Stop carries out a stop order.
func (w *Worker) Stop(r workload.RunRef, fence uint64, now time.Duration) workers.Reply {
	w.Expire(now)
	reply := workers.Reply{ClockMS: w.ClockMS(now)}
	if fence < w.fence {
		reply.Refusal = workers.RefusedFence
		return reply
	}
	w.fence = fence
	w.highestAttempt[r.Task] = max(w.highestAttempt[r.Task], r.Attempt)
	if running := w.runs[r]; running != nil && running.stopsAt == 0 {
		running.stopsAt = now + w.StopTime
	}
	w.Expire(now)
	return reply
}

// Hold carries out a hold order.
func (w *Worker) Hold(o workers.HoldOrder, now time.Duration) workers.List {
	w.Expire(now)
	list := workers.List{Reply: workers.Reply{ClockMS: w.ClockMS(now)}}
	if o.Fence < w.fence {
		list.Refusal = workers.RefusedFence
		return list
	}
	w.fence = o.Fence
	w.leaseUntilMS = max(w.leaseUntilMS, o.LeaseUntilMS)
	for len(w.ends) > 0 && w.ends[0].Number <= o.Acked {
		if w.OnAck != nil {
			w.OnAck(w.ends[0], w.ends[0].Number > w.lastLapsedEnd)
		}
		w.ends = w.ends[1:]
	}
	list.Ends = append(list.Ends, w.ends[:min(len(w.ends), w.EndsPerList)]...)
	list.MoreEnds = len(list.Ends) == w.EndsPerList
	for r, running := range w.runs {
		percent := int(min((now-running.started)/w.PercentTime, 100))
		if w.HangRuns {
			percent = w.HangAtPercent
		}
		list.Running = append(list.Running, workers.RunStatus{Run: r, Percent: percent})
	}
	return list
}
