package capacity

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/workload"
)

const (
	// rateWindow is the time over which arriving work is averaged: long enough
	// to hold several jobs, short enough to see a rise within a second.
	rateWindow = 1500 * time.Millisecond
	// burstWindow is the time over which the start of a peak period is detected
	// early. At least minBurstJobs jobs must arrive in it, as fewer may be
	// chance: the jobs of one caller come together.
	burstWindow  = 500 * time.Millisecond
	minBurstJobs = 3
	// shortestWindow is the shortest time over which arriving work is averaged.
	shortestWindow = 400 * time.Millisecond
	// catchUp is the time within which waiting work should have been started.
	catchUp = 1200 * time.Millisecond
	// headroom is a factor on what is needed, because tasks don't fill a VM
	// exactly.
	headroom = 1.15
	// lateWeight is the weight of jobs that can't finish in time any more:
	// they are still run, but have hardly any value.
	lateWeight = 0.25
)

// arrival is work that arrived at one time, in thousandths of a core times
// milliseconds.
type arrival struct {
	at   time.Duration
	work int64
}

// Demand tracks the processor capacity that each pool needs.
type Demand struct {
	// Rules is the zero value in every real process.
	Rules Rules
	pools map[string]*poolDemand
	// lastJobOrder is Job.Order of the latest job that was counted.
	lastJobOrder uint64
	// firstAt is when the first job arrived, 0 before.
	firstAt time.Duration
	peaks   peakTracker
	// waitingSince is when a long-running task of a pool was first seen without
	// a run.
	waitingSince map[string]time.Duration
	// cpuPerMB is the processor capacity per MiB of memory of the VMs, in
	// thousandths of a core.
	cpuPerMB float64
}

type poolDemand struct{ recent []arrival }

// burst is what arrived within burstWindow.
type burst struct {
	jobs int
	work int64
	// before counts the jobs between the start of rateWindow and that of
	// burstWindow.
	before int
}

// isSurge reports whether clearly more jobs arrive than before.
func (b *burst) isSurge() bool {
	priorWindows := int((rateWindow - burstWindow) / burstWindow)
	return b.jobs >= minBurstJobs && b.jobs*priorWindows >= surgeFactor*b.before
}

func (p *poolDemand) burst(now time.Duration) (b burst) {
	for _, a := range p.recent {
		if now-a.at > burstWindow {
			b.before++
			continue
		}
		b.jobs++
		b.work += a.work
	}
	return b
}

// NewDemand computes the demand from the accepted jobs, so that a new leader
// knows as much of the past as the last one did. Wall clock times are only
// compared with each other, and come from clocks that differ between leaders;
// the result is an estimate, not a guarantee.
func NewDemand(t *workload.Tables, now time.Duration, nowMS int64) *Demand {
	d := &Demand{pools: map[string]*poolDemand{}, peaks: newPeakTracker(), waitingSince: map[string]time.Duration{}}
	jobs := make([]*workload.Job, 0, len(t.Jobs))
	for _, job := range t.Jobs {
		jobs = append(jobs, job)
	}
	slices.SortFunc(jobs, func(a, b *workload.Job) int {
		return cmp.Or(cmp.Compare(a.Order, b.Order), cmp.Compare(a.ID, b.ID))
	})
	at := distantPast
	for _, job := range jobs {
		// Wall clocks step back and differ between leaders, but the order of
		// the jobs is certain. Averages over time must not see time run
		// backwards.
		at = max(at, now-time.Duration(max(nowMS-job.AcceptedMS, 0))*time.Millisecond)
		d.addArrival(t, job, at)
		d.observePeaks(at)
	}
	return d
}

// Observe counts the jobs accepted since the last call.
func (d *Demand) Observe(t *workload.Tables, now time.Duration) {
	d.learnCPUPerMB(t)
	before := d.lastJobOrder
	for _, jobs := range t.Live {
		for i := len(jobs) - 1; i >= 0 && jobs[i].Order > before; i-- {
			d.addArrival(t, jobs[i], now)
		}
	}
	d.observePeaks(now)
}

func (d *Demand) addArrival(t *workload.Tables, job *workload.Job, at time.Duration) {
	d.lastJobOrder = max(d.lastJobOrder, job.Order)
	queue := t.Queues[job.Queue]
	if queue == nil || job.Work() == 0 {
		return
	}
	if d.firstAt == 0 {
		d.firstAt = at
	}
	d.pool(queue.Pool).add(at, job.Work())
}

func (d *Demand) observePeaks(now time.Duration) {
	rates, arrived := map[string]int64{}, map[string]burst{}
	for name, p := range d.pools {
		p.expire(now)
		rates[name] = p.rate()
		arrived[name] = p.burst(now)
	}
	d.peaks.rules = d.Rules
	d.peaks.observe(rates, now)
	d.peaks.detectEarly(arrived, now)
}

// warmUp is how long demand is observed before a VM counts as not
// needed.
const warmUp = 3 * time.Second

// MayPark reports whether demand has been observed for long enough.
func (d *Demand) MayPark(now time.Duration) bool { return d.firstAt > 0 && now-d.firstAt > warmUp }

func (d *Demand) pool(name string) *poolDemand {
	p := d.pools[name]
	if p == nil {
		p = &poolDemand{}
		d.pools[name] = p
	}
	return p
}

func (p *poolDemand) add(now time.Duration, work int64) {
	p.recent = append(p.recent, arrival{at: now, work: work})
}

func (p *poolDemand) expire(now time.Duration) {
	for len(p.recent) > 0 && now-p.recent[0].at > rateWindow {
		p.recent = p.recent[1:]
	}
}

// rate returns the rate of arriving work, in thousandths of a core.
func (p *poolDemand) rate() int64 { return p.rateSince(distantPast, rateWindow) }

// distantPast lies before all arrivals. Arrivals that an earlier leader saw may
// lie before 0 on the clock of a VM that was booted later.
const distantPast = time.Duration(math.MinInt64)

// rateSince returns the rate of the work that arrived from a time on, averaged
// over a window.
func (p *poolDemand) rateSince(since, window time.Duration) int64 {
	var work int64
	for _, a := range p.recent {
		if a.at >= since {
			work += a.work
		}
	}
	return work / window.Milliseconds()
}

// arrivalRate returns the rate of arriving work for a pool. In a peak period
// that has just begun, the time before it does not count: averaged with it, the
// rate would be too low for the length of the window, and VMs would come one by
// one instead of all at once.
func (d *Demand) arrivalRate(pool string, now time.Duration) int64 {
	p := d.pool(pool)
	current, since := d.peaks.currentPeriod()
	if d.Rules.SkipShortWindow || !d.peaks.hasDistinctPeaks() || pool != current || now-since >= rateWindow {
		return p.rate()
	}
	return max(p.rate(), p.rateSince(since, max(now-since, shortestWindow)))
}

// cpuShare returns what a task takes of a VM, in thousandths of a core. Memory
// counts as the processor capacity that it makes unusable for other tasks.
func (d *Demand) cpuShare(r workload.Resources) int64 {
	return max(r.CPU, int64(float64(r.MemoryMB)*d.cpuPerMB))
}

// learnCPUPerMB updates the ratio of processor capacity to memory of the VMs.
func (d *Demand) learnCPUPerMB(t *workload.Tables) {
	var all workload.Resources
	for _, w := range t.Workers {
		all = all.Plus(w.Capacity)
	}
	if all.MemoryMB > 0 {
		d.cpuPerMB = float64(all.CPU) / float64(all.MemoryMB)
	}
}

// Need returns the processor capacity that each pool should have, in thousandths
// of a core: what long-running tasks take, plus the largest of the rate of
// arriving work, the work that runs and waits, and the expected peak.
func (d *Demand) Need(t *workload.Tables, now time.Duration, nowMS int64) map[string]int64 {
	longRunning, pending := map[string]int64{}, map[string]int64{}
	for queue, jobs := range t.Live {
		for _, job := range jobs {
			d.addJob(job, t.Queues[queue], nowMS, longRunning, pending)
		}
	}
	var pools []string
	for queue := range t.Queues {
		if pool := t.Queues[queue].Pool; !slices.Contains(pools, pool) {
			pools = append(pools, pool)
		}
	}
	need, expected := map[string]int64{}, d.peaks.expectedDemand(pools, now)
	for _, pool := range pools {
		largest := max(d.arrivalRate(pool, now), pending[pool], expected[pool])
		need[pool] = longRunning[pool] + int64(headroom*float64(largest))
	}
	return need
}

// addJob adds what the job's unfinished tasks of ready steps take. Waiting work
// is spread over the time in which it should have been started.
func (d *Demand) addJob(job *workload.Job, queue *workload.Queue, nowMS int64, longRunning, pending map[string]int64) {
	pool, weight := queue.Pool, 1.0
	if job.IsLate(queue, nowMS) {
		weight = lateWeight
	}
	for _, o := range job.Occurrences {
		for i := range o.Steps {
			spec, step := &job.Spec.Steps[i], &o.Steps[i]
			left := int64(len(step.Tasks) - step.Done)
			if left == 0 || !o.Ready(&job.Spec, i) {
				continue
			}
			if spec.LongRunning {
				longRunning[pool] += left * d.cpuShare(spec.Charge())
				continue
			}
			active, each := int64(step.Active), d.cpuShare(spec.Charge())
			soon := weight * min(float64(spec.RunMS())/float64(catchUp.Milliseconds()), 1)
			pending[pool] += active*each + int64(soon*float64((left-active)*each))
		}
	}
}

// NeedByLabel returns what each pool should have of VMs with one label: what
// the unfinished tasks of ready steps that require the label take. A rack that
// holds a step's data counts like a label.
func (d *Demand) NeedByLabel(t *workload.Tables) map[string]map[string]int64 {
	all := map[string]map[string]int64{}
	for queue, jobs := range t.Live {
		pool := t.Queues[queue].Pool
		for _, job := range jobs {
			d.addLabels(job, pool, all)
		}
	}
	return all
}

func (d *Demand) addLabels(job *workload.Job, pool string, all map[string]map[string]int64) {
	for _, o := range job.Occurrences {
		for i := range o.Steps {
			spec := &job.Spec.Steps[i]
			left := int64(len(o.Steps[i].Tasks) - o.Steps[i].Done)
			if left == 0 || spec.Label == "" && spec.DataRack == "" || !o.Ready(&job.Spec, i) {
				continue
			}
			if all[pool] == nil {
				all[pool] = map[string]int64{}
			}
			for _, label := range []string{spec.Label, spec.DataRack} {
				if label != "" {
					all[pool][label] += left * d.cpuShare(spec.Charge())
				}
			}
		}
	}
}

// unplaceableAfter is how long a long-running task waits before its pool requests
// one more VM; a task that fits somewhere is placed within a few rounds.
const unplaceableAfter = 300 * time.Millisecond

// Unplaceable returns the pools that have had a long-running task without a run
// for unplaceableAfter.
func (d *Demand) Unplaceable(t *workload.Tables, now time.Duration) map[string]bool {
	unplaceable := map[string]bool{}
	for pool := range d.WaitingPools(t, now) {
		if now-d.waitingSince[pool] >= unplaceableAfter {
			unplaceable[pool] = true
		}
	}
	return unplaceable
}

// WaitingPools returns the pools that have a long-running task without a run
// now.
func (d *Demand) WaitingPools(t *workload.Tables, now time.Duration) map[string]bool {
	waiting := map[string]bool{}
	for queue, jobs := range t.Live {
		if slices.ContainsFunc(jobs, hasTaskWithoutRun) {
			waiting[t.Queues[queue].Pool] = true
		}
	}
	for pool := range d.waitingSince {
		if !waiting[pool] {
			delete(d.waitingSince, pool)
		}
	}
	for pool := range waiting {
		if _, known := d.waitingSince[pool]; !known {
			d.waitingSince[pool] = now
		}
	}
	return waiting
}

// hasTaskWithoutRun reports whether a long-running task of a ready step has no
// run.
func hasTaskWithoutRun(job *workload.Job) bool {
	for _, o := range job.Occurrences {
		for i := range o.Steps {
			step := &o.Steps[i]
			if job.Spec.Steps[i].LongRunning && step.Active < len(step.Tasks) && o.Ready(&job.Spec, i) {
				return true
			}
		}
	}
	return false
}
