// Package health tells workers that fail jobs from jobs that fail on workers.
//
// Raw failure rates can't: a worker that happened to get three bad jobs looks
// broken, and a job that happened to meet a broken worker looks bad. So each
// failure is looked at from both margins: what else the worker did, and how
// the job fared elsewhere.
package health

import (
	"slices"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

const (
	// Window is how long an outcome counts.
	Window = 6 * time.Hour
	// outcomesKept bounds the outcomes remembered for each worker.
	outcomesKept = 64
	// workersKept bounds the workers remembered.
	workersKept = 20_000
)

// Subject names what ran: a job, or an instance of a service.
type Subject string

// JobSubject names a job.
func JobSubject(id model.JobID) Subject { return Subject("job " + id) }

// SubjectOf names what a task ran.
func SubjectOf(t *model.Task) Subject {
	if t.Job != "" {
		return JobSubject(t.Job)
	}
	// All instances of a service run the same program and count as one.
	return Subject("service " + t.Service)
}

// Class names the kind of what ran: jobs of one team and kind, or a service.
type Class string

// JobClass names the kind of a job.
func JobClass(spec *model.JobSpec) Class { return Class(string(spec.Team) + "/" + spec.Kind) }

// Outcome is how one task ended on a worker. Tasks that were stopped, lapsed
// or never started say nothing and are not observed.
type Outcome struct {
	Subject Subject
	Class   Class
	Worker  model.WorkerID
	Failed  bool
	At      model.Instant
}

// History holds the latest outcomes by worker. It is soft state of the
// leader; what a new leader lacks it takes from the jobs' own records.
type History struct {
	workers map[model.WorkerID][]Outcome
	now     model.Instant
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{workers: make(map[model.WorkerID][]Outcome)}
}

// Observe remembers an outcome, in place of the oldest of the worker when
// there are too many.
func (h *History) Observe(o Outcome) {
	h.now = max(h.now, o.At)
	list, known := h.workers[o.Worker]
	if !known && len(h.workers) >= workersKept {
		h.dropStale()
	}
	if len(list) == outcomesKept {
		list = slices.Delete(list, 0, 1)
	}
	h.workers[o.Worker] = append(list, o)
}

// dropStale forgets the workers without an outcome in the window.
func (h *History) dropStale() {
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
