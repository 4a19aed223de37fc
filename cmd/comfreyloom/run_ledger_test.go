package main

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/workload"
)

const (
	// exitKind is the kind of the end of a run that ends with its process.
	exitKind = "exit"
	// wakeSlack is how long a process that was paused takes to end its expired runs.
	wakeSlack = 250 * time.Millisecond
)

// span is one run of a task on a worker; ended is zero while it runs.
type span struct {
	worker, task string
	began, ended time.Time
	kind         string
	acked        bool
}

// runsAt reports whether the run was there at a time.
func (s *span) runsAt(at time.Time) bool {
	return !s.began.After(at) && (s.ended.IsZero() || s.ended.After(at))
}

// String names the run, when it was there and how it ended.
func (s *span) String() string {
	const layout = "15:04:05.000"
	end := "runs on"
	if !s.ended.IsZero() {
		end = s.ended.UTC().Format(layout) + " " + s.kind
	}
	return fmt.Sprintf("%s on %s from %s to %s", s.task, s.worker, s.began.UTC().Format(layout), end)
}

// pause is a time in which a worker process was stopped by a signal.
type pause struct{ from, to time.Time }

// runLedger holds the runs of all workers by the clock of this host.
type runLedger struct {
	mu     sync.Mutex
	spans  []*span
	pauses map[string][]pause
}

func newRunLedger() *runLedger { return &runLedger{pauses: map[string][]pause{}} }

// record takes over an event that a worker process has written.
func (l *runLedger) record(worker, line string) {
	var nanos int64
	var event, task, kind string
	if _, err := fmt.Sscan(line, &nanos, &event, &task, &kind); err != nil {
		return // the process was killed while it wrote
	}
	at := time.Unix(0, nanos)
	l.mu.Lock()
	defer l.mu.Unlock()
	if event == "started" {
		l.spans = append(l.spans, &span{worker: worker, task: task, began: at})
		return
	}
	for _, s := range l.spans {
		switch {
		case s.worker != worker || s.task != task:
		case event == "acked" && s.kind == workload.EndDone.String():
			s.acked = true
		case event == "ended" && s.ended.IsZero():
			s.ended, s.kind = at, kind
			return
		}
	}
}

// recordDeath ends the runs of a process that has ended.
func (l *runLedger) recordDeath(worker string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.spans {
		if s.worker == worker && s.ended.IsZero() {
			s.ended, s.kind = at, exitKind
		}
	}
}

// recordPause adds a pause of a worker process.
func (l *runLedger) recordPause(worker string, p pause) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pauses[worker] = append(l.pauses[worker], p)
}

// startedJobs returns the jobs of which a task was started.
func (l *runLedger) startedJobs() map[string]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	jobs := map[string]bool{}
	for _, s := range l.spans {
		jobs[s.task[:16]] = true
	}
	return jobs
}

// lines describes all runs.
func (l *runLedger) lines() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var lines []string
	for _, s := range l.spans {
		lines = append(lines, s.String())
	}
	return lines
}

// violations returns the runs of one task that overlap, those that began after an
// acknowledged end, and the number of overlaps with a process that was paused and ended
// its run when it woke up. The protocol has no word on the latter.
func (l *runLedger) violations() (broken []string, asleep int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	slices.SortStableFunc(l.spans, func(a, b *span) int {
		return cmp.Or(strings.Compare(a.task, b.task), a.began.Compare(b.began))
	})
	for i, s := range l.spans {
		for _, next := range l.spans[i+1:] {
			if next.task != s.task {
				break
			}
			switch {
			case s.runsAt(next.began) && (l.isAsleep(s, next.began) || l.wasCaughtStarting(next)):
				asleep++
			case s.runsAt(next.began):
				broken = append(broken, fmt.Sprintf("%s two runs: %v; %v", next.began.UTC().Format("15:04:05.000"), s, next))
			case s.acked:
				broken = append(broken, fmt.Sprintf("%s run after an acknowledged end: %v; %v", next.began.UTC().Format("15:04:05.000"), s, next))
			}
		}
	}
	slices.Sort(broken)
	return broken, asleep
}

// isAsleep reports whether a run's process was paused at a time, and the run ended at
// once when the process woke up.
func (l *runLedger) isAsleep(s *span, at time.Time) bool {
	return slices.ContainsFunc(l.pauses[s.worker], func(p pause) bool {
		wakes := p.to.Add(wakeSlack)
		return at.After(p.from) && at.Before(wakes) && !s.ended.IsZero() && s.ended.Before(wakes)
	})
}

// wasCaughtStarting reports whether a run's process was paused while it started the run,
// whose lease had expired when the process woke up.
func (l *runLedger) wasCaughtStarting(s *span) bool {
	return s.kind == workload.EndLapsed.String() && l.isAsleep(s, s.began)
}
