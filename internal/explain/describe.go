package explain

import (
	"fmt"
	"slices"
	"strings"
)

// describe returns what a line means in plain text. A message that isn't known
// here is returned with its fields.
func describe(l *Line) string {
	switch l.Message {
	case "started":
		return "the process starts (" + l.text("role") + ")"
	case "stopped", "ended":
		return "the process ends"
	case "leading":
		return "this VM leads from here, term " + l.text("term")
	case "no longer leading":
		return "this VM no longer leads; nothing is accepted until another one does"
	case "answered":
		return describeAnswer(l)
	case "worker announced":
		return describeAnnouncement(l)
	case "worker does not answer":
		return fmt.Sprintf("worker %s does not answer; its last word is %s ms old", l.text("worker"), l.text("age_ms"))
	case "worker leaves":
		return fmt.Sprintf("worker %s leaves; its runs are stopped", l.text("worker"))
	case "worker gone":
		return describeWorkerLoss(l)
	case "task is started alone from now on: workers crashed under it":
		return fmt.Sprintf("%s workers have crashed under task %s; it is started alone from now on", l.text("crashes"), l.text("task"))
	case "job given up: workers crashed under its task":
		return fmt.Sprintf("the job fails: workers crash under task %s, the last was %s", l.text("task"), l.text("worker"))
	case "runs committed":
		return fmt.Sprintf("step %s starts: %s (task@worker#attempt)", l.text("step"), l.text("runs"))
	case "run ended":
		return describeEnd(l)
	case "run released":
		return describeRelease(l)
	case "advice received":
		return fmt.Sprintf("step %s: the advisor allows %s of the %s workers that it was asked about; the pool has %s", l.text("step"), l.text("allowed"), l.text("asked"), l.text("pool_workers"))
	case "start refused":
		return fmt.Sprintf("worker %s refused task %s: %s", l.text("worker"), l.text("task"), l.text("refusal"))
	case "start not answered":
		return fmt.Sprintf("the start of task %s, attempt %s, got no answer from %s; it may still be carried out", l.text("task"), l.text("attempt"), l.text("worker"))
	case "stop refused":
		return fmt.Sprintf("worker %s refused to stop task %s, attempt %s: %s", l.text("worker"), l.text("task"), l.text("attempt"), l.text("refusal"))
	case "worker lists a run that is not planned there":
		return fmt.Sprintf("worker %s runs task %s, attempt %s, which is not planned there; it is stopped", l.text("worker"), l.text("task"), l.text("attempt"))
	case "run evicted":
		return fmt.Sprintf("task %s at %s %% on %s is to be stopped: %s; the list was %s ms old", l.text("task"), l.text("percent"), l.text("worker"), l.text("why"), l.text("list_age_ms"))
	case "run stands still":
		return fmt.Sprintf("task %s stands still at %s %% on %s for %s ms; it is stopped and started elsewhere", l.text("task"), l.text("percent"), l.text("worker"), l.text("age_ms"))
	case "balance":
		return fmt.Sprintf("pool %s has %d of %d cores that it needs", l.text("pool"), l.number("have_mcpu")/1000, l.number("need_mcpu")/1000)
	case "log lines were left out":
		return l.text("lines") + " log lines are missing here"
	default:
		return l.Message + formatFields(l)
	}
}

func describeAnswer(l *Line) string {
	meaning := "answered"
	switch status := l.number("status"); {
	case status == 503 || status == 429:
		meaning = "refused: it was not run and will not be"
	case status == 502 || status == 504:
		meaning = "given up: it may or may not have been taken; the next try with this id tells"
	case status >= 400:
		meaning = "refused as invalid"
	case status >= 200 && status < 300:
		meaning = "accepted"
	}
	text := fmt.Sprintf("%s %s after %s ms (%s)", l.text("kind"), meaning, l.text("took_ms"), l.text("status"))
	if err := l.text("error"); err != "" {
		text += ": " + err
	}
	return text
}

func describeAnnouncement(l *Line) string {
	text := fmt.Sprintf("worker %s announces itself in pool %s", l.text("worker"), l.text("pool"))
	if l.text("draining") == "true" {
		text = fmt.Sprintf("worker %s is about to leave pool %s", l.text("worker"), l.text("pool"))
	}
	return text
}

func describeWorkerLoss(l *Line) string {
	text := "worker " + l.text("worker") + " is over, with all that ran on it"
	if why := l.text("why"); why != "" {
		text += fmt.Sprintf(" (%s; %s runs)", why, l.text("runs"))
	}
	return text
}

func describeRelease(l *Line) string {
	text := fmt.Sprintf("task %s, attempt %s, is given up on %s: it surely does not run there", l.text("task"), l.text("attempt"), l.text("worker"))
	if why := l.text("why"); why != "" {
		text += " (" + why + ")"
	}
	return text
}

func describeEnd(l *Line) string {
	reason := map[string]string{
		"failed":  "failed",
		"stopped": "was stopped",
		"lapsed":  "was ended by its worker, whose lease had passed",
		"broken":  "ended because another member of its gang did",
		"alone":   "ended because the other members of its gang did not come",
	}[l.text("end")]
	if reason == "" {
		reason = "ended " + l.text("end")
	}
	return fmt.Sprintf("task %s, attempt %s, %s on %s", l.text("task"), l.text("attempt"), reason, l.text("worker"))
}

func formatFields(l *Line) string {
	var parts []string
	for field := range l.Fields {
		parts = append(parts, field+" "+l.text(field))
	}
	slices.Sort(parts)
	if len(parts) == 0 {
		return ""
	}
	return " (" + strings.Join(parts, ", ") + ")"
}
