package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/operator"
	"github.com/comfreyloom/comfreyloom/internal/platform"
	"github.com/comfreyloom/comfreyloom/internal/platform/standin"
)

const (
	// capacitySpan is how long a load is watched.
	capacitySpan = 20 * time.Second
	// renewSpread is how long a round of renewals takes at the largest size;
	// idleSpan holds two of them.
	renewSpread = 15 * time.Second
	idleSpan    = 2 * renewSpread
	// requestSpan is that of requests, of which many fit into a short time.
	requestSpan = 10 * time.Second
	// longWork is the run time of the batch jobs, longer than the measurement.
	longWork = time.Hour
	// shortWork is the run time of urgent jobs.
	shortWork = 2 * time.Second
	// longKind is the kind of job that runs for longWork.
	longKind = "long"
)

func capacityWork(s platform.TaskSpec) standin.Work {
	if s.Kind == longKind {
		return standin.Work{Runtime: longWork, Used: s.Size}
	}
	return standin.Work{Runtime: shortWork, Used: s.Size}
}

// measure runs the loads one after the other. What an event of a load costs is
// counted above the last measurement without events.
func (r *capacityRun) measure() {
	r.processes = make([]*exec.Cmd, r.nodes)
	for i := range r.nodes {
		r.start(i)
	}
	r.t.Cleanup(r.stop)
	r.apply()
	r.awaitInstances()
	r.report("idle", idleSpan, 0, func() {})
	loads := []struct {
		name string
		run  func()
	}{
		{"changes", r.changes}, {"requests", r.requests}, {"keyed", r.keyed}, {"jobs", r.longJobs},
		{"urgent", r.urgent}, {"failures", r.failures}, {"wave", r.wave}, {"restart", r.restarts},
	}
	chosen := os.Getenv("COMFREYLOOM_CAPACITY_LOADS")
	for _, load := range loads {
		if chosen == "" || slices.Contains(strings.Split(chosen, ","), load.name) {
			load.run()
		}
	}
}

// changes hands in a revision each second.
func (r *capacityRun) changes() {
	var inForce []time.Duration
	count := int(capacitySpan / time.Second)
	r.report("changes", capacitySpan, count, func() {
		each(count, time.Second, func(int) { inForce = append(inForce, r.apply()) })
	})
	r.durations("in_force", inForce)
}

// requests sends reads at 100 a second, in turn to all entry VMs.
func (r *capacityRun) requests() {
	r.send("requests", http.MethodGet, 100, false)
}

// keyed sends requests that are not idempotent with a key, at 20 a second.
func (r *capacityRun) keyed() {
	r.send("keyed", http.MethodPost, 20, true)
}

func (r *capacityRun) send(load, method string, rate int, keyed bool) {
	count := rate * int(requestSpan/time.Second)
	took := make([]time.Duration, count)
	failed := 0
	r.report(load, requestSpan, count, func() {
		each(count, time.Second/time.Duration(rate), func(n int) {
			request := r.newRequest(method, n, fmt.Sprintf("/s/s%02d/capacity", n%r.pools), "")
			if keyed {
				request.Header.Set("Idempotency-Key", fmt.Sprintf("capacity-%s-%d", load, n))
			}
			began := time.Now()
			if answer, _ := r.do(request); answer != http.StatusOK {
				failed++
			}
			took[n] = time.Since(began)
		})
	})
	fmt.Printf("workers=%d load=%q requests=%d failed=%d\n", r.workers, load, count, failed)
	r.durations(load, took)
}

// longJobs submits one batch job for each worker and measures the site with
// them running.
func (r *capacityRun) longJobs() {
	each(r.workers, 10*time.Millisecond, func(n int) { r.submit(n, fmt.Sprintf("long-%d", n), longKind, "batch") })
	end := time.Now().Add(time.Minute)
	for r.running("long-") < r.workers && time.Now().Before(end) {
		time.Sleep(time.Second)
	}
	fmt.Printf("workers=%d figure=long_jobs running=%d of=%d\n", r.workers, r.running("long-"), r.workers)
	time.Sleep(3 * time.Second)
	r.report("idle with a job a worker", idleSpan, 0, func() {})
}

// urgent submits an urgent job each second, and waits until the platform has
// started them.
func (r *capacityRun) urgent() {
	count := int(capacitySpan / time.Second)
	submitted := make([]time.Time, count)
	r.report("urgent jobs", capacitySpan, count, func() {
		each(count, time.Second, func(n int) {
			submitted[n] = time.Now()
			r.submit(n, fmt.Sprintf("urgent-%d", n), "short", "urgent")
		})
	})
	time.Sleep(6 * time.Second)
	var took []time.Duration
	r.mu.Lock()
	for n, at := range submitted {
		if began, ok := r.jobs[model.JobID(fmt.Sprintf("urgent-%d", n))]; ok {
			took = append(took, began.Sub(at))
		}
	}
	r.mu.Unlock()
	r.durations("urgent_start", took)
}

// failures takes a VM away every two seconds.
func (r *capacityRun) failures() {
	count := int(capacitySpan / (2 * time.Second))
	vm := func(n int) standin.Selector {
		return standin.OneVM(model.VMID(fmt.Sprintf("kl/vm-%04d", n*r.workers/count)))
	}
	r.report("failures", capacitySpan, count, func() {
		each(count, 2*time.Second, func(n int) { r.platform.Fail(vm(n)) })
	})
	for n := range count {
		r.platform.Repair(vm(n))
	}
}

// wave starts a wave of two pools, and counts the VMs that it maintained.
func (r *capacityRun) wave() {
	r.waves = time.Now().UTC().Format(time.RFC3339)
	r.apply()
	began := time.Now()
	r.report("wave", 3*capacitySpan/2, 0, func() {})
	for _, w := range r.status().Waves {
		fmt.Printf("workers=%d figure=wave seconds=%.0f status=%+v\n", r.workers, time.Since(began).Seconds(), w)
	}
}

// restarts kills a learner, then a voter, and measures the time from the start
// of the new process until it is ready.
func (r *capacityRun) restarts() {
	for _, i := range []int{r.nodes - 1, r.voters - 1} {
		r.check(r.processes[i].Process.Signal(syscall.SIGKILL))
		_ = r.processes[i].Wait()
		began := time.Now()
		r.start(i)
		for !r.ready(i) && time.Since(began) < time.Minute {
			time.Sleep(10 * time.Millisecond)
		}
		fmt.Printf("workers=%d figure=restart node=n%d role=%s ready_after=%s resident_mb=%.1f\n",
			r.workers, i+1, r.role(i, ""), time.Since(began).Round(time.Millisecond), float64(r.usageOf(i).resident)/1e6)
	}
}

func (r *capacityRun) ready(i int) bool {
	answer, err := http.Get("http://" + r.callers[i] + "/readyz")
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

func (r *capacityRun) submit(n int, id, kind, priority string) {
	body := fmt.Sprintf(`{"id": %q, "team": "t%03d", "pool": "p%02d", "kind": %q, "priority": %q, "milli_cpu": 1000, "memory_mb": 1000, "idempotent": true, "runtime": "1h"}`,
		id, n%r.teams(), n%r.pools, kind, priority)
	if status, text := r.do(r.newRequest(http.MethodPost, n, "/jobs", body)); status/100 != 2 {
		fmt.Printf("workers=%d job=%s status=%d answer=%s\n", r.workers, id, status, text)
	}
}

// newRequest is one to the entry VM whose turn it is.
func (r *capacityRun) newRequest(method string, n int, path, body string) *http.Request {
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+r.callers[n%r.nodes]+path, strings.NewReader(body))
	r.check(err)
	return request
}

func (r *capacityRun) do(request *http.Request) (int, string) {
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer answer.Body.Close()
	text, _ := io.ReadAll(answer.Body)
	return answer.StatusCode, string(text)
}

func (r *capacityRun) noteStart(task standin.TaskInfo) {
	if task.Job == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.jobs[task.Job]; !known {
		r.jobs[task.Job] = time.Now()
	}
}

// running counts the jobs with a prefix that the platform started.
func (r *capacityRun) running(prefix string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for id := range r.jobs {
		if strings.HasPrefix(string(id), prefix) {
			count++
		}
	}
	return count
}

func (r *capacityRun) status() operator.Status {
	var status operator.Status
	remote{Address: r.operators[0]}.get(console{os.Stdout, os.Stderr}, "capacity", "/status", 0, &status)
	return status
}

// each calls do count times, one at a time, at an interval.
func each(count int, interval time.Duration, do func(n int)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for n := range count {
		do(n)
		<-ticker.C
	}
}
