package loadmodel

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// Kind describes the jobs of one pool's queue. Sizes are means of lognormal
// distributions, as real job sizes are distributed: few jobs are large.
type Kind struct {
	// PerSecond is the mean rate of jobs over the whole run.
	PerSecond float64
	// Steps is the number of sequential steps, of Width tasks each.
	Steps, Width float64
	// CPU is the demand of a task in thousandths of a core, Run its run time.
	CPU float64
	Run time.Duration
	// Worth is the value of a job that is in time; a late one earns lateShare of it.
	Worth float64
}

const (
	// lateShare is the share of its worth that a late job earns: 7 %, as the users
	// of all three sites pay.
	lateShare = 0.07
	// maxLateFactor is the multiple of its objective after which a job earns
	// nothing.
	maxLateFactor = 3
	// sizeSigma is the lognormal sigma of widths and demands, runtimeSigma that of
	// run times.
	sizeSigma    = 0.5
	runtimeSigma = 0.45
	// estimateSigma is the lognormal sigma of the error of callers' run time
	// estimates.
	estimateSigma = 0.4
	// targetFactor and targetLatency define the objective of a job.
	targetFactor  = 1.6
	targetLatency = 600 * time.Millisecond
)

// Order is the order in which pools have their peak periods.
type Order uint8

// The orders of peak periods.
const (
	// Rotating: one pool after the other, always in the same order.
	Rotating Order = iota
	// Shuffled: one pool at a time; the next one is chosen at random.
	Shuffled
	// Uniform: no peaks; the demand of all pools is always their mean.
	Uniform
)

// Pattern is a load.
type Pattern struct {
	Kinds []Kind
	Order Order
	// PeakPeriod is how long one pool has its peak, OffPeakShare the demand between
	// its peaks as a share of its mean.
	PeakPeriod   time.Duration
	OffPeakShare float64
	// VMs serve the pools at the start, in equal shares; Standby VMs are off.
	VMs, Standby int
	// Length is how long jobs arrive.
	Length time.Duration
	// WaveVMs is the number of VMs that are due for maintenance within WaveWindow
	// after WaveStart, at most WaveMaxParallel at the same time; 0 means no wave.
	WaveVMs, WaveMaxParallel int
	WaveStart, WaveWindow    time.Duration
}

// Short and Long are the two kinds of jobs that the users describe: many short
// ones with few small tasks, and fewer ones with long tasks. The figures are those
// of the requirement sheets, for VMs with 32 cores.
var (
	Short = Kind{PerSecond: 9, Steps: 1.6, Width: 6, CPU: 1800, Run: 800 * time.Millisecond, Worth: 0.5}
	Long  = Kind{PerSecond: 1.4, Steps: 2, Width: 8, CPU: 3800, Run: 1700 * time.Millisecond, Worth: 3.8}
)

// RotatingPeaks is the load that the requirement sheets describe: four pools, each with
// about four times its mean demand in its peak period and a twentieth in between.
func RotatingPeaks(peakPeriod time.Duration) Pattern {
	return Pattern{
		Kinds: []Kind{Short, Long, Short, Long}, Order: Rotating, PeakPeriod: peakPeriod, OffPeakShare: 0.05,
		VMs: 41, Standby: 8, Length: 40 * time.Second,
	}
}

// rate returns the job rate of a pool during the peak period of peakPool.
func (p *Pattern) rate(pool, peakPool int) float64 {
	mean := p.Kinds[pool].PerSecond
	if p.Order == Uniform {
		return mean
	}
	if pool != peakPool {
		return p.OffPeakShare * mean
	}
	others := float64(len(p.Kinds) - 1)
	return mean * (others + 1 - others*p.OffPeakShare)
}

// drawPeaks draws the sequence of the pools that have their peak periods.
func (p *Pattern) drawPeaks(random *rand.Rand) []int {
	n := int(p.Length/max(p.PeakPeriod, time.Millisecond)) + 1
	order := random.Perm(len(p.Kinds))
	all := make([]int, n)
	for i := range all {
		all[i] = order[i%len(order)]
		if p.Order == Shuffled && i > 0 {
			all[i] = (all[i-1] + 1 + random.IntN(len(p.Kinds)-1)) % len(p.Kinds)
		}
	}
	return all
}

// drawnJob is a job with its actual run times, which the product can't know.
type drawnJob struct {
	spec workload.JobSpec
	// runs holds the run times of the tasks of each step.
	runs [][]time.Duration
}

func lognormal(random *rand.Rand, mean, sigma float64) float64 {
	return mean * math.Exp(sigma*random.NormFloat64()-sigma*sigma/2)
}

func count(random *rand.Rand, mean, sigma float64) int {
	return max(1, int(lognormal(random, mean, sigma)+random.Float64()))
}

func (k *Kind) draw(random *rand.Rand) drawnJob {
	var d drawnJob
	for i := range count(random, k.Steps, sizeSigma/2) {
		width := count(random, k.Width, sizeSigma)
		cpu := int64(lognormal(random, k.CPU, sizeSigma))
		run := lognormal(random, float64(k.Run.Milliseconds()), runtimeSigma)
		step := workload.StepSpec{
			Count: width, Need: workload.Resources{CPU: cpu, MemoryMB: cpu},
			EstimatedMS: int64(lognormal(random, run, estimateSigma)) + 1,
		}
		if i > 0 {
			step.DependsOn = []int{i - 1}
		}
		d.spec.Steps = append(d.spec.Steps, step)
		var runs []time.Duration
		for range width {
			runs = append(runs, time.Duration(lognormal(random, run, sizeSigma/3))*time.Millisecond)
		}
		d.runs = append(d.runs, runs)
	}
	return d
}

// criticalPath returns the run time of the longest chain of tasks of the job.
func (d *drawnJob) criticalPath() time.Duration {
	var sum time.Duration
	for _, runs := range d.runs {
		longest := runs[0]
		for _, r := range runs {
			longest = max(longest, r)
		}
		sum += longest
	}
	return sum
}

// objective returns the latency within which the job is in time.
func (d *drawnJob) objective() time.Duration {
	return time.Duration(targetFactor*float64(d.criticalPath())) + targetLatency
}
