package workload

// Estimates of the memory that jobs take, in bytes.
const (
	// jobBytes is for a job of which only the state is still needed.
	jobBytes        = 512
	stepBytes       = 256
	taskBytes       = 96
	dependencyBytes = 8
)

// Room is the memory that the jobs of a site may take by estimate, in bytes; 0 is
// unlimited. A job beyond it isn't accepted, and an occurrence of a repeated job is begun
// later.
type Room int64

const (
	// smallJobBytes is the footprint up to which a job may use the whole room. Larger
	// ones leave 1/roomReserve of it to small ones.
	smallJobBytes = 64 << 10
	roomReserve   = 4
)

// Fits reports whether more may be held beside what is held.
func (r Room) Fits(held, more int64) bool {
	if r <= 0 {
		return true
	}
	limit := int64(r)
	if more > smallJobBytes {
		limit -= limit / roomReserve
	}
	return held+more <= limit
}

// Footprint returns the memory that the jobs take by estimate, in bytes.
func (t *Tables) Footprint() int64 { return t.footprint }

// Footprint returns the memory that a job will take by estimate once it is accepted, in
// bytes.
func (s *JobSpec) Footprint() int64 { return jobBytes + s.textBytes() + s.OccurrenceBytes() }

// OccurrenceBytes returns the memory that one occurrence of a job takes by estimate, in
// bytes.
func (s *JobSpec) OccurrenceBytes() int64 {
	tasks := int64(0)
	for i := range s.Steps {
		tasks += int64(s.Steps[i].Count)
	}
	return tasks * taskBytes
}

// textBytes returns the memory of the spec itself.
func (s *JobSpec) textBytes() int64 {
	bytes := int64(len(s.Payload))
	for i := range s.Steps {
		step := &s.Steps[i]
		bytes += stepBytes + int64(len(step.Image)+len(step.Label)+len(step.DataRack)) + dependencyBytes*int64(len(step.DependsOn))
	}
	return bytes
}

func (j *Job) footprint() int64 {
	return jobBytes + j.Spec.textBytes() + int64(len(j.Occurrences))*j.Spec.OccurrenceBytes()
}

// resize applies a change to a job that may change its footprint.
func (t *Tables) resize(job *Job, change func()) {
	t.footprint -= job.footprint()
	change()
	t.footprint += job.footprint()
}
