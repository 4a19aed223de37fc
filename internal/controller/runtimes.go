package controller

import (
	"math"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/estimate"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/platform"
)

// runtimes learns the actual run time of jobs by kind, relative to the
// declared run time, which is often far off. It is soft state.
type runtimes struct {
	kinds map[runtimeKey]*runtimeStat
}

type runtimeKey struct {
	team model.TeamID
	kind string
}

// runtimeStat holds a decaying mean of the logarithm of the ratio of actual to
// declared run time, or of the run time in seconds where none is declared.
type runtimeStat struct {
	declared bool
	mean     float64
	count    float64
}

const (
	// runtimeDecay is the weight of the newest run after many runs.
	runtimeDecay = 0.1
	// maxRuntimeKinds bounds the kinds that are kept: callers choose the names.
	maxRuntimeKinds = 4096
	// unknownRuntime is the estimate for jobs without a declared or learned run
	// time.
	unknownRuntime = 10 * time.Minute
	// overdueShare is the estimated remaining time of a task that has run longer
	// than expected, as a share of its run time so far: a task that is long
	// overdue tends to run much longer.
	overdueShare = 0.5
)

func newRuntimes() *runtimes { return &runtimes{kinds: map[runtimeKey]*runtimeStat{}} }

// observe records the run time of a task that succeeded.
func (r *runtimes) observe(spec *model.JobSpec, ran time.Duration) {
	key := runtimeKey{spec.Team, spec.Kind}
	value := ran.Seconds()
	if spec.Runtime > 0 {
		value /= spec.Runtime.Seconds()
	}
	s := r.kinds[key]
	if s == nil || s.declared != (spec.Runtime > 0) {
		if len(r.kinds) >= maxRuntimeKinds {
			clear(r.kinds)
		}
		s = &runtimeStat{declared: spec.Runtime > 0}
		r.kinds[key] = s
	}
	s.count++
	weight := max(1/s.count, runtimeDecay)
	s.mean += weight * (math.Log(max(value, math.SmallestNonzeroFloat32)) - s.mean)
}

// expected returns the estimated run time of a job.
func (r *runtimes) expected(spec *model.JobSpec) time.Duration {
	s := r.kinds[runtimeKey{spec.Team, spec.Kind}]
	switch {
	case s != nil && s.declared && spec.Runtime > 0:
		return time.Duration(math.Exp(s.mean) * float64(spec.Runtime))
	case s != nil && !s.declared:
		return time.Duration(math.Exp(s.mean) * float64(time.Second))
	case spec.Runtime > 0:
		return spec.Runtime
	default:
		return unknownRuntime
	}
}

// remaining returns the estimated remaining run time of a task.
func (r *runtimes) remaining(spec *model.JobSpec, ran time.Duration) time.Duration {
	expected := r.expected(spec)
	if ran < expected {
		return expected - ran
	}
	return time.Duration(overdueShare * float64(ran))
}

func usageSample(u platform.Usage) estimate.Usage { return estimate.Usage{Used: u.Used, At: u.At} }
