package estimate

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

const (
	// MinRatio and MaxRatio bound the learned ratio: wrong declarations change a
	// size by at most a factor of four.
	MinRatio = 0.25
	MaxRatio = 4.0
	// ratioSteps is the number of steps in a ratio of 1. Ratios are rounded up to
	// a step, so that sizes, and the messages that state them, don't change with
	// each measurement.
	ratioSteps = 16
	// HalfLife is the time after which a measurement has half its weight.
	HalfLife = 24 * time.Hour
	// cpuQuantile and memoryQuantile are the shares of tasks whose use the
	// ratio covers. That of memory is higher, as memory can't be throttled.
	cpuQuantile    = 0.90
	memoryQuantile = 0.95
	// priorWeightBelow and priorWeightAbove are the weight of the declaration, in
	// tasks, against measurements below and above it. It takes more measurements to
	// accept that a job needs less than declared, since an error in that direction
	// hurts other tasks.
	priorWeightBelow = 4.0
	priorWeightAbove = 0.5
	// maxSamples limits the tasks kept for each class.
	maxSamples = 48
	// maxJobs limits the jobs whose own use is kept.
	maxJobs = 4096
	// maxClasses limits the classes; the one measured longest ago is dropped first.
	maxClasses = 4096
)

// class groups the jobs of one team and kind, whose declared sizes are wrong in a
// similar way. The class with an empty kind covers all jobs of the team.
type class struct {
	team model.TeamID
	kind string
}

// Estimator learns the ratio of used to declared size for each team and kind
// of job. It is soft state of the leader: a new leader relies on the declarations
// and the measured use of running tasks until it has learned.
type Estimator struct {
	classes map[class]*samples
	now     model.Instant
	// usedByJob is what single jobs were measured to use beyond their declared
	// size, so that their next attempt gets it. jobOrder holds them oldest first,
	// to limit their number.
	usedByJob map[model.JobID]model.Resources
	jobOrder  []model.JobID
}

// Ratio is the learned ratio of used to declared size.
type Ratio struct {
	CPU, Memory float64
	// Tasks is how many tasks it was learned from.
	Tasks int
}

// samples holds the peaks of the latest tasks of a class. ratio caches the result
// and is nil after a change.
type samples struct {
	peaks []peak
	last  model.Instant
	ratio *Ratio
}

// peak is the largest ratio measured for one task.
type peak struct {
	task        model.TaskID
	cpu, memory float64
	at          model.Instant
}

// NewEstimator returns an estimator that has learned nothing.
func NewEstimator() *Estimator {
	return &Estimator{classes: make(map[class]*samples), usedByJob: make(map[model.JobID]model.Resources)}
}

// Observe learns from one measurement of a job's task. During the warm-up only
// use above the declared size is taken into account.
func (e *Estimator) Observe(spec *model.JobSpec, t *model.Task, measured Usage) {
	p := peak{
		task:   t.ID,
		cpu:    ratioOf(measured.Used.MilliCPU, spec.Declared.MilliCPU),
		memory: ratioOf(measured.Used.MemoryMB, spec.Declared.MemoryMB),
		at:     measured.At,
	}
	if t.Throttled {
		// The processor use of a throttled task is limited, so it doesn't show the need.
		p.cpu = 0
	}
	warm := measured.At >= t.Started.Add(Warmup)
	if !warm && p.cpu <= 1 && p.memory <= 1 {
		return
	}
	e.now = max(e.now, measured.At)
	e.recordJobUse(spec, measured.Used)
	e.learn(class{spec.Team, spec.Kind}, p)
	if spec.Kind != "" {
		e.learn(class{spec.Team, ""}, p)
	}
}

// recordJobUse keeps what one job was measured to use beyond its declared size. A
// job whose declaration is further off than that of its kind would otherwise be
// started too small, stopped when the VM nears its limit, and started too small
// again, without end.
func (e *Estimator) recordJobUse(spec *model.JobSpec, used model.Resources) {
	known, ok := e.usedByJob[spec.ID]
	if !ok && used.Fits(spec.Declared) {
		return
	}
	if !ok {
		e.jobOrder = append(e.jobOrder, spec.ID)
	}
	e.usedByJob[spec.ID] = known.Max(used)
	if len(e.jobOrder) > maxJobs {
		delete(e.usedByJob, e.jobOrder[0])
		e.jobOrder = slices.Delete(e.jobOrder, 0, 1)
	}
}

// Size returns what a job is assumed to need: its declared size times the ratio
// of its team and kind, or what an earlier attempt was measured to use if that is
// more. Accelerators are whole devices and stay as declared.
func (e *Estimator) Size(spec *model.JobSpec) model.Resources {
	r := e.Ratio(spec.Team, spec.Kind)
	measured := e.usedByJob[spec.ID]
	return model.Resources{
		MilliCPU:     max(spec.Declared.Scale(r.CPU).MilliCPU, measured.MilliCPU),
		MemoryMB:     max(spec.Declared.Scale(r.Memory).MemoryMB, measured.MemoryMB),
		Accelerators: spec.Declared.Accelerators,
	}
}

// Ratio returns the ratio for a team and kind. For an unknown kind it is halfway
// between that of the team and 1, since kinds of one team may differ.
func (e *Estimator) Ratio(team model.TeamID, kind string) Ratio {
	if s := e.classes[class{team, kind}]; s != nil {
		return s.current(e.now)
	}
	if s := e.classes[class{team, ""}]; s != nil {
		r := s.current(e.now)
		return Ratio{CPU: roundUpToStep((r.CPU + 1) / 2), Memory: roundUpToStep((r.Memory + 1) / 2)}
	}
	return Ratio{CPU: 1, Memory: 1}
}

// roundUpToStep rounds a ratio up to a multiple of 1/ratioSteps.
func roundUpToStep(r float64) float64 { return math.Ceil(r*ratioSteps) / ratioSteps }

func (e *Estimator) learn(c class, p peak) {
	s := e.classes[c]
	if s == nil {
		e.dropOldestClass()
		s = &samples{}
		e.classes[c] = s
	}
	s.add(p)
}

// dropOldestClass drops the class that was measured longest ago when there are too
// many. Callers choose the names of kinds, so their number is not bounded.
func (e *Estimator) dropOldestClass() {
	if len(e.classes) < maxClasses {
		return
	}
	var oldest class
	found := false
	for c, s := range e.classes {
		if !found || s.last < e.classes[oldest].last || s.last == e.classes[oldest].last && lessClass(c, oldest) {
			oldest, found = c, true
		}
	}
	delete(e.classes, oldest)
}

func lessClass(a, b class) bool {
	return cmp.Or(cmp.Compare(a.team, b.team), cmp.Compare(a.kind, b.kind)) < 0
}

// add keeps one peak for each task, so that a task with many measurements doesn't
// outweigh the others.
func (s *samples) add(p peak) {
	s.last = max(s.last, p.at)
	s.ratio = nil
	for i := range s.peaks {
		if s.peaks[i].task == p.task {
			s.peaks[i].cpu = max(s.peaks[i].cpu, p.cpu)
			s.peaks[i].memory = max(s.peaks[i].memory, p.memory)
			s.peaks[i].at = max(s.peaks[i].at, p.at)
			return
		}
	}
	if len(s.peaks) == maxSamples {
		s.peaks = slices.Delete(s.peaks, 0, 1)
	}
	s.peaks = append(s.peaks, p)
}

func (s *samples) current(now model.Instant) Ratio {
	if s.ratio == nil {
		s.ratio = &Ratio{
			CPU:    s.learned(now, cpuQuantile, func(p peak) float64 { return p.cpu }),
			Memory: s.learned(now, memoryQuantile, func(p peak) float64 { return p.memory }),
			Tasks:  len(s.peaks),
		}
	}
	return *s.ratio
}

// weighted is a ratio with a weight that decreases with its age.
type weighted struct{ ratio, weight float64 }

// learned returns the weighted quantile of the peaks, shrunk towards a ratio of 1
// by the prior weight, bounded and rounded up to a step. Ratios of 0 were not
// measured.
func (s *samples) learned(now model.Instant, quantile float64, of func(peak) float64) float64 {
	var points []weighted
	total := 0.0
	for _, p := range s.peaks {
		if of(p) <= 0 {
			continue
		}
		age := float64(now.Sub(p.at)) / float64(HalfLife)
		w := weighted{of(p), math.Exp2(-max(age, 0))}
		points = append(points, w)
		total += w.weight
	}
	if total == 0 {
		return 1
	}
	q := quantileOf(points, quantile*total)
	prior := priorWeightBelow
	if q > 1 {
		prior = priorWeightAbove
	}
	shrunk := (q*total + prior) / (total + prior)
	return roundUpToStep(min(max(shrunk, MinRatio), MaxRatio))
}

// quantileOf returns the smallest ratio at which the total weight of all ratios up
// to it reaches the target.
func quantileOf(points []weighted, target float64) float64 {
	slices.SortFunc(points, func(a, b weighted) int { return cmp.Compare(a.ratio, b.ratio) })
	sum := 0.0
	for _, p := range points {
		sum += p.weight
		if sum >= target {
			return p.ratio
		}
	}
	return points[len(points)-1].ratio
}

func ratioOf(used, declared int64) float64 {
	if declared <= 0 || used <= 0 {
		return 0
	}
	return float64(used) / float64(declared)
}
