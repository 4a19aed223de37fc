package dispatch

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/workload"
)

// Reasons for log lines: why a worker is gone, and why a run was released.
const (
	goneReplaced = "another incarnation answers"
	goneSilent   = "silent with nothing on it"
	goneLeft     = "it left"
	goneOrdered  = "an order for its VM was carried out"

	releasedLapsed   = "its leases have passed"
	releasedUnsent   = "it was never ordered"
	releasedRefused  = "its start was refused"
	releasedWithheld = "it may not begin any more"
	releasedUnlisted = "a later list does not hold it"
)

// isVoid says whether a run that was released for a reason surely never began.
func isVoid(reason string) bool {
	return reason == releasedUnsent || reason == releasedRefused || reason == releasedWithheld
}

// reasons say for log lines why a round decided what it commits.
type reasons struct {
	released map[workload.RunRef]string
	gone     map[workload.WorkerID]goneReason
}

// goneReason says why a worker is over, with what ended with it.
type goneReason struct {
	why  string
	lost []lostRun
	// tasks lists what was lost with the worker, now or while it was silent, of
	// jobs that were not final.
	tasks []workload.TaskRef
}

func newReasons() *reasons {
	return &reasons{released: map[workload.RunRef]string{}, gone: map[workload.WorkerID]goneReason{}}
}

// lostRun is a run that ended with its worker.
type lostRun struct {
	run workload.RunRef
	// age is for how long the run was known to be there when the worker last
	// answered; negative when it is not known that it began.
	age time.Duration
	// most is for how long it can have been there when the worker was lost;
	// negative where that is not known.
	most time.Duration
}

// lostRuns lists what may have been running on a worker that is over, the
// youngest first. A start that was refused for good never ran.
func (l *link) lostRuns(runs map[workload.RunRef]bool) []lostRun {
	var all []lostRun
	for run := range runs {
		if l.neverBegan(run) {
			continue
		}
		all = append(all, lostRun{run: run, age: l.ageOf(run), most: l.mostAge(run)})
	}
	slices.SortFunc(all, func(a, b lostRun) int {
		return cmp.Or(cmp.Compare(a.age, b.age), cmp.Compare(a.run.Task.String(), b.run.Task.String()))
	})
	return all
}

// neverBegan says whether a committed run surely never began on its worker.
func (l *link) neverBegan(run workload.RunRef) bool {
	o := l.orders[run]
	return !l.inherited[run] && (o == nil || !o.start.sent || o.surelyNot())
}

// voidRuns lists the runs on a worker that surely never began.
func (l *link) voidRuns(runs map[workload.RunRef]bool) []workload.RunRef {
	var all []workload.RunRef
	for run := range runs {
		if l.neverBegan(run) {
			all = append(all, run)
		}
	}
	return all
}

// ageOf returns for how long a run was known to be on its worker at the
// worker's last answer; negative when nothing shows that it began.
func (l *link) ageOf(run workload.RunRef) time.Duration {
	began := time.Duration(-1)
	if o := l.orders[run]; o != nil && o.start.answeredAt > 0 && !o.surelyNot() {
		began = o.start.answeredAt
	}
	if seen := l.running[run]; seen != nil && (began < 0 || seen.first < began) {
		began = seen.first
	}
	if began < 0 {
		return -1
	}
	return max(l.answered-began, 0)
}

// mostAge returns for how long a run can have been on its worker when the worker
// was lost: until the first call that got no answer. It is negative for a run that
// an earlier leader ordered, and where no call was under way.
func (l *link) mostAge(run workload.RunRef) time.Duration {
	o := l.orders[run]
	if o == nil || o.start.sentAt == 0 || l.brokeAt < o.start.sentAt {
		return -1
	}
	return l.brokeAt - o.start.sentAt
}

// maxLostTold bounds the runs that one line names.
const maxLostTold = 24

// tellLost writes runs as task#attempt:age in milliseconds.
func tellLost(all []lostRun) string {
	var text strings.Builder
	for i, lost := range all[:min(len(all), maxLostTold)] {
		if i > 0 {
			text.WriteByte(' ')
		}
		age := lost.age.Milliseconds()
		if lost.age < 0 {
			age = -1
		}
		text.WriteString(lost.run.Task.String() + "#" + strconv.Itoa(lost.run.Attempt) + ":" + strconv.FormatInt(age, 10))
	}
	return text.String()
}

const (
	// massWindow is how close the losses of many workers lie that have one cause.
	massWindow = 2 * time.Second
	// massShare of a pool, and massLeast workers, are many.
	massShare = 0.5
	massLeast = 3
)

// silence is when a worker was last heard that does not answer or is over.
type silence struct {
	pool string
	at   time.Duration
}

// silenceKept is how long the silence of a worker is remembered that is over:
// the next incarnation begins seconds later, each at its own time.
const silenceKept = 15 * time.Second

// noteSilences notes which workers do not answer or were found over, and since
// when.
func (d *Dispatcher) noteSilences(t *workload.Tables) {
	now := d.now()
	for id, s := range d.silences {
		if now-s.at > silenceKept {
			delete(d.silences, id)
		}
	}
	for id, l := range d.links {
		l.mu.Lock()
		if worker := t.Workers[id]; worker != nil && (l.gone || l.failures > 0) {
			d.silences[id] = silence{pool: worker.Pool, at: l.contact}
		} else {
			delete(d.silences, id)
		}
		l.mu.Unlock()
	}
}

// lostTogether says whether a large part of a pool fell silent at about the time
// of one worker: then a rack or its power failed, and no task shows itself to be
// the cause.
func (d *Dispatcher) lostTogether(t *workload.Tables, pool string, at time.Duration) bool {
	together := 0
	for _, s := range d.silences {
		if s.pool == pool && max(s.at-at, at-s.at) <= massWindow {
			together++
		}
	}
	if together < massLeast {
		return false
	}
	places := map[string]bool{} // an incarnation that is over and the next one share an address
	for _, w := range t.Workers {
		if w.Pool == pool {
			places[w.Address] = true
		}
	}
	return float64(together) >= massShare*float64(len(places))
}

// liveTasks lists the tasks that are lost with a worker and belong to jobs that
// are not final.
func liveTasks(t *workload.Tables, id workload.WorkerID, lost []lostRun) []workload.TaskRef {
	var all []workload.TaskRef
	add := func(task workload.TaskRef) {
		if job := t.Jobs[task.Job]; job != nil && !job.State.Final() {
			all = append(all, task)
		}
	}
	for i := range lost {
		add(lost[i].run.Task)
	}
	for i := range t.Losses[id] {
		add(t.Losses[id][i].Run.Task)
	}
	return all
}

// lossesOf returns what is committed of the runs that were lost with a worker.
// Of many workers lost together none was ended by a task of its own.
func lossesOf(worker workload.WorkerID, lost []lostRun, together bool) []workload.Loss {
	losses := make([]workload.Loss, len(lost))
	for i := range lost {
		losses[i] = workload.Loss{
			Worker: worker, Run: lost[i].run, AgeMS: max(lost[i].age.Milliseconds(), 0), Alone: !together && isAlone(lost, i),
		}
	}
	return losses
}

// trial is for how long after its start a run may be what crashes its worker.
const trial = workload.TrialMS * time.Millisecond

// isAlone says whether a worker was lost soon after the start of a run, and all
// others there had outlasted their trial.
func isAlone(lost []lostRun, i int) bool {
	if lost[i].most < 0 || lost[i].most > trial {
		return false
	}
	for j := range lost {
		if j != i && lost[j].age < trial {
			return false
		}
	}
	return true
}

// lapsedLosses returns the losses of the runs that are released as every lease of
// a silent worker has passed. All its runs are, but for those that never began.
func (l *link) lapsedLosses(t *workload.Tables, runs map[workload.RunRef]bool, why *reasons) []workload.Loss {
	var some []workload.Loss
	for _, loss := range lossesOf(l.target.ID, l.lostRuns(runs), l.d.lostTogether(t, t.Workers[l.target.ID].Pool, l.contact)) {
		if why.released[loss.Run] == releasedLapsed {
			some = append(some, loss)
		}
	}
	return some
}

// proveSuspects lists the suspects whose runs have lasted long enough.
func (l *link) proveSuspects(t *workload.Tables, c *workload.Command) {
	if len(t.Suspects) == 0 {
		return
	}
	for run := range l.running {
		if t.Suspects[run.Task] != nil && l.ageOf(run).Milliseconds() >= workload.ProvenMS {
			c.Proven = append(c.Proven, run.Task)
		}
	}
}

// doubt is what the runs on a worker say of the next one there.
type doubt struct {
	// suspects counts those that began lately and whose task lost a worker before.
	suspects int
	// isolated: one of them is to be alone until it has outlasted its trial.
	isolated bool
}

// doubts finds the workers with suspects on their trial, and notes since when the
// others wait for a start.
func (d *Dispatcher) doubts(t *workload.Tables) map[workload.WorkerID]doubt {
	on := map[workload.WorkerID]doubt{}
	before := d.waiting
	d.waiting = map[workload.TaskRef]time.Duration{}
	t.EachSuspicion(func(ref workload.TaskRef, lost int) {
		_, _, task := t.Task(ref)
		if task == nil || task.Done {
			return
		}
		if len(task.Runs) == 0 {
			d.waiting[ref] = d.now()
			if since, waited := before[ref]; waited {
				d.waiting[ref] = since
			}
		}
		for _, run := range task.Runs {
			l := d.links[run.Worker]
			if l == nil || !l.onTrial(workload.RunRef{Task: ref, Attempt: run.Attempt}) {
				continue
			}
			at := on[run.Worker]
			at.suspects++
			at.isolated = at.isolated || lost >= workload.IsolateFrom
			on[run.Worker] = at
		}
	})
	return on
}

// suspectPatience is how long a suspect waits for a worker of its own.
const suspectPatience = 2 * time.Second

// overdue lists the suspects that have waited for that long.
func (d *Dispatcher) overdue(now time.Duration) map[workload.TaskRef]bool {
	all := map[workload.TaskRef]bool{}
	for ref, since := range d.waiting {
		if now-since >= suspectPatience {
			all[ref] = true
		}
	}
	return all
}

// onTrial says whether a run may yet crash its worker soon after its start.
func (l *link) onTrial(run workload.RunRef) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ageOf(run) < trial
}

// unproven counts the runs on the worker that are on trial.
func (l *link) unproven(runs map[workload.RunRef]bool) int {
	n := 0
	for run := range runs {
		if l.ageOf(run) < trial {
			n++
		}
	}
	return n
}
