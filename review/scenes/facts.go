package main

import (
	"fmt"
	"sync"
	"time"
)

// facts holds what the workers did, for the checks.
type facts struct {
	mu   sync.Mutex
	ends []fact
}

type fact struct {
	at      time.Duration
	task    string
	attempt int
	how     string
}

var seen facts

// ended notes the end of a run.
func (s *site) ended(task string, attempt int, how string) {
	seen.mu.Lock()
	defer seen.mu.Unlock()
	seen.ends = append(seen.ends, fact{at: s.record.now(), task: task, attempt: attempt, how: how})
}

// failedAttempts returns the attempts of a job's tasks that ended as failed, and how often
// each task did.
func (s *site) failedAttempts(job string) (attempts map[int]int, byTask map[string]int) {
	seen.mu.Lock()
	defer seen.mu.Unlock()
	attempts, byTask = map[int]int{}, map[string]int{}
	for _, f := range seen.ends {
		if taskOf(f.task, job) && f.how == "failed" {
			attempts[f.attempt]++
			byTask[f.task]++
		}
	}
	return attempts, byTask
}

// runningTasks returns how many runs of a job are on its workers now, and the processor
// capacity in use and in total, in thousandths of a core.
func (s *site) runningTasks(job string, charge func(task string) int64) (runs int, used, total int64) {
	s.mu.Lock()
	workers := append([]*worker(nil), s.workers...)
	s.mu.Unlock()
	for _, w := range workers {
		w.mu.Lock()
		if !w.dead && !w.draining {
			total += w.vm.cpu
			for _, r := range w.runs {
				used += charge(r.task)
				if taskOf(r.task, job) {
					runs++
				}
			}
		}
		w.mu.Unlock()
	}
	return runs, used, total
}

// countEnds counts the runs of a job that ended in one way.
func (s *site) countEnds(job, how string) (n int) {
	seen.mu.Lock()
	defer seen.mu.Unlock()
	for _, f := range seen.ends {
		if taskOf(f.task, job) && f.how == how {
			n++
		}
	}
	return n
}

func vmName(i int) string { return fmt.Sprintf("m%02d", i) }
