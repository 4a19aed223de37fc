package explain

import (
	"slices"
	"strings"
	"time"
)

// contextWindow is how long before the first and after the last line of the id
// context is included; an election takes about as long.
const contextWindow = 3 * time.Second

// Entry is one line of a timeline.
type Entry struct {
	Line
	// Description states what the line means in plain text.
	Description string
	// Context is true for a line that doesn't mention the id but describes a change
	// that affects it.
	Context bool
}

// Timeline returns the lines that mention an id in the order of time, with the
// changes that affect it. It is empty when no line mentions the id.
func Timeline(lines []Line, id string) []Entry {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	var idLines []Line
	for i := range lines {
		if mentions(&lines[i], id) {
			idLines = append(idLines, lines[i])
		}
	}
	if len(idLines) == 0 {
		return nil
	}
	filter := contextFilter{from: idLines[0].Time.Add(-contextWindow), to: idLines[len(idLines)-1].Time.Add(contextWindow), workers: workersOf(idLines)}
	filter.pools = poolsOf(lines, filter.workers)
	var entries []Entry
	for i := range lines {
		line := &lines[i]
		switch {
		case mentions(line, id):
			entries = append(entries, Entry{Line: *line, Description: describe(line)})
		case filter.includes(line):
			entries = append(entries, Entry{Line: *line, Description: describe(line), Context: true})
		}
	}
	return entries
}

// mentions reports whether a field of the line contains the id as a whole word.
func mentions(l *Line, id string) bool {
	for field := range l.Fields {
		if slices.Contains(splitIDs(l.text(field)), id) {
			return true
		}
	}
	return false
}

// splitIDs splits a field into the ids that it may contain: a task is its job
// followed by numbers, a run its index, worker and attempt.
func splitIDs(text string) []string {
	return strings.FieldsFunc(text, func(r rune) bool { return strings.ContainsRune(" /.@#,", r) })
}

func workersOf(lines []Line) map[string]bool {
	workers := map[string]bool{}
	for i := range lines {
		if worker := lines[i].text("worker"); worker != "" {
			workers[worker] = true
		}
		for _, run := range strings.Fields(lines[i].text("runs")) {
			if _, rest, ok := strings.Cut(run, "@"); ok {
				worker, _, _ := strings.Cut(rest, "#")
				workers[worker] = true
			}
		}
	}
	return workers
}

func poolsOf(lines []Line, workers map[string]bool) map[string]bool {
	pools := map[string]bool{}
	for i := range lines {
		if lines[i].Message == "worker announced" && workers[lines[i].text("worker")] {
			pools[lines[i].text("pool")] = true
		}
	}
	return pools
}

// contextFilter selects the context of an id by time, workers and pools.
type contextFilter struct {
	from, to       time.Time
	workers, pools map[string]bool
}

// includes reports whether a line describes a change that affects the id.
func (s *contextFilter) includes(l *Line) bool {
	if l.Time.Before(s.from) || l.Time.After(s.to) {
		return false
	}
	switch l.Message {
	case "started", "stopped", "ended", "leading", "no longer leading", "log lines were left out",
		"the disk is full; waiting for room", "the disk is slow; handing leadership over",
		"the disk is slow; leadership could not be handed over":
		return true
	case "worker does not answer", "worker leaves", "worker gone":
		return s.workers[l.text("worker")]
	case "balance":
		return s.pools[l.text("pool")] && l.number("need_mcpu") > l.number("have_mcpu")
	default:
		return false
	}
}
