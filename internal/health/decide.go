package health

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/state"
)

const (
	// defaultMinDistinct is how many distinct workers a job must fail on to be
	// held, and how many distinct jobs must fail on a worker to quarantine it.
	defaultMinDistinct = 3
	// minFailureShare is the share of a worker's outcomes that must be failures
	// attributed to it; below that, failures are considered chance.
	minFailureShare = 0.3
	// defaultCapShare bounds the workers in quarantine as a share of all workers.
	defaultCapShare = 0.1
	// defaultPoolCapShare bounds those of a pool as a share of the pool's workers.
	defaultPoolCapShare = 0.25
	// firstProbeDelay and maxProbeDelay bound the time to the next probe, which
	// doubles after each failure.
	firstProbeDelay = 10 * time.Minute
	maxProbeDelay   = 6 * time.Hour
	// releaseProbes is how many probes in a row must succeed before the release.
	releaseProbes = 2
	// minFailures is the minimum number of distinct workers on which a job must
	// fail to be held, for pools with few workers.
	minFailures = 2
	// maxAttempts is the number of attempts after which a job is held even if
	// none of the workers on which it failed is proven.
	maxAttempts = 8
	// releaseAfter ends a quarantine without probes: a pool without batch jobs
	// has none, and the worker may have been repaired.
	releaseAfter = 24 * time.Hour
)

// Options bound the decisions. Zero fields take their defaults.
type Options struct {
	// MinDistinct is the number of distinct jobs that must fail on a worker to
	// quarantine it, and of distinct workers on which a job must fail to be
	// held. Default 3.
	MinDistinct int
	// CapShare and PoolCapShare bound the quarantined share of all workers and
	// of a pool's workers. One worker is always allowed. Defaults 0.1 and 0.25.
	CapShare, PoolCapShare float64
}

// RejectReason is the reason why a suspect worker is not put into quarantine.
type RejectReason uint8

const (
	// NotRejected: nothing prevents the quarantine.
	NotRejected RejectReason = iota
	// SiteCap: the site has as many workers in quarantine as allowed.
	SiteCap
	// PoolCap: the pool has as many workers in quarantine as allowed.
	PoolCap
	// BudgetShort: a service would fall below its availability budget.
	BudgetShort
)

var rejectReasonTexts = [...]string{"quarantined", "the site has its share of workers in quarantine",
	"its pool has its share of workers in quarantine", "a service would miss its availability budget"}

// String returns the text used in status.
func (r RejectReason) String() string {
	if int(r) >= len(rejectReasonTexts) {
		return "invalid"
	}
	return rejectReasonTexts[r]
}

// RejectedQuarantine is a suspect worker that is not put into quarantine, and
// why. Reason is why it is suspect.
type RejectedQuarantine struct {
	Worker model.WorkerID
	VM     model.VMID
	Reject RejectReason `json:"No"`
	Reason string
}

// Decide holds the jobs that fail on good workers, puts workers on which good
// jobs fail into quarantine, and releases those that work again. The actions are
// planned in ix.
func Decide(ix *fleet.Index, h *History, o Options) ([]state.Action, []RejectedQuarantine) {
	o.MinDistinct = cmp.Or(o.MinDistinct, defaultMinDistinct)
	o.CapShare = cmp.Or(o.CapShare, defaultCapShare)
	o.PoolCapShare = cmp.Or(o.PoolCapShare, defaultPoolCapShare)
	d := &decider{ix: ix, history: h, options: o, stats: newStatistics(ix, h), released: make(map[model.WorkerID]bool)}
	d.reviewQuarantines()
	d.quarantineSuspects()
	d.holdJobs()
	return d.actions, d.rejected
}

type decider struct {
	ix       *fleet.Index
	history  *History
	options  Options
	stats    *statistics
	actions  []state.Action
	rejected []RejectedQuarantine
	// released are the workers released from quarantine in this round.
	released map[model.WorkerID]bool
}

func (d *decider) add(a state.Action) {
	d.ix.Plan(a)
	d.actions = append(d.actions, a)
}

// reviewQuarantines releases workers or delays their next probe, depending on
// their outcomes in quarantine.
func (d *decider) reviewQuarantines() {
	var records []*model.Quarantine
	for _, q := range d.ix.Snap.View.Quarantines {
		records = append(records, q)
	}
	slices.SortFunc(records, func(a, b *model.Quarantine) int { return cmp.Compare(a.Worker, b.Worker) })
	for _, q := range records {
		d.review(q)
	}
}

func (d *decider) review(q *model.Quarantine) {
	successes, lastFailure := d.probeResults(q)
	age := d.ix.Now().Sub(q.Since)
	switch {
	case successes >= releaseProbes:
		d.release(q, fmt.Sprintf("%d jobs in a row succeeded on the worker", successes))
	case age >= releaseAfter && !d.stats.failedSince(q):
		d.release(q, fmt.Sprintf("nothing failed on the worker for %s, and nothing probed it", age.Round(time.Minute)))
	case lastFailure > 0 && q.ProbeAt <= lastFailure:
		next := *q
		next.ProbeAt = d.ix.Now().Add(min(max(2*age, firstProbeDelay), maxProbeDelay))
		d.add(state.Action{Reason: "a probe failed on the worker", SetQuarantine: &state.SetQuarantine{Quarantine: next}})
	}
}

// probeResults returns the time of the worker's last failure in quarantine, 0 if
// there was none, and the number of successes since then or since the quarantine
// began.
func (d *decider) probeResults(q *model.Quarantine) (successes int, lastFailure model.Instant) {
	for _, o := range d.history.recent(q.Worker, d.ix.Now()) {
		switch {
		case o.At <= q.Since:
		case o.Failed:
			successes, lastFailure = 0, o.At
		default:
			successes++
		}
	}
	return successes, lastFailure
}

// failedSince reports whether anything failed on the worker in quarantine.
func (m *statistics) failedSince(q *model.Quarantine) bool {
	w := m.workers[q.Worker]
	if w == nil {
		return false
	}
	for _, at := range w.failed {
		if at > q.Since {
			return true
		}
	}
	return false
}

func (d *decider) release(q *model.Quarantine, reason string) {
	d.add(state.Action{Reason: reason, SetQuarantine: &state.SetQuarantine{Quarantine: *q, Release: true}})
	d.released[q.Worker] = true
}

// quarantineSuspects puts suspects into quarantine, the worst first, within the
// caps.
//
// Without the caps a fault that all workers share, or many false reports of
// failures, would remove workers from the pools faster than any real failure.
func (d *decider) quarantineSuspects() {
	for _, w := range d.stats.suspects(float64(d.options.MinDistinct)) {
		v := d.ix.Worker(w.id)
		if v == nil || v.Owner == nil || v.Quarantine != nil || d.released[w.id] {
			continue
		}
		reason := fmt.Sprintf("%d distinct jobs failed on the worker that run well elsewhere (weight %.2f); %d succeeded on it", len(w.failed), w.evidence, len(w.succeeded))
		if reject := d.rejectReason(v); reject != NotRejected {
			d.rejected = append(d.rejected, RejectedQuarantine{w.id, v.ID, reject, reason})
			continue
		}
		d.add(state.Action{Reason: reason, SetQuarantine: &state.SetQuarantine{Quarantine: model.Quarantine{
			Worker: w.id, VM: v.ID, Since: d.ix.Now(), Reason: reason, ProbeAt: d.ix.Now().Add(firstProbeDelay),
		}}})
	}
}

func (d *decider) rejectReason(v *fleet.VM) RejectReason {
	if d.countQuarantined(d.ix.VMs) >= MaxQuarantined(len(d.ix.VMs), d.options.CapShare) {
		return SiteCap
	}
	if p := d.ix.Pool(v.Pool()); p != nil && d.countQuarantined(p.VMs) >= MaxQuarantined(len(p.VMs), d.options.PoolCapShare) {
		return PoolCap
	}
	if d.wouldBreakBudget(v) {
		return BudgetShort
	}
	return NotRejected
}

// MaxQuarantined returns how many of n workers may be in quarantine, at least one.
func MaxQuarantined(n int, share float64) int { return max(1, int(float64(n)*share)) }

func (d *decider) countQuarantined(vms []*fleet.VM) int {
	n := 0
	for _, v := range vms {
		if v.Quarantine != nil {
			n++
		}
	}
	return n
}

// wouldBreakBudget reports whether a service would fall below its availability
// budget without the instances on the VM: instances on quarantined workers count
// as not available.
func (d *decider) wouldBreakBudget(v *fleet.VM) bool {
	onVM := make(map[model.ServiceID]int)
	for _, t := range v.Tasks {
		if t.Service != "" && d.ix.InstanceAvailable(t) {
			onVM[t.Service]++
		}
	}
	for id, n := range onVM {
		if s := d.ix.Service(id); s != nil && s.Available-n < s.Spec.MinAvailable {
			return true
		}
	}
	return false
}

// holdJobs holds queued jobs that failed on enough distinct proven workers, and
// those that failed in many attempts on any workers. Attempts that were moved
// don't count against the job.
func (d *decider) holdJobs() {
	for _, j := range d.ix.Queue {
		if len(j.FailedOn) == 0 || d.ix.StartPlanned(j.Spec.ID) {
			continue
		}
		if reason := d.holdReason(j); reason != "" {
			d.add(state.Action{Reason: reason, SetJob: &state.SetJob{Job: j.Spec.ID, State: model.JobHeld, Reason: reason}})
		}
	}
}

func (d *decider) holdReason(j *model.Job) string {
	required, failures := d.requiredFailures(j), d.failuresOnProvenWorkers(j)
	switch {
	case failures >= required:
		return fmt.Sprintf("failed on %d distinct workers on which other work succeeds; an operator decides", failures)
	case j.Attempts-j.Moves >= maxAttempts:
		return fmt.Sprintf("failed on %d distinct workers in %d attempts; an operator decides", len(j.FailedOn), j.Attempts-j.Moves)
	}
	return ""
}

func (d *decider) failuresOnProvenWorkers(j *model.Job) int {
	n := 0
	for _, w := range j.FailedOn {
		if d.stats.isProven(w, JobSubject(j.Spec.ID)) {
			n++
		}
	}
	return n
}

// requiredFailures returns on how many distinct proven workers a job must fail
// to be held. For a pool with fewer VMs it is all of them, at least two.
func (d *decider) requiredFailures(j *model.Job) int {
	p := d.ix.Pool(j.Spec.Pool)
	if p == nil {
		return d.options.MinDistinct
	}
	return max(minFailures, min(d.options.MinDistinct, len(p.VMs)))
}
