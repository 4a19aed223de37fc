package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/workload"
)

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
