package dispatch

import (
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/comfreyloom/comfreyloom/internal/capacity"
	"github.com/comfreyloom/comfreyloom/internal/control"
	"github.com/comfreyloom/comfreyloom/internal/schedule"
	"github.com/comfreyloom/comfreyloom/internal/workers"
	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// logDecisions writes a line for each decision of a committed round.
func (d *Dispatcher) logDecisions(c *workload.Command, why *reasons) {
	d.counters.countCommitted(c)
	for first := 0; first < len(c.Starts); {
		next := first + 1
		for next < len(c.Starts) && sameStep(c.Starts[first].Run.Task, c.Starts[next].Run.Task) {
			next++
		}
		d.logStarts(c.Term, c.Starts[first:next])
		first = next
	}
	for i := range c.Ends {
		if e := &c.Ends[i]; e.Kind != workload.EndDone {
			d.runLine(c.Term, e.Run, e.Worker, e.Kind.String()).Info("run ended")
		}
	}
	for _, r := range c.Releases {
		line := d.runLine(c.Term, r.Run, r.Worker, "").WithField("why", why.released[r.Run])
		line.WithFields(why.evidence[r.Worker].fields()).Info("run released")
	}
	for _, id := range c.EndedWorkers {
		d.counters.countRunsWithinLease(why.removed[id], why.evidence[id])
		d.logRemoved(c.Term, id, why.removed[id], why.evidence[id])
	}
	for _, id := range c.Crashed {
		d.logSuspects(id, why.removed[id])
	}
}

// logSuspects logs the tasks that were lost with a crashed worker and that lost
// other workers before.
func (d *Dispatcher) logSuspects(id workload.WorkerID, reason removalReason) {
	d.counters.crashes.Inc(1)
	d.config.Machine.Read(func(t *workload.Tables) {
		for _, task := range reason.tasks {
			d.logSuspect(t, id, task)
		}
	})
}

func (d *Dispatcher) logSuspect(t *workload.Tables, id workload.WorkerID, task workload.TaskRef) {
	line := d.config.Logger.WithField("job", string(task.Job)).WithField("task", task.String()).WithField("worker", string(id))
	if job := t.Jobs[task.Job]; job != nil && job.State == workload.JobFailed {
		d.counters.givenUp.Inc(1)
		line.Warn("job given up: workers crashed under its task")
		return
	}
	if s := t.Suspects[task]; s != nil && s.Crashes >= workload.IsolationThreshold {
		line.WithField("crashes", s.Crashes).WithField("alone", s.IsolatedCrashes).WithField("later", s.Retries).Info("task is started alone from now on: workers crashed under it")
	}
}

// logRemoved logs why a worker was removed, what may have been running there and what was
// known of it.
func (d *Dispatcher) logRemoved(term uint64, id workload.WorkerID, reason removalReason, known evidence) {
	d.config.Logger.WithFields(log.Fields{
		"term": term, "worker": string(id), "why": reason.why, "runs": len(reason.lost), "lost": formatLost(reason.lost),
	}).WithFields(known.fields()).Info("worker gone")
}

// fields returns the fields of a line that rests on the evidence.
func (e evidence) fields() log.Fields {
	return log.Fields{
		"reply_age_ms": e.replyAge.Milliseconds(), "list_age_ms": e.listAge.Milliseconds(), "lease_left_ms": e.leaseLeft.Milliseconds(),
		"failures": e.failures, "refuses_connections": e.notListening, "draining": e.draining, "leaving": e.leaving,
	}
}

// logLeaving logs the notice of a worker that has runs.
func (d *Dispatcher) logLeaving(l *link) {
	d.config.Logger.WithFields(log.Fields{
		"worker": string(l.target.ID), "address": l.target.Address, "listed": len(l.running), "age_ms": (d.now() - l.lastReply).Milliseconds(),
	}).Info("worker leaves")
}

func sameStep(a, b workload.TaskRef) bool {
	return a.Job == b.Job && a.Occurrence == b.Occurrence && a.Step == b.Step
}

// logStarts writes one line for the runs of a step that were committed
// together, each as index, worker and attempt.
func (d *Dispatcher) logStarts(term uint64, starts []workload.Start) {
	var runs strings.Builder
	for i, s := range starts {
		if i > 0 {
			runs.WriteByte(' ')
		}
		runs.WriteString(strconv.Itoa(s.Run.Task.Index) + "@" + string(s.Worker) + "#" + strconv.Itoa(s.Run.Attempt))
	}
	task := starts[0].Run.Task
	d.config.Logger.WithFields(log.Fields{
		"term": term, "job": string(task.Job), "occurrence": task.Occurrence, "step": task.Step, "runs": runs.String(),
	}).Info("runs committed")
}

// runLine begins a line about a run. All fields are set at once, as a busy
// leader writes hundreds of lines per second.
func (d *Dispatcher) runLine(term uint64, run workload.RunRef, worker workload.WorkerID, end string) log.Interface {
	fields := log.Fields{
		"term": term, "job": string(run.Task.Job), "task": run.Task.String(), "attempt": run.Attempt, "worker": string(worker),
	}
	if end != "" {
		fields["end"] = end
	}
	return d.config.Logger.WithFields(fields)
}

func (d *Dispatcher) logRefusal(to workers.Target, run workload.RunRef, a workers.Reply) {
	d.counters.refusal(a.Refusal).Inc(1)
	d.config.Logger.WithField("worker", string(to.ID)).WithField("task", run.Task.String()).
		WithField("attempt", run.Attempt).WithField("refusal", a.Refusal.String()).Info("start refused")
}

// logAdvice logs the advisor's reply about a step: of how many workers of the pool it was
// asked about how many, and how many of those may run the step.
func (d *Dispatcher) logAdvice(step schedule.StepRef, pool, asked int, reply *AdvisorReply, took time.Duration) {
	d.config.Logger.WithFields(log.Fields{
		"job": string(step.Job), "occurrence": step.Occurrence, "step": step.Step, "pool_workers": pool, "asked": asked,
		"allowed": len(reply.Tickets), "unclear": reply.Unclear,
		"valid_ms": reply.Valid.Milliseconds(), "took_ms": took.Milliseconds(),
	}).Info("advice received")
}

// logUncertainStart logs the first call of a start that got no reply. The worker may
// carry it out later.
func (d *Dispatcher) logUncertainStart(to workers.Target, run workload.RunRef, err error) {
	d.counters.uncertainStarts.Inc(1)
	d.config.Logger.WithField("worker", string(to.ID)).WithField("task", run.Task.String()).
		WithField("attempt", run.Attempt).WithError(err).Info("start not answered")
}

// logStopRefusal logs that a worker refused to stop a run.
func (d *Dispatcher) logStopRefusal(to workers.Target, run workload.RunRef, a workers.Reply) {
	d.counters.refusedStops.Inc(1)
	d.config.Logger.WithField("worker", string(to.ID)).WithField("task", run.Task.String()).
		WithField("attempt", run.Attempt).WithField("refusal", a.Refusal.String()).Info("stop refused")
}

// logUnplannedRun logs that a worker lists a run that is not committed there.
func (d *Dispatcher) logUnplannedRun(l *link, run workload.RunRef) {
	d.counters.unplannedRuns.Inc(1)
	d.config.Logger.WithField("worker", string(l.target.ID)).WithField("task", run.Task.String()).
		WithField("attempt", run.Attempt).WithField("list_age_ms", (d.now() - l.listedAt).Milliseconds()).Warn("worker lists a run that is not planned there")
}

// logUnresponsive writes a line for the failed call with which a worker reaches
// unresponsiveFailures in a row.
func (d *Dispatcher) logUnresponsive(l *link, err error) {
	if l.failures == unresponsiveFailures {
		d.config.Logger.WithField("worker", string(l.target.ID)).WithField("address", l.target.Address).
			WithField("age_ms", (d.now() - l.lastContact).Milliseconds()).WithError(err).Warn("worker does not answer")
	}
}

// logUnread writes a line when the lists of a worker begin to hold rows that
// can't be read.
func (d *Dispatcher) logUnread(l *link, rows int) {
	d.counters.unreadableLists.Inc(1)
	d.config.Logger.WithField("worker", string(l.target.ID)).WithField("address", l.target.Address).
		WithField("rows", rows).WithField("acked", l.acked).Warn("rows of a worker's lists can't be read; it gets no new work")
}

// logMoreEnds writes a line when a worker begins to have more ends than it lists at
// once.
func (d *Dispatcher) logMoreEnds(l *link, listed int) {
	d.config.Logger.WithField("worker", string(l.target.ID)).WithField("listed", listed).
		WithField("acked", l.acked).Info("a worker has more ends than it lists at once")
}

// logStall logs that a run shows no progress. waitsFor is the task of its step
// because of which it is not stopped yet, nil if it is stopped.
func (d *Dispatcher) logStall(l *link, run workload.RunRef, seen *observedRun, waitsFor *workload.TaskRef) {
	fields := log.Fields{
		"worker": string(l.target.ID), "task": run.Task.String(), "attempt": run.Attempt, "percent": seen.Percent,
		"age_ms": seen.stalledFor().Milliseconds(), "list_age_ms": (d.now() - l.listedAt).Milliseconds(),
	}
	if waitsFor != nil {
		fields["waits_for"] = waitsFor.String()
	}
	d.config.Logger.WithFields(fields).Warn("run stands still")
}

// logEviction logs that a run is to be stopped, and what the decision rests on.
func (d *Dispatcher) logEviction(l *link, run workload.RunRef, why evictionReason) {
	fields := log.Fields{
		"worker": string(l.target.ID), "task": run.Task.String(), "attempt": run.Attempt,
		"why": string(why), "list_age_ms": (d.now() - l.listedAt).Milliseconds(),
	}
	if seen := l.running[run]; seen != nil {
		fields["percent"] = seen.Percent
	}
	d.config.Logger.WithFields(fields).Info("run evicted")
}

func (d *Dispatcher) logWorker(r control.Report) {
	d.config.Logger.WithField("worker", string(r.Worker.ID)).WithField("pool", r.Worker.Pool).
		WithField("address", r.Worker.Address).WithField("draining", r.Worker.Draining).
		WithField("sequence", r.Sequence).Info("worker announced")
}

func (d *Dispatcher) logFleet(o capacity.Order, what string) {
	d.fleetLine(o).Info(what)
}

func (d *Dispatcher) fleetLine(o capacity.Order) log.Interface {
	order := "move"
	if o.Kind == capacity.Maintain {
		order = "maintain"
	}
	return d.config.Logger.WithField("vm", string(o.VM)).WithField("order", order).
		WithField("pool", o.Pool).WithField("wave", o.Wave).WithField("why", o.Why).
		WithField("list_age_ms", (d.now() - d.fleet.listedAt).Milliseconds())
}

func (d *Dispatcher) logFleetReply(o capacity.Order, a FleetReply) {
	d.counters.order(a).Inc(1)
	d.fleetLine(o).WithField("answer", a.String()).Info("order to the platform")
}

func (d *Dispatcher) logFleetError(what string, err error) {
	d.config.Logger.WithError(err).Warn(what)
}

// logBalance logs what each pool has and needs, at most once per
// balanceLogInterval.
func (d *Dispatcher) logBalance(pools []capacity.Balance, now time.Duration) {
	if now-d.fleet.balanceLoggedAt < balanceLogInterval {
		return
	}
	d.fleet.balanceLoggedAt = now
	for _, b := range pools {
		d.config.Logger.WithField("pool", b.Pool).WithField("have_mcpu", b.Have).WithField("need_mcpu", b.Need).
			WithField("arriving_mcpu", b.Arriving).WithField("withheld_mcpu", b.Withheld).WithField("spare_vms", b.Idle).WithField("list_age_ms", (now - d.fleet.listedAt).Milliseconds()).Info("balance")
	}
}

func (d *Dispatcher) logPace(l *link, run workload.RunRef, pressure float64, percent int) {
	d.config.Logger.WithField("worker", string(l.target.ID)).WithField("task", run.Task.String()).
		WithField("pressure", pressure).WithField("percent", percent).Info("pace changed")
}
