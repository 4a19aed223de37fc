package workload

import (
	"errors"
	"fmt"
)

// Validate returns an error that describes the first invalid setting of a
// configuration, nil if it is valid.
func (c *Config) Validate() error {
	pools := map[string]bool{}
	for _, p := range c.Pools {
		pools[p.Name] = true
	}
	seen := map[QueueID]bool{}
	for i := range c.Queues {
		q := &c.Queues[i]
		switch {
		case q.ID.Host == "" || q.ID.Prefix == "":
			return fmt.Errorf("queue %q: host and path prefix are needed", q.Name)
		case !pools[q.Pool]:
			return fmt.Errorf("queue %q: there is no pool %q", q.Name, q.Pool)
		case seen[q.ID]:
			return fmt.Errorf("queue %q: another one has host %q and prefix %q too", q.Name, q.ID.Host, q.ID.Prefix)
		case q.TimeoutMS <= 0:
			return fmt.Errorf("queue %q: the timeout must be above 0", q.Name)
		}
		seen[q.ID] = true
	}
	return nil
}

// Limits of one job. They are far above what callers need and prevent one request
// from filling the memory of every core VM.
const (
	// MaxSteps is the largest number of steps.
	MaxSteps       = 64
	maxTasks       = 20_000
	maxPayload     = 4_000
	maxOccurrences = 1_000_000
)

// Validate returns an error that describes the first invalid part of a job, nil if
// it is valid.
func (s *JobSpec) Validate() error {
	if len(s.Payload) > maxPayload {
		return fmt.Errorf("the payload has %d bytes; at most %d are allowed", len(s.Payload), maxPayload)
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return fmt.Errorf("the job has %d steps; 1 to %d are allowed", len(s.Steps), MaxSteps)
	}
	if r := s.Repeat; r != nil && (r.Times < 1 || r.Times > maxOccurrences || r.IntervalMS < 0) {
		return errors.New("the repetitions are out of bounds")
	}
	tasks := 0
	for i := range s.Steps {
		if err := s.Steps[i].validate(i); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
		tasks += s.Steps[i].Count
	}
	if tasks > maxTasks {
		return fmt.Errorf("the job has %d tasks; at most %d are allowed", tasks, maxTasks)
	}
	return nil
}

func (s *StepSpec) validate(number int) error {
	if s.Count < 1 || s.Count > maxTasks {
		return fmt.Errorf("%d tasks; 1 to %d are allowed", s.Count, maxTasks)
	}
	if s.Need.CPU < 0 || s.Need.MemoryMB < 0 || s.Need.GPU < 0 {
		return errors.New("needs must not be negative")
	}
	for _, dependency := range s.DependsOn {
		if dependency < 0 || dependency >= number {
			return fmt.Errorf("depends on step %d, which is not an earlier one", dependency)
		}
	}
	return nil
}

// maxWaveVMs is the largest number of VMs of one wave.
const maxWaveVMs = 20_000

// Validate returns an error that describes what is invalid in a wave, nil if it is valid.
func (w *Wave) Validate() error {
	if len(w.VMs) > maxWaveVMs {
		return fmt.Errorf("the wave has %d VMs; at most %d are allowed", len(w.VMs), maxWaveVMs)
	}
	for i := range w.VMs {
		if w.VMs[i].ID == "" {
			return fmt.Errorf("VM %d of the wave has no name", i)
		}
	}
	return nil
}
