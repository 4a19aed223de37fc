// Package health distinguishes bad workers, on which good jobs fail, from bad
// jobs, which fail on good workers. It quarantines the former and holds the
// latter.
//
// Raw failure rates can't distinguish them: a worker that happened to get three
// bad jobs looks bad, and so does a job that happened to run on a bad worker. So
// each failure is attributed by two facts: what else succeeded on the worker,
// and whether the job succeeded elsewhere.
package health

import (
	"slices"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

const (
	// Window is how long an outcome is taken into account.
	Window = 6 * time.Hour
	// maxOutcomesPerWorker bounds the outcomes kept for each worker.
	maxOutcomesPerWorker = 64
	// maxWorkers is the number of workers from which on those without a recent
	// outcome are dropped.
	maxWorkers = 20_000
)

// Subject identifies what ran: a job or a service.
type Subject string

// JobSubject returns the subject of a job.
func JobSubject(id model.JobID) Subject { return Subject("job " + id) }

// SubjectOf returns the subject of a task.
func SubjectOf(t *model.Task) Subject {
	if t.Job != "" {
		return JobSubject(t.Job)
	}
	// All instances of a service run the same program and count as one.
	return Subject("service " + t.Service)
}

// Class identifies a kind of subject: the jobs of one team and kind, or a service.
type Class string

// JobClass returns the class of a job.
func JobClass(spec *model.JobSpec) Class { return Class(string(spec.Team) + "/" + spec.Kind) }

// Outcome is how one task ended on a worker. Tasks that were stopped, whose
// lease lapsed or that never started are not observed, as they show nothing about
// the worker or the job.
type Outcome struct {
	Subject Subject
	Class   Class
	Worker  model.WorkerID
	Failed  bool
	At      model.Instant
}

// History holds the latest outcomes by worker. It is soft state of the leader.
// A new leader starts without it and uses the records of the jobs instead.
type History struct {
	workers map[model.WorkerID][]Outcome
	now     model.Instant
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{workers: make(map[model.WorkerID][]Outcome)}
}

// Observe adds an outcome. When the worker has too many, its oldest is dropped.
func (h *History) Observe(o Outcome) {
	h.now = max(h.now, o.At)
	list, known := h.workers[o.Worker]
	if !known && len(h.workers) >= maxWorkers {
		h.dropExpired()
	}
	if len(list) == maxOutcomesPerWorker {
		list = slices.Delete(list, 0, 1)
	}
	h.workers[o.Worker] = append(list, o)
}

// dropExpired drops the workers without an outcome in the window.
func (h *History) dropExpired() {
	for w, list := range h.workers {
		if h.now.Sub(list[len(list)-1].At) > Window {
			delete(h.workers, w)
		}
	}
}

// recent returns a worker's outcomes in the window, oldest first.
func (h *History) recent(w model.WorkerID, now model.Instant) []Outcome {
	list := h.workers[w]
	first := slices.IndexFunc(list, func(o Outcome) bool { return now.Sub(o.At) <= Window })
	if first < 0 {
		return nil
	}
	return list[first:]
}
