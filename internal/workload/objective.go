package workload

// Objective returns how long an occurrence of a job may take to be on time, in
// milliseconds from the job's acceptance or the time at which the occurrence is
// due.
func (j *Job) Objective(q *Queue) int64 {
	return int64(q.TargetFactor*float64(j.Spec.criticalPathMS(nil))) + q.TargetLatencyMS
}

// RemainingMS estimates how much longer an occurrence takes if every task starts
// as soon as its step is ready: the critical path of the steps that are not done.
func (j *Job) RemainingMS(o *Occurrence) int64 { return j.Spec.criticalPathMS(o) }

// LateFactor is how many times its objective a job may take before it is of no use
// to its caller.
const LateFactor = 3

// SlackMS estimates how much longer an occurrence may wait and still end within
// the given multiple of its objective; it is negative if it can't.
func (j *Job) SlackMS(q *Queue, o *Occurrence, nowMS int64, times int64) int64 {
	began := j.AcceptedMS
	if j.Spec.Repeat != nil {
		began = j.Spec.Repeat.Due(o.K)
	}
	return began + times*j.Objective(q) - nowMS - j.RemainingMS(o)
}

// IsLate reports whether no occurrence of a job can be on time any more.
func (j *Job) IsLate(q *Queue, nowMS int64) bool {
	for _, o := range j.Occurrences {
		if j.SlackMS(q, o, nowMS, 1) >= 0 {
			return false
		}
	}
	return len(j.Occurrences) > 0
}

// criticalPathMS returns the run time of the longest chain of dependent steps.
// Steps that are done in the occurrence o count as 0; o may be nil.
func (s *JobSpec) criticalPathMS(o *Occurrence) int64 {
	var ends [MaxSteps]int64
	var longest int64
	for i := range s.Steps {
		step := &s.Steps[i]
		var begin int64
		for _, dependency := range step.DependsOn {
			begin = max(begin, ends[dependency])
		}
		ends[i] = begin
		if !step.LongRunning && (o == nil || o.Steps[i].Done < step.Count) {
			ends[i] += step.RunMS()
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// RemainingWork estimates the processor time that an occurrence still needs, in
// thousandths of a core times milliseconds.
func (j *Job) RemainingWork(o *Occurrence) int64 {
	var work int64
	for i := range o.Steps {
		spec := &j.Spec.Steps[i]
		if !spec.LongRunning {
			work += int64(len(o.Steps[i].Tasks)-o.Steps[i].Done) * spec.Charge().CPU * spec.RunMS()
		}
	}
	return work
}
