package explain

import (
	"slices"
	"strings"
	"time"
)

// around is how far before the first and after the last line of the id what
// changed around it is told too: an election takes about as long.
const around = 3 * time.Second

// Entry is one step of a story.
type Entry struct {
	Line
	// Words say what the line means.
	Words string
	// Context: the line is not of the id, but of what changed around it.
	Context bool
}

// Story returns the lines about an id in the order of time, with what changed
// around them. It is empty when no line names the id.
func Story(lines []Line, id string) []Entry {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	var own []Line
	for i := range lines {
		if names(&lines[i], id) {
			own = append(own, lines[i])
		}
	}
	if len(own) == 0 {
		return nil
	}
	s := surroundings{from: own[0].Time.Add(-around), to: own[len(own)-1].Time.Add(around), workers: workersOf(own)}
	s.pools = poolsOf(lines, s.workers)
	var story []Entry
	for i := range lines {
		line := &lines[i]
		switch {
		case names(line, id):
			story = append(story, Entry{Line: *line, Words: words(line)})
		case s.holds(line):
			story = append(story, Entry{Line: *line, Words: words(line), Context: true})
		}
	}
	return story
}

// names says whether a field of the line holds the id as a whole word.
func names(l *Line, id string) bool {
	for field := range l.Fields {
		if slices.Contains(split(l.text(field)), id) {
			return true
		}
	}
	return false
}

// split cuts a field into the ids that it may hold: a task is its job with
// numbers behind it, a run its index, worker and attempt.
func split(text string) []string {
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

// surroundings are the time of an id and what it had to do with.
type surroundings struct {
	from, to       time.Time
	workers, pools map[string]bool
}

// holds says whether a line tells of a change around the id.
func (s *surroundings) holds(l *Line) bool {
	if l.Time.Before(s.from) || l.Time.After(s.to) {
		return false
	}
	switch l.Message {
	case "started", "stopped", "ended", "leading", "no longer leading", "log lines were left out",
		"the disk is full; waiting for room", "the disk is slow; handing leadership over",
		"the disk is slow; leadership could not be handed over":
		return true
	case "worker does not answer", "worker gone":
		return s.workers[l.text("worker")]
	case "balance":
		return s.pools[l.text("pool")] && l.number("need_mcpu") > l.number("have_mcpu")
	default:
		return false
	}
}
