package main

import (
	"fmt"
	"sync"
	"time"
)

// ledger holds the runs of all minions.
type ledger struct {
	record *record
	mu     sync.Mutex
	runs   []*ledgerRun
}

type ledgerRun struct {
	minion, task string
	attempt      int
	began, over  time.Duration // over is 0 while the run is at work
	how          string
	noted        bool // the system has taken note of the end
}

func (l *ledger) started(minion, task string, attempt int) {
	l.record.printf("minion %s starts %s run %d", minion, task, attempt)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, &ledgerRun{minion: minion, task: task, attempt: attempt, began: l.record.now()})
}

func (l *ledger) ended(minion, task string, attempt int, how string) {
	l.record.printf("minion %s ends %s run %d: %s", minion, task, attempt, how)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.runs {
		if r.minion == minion && r.task == task && r.attempt == attempt && r.over == 0 {
			r.over, r.how = l.record.now(), how
		}
	}
}

// noted records that the system has taken note of a run's end.
func (l *ledger) noted(minion, task string, attempt int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.runs {
		if r.minion == minion && r.task == task && r.attempt == attempt {
			r.noted = true
		}
	}
}

// startsAfterDone describes each start after a run of the task had ended done, if that
// end is taken note of.
func (l *ledger) startsAfterDone() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	done := map[string]*ledgerRun{}
	for _, r := range l.runs {
		if r.how == "done" && r.noted && (done[r.task] == nil || r.over < done[r.task].over) {
			done[r.task] = r
		}
	}
	var found []string
	for _, r := range l.runs {
		if d := done[r.task]; d != nil && r.began > d.over {
			found = append(found, fmt.Sprintf("task %s: run %d ended done on %s at %.3f s, which was taken note of; run %d starts on %s at %.3f s",
				r.task, d.attempt, d.minion, d.over.Seconds(), r.attempt, r.minion, r.began.Seconds()))
		}
	}
	return found
}

// runsOf returns copies of the runs of the tasks whose names begin so.
func (l *ledger) runsOf(prefix string) []ledgerRun {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []ledgerRun
	for _, r := range l.runs {
		if len(r.task) >= len(prefix) && r.task[:len(prefix)] == prefix {
			all = append(all, *r)
		}
	}
	return all
}

// overlapTolerance is how long two runs may overlap without counting: a minion ends
// its runs a few milliseconds after the answer that lets it leave.
const overlapTolerance = 100 * time.Millisecond

// overlaps describes each pair of runs of one task that were at work at the same time.
func (l *ledger) overlaps() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []string
	for i, a := range l.runs {
		for _, b := range l.runs[i+1:] {
			if a.task != b.task {
				continue
			}
			from, to := max(a.began, b.began), min(a.until(l.record.now()), b.until(l.record.now()))
			if to-from > overlapTolerance {
				found = append(found, fmt.Sprintf("task %s: run %d on %s and run %d on %s, both at work from %.3f s to %.3f s",
					a.task, a.attempt, a.minion, b.attempt, b.minion, from.Seconds(), to.Seconds()))
			}
		}
	}
	return found
}

func (r *ledgerRun) until(now time.Duration) time.Duration {
	if r.over == 0 {
		return now
	}
	return r.over
}
