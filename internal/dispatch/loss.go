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
	releasedUnlisted = "a later list does not hold it"
)

// reasons say for log lines why a round decided what it commits.
type reasons struct {
	released map[workload.RunRef]string
	gone     map[workload.WorkerID]goneReason
}

// goneReason says why a worker is over, with what ended with it.
type goneReason struct {
	why  string
	lost []lostRun
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
}

// lostRuns lists what may have been running on a worker that is over, the
// youngest first. A start that was refused for good never ran.
func (l *link) lostRuns(runs map[workload.RunRef]bool) []lostRun {
	var all []lostRun
	for run := range runs {
		o := l.orders[run]
		if o != nil && (o.surelyNot() || !o.start.sent) && !l.inherited[run] {
			continue
		}
		all = append(all, lostRun{run: run, age: l.ageOf(run)})
	}
	slices.SortFunc(all, func(a, b lostRun) int {
		return cmp.Or(cmp.Compare(a.age, b.age), cmp.Compare(a.run.Task.String(), b.run.Task.String()))
	})
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
