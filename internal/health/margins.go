package health

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/fleet"
	"github.com/comfreyloom/comfreyloom/internal/model"
)

const (
	// provenAfter is how long a task must have run on a worker to show that
	// the worker can run tasks.
	provenAfter = 5 * time.Minute
	// likelyWeight is what the failure of a job that ran nowhere else counts
	// when other jobs of its kind run well elsewhere.
	likelyWeight = 0.75
	// goodClassShare and goodClassLeast say when jobs of a kind run well
	// elsewhere: the share that succeeds, and of how many at least.
	goodClassShare = 0.8
	goodClassLeast = 5
)

// margins are the failures and successes of the workers on which something
// failed, and of the subjects that failed. The others are not looked at: on
// most days they are nearly all.
type margins struct {
	ix       *fleet.Index
	workers  map[model.WorkerID]*workerMargin
	subjects map[Subject]*subjectMargin
	classes  map[Class]*classMargin
}

// workerMargin is one worker's side: distinct subjects, not attempts.
type workerMargin struct {
	id        model.WorkerID
	failed    map[Subject]model.Instant
	succeeded map[Subject]bool
	// evidence is what the worker must answer for: the subjects that failed
	// here and ran well elsewhere count 1 each, see likelyWeight for others.
	evidence float64
	// streak counts the successes since the last failure.
	streak int
}

// subjectMargin is one job's, or service's, side.
type subjectMargin struct {
	class       Class
	failedOn    []model.WorkerID
	succeededOn []model.WorkerID
	// elsewhere says that it succeeded, on a worker that is not known.
	elsewhere bool
}

// classMargin counts the outcomes of one kind of job, by worker.
type classMargin struct {
	good, bad     int
	goodOn, badOn map[model.WorkerID]int
}

func newMargins(ix *fleet.Index, h *History) *margins {
	m := &margins{
		ix:       ix,
		workers:  make(map[model.WorkerID]*workerMargin),
		subjects: make(map[Subject]*subjectMargin),
		classes:  make(map[Class]*classMargin),
	}
	m.addFailures(h)
	m.addRecords()
	m.addSuccesses(h)
	m.addRunning()
	m.weigh()
	return m
}

func (m *margins) addFailures(h *History) {
	for w := range h.workers {
		for _, o := range h.recent(w, m.ix.Now()) {
			if o.Failed {
				m.fail(o)
			}
		}
	}
}

func (m *margins) fail(o Outcome) {
	w := m.workers[o.Worker]
	if w == nil {
		w = &workerMargin{id: o.Worker, failed: make(map[Subject]model.Instant), succeeded: make(map[Subject]bool)}
		m.workers[o.Worker] = w
	}
	s := m.subjects[o.Subject]
	if s == nil {
		s = &subjectMargin{class: o.Class}
		m.subjects[o.Subject] = s
	}
	if w.failed[o.Subject] == 0 {
		m.class(o.Class).add(o.Worker, false)
	}
	w.failed[o.Subject] = max(w.failed[o.Subject], o.At)
	s.failedOn = addDistinct(s.failedOn, o.Worker)
}

func (m *margins) class(id Class) *classMargin {
	c := m.classes[id]
	if c == nil {
		c = &classMargin{goodOn: make(map[model.WorkerID]int), badOn: make(map[model.WorkerID]int)}
		m.classes[id] = c
	}
	return c
}

func (c *classMargin) add(w model.WorkerID, succeeded bool) {
	if succeeded {
		c.good++
		c.goodOn[w]++
		return
	}
	c.bad++
	c.badOn[w]++
}

// addRecords adds what the jobs' own records say: on which workers they
// failed, and that they were done in the end. A new leader has only these. A
// job that still waits counts however long ago it failed: it would wait for
// ever if its failures were forgotten before it is held.
func (m *margins) addRecords() {
	for id, j := range m.ix.Snap.View.Jobs {
		old := j.State.Final() && m.ix.Now().Sub(j.Changed) > Window
		if len(j.FailedOn) == 0 || old {
			continue
		}
		subject := JobSubject(id)
		for _, w := range j.FailedOn {
			if known := m.workers[w]; known == nil || known.failed[subject] == 0 {
				m.fail(Outcome{Subject: subject, Class: JobClass(&j.Spec), Worker: w, Failed: true, At: j.Changed})
			}
		}
		m.subjects[subject].elsewhere = j.State == model.JobDone
	}
}

func (m *margins) addSuccesses(h *History) {
	for id := range h.workers {
		w := m.workers[id]
		for _, o := range h.recent(id, m.ix.Now()) {
			if w != nil && o.Failed {
				w.streak = 0
			}
			if !o.Failed {
				m.succeed(w, o)
			}
		}
	}
}

func (m *margins) succeed(w *workerMargin, o Outcome) {
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

// addRunning counts tasks that have run well for a while as successes: an
// instance that serves may never end.
func (m *margins) addRunning() {
	for _, t := range m.ix.Snap.View.Tasks {
		if t.State != model.TaskRunning || m.ix.Now().Sub(t.Started) < provenAfter {
			continue
		}
		if t.Job == "" && !m.ix.Snap.Serving[t.ID] {
			continue
		}
		m.addRunningTask(t)
	}
}

func (m *margins) addRunningTask(t *model.Task) {
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

// weigh sums what each worker must answer for.
func (m *margins) weigh() {
	for _, w := range m.workers {
		certain, likely := 0, 0
		for id := range w.failed {
			s := m.subjects[id]
			switch {
			case s.ranWellOff(w.id):
				certain++
			case len(s.failedOn) == 1 && m.classes[s.class].goodOff(w.id):
				likely++
			}
		}
		w.evidence = float64(certain) + likelyWeight*float64(likely)
	}
}

// ranWellOff reports whether the subject ran well on another worker.
func (s *subjectMargin) ranWellOff(w model.WorkerID) bool {
	if s.elsewhere {
		return true
	}
	return slices.ContainsFunc(s.succeededOn, func(o model.WorkerID) bool { return o != w })
}

// goodOff reports whether jobs of the kind run well on other workers.
func (c *classMargin) goodOff(w model.WorkerID) bool {
	good, bad := c.good-c.goodOn[w], c.bad-c.badOn[w]
	return good >= goodClassLeast && float64(good) >= goodClassShare*float64(good+bad)
}

// suspect reports whether a worker may be the cause of failures: what it must
// answer for is more than chance beside what succeeded, and it has not shown
// since that it works again.
func (w *workerMargin) suspect() bool {
	if w.evidence == 0 || w.streak >= releaseProbes {
		return false
	}
	return w.evidence/(w.evidence+float64(len(w.succeeded))) >= suspectBlame
}

// proven reports whether a worker showed that it can run tasks: something
// else than the subject succeeded there and it is not suspect itself.
//
// When everything fails everywhere, because of a fault that all share, no
// worker is proven, and so no job is held for it.
func (m *margins) proven(id model.WorkerID, subject Subject) bool {
	w := m.workers[id]
	if w == nil || w.suspect() || m.ix.Snap.View.Quarantines[id] != nil {
		return false
	}
	return len(w.succeeded) > 1 || len(w.succeeded) == 1 && !w.succeeded[subject]
}

// suspects lists the workers to be put into quarantine, the worst first.
func (m *margins) suspects(least float64) []*workerMargin {
	var found []*workerMargin
	for _, w := range m.workers {
		if w.evidence >= least && w.suspect() {
			found = append(found, w)
		}
	}
	slices.SortFunc(found, func(a, b *workerMargin) int {
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
