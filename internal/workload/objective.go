package workload

// Objective returns how long a job may take to be in time, in milliseconds,
// from its acceptance or the time at which an occurrence is due.
func (j *Job) Objective(q *Queue) int64 {
	return int64(q.TargetFactor*float64(j.Spec.chain(nil))) + q.TargetLatencyMS
}

// LeftMS estimates how long an occurrence takes from now on if everything
// starts as soon as it may: its longest chain of tasks that are not done.
func (j *Job) LeftMS(o *Occurrence) int64 { return j.Spec.chain(o) }

// LateFactor is how many times its objective a job may take and still be of
// some use to its caller.
const LateFactor = 3

// SlackMS estimates how much longer an occurrence may wait and still end
// within so many times its objective; it is negative when it can't.
func (j *Job) SlackMS(q *Queue, o *Occurrence, nowMS int64, times int64) int64 {
	began := j.AcceptedMS
	if j.Spec.Repeat != nil {
		began = j.Spec.Repeat.Due(o.K)
	}
	return began + times*j.Objective(q) - nowMS - j.LeftMS(o)
}

// IsLate says whether no occurrence of a job can be in time any more.
func (j *Job) IsLate(q *Queue, nowMS int64) bool {
	for _, o := range j.Occurrences {
		if j.SlackMS(q, o, nowMS, 1) >= 0 {
			return false
		}
	}
	return len(j.Occurrences) > 0
}

// chain returns the longest chain of run times through the steps, leaving out
// those that are done in an occurrence.
func (s *JobSpec) chain(o *Occurrence) int64 {
	var ends [maxSteps]int64
	var longest int64
	for i := range s.Steps {
		step := &s.Steps[i]
		var begin int64
		for _, before := range step.DependsOn {
			begin = max(begin, ends[before])
		}
		ends[i] = begin
		if !step.Lasting && (o == nil || o.Steps[i].Done < step.Count) {
			ends[i] += step.RunMS()
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// LeftWork estimates the processor time that an occurrence still takes, in
// thousandths of a core times milliseconds.
func (j *Job) LeftWork(o *Occurrence) int64 {
	var work int64
	for i := range o.Steps {
		spec := &j.Spec.Steps[i]
		if !spec.Lasting {
			work += int64(len(o.Steps[i].Tasks)-o.Steps[i].Done) * spec.Charge().CPU * spec.RunMS()
		}
	}
	return work
}
