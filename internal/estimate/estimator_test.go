package estimate

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

var declared = model.Resources{MilliCPU: 1000, MemoryMB: 4000, Accelerators: 1}

func observe(e *Estimator, kind string, n int, factor float64, at model.Instant) {
	for i := range n {
		id := fmt.Sprint(kind, factor, i, at)
		spec := &model.JobSpec{ID: model.JobID(id), Team: "t", Kind: kind, Declared: declared}
		task := &model.Task{ID: model.TaskID(id), Size: declared, Started: at.Add(-time.Hour)}
		used := model.Resources{MilliCPU: int64(1000 * factor), MemoryMB: int64(4000 * factor)}
		e.Observe(spec, task, Usage{Used: used, At: at})
	}
}

// Jobs of a kind use far more, or far less, than they declare. Trusting the declared
// size over-commits VMs or leaves them half empty.
func TestRatioFollowsMeasuredUse(t *testing.T) {
	is := is.New(t)
	e := NewEstimator()
	spec := func(kind string) *model.JobSpec {
		return &model.JobSpec{ID: "new", Team: "t", Kind: kind, Declared: declared}
	}
	is.Equal(e.Size(spec("low")), declared) // nothing is learned yet
	observe(e, "low", 1, 3, 1)
	is.True(e.Size(spec("low")).MemoryMB > 9000) // one task above the declaration has a large effect
	observe(e, "high", 1, 0.1, 1)
	is.True(e.Size(spec("high")).MemoryMB > 3200) // one task below it has little effect
	observe(e, "high", 40, 0.1, 2)
	is.True(e.Size(spec("high")).MemoryMB <= 1250)                     // many tasks have a large one
	is.Equal(e.Size(spec("high")).Accelerators, declared.Accelerators) // whole devices stay
	observe(e, "huge", 40, 50, 2)
	is.Equal(e.Size(spec("huge")).MilliCPU, int64(4000)) // bounded
	observe(e, "low", 40, 0.5, model.InstantOf(time.UnixMilli(0).Add(20*24*time.Hour)))
	is.True(e.Size(spec("low")).MemoryMB < 4000) // old peaks lose weight
}

// A job's declaration may be further off than that of its kind. If only the ratio of
// the kind were used, the job would be stopped for memory and started too small
// again, without end.
func TestJobKeepsItsMeasuredUse(t *testing.T) {
	is := is.New(t)
	e := NewEstimator()
	observe(e, "k", 40, 1, 1)
	underdeclared := &model.JobSpec{ID: "liar", Team: "t", Kind: "k", Declared: declared}
	e.Observe(underdeclared, &model.Task{ID: "x", Started: 1}, Usage{Used: model.Resources{MemoryMB: 30_000}, At: 2})
	is.Equal(e.Size(underdeclared).MemoryMB, int64(30_000))
	is.True(e.Size(&model.JobSpec{ID: "other", Team: "t", Kind: "k", Declared: declared}).MemoryMB < 6000)
}

func TestChargeTrustsOnlyFreshUse(t *testing.T) {
	is := is.New(t)
	task := &model.Task{Size: declared, Started: 0}
	low := model.Resources{MilliCPU: 100, MemoryMB: 400}
	later := model.Instant(0).Add(time.Hour)
	is.Equal(Charge(task, Usage{}, later), declared)                                                                  // never measured
	is.Equal(Charge(task, Usage{low, later.Add(-10 * time.Minute)}, later), declared)                                 // measured too long ago
	is.Equal(Charge(task, Usage{low, 1000}, 1000), declared)                                                          // during the warm-up
	is.Equal(Charge(task, Usage{low, later}, later), model.Resources{MilliCPU: 500, MemoryMB: 2000, Accelerators: 1}) // reclaimFloor stays charged
	is.Equal(Charge(task, Usage{model.Resources{MemoryMB: 9000}, 1}, later).MemoryMB, int64(9000))                    // use above the declared size counts at once
	task.Throttled = true
	is.Equal(Charge(task, Usage{}, later).MilliCPU, int64(250))
}

// A caller may use a new kind for each job. Unless classes are dropped, the leader's
// memory grows without bound.
func TestClassesAreBounded(t *testing.T) {
	is := is.New(t)
	e := NewEstimator()
	for i := range maxClasses + 50 {
		observe(e, fmt.Sprint("kind", i), 1, 1.5, model.Instant(i+1))
	}
	is.True(len(e.classes) <= maxClasses)
	is.True(len(e.usedByJob) <= maxJobs)
}
