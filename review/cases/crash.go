package main

import (
	"context"
	"fmt"
	"time"
)

const (
	crashMinions = 8
	// One of the eight minions crashes so often, upFor after it has begun, and is down for
	// downFor; the sites name 4.5 s.
	crashes = 6
	upFor   = 4 * time.Second
	downFor = 2 * time.Second
	// restartBound is when a task that lasts must run again: 6 s after its last run, and
	// the 3 s for which it may have nothing running.
	restartBound = 9 * time.Second
)

// flappingMinion lets one of eight minions crash every six seconds. The one task of a
// lasting job runs there, as it needs that kind of machine. LOST: the job isn't
// cancelled and no run of it ends failed, so it must not be shown as failed, and must
// run again once the minion stays up.
func flappingMinion(ctx context.Context, s *site, trouble bool) (verdict, error) {
	var machines []*machine
	for i := range crashMinions {
		machines = append(machines, &machine{name: fmt.Sprintf("m-%d", i), pool: "recon", kind: "a", rack: fmt.Sprintf("r1-%d", i/4), zone: "z0"})
	}
	bad := machines[crashMinions-1]
	bad.kind = "g"
	config := configOf(1, []map[string]any{route("/recon/", "recon")}, []map[string]any{service("recon")})
	if err := s.start(ctx, machines, config); err != nil {
		return nil, err
	}
	id := jobID(1)
	job := map[string]any{"spec": lastingSpec, "phases": []map[string]any{{
		"count": 1, "cpu": 2700, "memory": 17000, "estimate": 900, "lasts": true, "mayMiss": 1, "requirements": "g",
	}}}
	if err := s.submit(ctx, "/recon/", id, job); err != nil {
		return nil, err
	}
	if err := s.waitFor(ctx, "the lasting task is at work", restartBound, func() bool { return s.isRunning(id) }); err != nil {
		return nil, err
	}
	for range crashes {
		time.Sleep(upFor)
		if trouble {
			s.provider.crash(bad, downFor)
		}
		time.Sleep(downFor)
	}
	s.record.printf("the minion stays up from now on")
	time.Sleep(restartBound)
	state := s.awaitState(ctx, "/recon/", id, 5*time.Second, "running", "failed", "cancelled", "completed")
	var broken verdict
	if state != "running" {
		broken = append(broken, fmt.Sprintf("job %s isn't cancelled and no run of it has ended failed; it is shown as %q", id, state))
	}
	if !s.isRunning(id) {
		broken = append(broken, fmt.Sprintf("nothing of job %s runs %v after its minion has come to stay", id, restartBound))
	}
	return broken, nil
}

// isRunning reports whether a task of a job runs on any minion.
func (s *site) isRunning(id string) bool {
	for _, r := range s.ledger.runsOf(id) {
		if r.over == 0 {
			return true
		}
	}
	return false
}
