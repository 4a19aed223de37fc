package main

import "time"

// plainJob returns a job of one task.
func plainJob(ms int) map[string]any {
	return map[string]any{
		"spec":   payload(taskSpec{MS: ms}),
		"phases": []map[string]any{{"count": 1, "cpu": 1000, "memory": 256, "estimate": ms}},
	}
}

// playSharedID plays two callers of two queues that choose the same ID for their jobs. The
// second job is accepted; a GET for it must not be answered 410.
func playSharedID(s *site) (bool, error) {
	const visible = 3 * time.Second
	if _, err := s.startWith(4, 16_000, 65_536, []map[string]any{route("a", "/a/", "p", 0, 3), route("b", "/b/", "p", 0, 3)}); err != nil {
		return false, err
	}
	second := jobID(1)
	if !s.trouble {
		second = jobID(2)
	}
	if err := s.submit("/a/"+jobID(1), plainJob(1000)); err != nil {
		return false, err
	}
	if err := s.submit("/b/"+second, plainJob(1000)); err != nil {
		return false, err
	}
	time.Sleep(visible + time.Second)
	state := s.state("/b/" + second)
	s.record.note("GET /b/%s: %s", second, state)
	return state == "410", nil
}

// playLongTask plays a task that works for minutes on a sound minion; with TROUBLE=0 it works
// for 20 s. No rule of the users names this: the exit tells whether its runs were stopped.
func playLongTask(s *site) (bool, error) {
	const long, short, watch = 250_000, 20_000, 45 * time.Second
	if _, err := s.startWith(4, 16_000, 65_536, []map[string]any{route("a", "/a/", "p", 0, 3)}); err != nil {
		return false, err
	}
	ms := short
	if s.trouble {
		ms = long
	}
	if err := s.submit("/a/"+jobID(1), plainJob(ms)); err != nil {
		return false, err
	}
	time.Sleep(watch)
	stopped := s.countEnds(jobID(1), "stopped")
	s.record.note("GET /a/%s: %s; its runs were stopped %d times in %s", jobID(1), s.state("/a/"+jobID(1)), stopped, watch)
	return stopped > 0, nil
}
