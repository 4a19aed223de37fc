package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// providerAnswer is how long the provider takes to answer an order.
	providerAnswer = 300 * time.Millisecond
	// killAfter is from an upkeep that is carried out to the leader's SIGKILL: the
	// answer is still on its way.
	killAfter = 100 * time.Millisecond
	// restartAfter is how long a killed process is away; the sites name 3.5 s.
	restartAfter = 3500 * time.Millisecond
	// settleTime is from the disruption to the first job.
	settleTime = 15 * time.Second
	// finishTime is when jobs are asked for after the end of the traffic ("finish_s"),
	// idleTime for how long one may then have nothing running.
	finishTime = 14 * time.Second
	idleTime   = 3 * time.Second
)

// upkeepOrderedTwice kills the leader while the provider's answers to the upkeep of two
// of five machines are on their way. LOST: jobs of their service that are accepted 15 s
// later must run: both machines are up and idle.
func upkeepOrderedTwice(ctx context.Context, s *site, trouble bool) (verdict, error) {
	machines := []*machine{
		{name: "m-a0", pool: "trim", kind: "g", rack: "r1-0", zone: "z0"},
		{name: "m-a1", pool: "trim", kind: "g", rack: "r1-0", zone: "z0"},
		{name: "m-b0", pool: "bench", kind: "a", rack: "r1-1", zone: "z1"},
		{name: "m-b1", pool: "bench", kind: "a", rack: "r1-1", zone: "z1"},
		{name: "m-b2", pool: "bench", kind: "a", rack: "r1-1", zone: "z1"},
	}
	s.provider.answerDelay = providerAnswer
	var once sync.Once
	killed := make(chan struct{})
	s.provider.onUpkeep = func(string) {
		once.Do(func() { time.AfterFunc(killAfter, func() { close(killed) }) })
	}
	config := configOf(1, []map[string]any{route("/trim/", "trim"), route("/bench/", "bench")}, []map[string]any{service("trim"), service("bench")})
	if err := s.start(ctx, machines, config); err != nil {
		return nil, err
	}
	for i, prefix := range []string{"/trim/", "/bench/"} {
		if err := s.submit(ctx, prefix, jobID(i), gpuJob(prefix)); err != nil {
			return nil, err
		}
		if state := s.awaitState(ctx, prefix, jobID(i), 15*time.Second, "completed", "failed"); state != "completed" {
			return nil, fmt.Errorf("the first job of %s is %q", prefix, state)
		}
	}
	wave := map[string]any{"wave": 1, "machines": []string{"m-a0", "m-a1"}, "duration-s": 26, "cap": 2}
	if status := s.operator(wire.path("wave"), wave); status != http.StatusOK {
		return nil, fmt.Errorf("the wave was answered with %d", status)
	}
	select {
	case <-killed:
	case <-time.After(20 * time.Second):
		return nil, fmt.Errorf("no upkeep began")
	}
	if trouble {
		leader := s.leader()
		if leader == nil {
			return nil, fmt.Errorf("no leader is known")
		}
		if err := s.kill(leader); err != nil {
			return nil, err
		}
		time.Sleep(restartAfter)
		if err := s.startNode(leader, false); err != nil {
			return nil, err
		}
	}
	time.Sleep(settleTime)
	const jobs = 4
	for i := range jobs {
		if err := s.submit(ctx, "/trim/", jobID(10+i), gpuJob("/trim/")); err != nil {
			return nil, err
		}
	}
	s.record.printf("end of the traffic")
	time.Sleep(finishTime)
	var broken verdict
	for i := range jobs {
		id := jobID(10 + i)
		if len(s.ledger.runsOf(id)) == 0 {
			time.Sleep(idleTime)
		}
		state := s.awaitState(ctx, "/trim/", id, time.Second, "completed")
		if state != "completed" && len(s.ledger.runsOf(id)) == 0 {
			broken = append(broken, fmt.Sprintf("job %s was accepted and is %q %v after the end of the traffic; nothing of it was ever started, while %d minions that may run it are up and idle",
				id, state, finishTime+idleTime, s.idleMinions("trim", "g")))
		}
	}
	return broken, nil
}

// idleMinions counts the minions of a service and kind that are up and run nothing.
func (s *site) idleMinions(pool, kind string) int {
	n := 0
	for _, m := range s.provider.minions(pool) {
		if m.labels[0] == kind && len(m.runningTasks()) == 0 {
			n++
		}
	}
	return n
}

// gpuJob is a job of one short task; those of the first service need its kind of
// machine.
func gpuJob(prefix string) map[string]any {
	job := jobOf(1, 800)
	if prefix == "/trim/" {
		job["phases"].([]map[string]any)[0]["requirements"] = "g"
	}
	return job
}
