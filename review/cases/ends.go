package main

import (
	"context"
	"errors"
	"fmt"
	"time"
)

const (
	endsMinions = 8
	// The jobs are of small tasks, so that one minion has room for all of them. The tasks
	// of one job end together, those of the next one endsApart later.
	endsJobs  = 10
	endsTasks = 120
	endsFirst = 4800 * time.Millisecond
	endsApart = 200 * time.Millisecond
	// The minion is cut off endsCutAfter all tasks are at work, for endsCut. Its lease
	// lasts longer, and the sites name 5.5 s.
	endsCutAfter = 4300 * time.Millisecond
	endsCut      = 3000 * time.Millisecond
)

// endsBehindACut cuts one of eight minions off while 1,200 small tasks end on it; a list of
// a minion holds 500 ends. TWICE: the ends are taken note of after the cut, so none of
// these tasks may be started again.
func endsBehindACut(ctx context.Context, s *site, trouble bool) (verdict, error) {
	var machines []*machine
	for i := range endsMinions {
		machines = append(machines, &machine{name: fmt.Sprintf("m-%d", i), pool: "trim", kind: "a", rack: fmt.Sprintf("r1-%d", i/4), zone: "z0"})
	}
	config := configOf(1, []map[string]any{route("/trim/", "trim")}, []map[string]any{service("trim")})
	if err := s.start(ctx, machines, config); err != nil {
		return nil, err
	}
	for i := range endsJobs {
		if err := s.submit(ctx, "/trim/", jobID(i), smallTasks(endsFirst+time.Duration(i)*endsApart)); err != nil {
			return nil, err
		}
	}
	busiest, err := s.busiestMinion(ctx, endsJobs*endsTasks)
	if err != nil {
		return nil, err
	}
	time.Sleep(endsCutAfter)
	if trouble {
		s.record.printf("minion %s is cut off for %v", busiest.id, endsCut)
		busiest.link.in.shutFor(endsCut)
		busiest.link.out.shutFor(endsCut)
	}
	for i := range endsJobs {
		if state := s.awaitState(ctx, "/trim/", jobID(i), 20*time.Second, "completed", "failed"); state != "completed" {
			return nil, fmt.Errorf("job %s is %q in the end", jobID(i), state)
		}
	}
	time.Sleep(5 * time.Second) // for runs that were started again
	again := s.ledger.startsAfterDone()
	if len(again) == 0 {
		return nil, nil
	}
	return verdict{fmt.Sprintf("%d tasks were started again after they were done; the first: %s", len(again), again[0])}, nil
}

func smallTasks(work time.Duration) map[string]any {
	return map[string]any{"spec": fmt.Sprint(work.Milliseconds()), "phases": []map[string]any{{
		"count": endsTasks, "cpu": 20, "memory": 100, "estimate": work.Milliseconds(),
	}}}
}

// busiestMinion waits until so many tasks are at work and returns the minion with the
// most of them.
func (s *site) busiestMinion(ctx context.Context, tasks int) (*minion, error) {
	var busiest *minion
	most := 0
	err := s.waitFor(ctx, "all tasks are at work", endsFirst, func() bool {
		total := 0
		most = 0
		for _, m := range s.provider.minions("trim") {
			n := len(m.runningTasks())
			total += n
			if n > most {
				busiest, most = m, n
			}
		}
		return total == tasks
	})
	if err != nil {
		return nil, err
	}
	s.record.printf("minion %s runs %d tasks", busiest.id, most)
	if most <= listLimit {
		return nil, errors.New("no minion runs more tasks than a list holds ends")
	}
	return busiest, nil
}
