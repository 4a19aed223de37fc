package main

import (
	"context"
	"errors"
	"fmt"
	"time"
)

const (
	leaveMinions = 16
	// leaveWork is how long the tasks work; the longest of the sites take 5.2 s.
	leaveWork = 5000 * time.Millisecond
	// servingAfterAck is how long a draining minion goes on: "drain-ms" and a little
	// longer.
	servingAfterAck = 2300 * time.Millisecond
	// leaveWithoutAck is when a minion ends that gets no acknowledgement: some seconds.
	leaveWithoutAck = 3 * time.Second
	// cutTime is how long the minion is cut off; the sites name 5.5 s.
	cutTime = 5500 * time.Millisecond
)

// unacknowledgedLeave takes one of sixteen minions away while a task is at work on it,
// and cuts the direction from the system to it just before it leaves: deregister
// arrives, its acknowledgement doesn't. Such a minion ends some seconds later, and what
// runs on it terminates with it. TWICE: no other run of the task may be at work before.
func unacknowledgedLeave(ctx context.Context, s *site, trouble bool) (verdict, error) {
	var machines []*machine
	for i := range leaveMinions {
		machines = append(machines, &machine{name: fmt.Sprintf("m-%d", i), pool: "bench", kind: "a", rack: fmt.Sprintf("r1-%d", i/4), zone: "z0"})
	}
	config := configOf(1, []map[string]any{route("/plan/", "bench")}, []map[string]any{service("bench")})
	if err := s.start(ctx, machines, config); err != nil {
		return nil, err
	}
	id := jobID(1)
	if err := s.submit(ctx, "/plan/", id, jobOf(1, int(leaveWork.Milliseconds()))); err != nil {
		return nil, err
	}
	var leaving *minion
	if err := s.waitFor(ctx, "the task is at work", 20*time.Second, func() bool {
		for _, m := range s.provider.minions("bench") {
			if len(m.runningTasks()) > 0 {
				leaving = m
			}
		}
		return leaving != nil
	}); err != nil {
		return nil, err
	}
	leaving.drain(ctx)
	time.Sleep(servingAfterAck)
	if len(leaving.runningTasks()) == 0 {
		return nil, errors.New("the task had ended before its minion left")
	}
	if trouble {
		s.record.printf("the direction from the system to %s is cut for %v", leaving.id, cutTime)
		leaving.link.in.shutFor(cutTime)
		time.Sleep(50 * time.Millisecond)
	}
	leaving.leave(ctx, leaveWithoutAck)
	s.provider.remove(leaving.id)
	state := s.awaitState(ctx, "/plan/", id, 20*time.Second, "completed", "failed")
	if state != "completed" {
		return nil, fmt.Errorf("the job is %q in the end", state)
	}
	return s.ledger.overlaps(), nil
}
