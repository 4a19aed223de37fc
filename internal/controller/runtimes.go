package controller

import (
	"math"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/estimate"
	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/platform"
)

// runtimes learns how long jobs of a kind really run against what they
// declare: declared run times are far off. It is soft state.
type runtimes struct {
	kinds map[runtimeKey]*runtimeStat
}

type runtimeKey struct {
	team model.TeamID
	kind string
}

// runtimeStat holds a decaying mean of the logarithm of run time over
// declared run time, or of the run time where none is declared.
type runtimeStat struct {
	declared bool
	mean     float64
	n        float64
}

const (
	// runtimeDecay is the weight of the newest run once many were seen.
	runtimeDecay = 0.1
	// runtimeKinds bounds the kinds kept: callers name them.
	runtimeKinds = 4096
	// unknownRuntime stands for jobs about whose kind nothing is known.
	unknownRuntime = 10 * time.Minute
	// overdueShare is what is taken to be left of a task that ran longer than
	// expected, as a share of its run time so far: what is overdue by much
	// tends to last.
	overdueShare = 0.5
)

func newRuntimes() *runtimes { return &runtimes{kinds: map[runtimeKey]*runtimeStat{}} }

// observe learns from one task that ended with success.
func (r *runtimes) observe(spec *model.JobSpec, ran time.Duration) {
	key := runtimeKey{spec.Team, spec.Kind}
	value := ran.Seconds()
	if spec.Runtime > 0 {
		value /= spec.Runtime.Seconds()
	}
	s := r.kinds[key]
	if s == nil || s.declared != (spec.Runtime > 0) {
		if len(r.kinds) >= runtimeKinds {
			clear(r.kinds)
		}
		s = &runtimeStat{declared: spec.Runtime > 0}
		r.kinds[key] = s
	}
	s.n++
	weight := max(1/s.n, runtimeDecay)
	s.mean += weight * (math.Log(max(value, math.SmallestNonzeroFloat32)) - s.mean)
}

// expected is how long a job is taken to run.
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

// remaining is how long a task is taken to run on.
func (r *runtimes) remaining(spec *model.JobSpec, ran time.Duration) time.Duration {
	expected := r.expected(spec)
	if ran < expected {
		return expected - ran
	}
	return time.Duration(overdueShare * float64(ran))
}

func seen(u platform.Usage) estimate.Seen { return estimate.Seen{Used: u.Used, At: u.At} }
