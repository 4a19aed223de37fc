package health

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

const (
	// successAfter is how long a task must have run on a worker to count as a
	// success there before it ends.
	successAfter = 5 * time.Minute
	// likelyWeight is the weight of the failure of a job that ran nowhere else
	// while other jobs of its kind succeed elsewhere.
	likelyWeight = 0.75
	// Jobs of a kind are reliable elsewhere when at least reliableClassShare of
	// their outcomes there are successes, and at least reliableClassMin are.
	reliableClassShare = 0.8
	reliableClassMin   = 5
)

// statistics holds the failures and successes of the workers on which something
// failed, and of the subjects that failed. All others, which are nearly all on
// most days, are skipped.
type statistics struct {
	ix       *fleet.Index
	workers  map[model.WorkerID]*workerStats
	subjects map[Subject]*subjectStats
	classes  map[Class]*classStats
}

// workerStats are the distinct subjects, not attempts, that failed and succeeded
// on one worker.
type workerStats struct {
	id        model.WorkerID
	failed    map[Subject]model.Instant
	succeeded map[Subject]bool
	// evidence is the weight of the failures attributed to the worker: 1 for each
	// subject that failed here and succeeded elsewhere, likelyWeight for others
	// that probably would have.
	evidence float64
	// streak is the number of successes since the last failure.
	streak int
}

// subjectStats are the workers on which one job or service failed and succeeded.
type subjectStats struct {
	class       Class
	failedOn    []model.WorkerID
	succeededOn []model.WorkerID
	// succeededOnUnknown is set when it succeeded on a worker that isn't known.
	succeededOnUnknown bool
}

// classStats counts the outcomes of one class, in total and by worker.
type classStats struct {
	succeeded, failed     int
	succeededOn, failedOn map[model.WorkerID]int
}

func newStatistics(ix *fleet.Index, h *History) *statistics {
	m := &statistics{
		ix:       ix,
		workers:  make(map[model.WorkerID]*workerStats),
		subjects: make(map[Subject]*subjectStats),
		classes:  make(map[Class]*classStats),
	}
	m.addFailures(h)
	m.addJobRecords()
	m.addSuccesses(h)
	m.addRunning()
	m.computeEvidence()
	return m
}

func (m *statistics) addFailures(h *History) {
	for w := range h.workers {
		for _, o := range h.recent(w, m.ix.Now()) {
			if o.Failed {
				m.recordFailure(o)
			}
		}
	}
}

func (m *statistics) recordFailure(o Outcome) {
	w := m.workers[o.Worker]
	if w == nil {
		w = &workerStats{id: o.Worker, failed: make(map[Subject]model.Instant), succeeded: make(map[Subject]bool)}
		m.workers[o.Worker] = w
	}
	s := m.subjects[o.Subject]
	if s == nil {
		s = &subjectStats{class: o.Class}
		m.subjects[o.Subject] = s
	}
	if w.failed[o.Subject] == 0 {
		m.classOf(o.Class).add(o.Worker, false)
	}
	w.failed[o.Subject] = max(w.failed[o.Subject], o.At)
	s.failedOn = addDistinct(s.failedOn, o.Worker)
}

func (m *statistics) classOf(id Class) *classStats {
	c := m.classes[id]
	if c == nil {
		c = &classStats{succeededOn: make(map[model.WorkerID]int), failedOn: make(map[model.WorkerID]int)}
		m.classes[id] = c
	}
	return c
}

func (c *classStats) add(w model.WorkerID, succeeded bool) {
	if succeeded {
		c.succeeded++
		c.succeededOn[w]++
		return
	}
	c.failed++
	c.failedOn[w]++
}

// addJobRecords adds the outcomes in the records of the jobs: on which workers
// they failed, and whether they were done in the end. A new leader has only
// these. The failures of a job that still waits count regardless of their age:
// it would wait forever if they expired before it is held.
func (m *statistics) addJobRecords() {
	for id, j := range m.ix.Snap.View.Jobs {
		old := j.State.Final() && m.ix.Now().Sub(j.Changed) > Window
		if len(j.FailedOn) == 0 || old {
			continue
		}
		subject := JobSubject(id)
		for _, w := range j.FailedOn {
			if known := m.workers[w]; known == nil || known.failed[subject] == 0 {
				m.recordFailure(Outcome{Subject: subject, Class: JobClass(&j.Spec), Worker: w, Failed: true, At: j.Changed})
			}
		}
		m.subjects[subject].succeededOnUnknown = j.State == model.JobDone
	}
}

func (m *statistics) addSuccesses(h *History) {
	for id := range h.workers {
		w := m.workers[id]
		for _, o := range h.recent(id, m.ix.Now()) {
			if w != nil && o.Failed {
				w.streak = 0
			}
			if !o.Failed {
				m.recordSuccess(w, o)
			}
		}
	}
}

func (m *statistics) recordSuccess(w *workerStats, o Outcome) {
	if w != nil {
		w.streak++
		w.succeeded[o.Subject] = true
	}
	if s := m.subjects[o.Subject]; s != nil {
		s.succeededOn = addDistinct(s.succeededOn, o.Worker)
	}
	if c := m.classes[o.Class]; c != nil {
		c.add(o.Worker, true)
	}
}

// addRunning counts tasks that have run for successAfter as successes, since
// an instance that serves may never end.
func (m *statistics) addRunning() {
	for _, t := range m.ix.Snap.View.Tasks {
		if t.State != model.TaskRunning || m.ix.Now().Sub(t.Started) < successAfter {
			continue
		}
		if t.Job == "" && !m.ix.Snap.Serving[t.ID] {
			continue
		}
		m.addRunningTask(t)
	}
}

func (m *statistics) addRunningTask(t *model.Task) {
	w := m.workers[t.Worker]
	job := m.ix.Job(t.Job)
	if w == nil && job != nil && len(job.FailedOn) == 0 {
		return
	}
	subject := SubjectOf(t)
	if w != nil {
		w.succeeded[subject] = true
	}
	if s := m.subjects[subject]; s != nil {
		s.succeededOn = addDistinct(s.succeededOn, t.Worker)
	}
}

// computeEvidence sums the failures attributed to each worker.
func (m *statistics) computeEvidence() {
	for _, w := range m.workers {
		certain, likely := 0, 0
		for id := range w.failed {
			s := m.subjects[id]
			switch {
			case s.succeededElsewhere(w.id):
				certain++
			case len(s.failedOn) == 1 && m.classes[s.class].reliableElsewhere(w.id):
				likely++
			}
		}
		w.evidence = float64(certain) + likelyWeight*float64(likely)
	}
}

// succeededElsewhere reports whether the subject succeeded on another worker.
func (s *subjectStats) succeededElsewhere(w model.WorkerID) bool {
	if s.succeededOnUnknown {
		return true
	}
	return slices.ContainsFunc(s.succeededOn, func(o model.WorkerID) bool { return o != w })
}

// reliableElsewhere reports whether jobs of the class mostly succeed on other
// workers.
func (c *classStats) reliableElsewhere(w model.WorkerID) bool {
	succeeded, failed := c.succeeded-c.succeededOn[w], c.failed-c.failedOn[w]
	return succeeded >= reliableClassMin && float64(succeeded) >= reliableClassShare*float64(succeeded+failed)
}

// isSuspect reports whether a worker may be the cause of failures: those that
// are attributed to it are more than chance compared to its successes, and it
// has not had enough successes in a row since.
func (w *workerStats) isSuspect() bool {
	if w.evidence == 0 || w.streak >= releaseProbes {
		return false
	}
	return w.evidence/(w.evidence+float64(len(w.succeeded))) >= minFailureShare
}

// isProven reports whether a worker has shown that it can run tasks: something
// other than the subject succeeded there, and it is neither suspect nor in
// quarantine.
//
// When everything fails everywhere because of a shared fault, no worker is
// proven, so no job is held because of it.
func (m *statistics) isProven(id model.WorkerID, subject Subject) bool {
	w := m.workers[id]
	if w == nil || w.isSuspect() || m.ix.Snap.View.Quarantines[id] != nil {
		return false
	}
	return len(w.succeeded) > 1 || len(w.succeeded) == 1 && !w.succeeded[subject]
}

// suspects returns the suspect workers with at least this evidence, the worst
// first.
func (m *statistics) suspects(minEvidence float64) []*workerStats {
	var found []*workerStats
	for _, w := range m.workers {
		if w.evidence >= minEvidence && w.isSuspect() {
			found = append(found, w)
		}
	}
	slices.SortFunc(found, func(a, b *workerStats) int {
		return cmp.Or(cmp.Compare(b.evidence, a.evidence), cmp.Compare(a.id, b.id))
	})
	return found
}

func addDistinct(list []model.WorkerID, w model.WorkerID) []model.WorkerID {
	if slices.Contains(list, w) {
		return list
	}
	return append(list, w)
}
