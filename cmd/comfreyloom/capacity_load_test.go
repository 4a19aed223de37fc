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
	// loadSpan is how long a load is measured.
	loadSpan = 20 * time.Second
	// renewSpread is the duration of a round of renewals at the largest size;
	// idleSpan covers two rounds.
	renewSpread = 15 * time.Second
	idleSpan    = 2 * renewSpread
	// requestSpan is how long requests are measured; many fit into a short time.
	requestSpan = 10 * time.Second
	// longRuntime is the run time of the batch jobs, longer than the measurement.
	longRuntime = time.Hour
	// shortRuntime is the run time of urgent jobs.
	shortRuntime = 2 * time.Second
	// longKind is the kind of the jobs that run for longRuntime.
	longKind = "long"
)

func capacityWork(s platform.TaskSpec) standin.Work {
	if s.Kind == longKind {
		return standin.Work{Runtime: longRuntime, Used: s.Size}
	}
	return standin.Work{Runtime: shortRuntime, Used: s.Size}
}

// measure runs the loads one after the other. The cost of an event is its usage
// above that of the last measurement without events.
func (r *capacityRun) measure() {
	r.processes = make([]*exec.Cmd, r.nodes)
	for i := range r.nodes {
		r.start(i)
	}
	r.t.Cleanup(r.stop)
	r.apply()
	r.awaitInstances()
	r.reportUsage("idle", idleSpan, 0, func() {})
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

// changes applies a revision each second.
func (r *capacityRun) changes() {
	var inForce []time.Duration
	count := int(loadSpan / time.Second)
	r.reportUsage("changes", loadSpan, count, func() {
		repeat(count, time.Second, func(int) { inForce = append(inForce, r.apply()) })
	})
	r.reportDurations("in_force", inForce)
}

// requests sends 100 GET requests per second to all entry VMs in turn.
func (r *capacityRun) requests() {
	r.send("requests", http.MethodGet, 100, false)
}

// keyed sends 20 non-idempotent requests with a key per second.
func (r *capacityRun) keyed() {
	r.send("keyed", http.MethodPost, 20, true)
}

func (r *capacityRun) send(load, method string, rate int, keyed bool) {
	count := rate * int(requestSpan/time.Second)
	took := make([]time.Duration, count)
	failed := 0
	r.reportUsage(load, requestSpan, count, func() {
		repeat(count, time.Second/time.Duration(rate), func(n int) {
			request := r.newRequest(method, n, fmt.Sprintf("/s/s%02d/capacity", n%r.pools), "")
			if keyed {
				request.Header.Set("Idempotency-Key", fmt.Sprintf("capacity-%s-%d", load, n))
			}
			began := time.Now()
			if status, _ := r.roundTrip(request); status != http.StatusOK {
				failed++
			}
			took[n] = time.Since(began)
		})
	})
	fmt.Printf("workers=%d load=%q requests=%d failed=%d\n", r.workers, load, count, failed)
	r.reportDurations(load, took)
}

// longJobs submits one batch job per worker and measures the site while they run.
func (r *capacityRun) longJobs() {
	repeat(r.workers, 10*time.Millisecond, func(n int) { r.submit(n, fmt.Sprintf("long-%d", n), longKind, "batch") })
	end := time.Now().Add(time.Minute)
	for r.startedJobs("long-") < r.workers && time.Now().Before(end) {
		time.Sleep(time.Second)
	}
	fmt.Printf("workers=%d figure=long_jobs running=%d of=%d\n", r.workers, r.startedJobs("long-"), r.workers)
	time.Sleep(3 * time.Second)
	r.reportUsage("idle with a job a worker", idleSpan, 0, func() {})
}

// urgent submits an urgent job each second and measures the time until the
// platform starts it.
func (r *capacityRun) urgent() {
	count := int(loadSpan / time.Second)
	submitted := make([]time.Time, count)
	r.reportUsage("urgent jobs", loadSpan, count, func() {
		repeat(count, time.Second, func(n int) {
			submitted[n] = time.Now()
			r.submit(n, fmt.Sprintf("urgent-%d", n), "short", "urgent")
		})
	})
	time.Sleep(6 * time.Second)
	var took []time.Duration
	r.mu.Lock()
	for n, at := range submitted {
		if began, ok := r.jobStarts[model.JobID(fmt.Sprintf("urgent-%d", n))]; ok {
			took = append(took, began.Sub(at))
		}
	}
	r.mu.Unlock()
	r.reportDurations("urgent_start", took)
}

// failures lets a VM fail every two seconds.
func (r *capacityRun) failures() {
	count := int(loadSpan / (2 * time.Second))
	vm := func(n int) standin.Selector {
		return standin.OneVM(model.VMID(fmt.Sprintf("kl/vm-%04d", n*r.workers/count)))
	}
	r.reportUsage("failures", loadSpan, count, func() {
		repeat(count, 2*time.Second, func(n int) { r.platform.Fail(vm(n)) })
	})
	for n := range count {
		r.platform.Repair(vm(n))
	}
}

// wave starts a maintenance wave over two pools and prints its progress.
func (r *capacityRun) wave() {
	r.waveStart = time.Now().UTC().Format(time.RFC3339)
	r.apply()
	began := time.Now()
	r.reportUsage("wave", 3*loadSpan/2, 0, func() {})
	for _, w := range r.status().Waves {
		fmt.Printf("workers=%d figure=wave seconds=%.0f status=%+v\n", r.workers, time.Since(began).Seconds(), w)
	}
}

// restarts kills a learner, then a voter, and measures the time until the new
// process is ready.
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
	response, err := http.Get("http://" + r.callers[i] + "/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (r *capacityRun) submit(n int, id, kind, priority string) {
	body := fmt.Sprintf(`{"id": %q, "team": "t%03d", "pool": "p%02d", "kind": %q, "priority": %q, "milli_cpu": 1000, "memory_mb": 1000, "idempotent": true, "runtime": "1h"}`,
		id, n%r.teams(), n%r.pools, kind, priority)
	if status, text := r.roundTrip(r.newRequest(http.MethodPost, n, "/jobs", body)); status/100 != 2 {
		fmt.Printf("workers=%d job=%s status=%d answer=%s\n", r.workers, id, status, text)
	}
}

// newRequest returns a request to an entry VM; n selects them in turn.
func (r *capacityRun) newRequest(method string, n int, path, body string) *http.Request {
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+r.callers[n%r.nodes]+path, strings.NewReader(body))
	r.check(err)
	return request
}

func (r *capacityRun) roundTrip(request *http.Request) (int, string) {
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(text)
}

func (r *capacityRun) recordStart(task standin.TaskInfo) {
	if task.Job == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.jobStarts[task.Job]; !known {
		r.jobStarts[task.Job] = time.Now()
	}
}

// startedJobs counts the jobs with a prefix that the platform started.
func (r *capacityRun) startedJobs(prefix string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for id := range r.jobStarts {
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

// repeat calls do count times at an interval, without overlap.
func repeat(count int, interval time.Duration, do func(n int)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for n := range count {
		do(n)
		<-ticker.C
	}
}
