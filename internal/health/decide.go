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
	// defaultDistinct is how many distinct workers a job must fail on to be
	// held, and how many distinct jobs must fail on a worker to quarantine it.
	defaultDistinct = 3
	// suspectBlame is the share of a worker's outcomes that it must answer
	// for; below it, failures are taken for chance.
	suspectBlame = 0.3
	// defaultCapShare bounds the workers in quarantine, as a share of all.
	defaultCapShare = 0.1
	// defaultPoolCapShare bounds them in one pool.
	defaultPoolCapShare = 0.25
	// firstProbe and lastProbe bound the time to the next probe, which doubles.
	firstProbe = 10 * time.Minute
	lastProbe  = 6 * time.Hour
	// releaseProbes is how many probes must succeed before the release.
	releaseProbes = 2
	// leastFailures is the least number of distinct workers on which a job must
	// fail to be held, in pools that have few.
	leastFailures = 2
	// maxAttempts is after how many attempts a job is held even if none of
	// the workers on which it failed is known to be good.
	maxAttempts = 8
	// releaseAfter ends a quarantine in which nothing could be probed: a pool
	// without batch jobs has no probes, and the worker may have been repaired.
	releaseAfter = 24 * time.Hour
)

// Options bound the decisions. A zero field takes its default.
type Options struct {
	// Distinct is the number of distinct jobs that must fail on a worker to
	// quarantine it, and of distinct workers on which a job must fail to be
	// held. Default 3.
	Distinct int
	// CapShare and PoolCapShare bound the quarantined share of all workers and
	// of a pool's; at least one. Defaults 0.1 and 0.25.
	CapShare, PoolCapShare float64
}

// No says why a suspect worker is not put into quarantine.
type No uint8

const (
	// Quarantined: nothing speaks against it.
	Quarantined No = iota
	// SiteCap: the site has its share in quarantine.
	SiteCap
	// PoolCap: the pool has its share in quarantine.
	PoolCap
	// BudgetShort: a service would fall below its availability budget.
	BudgetShort
)

var noWords = [...]string{"quarantined", "the site has its share of workers in quarantine",
	"its pool has its share of workers in quarantine", "a service would miss its availability budget"}

// String returns the words used in status.
func (n No) String() string {
	if int(n) >= len(noWords) {
		return "invalid"
	}
	return noWords[n]
}

// Spared is a suspect worker that is not put into quarantine, and why.
type Spared struct {
	Worker model.WorkerID
	VM     model.VMID
	No     No
	Reason string
}

// Decide holds the jobs that fail on good workers, and puts workers on which
// good jobs fail into quarantine or out of it. The actions are planned in ix.
func Decide(ix *fleet.Index, h *History, o Options) ([]state.Action, []Spared) {
	o.Distinct = cmp.Or(o.Distinct, defaultDistinct)
	o.CapShare = cmp.Or(o.CapShare, defaultCapShare)
	o.PoolCapShare = cmp.Or(o.PoolCapShare, defaultPoolCapShare)
	d := &decider{ix: ix, h: h, o: o, m: newMargins(ix, h), released: make(map[model.WorkerID]bool)}
	d.reviewQuarantines()
	d.quarantine()
	d.holdJobs()
	return d.actions, d.spared
}

type decider struct {
	ix      *fleet.Index
	h       *History
	o       Options
	m       *margins
	actions []state.Action
	spared  []Spared
	// released are the workers that this round lets go.
	released map[model.WorkerID]bool
}

func (d *decider) add(a state.Action) {
	d.ix.Plan(a)
	d.actions = append(d.actions, a)
}

// reviewQuarantines looks at the probes of each quarantined worker.
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
	good, lastFailure := d.probes(q)
	age := d.ix.Now().Sub(q.Since)
	switch {
	case good >= releaseProbes:
		d.release(q, fmt.Sprintf("%d jobs in a row succeeded on the worker", good))
	case age >= releaseAfter && !d.m.failedSince(q):
		d.release(q, fmt.Sprintf("nothing failed on the worker for %s, and nothing probed it", age.Round(time.Minute)))
	case lastFailure > 0 && q.ProbeAt <= lastFailure:
		next := *q
		next.ProbeAt = d.ix.Now().Add(min(max(2*age, firstProbe), lastProbe))
		d.add(state.Action{Reason: "a probe failed on the worker", SetQuarantine: &state.SetQuarantine{Quarantine: next}})
	}
}

// probes counts the successes since the quarantine began and the last
// failure after it.
func (d *decider) probes(q *model.Quarantine) (good int, lastFailure model.Instant) {
	for _, o := range d.h.recent(q.Worker, d.ix.Now()) {
		switch {
		case o.At <= q.Since:
		case o.Failed:
			good, lastFailure = 0, o.At
		default:
			good++
		}
	}
	return good, lastFailure
}

// failedSince reports whether anything failed on the worker in quarantine.
func (m *margins) failedSince(q *model.Quarantine) bool {
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

// quarantine puts suspects into quarantine, the worst first, within the caps.
//
// Without the caps a fault that all workers share, or a wave of lies, would
// take the fleet away from its pools faster than any failure.
func (d *decider) quarantine() {
	for _, w := range d.m.suspects(float64(d.o.Distinct)) {
		v := d.ix.Worker(w.id)
		if v == nil || v.Owner == nil || v.Quarantine != nil || d.released[w.id] {
			continue
		}
		reason := fmt.Sprintf("%d distinct jobs failed on the worker that run well elsewhere (weight %.2f); %d succeeded on it", len(w.failed), w.evidence, len(w.succeeded))
		if no := d.forbids(v); no != Quarantined {
			d.spared = append(d.spared, Spared{w.id, v.ID, no, reason})
			continue
		}
		d.add(state.Action{Reason: reason, SetQuarantine: &state.SetQuarantine{Quarantine: model.Quarantine{
			Worker: w.id, VM: v.ID, Since: d.ix.Now(), Reason: reason, ProbeAt: d.ix.Now().Add(firstProbe),
		}}})
	}
}

func (d *decider) forbids(v *fleet.VM) No {
	if d.quarantined(d.ix.VMs) >= Cap(len(d.ix.VMs), d.o.CapShare) {
		return SiteCap
	}
	if p := d.ix.Pool(v.Pool()); p != nil && d.quarantined(p.VMs) >= Cap(len(p.VMs), d.o.PoolCapShare) {
		return PoolCap
	}
	if d.budgetShort(v) {
		return BudgetShort
	}
	return Quarantined
}

// Cap is how many of n workers may be in quarantine; at least one.
func Cap(n int, share float64) int { return max(1, int(float64(n)*share)) }

func (d *decider) quarantined(vms []*fleet.VM) int {
	n := 0
	for _, v := range vms {
		if v.Quarantine != nil {
			n++
		}
	}
	return n
}

// budgetShort reports whether the VM carries instances that a service can't
// spare: instances on quarantined workers count as not available.
func (d *decider) budgetShort(v *fleet.VM) bool {
	carried := make(map[model.ServiceID]int)
	for _, t := range v.Tasks {
		if t.Service != "" && d.ix.InstanceAvailable(t) {
			carried[t.Service]++
		}
	}
	for id, n := range carried {
		if s := d.ix.Service(id); s != nil && s.Available-n < s.Spec.MinAvailable {
			return true
		}
	}
	return false
}

// holdJobs holds queued jobs that failed on enough distinct good workers, and
// those that failed many times on whatever there is. Attempts that were moved
// say nothing about the job.
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
	enough, good := d.enough(j), d.provenFailures(j)
	switch {
	case good >= enough:
		return fmt.Sprintf("failed on %d distinct workers on which other work succeeds; an operator decides", good)
	case j.Attempts-j.Moves >= maxAttempts:
		return fmt.Sprintf("failed on %d distinct workers in %d attempts; an operator decides", len(j.FailedOn), j.Attempts-j.Moves)
	}
	return ""
}

func (d *decider) provenFailures(j *model.Job) int {
	good := 0
	for _, w := range j.FailedOn {
		if d.m.proven(w, JobSubject(j.Spec.ID)) {
			good++
		}
	}
	return good
}

// enough is the number of good workers on which a job must fail to be held; for a pool with fewer
// VMs it is all of them, at least two.
func (d *decider) enough(j *model.Job) int {
	p := d.ix.Pool(j.Spec.Pool)
	if p == nil {
		return d.o.Distinct
	}
	return max(leastFailures, min(d.o.Distinct, len(p.VMs)))
}
