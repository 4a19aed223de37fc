package fleet

import "github.com/comfreyloom/comfreyloom/internal/model"

// Team is a team of the manifest and its use of the quota.
type Team struct {
	Spec *model.Team
	// Used is the sum of Charge over the team's running jobs.
	Used model.Resources
}

// Charge returns what a job of the size counts against the quota: at most the
// whole quota. Otherwise a job whose declared size fits the quota could never
// run once its estimated size exceeds it.
func (t *Team) Charge(size model.Resources) model.Resources {
	q := t.Spec.Quota
	return model.Resources{
		MilliCPU:     clip(size.MilliCPU, q.MilliCPU),
		MemoryMB:     clip(size.MemoryMB, q.MemoryMB),
		Accelerators: clip(size.Accelerators, q.Accelerators),
	}
}

// Allows reports whether one more job of the size stays within the quota now.
func (t *Team) Allows(size model.Resources) bool {
	return WithinQuota(t.Used.Plus(t.Charge(size)), t.Spec.Quota)
}

// WithinQuota reports whether an amount is within a quota; 0 in a dimension of
// the quota means unlimited.
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
