package main

import (
	"fmt"
	"time"
)

const (
	// calm is longer than contact-ms: after it, a disruption that is over excuses nothing.
	calm = 10 * time.Second
	// finishTime is the users' finish_s, idleTime how long a job may have nothing running,
	// lastingTime from when after its last run that holds for a task that lasts.
	finishTime  = 14 * time.Second
	idleTime    = 3 * time.Second
	lastingTime = 6 * time.Second
	sampleEvery = 50 * time.Millisecond
	// joinTime is the time over which the users' site adds minions.
	joinTime = 2 * time.Second
)

// startWith starts the site with a pool of equal machines, four a rack, and a config.
func (s *site) startWith(machines int, cpu, memory int64, routes []map[string]any) ([]*vm, error) {
	if err := s.start(); err != nil {
		return nil, err
	}
	if err := s.configure(config(1, routes, "p")); err != nil {
		return nil, err
	}
	var vms []*vm
	for i := range machines {
		v := &vm{name: vmName(i), pool: "p", labels: []string{"a", fmt.Sprintf("r%d", i/4+1)}, cpu: cpu, memory: memory}
		if err := s.platform.add(v); err != nil {
			return nil, err
		}
		vms = append(vms, v)
	}
	time.Sleep(2 * reportInterval)
	return vms, nil
}

// isIdle reports whether for idleTime on end a job had nothing running, while twice what it
// needs was free and under half of the pool's capacity was in use.
func (s *site) isIdle(job string, need int64, charge func(string) int64, watch time.Duration) bool {
	since := time.Time{}
	for deadline := time.Now().Add(watch); time.Now().Before(deadline); time.Sleep(sampleEvery) {
		runs, used, total := s.runningTasks(job, charge)
		if runs > 0 || 2*used >= total || total-used < 2*need {
			since = time.Time{}
			continue
		}
		if since.IsZero() {
			since = time.Now()
		}
		if time.Since(since) >= idleTime {
			s.record.note("for %s job %s had nothing running: %d of %d thousandths of a core in use", idleTime, job, used, total)
			return true
		}
	}
	return false
}

// playWaitingGang plays one lost minion, after which a gang doesn't fit any more, and jobs
// of another queue of the same service and priority, which fit several times over.
func playWaitingGang(s *site) (bool, error) {
	const members, taskMS, jobs, width = 120, 4000, 3, 30
	vms, err := s.startWith(8, 16_000, 65_536, []map[string]any{route("wide", "/wide/", "p", 0, 2), route("normal", "/normal/", "p", 0, 2)})
	if err != nil {
		return false, err
	}
	if s.trouble {
		s.platform.lose(vms[7])
	}
	time.Sleep(calm)
	gang := map[string]any{
		"spec":   payload(taskSpec{MS: taskMS, Gang: members}),
		"phases": []map[string]any{{"count": members, "cpu": 1000, "memory": 256, "estimate": taskMS, "gang": true}},
	}
	if err := s.submit("/wide/"+jobID(1), gang); err != nil {
		return false, err
	}
	for n := range jobs {
		plain := map[string]any{
			"spec":   payload(taskSpec{MS: 1000}),
			"phases": []map[string]any{{"count": width, "cpu": 1000, "memory": 256, "estimate": 1000}},
		}
		if err := s.submit("/normal/"+jobID(2+n), plain); err != nil {
			return false, err
		}
	}
	time.Sleep(finishTime)
	s.record.note("GET /wide/%s: %s", jobID(1), s.state("/wide/"+jobID(1)))
	broken := false
	for n := range jobs {
		if state := s.awaitState("/normal/"+jobID(2+n), "completed", time.Second); state == "completed" {
			continue
		}
		lost := s.isIdle(jobID(2+n), width*1000, func(string) int64 { return 1000 }, 2*idleTime)
		broken = broken || lost
	}
	if broken {
		time.Sleep(finishTime)
		for n := range jobs {
			s.awaitState("/normal/"+jobID(2+n), "completed", time.Second)
		}
	}
	return broken, nil
}

// playGangFailures plays two minions that fail all that they start for some seconds, and a
// gang with a member on each: one attempt of the gang fails.
func playGangFailures(s *site) (bool, error) {
	const members, taskMS, attempts = 20, 2000, 2
	vms, err := s.startWith(24, 16_000, 65_536, []map[string]any{route("q", "/q/", "p", 0, attempts)})
	if err != nil {
		return false, err
	}
	if s.trouble {
		for _, v := range vms[:2] {
			v.worker.mu.Lock()
			v.worker.failing = time.Now().Add(6500 * time.Millisecond)
			v.worker.mu.Unlock()
			s.record.note("%s fails all that it starts for 6.5 s", v.worker.id)
		}
	}
	gang := map[string]any{
		"spec":   payload(taskSpec{MS: taskMS, Gang: members}),
		"phases": []map[string]any{{"count": members, "cpu": 8000, "memory": 256, "estimate": taskMS, "gang": true, "apart": 1}},
	}
	job := jobID(1)
	if err := s.submit("/q/"+job, gang); err != nil {
		return false, err
	}
	state := s.awaitState("/q/"+job, "completed", 30*time.Second)
	failedAttempts, byTask := s.failedAttempts(job)
	most := 0
	for _, n := range byTask {
		most = max(most, n)
	}
	s.record.note("attempts of the gang that ended failed: %d, of one task at most %d; max-attempts %d", len(failedAttempts), most, attempts)
	return state == "failed" && len(failedAttempts) < attempts, nil
}

// playFullRack plays one lost minion of the rack on which a step that asks for one rack
// lasts, while a whole other rack is free.
func playFullRack(s *site) (bool, error) {
	const tasks, cpu = 4, 12_000
	vms, err := s.startWith(8, 16_000, 65_536, []map[string]any{route("q", "/q/", "p", 0, 3)})
	if err != nil {
		return false, err
	}
	job := jobID(1)
	lasting := map[string]any{
		"spec":   payload(taskSpec{Lasting: true}),
		"phases": []map[string]any{{"count": tasks, "cpu": cpu, "memory": 4096, "estimate": 1000, "same-rack": true, "long-running": true, "image": "img", "mayMiss": 1}},
	}
	if err := s.submit("/q/"+job, lasting); err != nil {
		return false, err
	}
	charge := func(string) int64 { return cpu }
	time.Sleep(calm)
	runs, _, _ := s.runningTasks(job, charge)
	if runs != tasks {
		return false, fmt.Errorf("%d of %d tasks run before the disruption", runs, tasks)
	}
	var lost *vm
	for _, v := range vms {
		v.worker.mu.Lock()
		if len(v.worker.runs) > 0 && lost == nil {
			lost = v
		}
		v.worker.mu.Unlock()
	}
	if s.trouble {
		s.platform.lose(lost)
	}
	time.Sleep(2*lastingTime + calm)
	return s.lacksTasks(job, tasks, cpu, 10*time.Second), nil
}

// lacksTasks reports whether for idleTime on end a job that lasts had fewer runs than tasks
// while twice what a missing task needs was free on single machines.
func (s *site) lacksTasks(job string, tasks int, cpu int64, watch time.Duration) bool {
	since := time.Time{}
	for deadline := time.Now().Add(watch); time.Now().Before(deadline); time.Sleep(sampleEvery) {
		runs, used, total := s.runningTasks(job, func(string) int64 { return cpu })
		if runs >= tasks || total-used < 2*cpu {
			since = time.Time{}
			continue
		}
		if since.IsZero() {
			since = time.Now()
		}
		if time.Since(since) >= idleTime {
			s.record.note("for %s job %s had %d of %d tasks on its workers: %d of %d thousandths of a core in use", idleTime, job, runs, tasks, used, total)
			return true
		}
	}
	return false
}

// playReplacedLives plays a release of the minions on which the advisor lets a step run.
func playReplacedLives(s *site) (bool, error) {
	const tasks, cpu = 2, 4000
	stop, err := s.startAdvisor(map[string]bool{vmName(0): true, vmName(1): true, vmName(2): true}, time.Minute)
	if err != nil {
		return false, err
	}
	defer stop()
	advised := route("q", "/q/", "p", 0, 3)
	advised["advisor"] = map[string]any{"decision-ms": decisionTime.Milliseconds(), "per-worker-ms": perWorkerTime.Milliseconds(), "valid-ms": time.Minute.Milliseconds()}
	vms, err := s.startWith(7, 16_000, 65_536, []map[string]any{advised})
	if err != nil {
		return false, err
	}
	job := jobID(1)
	lasting := map[string]any{
		"spec":   payload(taskSpec{Lasting: true}),
		"phases": []map[string]any{{"count": tasks, "cpu": cpu, "memory": 4096, "estimate": 1000, "long-running": true, "image": "img", "mayMiss": 1}},
	}
	if err := s.submit("/q/"+job, lasting); err != nil {
		return false, err
	}
	time.Sleep(calm)
	if runs, _, _ := s.runningTasks(job, func(string) int64 { return cpu }); runs != tasks {
		return false, fmt.Errorf("%d of %d tasks run before the disruption", runs, tasks)
	}
	if s.trouble {
		for _, v := range vms[:3] {
			if err := s.platform.replace(v); err != nil {
				return false, err
			}
			time.Sleep(time.Second)
		}
	}
	time.Sleep(2*lastingTime + calm)
	return s.lacksTasks(job, tasks, cpu, 10*time.Second), nil
}

// playCrowdedPool plays a pool that grows beyond the number of workers that one call to the
// advisor may name, and a job that only machines of the old ones may run.
func playCrowdedPool(s *site) (bool, error) {
	const before, added, tasks, cpu = 90, 22, 2, 1000
	stop, err := s.startAdvisor(map[string]bool{vmName(before - 2): true, vmName(before - 1): true}, 3*time.Second)
	if err != nil {
		return false, err
	}
	defer stop()
	advised := route("q", "/q/", "p", 0, 3)
	advised["advisor"] = map[string]any{"decision-ms": decisionTime.Milliseconds(), "per-worker-ms": perWorkerTime.Milliseconds(), "valid-ms": 3000}
	if _, err := s.startWith(before, 16_000, 65_536, []map[string]any{advised}); err != nil {
		return false, err
	}
	if s.trouble {
		for i := range added {
			v := &vm{name: fmt.Sprintf("a%02d", i), pool: "p", labels: []string{"a", fmt.Sprintf("s%d", i/4+1)}, cpu: 16_000, memory: 65_536}
			if err := s.platform.add(v); err != nil {
				return false, err
			}
			time.Sleep(joinTime / added)
		}
		s.record.note("%d minions joined %d", added, before)
	}
	time.Sleep(calm)
	job := jobID(1)
	plain := map[string]any{
		"spec":   payload(taskSpec{MS: 1000}),
		"phases": []map[string]any{{"count": tasks, "cpu": cpu, "memory": 256, "estimate": 1000}},
	}
	if err := s.submit("/q/"+job, plain); err != nil {
		return false, err
	}
	time.Sleep(finishTime)
	if s.awaitState("/q/"+job, "completed", time.Second) == "completed" {
		return false, nil
	}
	lost := s.isIdle(job, tasks*cpu, func(string) int64 { return cpu }, 2*idleTime)
	if lost {
		time.Sleep(finishTime)
		s.awaitState("/q/"+job, "completed", time.Second)
	}
	return lost, nil
}

// playTakenMachines plays the loss of the only minion on which a task that lasts may run, and
// jobs of another service.
func playTakenMachines(s *site) (bool, error) {
	const machinesOfP, machinesOfQ, jobs = 8, 4, 5
	if err := s.start(); err != nil {
		return false, err
	}
	routes := []map[string]any{route("p", "/p/", "p", 0, 3), route("q", "/q/", "q", 0, 3)}
	if err := s.configure(config(1, routes, "p", "q")); err != nil {
		return false, err
	}
	var only *vm
	for i := range machinesOfP + machinesOfQ {
		v := &vm{name: vmName(i), pool: "p", labels: []string{"a", fmt.Sprintf("r%d", i/4+1)}, cpu: 16_000, memory: 65_536}
		switch {
		case i == 0:
			only, v.labels[0] = v, "b"
		case i >= machinesOfP:
			v.pool = "q"
		}
		if err := s.platform.add(v); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * reportInterval)
	lasting := map[string]any{
		"spec":   payload(taskSpec{Lasting: true}),
		"phases": []map[string]any{{"count": 1, "cpu": 2000, "memory": 1024, "estimate": 1000, "long-running": true, "requirements": "b", "image": "img"}},
	}
	if err := s.submit("/p/"+jobID(1), lasting); err != nil {
		return false, err
	}
	time.Sleep(calm / 2)
	if s.trouble {
		s.platform.lose(only)
	}
	time.Sleep(2 * calm)
	s.platform.note()
	for n := range jobs {
		plain := map[string]any{
			"spec":   payload(taskSpec{MS: 1000}),
			"phases": []map[string]any{{"count": 2, "cpu": 1000, "memory": 256, "estimate": 1000}},
		}
		if err := s.submit("/q/"+jobID(2+n), plain); err != nil {
			return false, err
		}
		time.Sleep(time.Second)
	}
	time.Sleep(finishTime)
	broken := false
	for n := range jobs {
		if s.awaitState("/q/"+jobID(2+n), "completed", time.Second) == "completed" {
			continue
		}
		lost := s.isIdle(jobID(2+n), 2000, func(string) int64 { return 1000 }, 2*idleTime)
		broken = broken || lost
	}
	s.platform.note()
	return broken, nil
}
