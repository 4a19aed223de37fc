package dispatch

import (
	"strconv"
	"strings"

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
