package estimate

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

const (
	// MinRatio and MaxRatio bound what is learned: a liar can at most double
	// or halve twice what others get.
	MinRatio = 0.25
	MaxRatio = 4.0
	// ratioSteps is how many steps a ratio of 1 has. Ratios are rounded up to
	// a step, so that sizes, and the words that name them, do not change with
	// each measurement.
	ratioSteps = 16
	// HalfLife is how long it takes until a measurement weighs half.
	HalfLife = 24 * time.Hour
	// cpuQuantile and memoryQuantile are the shares of tasks whose use the
	// ratio covers. Memory is higher: it can't be throttled.
	cpuQuantile    = 0.90
	memoryQuantile = 0.95
	// doubtDown and doubtUp are how many tasks' weight the declaration keeps
	// against measurements below and above it. It takes more to believe that
	// a job needs less than declared: the error then hurts others.
	doubtDown = 4.0
	doubtUp   = 0.5
	// samplesKept bounds the tasks remembered for each class.
	samplesKept = 48
	// jobsKept bounds the jobs whose own use is remembered.
	jobsKept = 4096
	// classesKept bounds the classes; the one measured longest ago goes first.
	classesKept = 4096
)

// class is what tasks are alike by: the jobs of a team of one kind lie alike.
// The class with an empty kind stands for all jobs of the team.
type class struct {
	team model.TeamID
	kind string
}

// Estimator learns the ratio of used to declared size for each team and kind
// of job. It is soft state of the leader: a new one trusts the declarations,
// and what it sees of running tasks, until it has learned.
type Estimator struct {
	classes map[class]*samples
	now     model.Instant
	// seen is what single jobs were seen to use beyond their declared size,
	// so that their next attempt gets it; order bounds it.
	seen  map[model.JobID]model.Resources
	order []model.JobID
}

// Ratio is the learned ratio of used to declared size.
type Ratio struct {
	CPU, Memory float64
	// Tasks is how many tasks it was learned from.
	Tasks int
}

// samples are the peaks of a class's latest tasks.
type samples struct {
	peaks []peak
	last  model.Instant
	ratio *Ratio
}

// peak is the largest ratio that one task was seen with.
type peak struct {
	task        model.TaskID
	cpu, memory float64
	at          model.Instant
}

// NewEstimator returns an estimator that has learned nothing.
func NewEstimator() *Estimator {
	return &Estimator{classes: make(map[class]*samples), seen: make(map[model.JobID]model.Resources)}
}

// Observe learns from one measurement of a job's task. During the warm-up
// only use above the declared size teaches anything.
func (e *Estimator) Observe(spec *model.JobSpec, t *model.Task, seen Seen) {
	p := peak{
		task:   t.ID,
		cpu:    ratioOf(seen.Used.MilliCPU, spec.Declared.MilliCPU),
		memory: ratioOf(seen.Used.MemoryMB, spec.Declared.MemoryMB),
		at:     seen.At,
	}
	if t.Throttled {
		// A throttled task shows what it was left, not what it needs.
		p.cpu = 0
	}
	warm := seen.At >= t.Started.Add(Warmup)
	if !warm && p.cpu <= 1 && p.memory <= 1 {
		return
	}
	e.now = max(e.now, seen.At)
	e.remember(spec, seen.Used)
	e.learn(class{spec.Team, spec.Kind}, p)
	if spec.Kind != "" {
		e.learn(class{spec.Team, ""}, p)
	}
}

// remember keeps what one job was seen to use beyond its declared size. A job
// that lies worse than its kind would otherwise be started too small, stopped
// when the VM nears its limit, and started too small again, without end.
func (e *Estimator) remember(spec *model.JobSpec, used model.Resources) {
	known, ok := e.seen[spec.ID]
	if !ok && used.Fits(spec.Declared) {
		return
	}
	if !ok {
		e.order = append(e.order, spec.ID)
	}
	e.seen[spec.ID] = known.Max(used)
	if len(e.order) > jobsKept {
		delete(e.seen, e.order[0])
		e.order = slices.Delete(e.order, 0, 1)
	}
}

// Size returns what a job is taken to need: its declared size times the ratio
// of its team and kind, or what it was seen to use in an earlier attempt.
// Accelerators are whole devices and stay as declared.
func (e *Estimator) Size(spec *model.JobSpec) model.Resources {
	r := e.Ratio(spec.Team, spec.Kind)
	seen := e.seen[spec.ID]
	return model.Resources{
		MilliCPU:     max(spec.Declared.Scale(r.CPU).MilliCPU, seen.MilliCPU),
		MemoryMB:     max(spec.Declared.Scale(r.Memory).MemoryMB, seen.MemoryMB),
		Accelerators: spec.Declared.Accelerators,
	}
}

// Ratio returns the ratio for a team and kind. While the kind is unknown it
// lies halfway between that of the team and 1: kinds of one team may differ.
func (e *Estimator) Ratio(team model.TeamID, kind string) Ratio {
	if s := e.classes[class{team, kind}]; s != nil {
		return s.current(e.now)
	}
	if s := e.classes[class{team, ""}]; s != nil {
		r := s.current(e.now)
		return Ratio{CPU: stepUp((r.CPU + 1) / 2), Memory: stepUp((r.Memory + 1) / 2)}
	}
	return Ratio{CPU: 1, Memory: 1}
}

// stepUp rounds a ratio up to a step.
func stepUp(r float64) float64 { return math.Ceil(r*ratioSteps) / ratioSteps }

func (e *Estimator) learn(c class, p peak) {
	s := e.classes[c]
	if s == nil {
		e.makeRoom()
		s = &samples{}
		e.classes[c] = s
	}
	s.add(p)
}

// makeRoom drops the class that was measured longest ago when there are too
// many: kinds are named by callers and may be without end.
func (e *Estimator) makeRoom() {
	if len(e.classes) < classesKept {
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

// add keeps one peak for each task, so that a long one does not outweigh many.
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
	if len(s.peaks) == samplesKept {
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

// weighted is a ratio with the weight that its age leaves it.
type weighted struct{ ratio, weight float64 }

// learned returns the weighted quantile, drawn towards the declaration by the
// doubt, bounded and rounded up to a step. Ratios of 0 were not measured.
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
	doubt := doubtDown
	if q > 1 {
		doubt = doubtUp
	}
	drawn := (q*total + doubt) / (total + doubt)
	return stepUp(min(max(drawn, MinRatio), MaxRatio))
}

// quantileOf returns the least ratio at which the weight of those up to it
// reaches the target.
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
