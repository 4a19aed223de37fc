package dispatch

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/comfreyloom/comfreyloom/internal/schedule"
	"github.com/comfreyloom/comfreyloom/internal/workers"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// measureInterval is the time between two counts of jobs and workers.
const measureInterval = time.Second

// counters holds the metrics of the dispatcher. stalls is published as
// dispatch.standstills, unresponsiveWorkers as dispatch.workers.silent.
type counters struct {
	registry                                             metrics.Registry
	unknownOutcomes, callsFailed, stalls, contradictions metrics.Counter
	// unreadableLists counts how often a worker's lists began to hold rows that
	// can't be read.
	unreadableLists metrics.Counter
	// crashes counts the workers that were found to have ended without notice,
	// givenUp the jobs that failed because of such crashes.
	crashes, givenUp       metrics.Counter
	starts, ends, releases metrics.Counter
	// endedWithinLease counts the runs that were given up with their worker before its
	// lease had certainly expired.
	endedWithinLease metrics.Counter
	// uncertainStarts counts the starts with a call that got no reply, refusedStops the
	// refused calls to stop a run, unplannedRuns the runs that a worker listed and that
	// were not committed there.
	uncertainStarts, refusedStops, unplannedRuns metrics.Counter
	// adviceCalls counts the calls to the advisor, adviceFailures those without a reply
	// that could be read.
	adviceCalls, adviceFailures metrics.Counter
	roundTime, firstStart       metrics.Timer

	queuedJobs, runningJobs, oldestQueued                           metrics.Gauge
	jobBytes, jobRoom                                               metrics.Gauge
	knownWorkers, usableWorkers, unresponsiveWorkers, closedWorkers metrics.Gauge
	// measuredAt is when jobs and workers were last counted.
	measuredAt time.Duration
}

func newCounters(r metrics.Registry) *counters {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("dispatch."+name, r) }
	gauge := func(name string) metrics.Gauge { return metrics.GetOrRegisterGauge("dispatch."+name, r) }
	c := &counters{
		registry:        r,
		unknownOutcomes: counter("unknown"), callsFailed: counter("calls_failed"), stalls: counter("standstills"),
		contradictions:  counter("contradictions"),
		unreadableLists: counter("lists_unread"), crashes: counter("crashes"), givenUp: counter("jobs_given_up"),
		uncertainStarts: counter("starts_unanswered"), refusedStops: counter("stops_refused"), unplannedRuns: counter("runs_unplanned"),
		adviceCalls: counter("advice.calls"), adviceFailures: counter("advice.failed"),
		starts: counter("starts"), ends: counter("ends"), releases: counter("releases"), endedWithinLease: counter("runs_ended_within_lease"),
		roundTime:  metrics.GetOrRegisterTimer("dispatch.round", r),
		firstStart: metrics.GetOrRegisterTimer("dispatch.first_start", r),
		queuedJobs: gauge("jobs.queued"), runningJobs: gauge("jobs.running"), oldestQueued: gauge("jobs.oldest_ms"),
		jobBytes: gauge("jobs.bytes"), jobRoom: gauge("jobs.room"),
		knownWorkers: gauge("workers.known"), usableWorkers: gauge("workers.usable"), unresponsiveWorkers: gauge("workers.silent"), closedWorkers: gauge("workers.closed"),
	}
	for kind := workload.EndDone; kind <= workload.EndGangIncomplete; kind++ {
		c.end(kind).Inc(0)
	}
	for refusal := workers.RefusedFence; refusal <= workers.OutcomeUnclear; refusal++ {
		c.refusal(refusal).Inc(0)
	}
	for reply := FleetDone; reply <= FleetRateLimited; reply++ {
		c.order(reply).Inc(0)
	}
	return c
}

func (c *counters) end(kind workload.EndKind) metrics.Counter {
	return metrics.GetOrRegisterCounter("dispatch.ends."+kind.String(), c.registry)
}

func (c *counters) refusal(r workers.Refusal) metrics.Counter {
	return metrics.GetOrRegisterCounter("dispatch.refused."+r.String(), c.registry)
}

func (c *counters) order(a FleetReply) metrics.Counter {
	return metrics.GetOrRegisterCounter("dispatch.orders."+a.String(), c.registry)
}

// countCommitted counts what a round committed.
func (c *counters) countCommitted(command *workload.Command) {
	c.starts.Inc(int64(len(command.Starts)))
	c.ends.Inc(int64(len(command.Ends)))
	c.releases.Inc(int64(len(command.Releases)))
	for i := range command.Ends {
		c.end(command.Ends[i].Kind).Inc(1)
	}
}

// countRunsWithinLease counts the runs of a removed worker that may still have held a lease.
func (c *counters) countRunsWithinLease(reason removalReason, known evidence) {
	if known.leaseLeft > 0 {
		c.endedWithinLease.Inc(int64(len(reason.lost)))
	}
}

// recordFirstStarts records how long jobs waited from their acceptance to the
// first start of one of their tasks.
func (c *counters) recordFirstStarts(t *workload.Tables, starts []workload.Start, nowMS int64) {
	recorded := map[workload.JobID]bool{}
	for i := range starts {
		job := t.Jobs[starts[i].Run.Task.Job]
		if job == nil || job.State != workload.JobQueued || recorded[job.ID] {
			continue
		}
		recorded[job.ID] = true
		c.firstStart.Update(time.Duration(max(nowMS-job.AcceptedMS, 0)) * time.Millisecond)
	}
}

// measure counts jobs and workers, at most once per measureInterval.
func (c *counters) measure(t *workload.Tables, states map[workload.WorkerID]schedule.Worker, unresponsive int, now time.Duration, nowMS int64) {
	if now-c.measuredAt < measureInterval {
		return
	}
	c.measuredAt = now
	var queued, running, oldest, usable, closed int64
	for _, jobs := range t.Live {
		for _, job := range jobs {
			if job.State != workload.JobQueued {
				running++
				continue
			}
			queued++
			oldest = max(oldest, nowMS-job.AcceptedMS)
		}
	}
	for id, w := range states {
		if w.Usable && !w.Closing {
			usable++
		}
		if worker := t.Workers[id]; w.Closing || worker != nil && worker.Closed {
			closed++
		}
	}
	c.queuedJobs.Update(queued)
	c.runningJobs.Update(running)
	c.oldestQueued.Update(oldest)
	c.jobBytes.Update(t.Footprint())
	c.knownWorkers.Update(int64(len(t.Workers)))
	c.usableWorkers.Update(usable)
	c.unresponsiveWorkers.Update(int64(unresponsive))
	c.closedWorkers.Update(closed)
}
