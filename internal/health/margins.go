package health

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

// provenAfter is how long a task must have run on a worker to show that the
// worker can run tasks.
const provenAfter = 5 * time.Minute

// margins are the failures and successes of each worker and each subject.
type margins struct {
	ix       *fleet.Index
	workers  map[model.WorkerID]*workerMargin
	subjects map[Subject]*subjectMargin
}

// workerMargin is one worker's side: distinct subjects, not attempts.
type workerMargin struct {
	id        model.WorkerID
	failed    map[Subject]model.Instant
	succeeded map[Subject]model.Instant
	// cleared counts the subjects that failed here and succeeded elsewhere.
	cleared int
}

// subjectMargin is one job's, or service's, side: distinct workers.
type subjectMargin struct {
	failedOn    []model.WorkerID
	succeededOn []model.WorkerID
	// elsewhere says that it succeeded, on a worker that is not known.
	elsewhere bool
}

func newMargins(ix *fleet.Index, h *History) *margins {
	m := &margins{ix: ix, workers: make(map[model.WorkerID]*workerMargin), subjects: make(map[Subject]*subjectMargin)}
	for w := range h.workers {
		for _, o := range h.recent(w, ix.Now()) {
			m.add(o)
		}
	}
	m.addRecords()
	m.addServing()
	m.clear()
	return m
}

func (m *margins) worker(id model.WorkerID) *workerMargin {
	w := m.workers[id]
	if w == nil {
		w = &workerMargin{id: id, failed: make(map[Subject]model.Instant), succeeded: make(map[Subject]model.Instant)}
		m.workers[id] = w
	}
	return w
}

func (m *margins) subject(id Subject) *subjectMargin {
	s := m.subjects[id]
	if s == nil {
		s = &subjectMargin{}
		m.subjects[id] = s
	}
	return s
}

func (m *margins) add(o Outcome) {
	w, s := m.worker(o.Worker), m.subject(o.Subject)
	if o.Failed {
		w.failed[o.Subject] = max(w.failed[o.Subject], o.At)
		s.failedOn = addDistinct(s.failedOn, o.Worker)
		return
	}
	w.succeeded[o.Subject] = max(w.succeeded[o.Subject], o.At)
	s.succeededOn = addDistinct(s.succeededOn, o.Worker)
}

// addRecords adds what the jobs' own records say: on which workers they
// failed, and that they were done in the end. A new leader has only these.
func (m *margins) addRecords() {
	for id, j := range m.ix.Snap.View.Jobs {
		if len(j.FailedOn) == 0 || m.ix.Now().Sub(j.Changed) > Window {
			continue
		}
		for _, w := range j.FailedOn {
			if m.worker(w).failed[JobSubject(id)] == 0 {
				m.add(Outcome{Subject: JobSubject(id), Worker: w, Failed: true, At: j.Changed})
			}
		}
		if j.State == model.JobDone {
			m.subject(JobSubject(id)).elsewhere = true
		}
	}
}

// addServing counts tasks that have run well for a while as successes: an
// instance that serves may never end.
func (m *margins) addServing() {
	for _, t := range m.ix.Snap.View.Tasks {
		if t.State != model.TaskRunning || m.ix.Now().Sub(t.Started) < provenAfter {
			continue
		}
		if t.Job == "" && !m.ix.Snap.Serving[t.ID] {
			continue
		}
		m.add(Outcome{Subject: SubjectOf(t), Worker: t.Worker, At: m.ix.Now()})
	}
}

// clear counts, for each worker, the failures that the worker must answer
// for: of subjects that succeeded elsewhere.
func (m *margins) clear() {
	for _, w := range m.workers {
		for id := range w.failed {
			if m.subjects[id].clearedOf(w.id) {
				w.cleared++
			}
		}
	}
}

// clearedOf reports whether the subject ran well on another worker.
func (s *subjectMargin) clearedOf(w model.WorkerID) bool {
	if s.elsewhere {
		return true
	}
	return slices.ContainsFunc(s.succeededOn, func(o model.WorkerID) bool { return o != w })
}

// blame is the share of what the worker must answer for among what it ran:
// failures of jobs that are bad themselves count on neither side.
func (w *workerMargin) blame() float64 {
	if w.cleared == 0 {
		return 0
	}
	return float64(w.cleared) / float64(w.cleared+len(w.succeeded))
}

// proven reports whether a worker showed that it can run tasks: something
// else than the subject succeeded there and it is not suspect itself.
func (m *margins) proven(id model.WorkerID, subject Subject) bool {
	w := m.workers[id]
	if w == nil || m.suspect(w) || m.ix.Snap.View.Quarantines[id] != nil {
		return false
	}
	for s := range w.succeeded {
		if s != subject {
			return true
		}
	}
	return false
}

// suspect reports whether a worker may itself be the cause of failures.
func (m *margins) suspect(w *workerMargin) bool {
	return w.cleared > 0 && w.blame() >= suspectBlame
}

// suspects lists the workers to be put into quarantine, the worst first.
func (m *margins) suspects(o Options) []*workerMargin {
	var found []*workerMargin
	for _, w := range m.workers {
		if w.cleared >= o.Distinct && w.blame() >= suspectBlame {
			found = append(found, w)
		}
	}
	slices.SortFunc(found, func(a, b *workerMargin) int {
		if a.cleared != b.cleared {
			return cmp.Compare(b.cleared, a.cleared)
		}
		return cmp.Compare(a.id, b.id)
	})
	return found
}

func addDistinct(list []model.WorkerID, w model.WorkerID) []model.WorkerID {
	if slices.Contains(list, w) {
		return list
	}
	return append(list, w)
}
