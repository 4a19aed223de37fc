package fleet

import "github.com/comfreyloom/comfreyloom/internal/model"

// Team is a team of the manifest with what its running jobs count for.
type Team struct {
	Spec *model.Team
	// Used is the sum of Charge over the team's running jobs.
	Used model.Resources
}

// Charge is what a job of the size counts against the quota: at most the
// whole quota. A size learned to be larger than declared would otherwise keep
// a job that fits the quota by its declaration from ever running.
func (t *Team) Charge(size model.Resources) model.Resources {
	q := t.Spec.Quota
	return model.Resources{
		MilliCPU:     clip(size.MilliCPU, q.MilliCPU),
		MemoryMB:     clip(size.MemoryMB, q.MemoryMB),
		Accelerators: clip(size.Accelerators, q.Accelerators),
	}
}

// Allows reports whether one more job of the size keeps the quota now.
func (t *Team) Allows(size model.Resources) bool {
	return WithinQuota(t.Used.Plus(t.Charge(size)), t.Spec.Quota)
}

// WithinQuota reports whether an amount keeps a quota; 0 in a dimension of
// the quota is unlimited.
func WithinQuota(r, quota model.Resources) bool {
	return within(r.MilliCPU, quota.MilliCPU) && within(r.MemoryMB, quota.MemoryMB) && within(r.Accelerators, quota.Accelerators)
}

func within(v, limit int64) bool { return limit == 0 || v <= limit }

func clip(v, limit int64) int64 {
	if limit == 0 {
		return v
	}
	return min(v, limit)
}
