package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	trialMinions = 8
	// trialJobs is how many jobs wait in refusedStarts.
	trialJobs = 20
	// refusalTime is how long a minion refuses starts; the sites name 6.5 s.
	refusalTime = 6500 * time.Millisecond
	// pendingBound is "visible_ms" and 2 s, the age from which a job that hasn't begun
	// counts.
	pendingBound = 5 * time.Second
	// foreignSequence is the number of a ping of another writer.
	foreignSequence = 1_000_000
)

func (s *site) startOneService(ctx context.Context) error {
	var machines []*machine
	for i := range trialMinions {
		machines = append(machines, &machine{name: fmt.Sprintf("m-%d", i), pool: "bench", kind: "a", rack: "r1-0", zone: "z0"})
	}
	config := configOf(1, []map[string]any{route("/plan/", "bench")}, []map[string]any{service("bench")})
	return s.start(ctx, machines, config)
}

// foreignPings sends one ping with fields missing under the id of each minion. LOST:
// such a ping names no minion to use and the others hold, so a job must run.
func foreignPings(ctx context.Context, s *site, trouble bool) (verdict, error) {
	if err := s.startOneService(ctx); err != nil {
		return nil, err
	}
	time.Sleep(2 * heartbeatInterval)
	if trouble {
		for _, m := range s.provider.minions("bench") {
			ping := map[string]any{"service": m.service, "address": m.address, "state": "ready", "sequence": foreignSequence}
			s.operator("/instances/"+m.id+"/heartbeat", ping)
		}
	}
	time.Sleep(2 * heartbeatInterval)
	id := jobID(1)
	if err := s.submit(ctx, "/plan/", id, jobOf(1, 800)); err != nil {
		return nil, err
	}
	time.Sleep(finishTime + idleTime)
	if len(s.ledger.runsOf(id)) > 0 {
		return nil, nil
	}
	return verdict{fmt.Sprintf("job %s is %q after %v; nothing of it was started, with %d idle minions up",
		id, s.state("/plan/", id, 0), finishTime+idleTime, s.idleMinions("bench", "a"))}, nil
}

// refusedStarts lets the one idle minion answer 429 to starts while jobs wait. MIXED:
// pending must count at least half of the jobs that haven't begun.
func refusedStarts(ctx context.Context, s *site, trouble bool) (verdict, error) {
	if err := s.startOneService(ctx); err != nil {
		return nil, err
	}
	full := map[string]any{"spec": "30000", "phases": []map[string]any{{
		"count": trialMinions - 1, "cpu": 31000, "memory": 1000, "estimate": 30000, "apart": 1,
	}}}
	if err := s.submit(ctx, "/plan/", jobID(100), full); err != nil {
		return nil, err
	}
	if err := s.waitFor(ctx, "all minions but one are full", 10*time.Second, func() bool { return s.idleMinions("bench", "a") == 1 }); err != nil {
		return nil, err
	}
	for _, m := range s.provider.minions("bench") {
		if trouble && len(m.runningTasks()) == 0 {
			m.refuseStarts(refusalTime)
		}
	}
	for i := range trialJobs {
		if err := s.submit(ctx, "/plan/", jobID(i), jobOf(1, 1000)); err != nil {
			return nil, err
		}
	}
	time.Sleep(pendingBound + 200*time.Millisecond)
	waiting := 0
	for i := range trialJobs {
		if len(s.ledger.runsOf(jobID(i))) == 0 {
			waiting++
		}
	}
	status, text, err := s.call(http.MethodGet, "http://"+s.address(coreNodes, 2)+"/plan/", consumerHost, nil)
	s.record.printf("consumer: GET /plan/: %d %s %v; %d jobs haven't begun", status, text, err, waiting)
	var answer struct {
		Pending int `json:"pending"`
	}
	if err == nil {
		err = wire.decode(text, &answer)
	}
	if err != nil || 2*answer.Pending >= waiting {
		return nil, err
	}
	return verdict{fmt.Sprintf("pending is %d, and %d jobs that were accepted over %v ago haven't begun", answer.Pending, waiting, pendingBound)}, nil
}
