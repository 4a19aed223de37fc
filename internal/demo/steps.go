package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

const (
	// totalTimeout bounds the duration of all steps together.
	totalTimeout = 28 * time.Second
	// pollInterval is the interval at which the site is polled.
	pollInterval = 25 * time.Millisecond
	// requestTime is how long a request runs at an upstream.
	requestTime = 20 * time.Millisecond

	urgentRequests = 60
	batchRequests  = 240
	maxInFlight    = 64
	jobCount       = 12
	keyedRequests  = 20
)

// steps runs all steps on the site and records them in a report.
func (s *Site) steps(ctx context.Context) (*report, error) {
	ctx, cancel := context.WithTimeout(ctx, totalTimeout)
	defer cancel()
	r := &report{began: time.Now()}
	steps := []struct {
		name string
		run  func(context.Context, *report) error
	}{
		{"entry VMs confirmed by a quorum", s.awaitReady},
		{"manifest in force at every entry VM", s.applyManifest},
		{"VMs in pools, instances announced", s.awaitInstances},
		{"urgent and batch requests answered", s.sendRequests},
		{"non-idempotent requests, each sent through two entry VMs", s.sendKeyed},
		{"jobs run", s.runJobs},
		{"maintenance wave done", s.runWave},
		{"invariants checked", s.checkInvariants},
	}
	for _, step := range steps {
		began := time.Now()
		err := step.run(ctx, r)
		r.recordStep(step.name, time.Since(began), err)
		if err != nil {
			return r, fmt.Errorf("%s: %w", step.name, err)
		}
	}
	return r, nil
}

func (s *Site) awaitReady(ctx context.Context, _ *report) error {
	for _, a := range s.addresses {
		request := apiRequest{method: http.MethodGet, address: a.callers, path: "/readyz"}
		err := await(ctx, "ready", func() (bool, error) {
			_, err := request.expect(ctx, http.StatusOK)
			return err == nil, err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// waveDelay delays the wave so that it doesn't start before its step.
const waveDelay = 24 * time.Hour

func (s *Site) applyManifest(ctx context.Context, r *report) error {
	took, err := s.apply(ctx, 1, time.Now().Add(waveDelay))
	r.manifestTime = took
	return err
}

// apply sends a manifest to the first entry VM and waits until it is in force at
// all entry VMs.
func (s *Site) apply(ctx context.Context, revision int, waveStart time.Time) (time.Duration, error) {
	response, err := apiRequest{
		method: http.MethodPut, address: s.addresses[0].operators, path: "/manifest?wait=10s",
		body: manifest(revision, waveStart),
	}.expect(ctx, http.StatusOK)
	if err != nil {
		return 0, err
	}
	var result struct {
		InForce bool     `json:"in_force"`
		Behind  []string `json:"behind"`
	}
	if err := json.Unmarshal(response.body, &result); err != nil {
		return 0, err
	}
	if !result.InForce {
		return 0, fmt.Errorf("not in force at %v", result.Behind)
	}
	return response.took, nil
}

// awaitInstances waits until all instances of both services are available.
func (s *Site) awaitInstances(ctx context.Context, r *report) error {
	err := await(ctx, "all instances available", func() (bool, error) {
		status, err := s.leaderStatus(ctx)
		if err != nil {
			return false, err
		}
		for _, b := range status.Budgets {
			if b.Available < b.Instances {
				return false, fmt.Errorf("service %s has %d of %d instances", b.Service, b.Available, b.Instances)
			}
		}
		r.start = status
		return len(status.Budgets) > 0, nil
	})
	return err
}

// sendRequests sends many batch requests with urgent ones among them.
func (s *Site) sendRequests(ctx context.Context, r *report) error {
	work := pool.New().WithContext(ctx).WithMaxGoroutines(maxInFlight)
	for i := range batchRequests + urgentRequests {
		priority := model.Batch
		if i%(1+batchRequests/urgentRequests) == 0 {
			priority = model.Urgent
		}
		e := apiRequest{
			method: http.MethodGet, address: s.addresses[i%entryVMs].callers, path: fmt.Sprintf("/s/routes/towns/%d", i),
			headers: map[string]string{"Comfreyloom-Priority": priority.String()},
		}
		work.Go(func(ctx context.Context) error {
			response, err := e.do(ctx)
			if err == nil {
				r.recordResponse(priority, response)
			}
			return err
		})
	}
	if err := work.Wait(); err != nil {
		return err
	}
	return r.checkAllAnswered(urgentRequests, batchRequests)
}

// sendKeyed sends each request through two entry VMs at the same time, as a caller
// does that resends because it didn't get the first response.
func (s *Site) sendKeyed(ctx context.Context, r *report) error {
	work := pool.New().WithContext(ctx).WithMaxGoroutines(maxInFlight)
	for i := range 2 * keyedRequests {
		key := fmt.Sprintf("visit-%d", i/2)
		e := apiRequest{
			method: http.MethodPost, address: s.addresses[i%entryVMs].callers, path: "/s/booking/visits",
			body: key, headers: map[string]string{"Idempotency-Key": key},
		}
		work.Go(func(ctx context.Context) error {
			_, err := e.do(ctx)
			return err
		})
	}
	if err := work.Wait(); err != nil {
		return err
	}
	for i := range keyedRequests {
		if runs := s.instances.Runs(fmt.Sprintf("visit-%d", i)); runs != 1 {
			return fmt.Errorf("request visit-%d ran %d times", i, runs)
		}
		r.keyedRuns++
	}
	return nil
}

func (s *Site) runJobs(ctx context.Context, r *report) error {
	for i := range jobCount {
		body := fmt.Sprintf(`{"id":"reading-%d","team":"reading","pool":"reports","kind":"reconcile","milli_cpu":2000,"memory_mb":4000,"runtime":"1s","idempotent":true}`, i)
		e := apiRequest{method: http.MethodPost, address: s.addresses[i%entryVMs].callers, path: "/jobs", body: body}
		if _, err := e.expect(ctx, http.StatusAccepted); err != nil {
			return err
		}
	}
	return await(ctx, "all jobs done", func() (bool, error) {
		status, err := s.status(ctx, 0)
		r.jobsDone = status.Jobs.Counts["done"]
		if err == nil && r.jobsDone < jobCount {
			err = fmt.Errorf("jobs by state: %v", status.Jobs.Counts)
		}
		return r.jobsDone == jobCount, err
	})
}

func (s *Site) runWave(ctx context.Context, r *report) error {
	began := time.Now()
	if _, err := s.apply(ctx, 2, began.Add(-time.Second)); err != nil {
		return err
	}
	err := await(ctx, "wave done", func() (bool, error) {
		status, err := s.leaderStatus(ctx)
		if err != nil {
			return false, err
		}
		return r.checkWave(status)
	})
	r.waveTime = time.Since(began)
	return err
}

// checkInvariants requires that all checks hold at every entry VM, that all have
// the same state, and that the wave rebooted no VM more than once.
func (s *Site) checkInvariants(ctx context.Context, r *report) error {
	err := await(ctx, "the same state at every entry VM", func() (bool, error) { return s.sameState(ctx) })
	if err != nil {
		return err
	}
	for i := range s.addresses {
		status, err := s.status(ctx, i)
		if err != nil {
			return err
		}
		for _, b := range status.Violations {
			err = errors.Join(err, fmt.Errorf("entry-%d: %s: %s", i+1, b.Invariant, b.Detail))
		}
		if err != nil {
			return err
		}
		r.finish = status
	}
	for vm, reboots := range s.platform.Tally().Reboots {
		if reboots > 1 {
			return fmt.Errorf("VM %s was rebooted %d times in one wave", vm, reboots)
		}
		r.reboots += reboots
	}
	return nil
}

func (s *Site) sameState(ctx context.Context) (bool, error) {
	digests := map[uint64]string{}
	for i := range s.addresses {
		status, err := s.status(ctx, i)
		if err != nil {
			return false, err
		}
		known, seen := digests[status.Index]
		if seen && known != status.StateDigest {
			return false, fmt.Errorf("entry-%d has another state at index %d", i+1, status.Index)
		}
		digests[status.Index] = status.StateDigest
	}
	return len(digests) == 1, nil
}
