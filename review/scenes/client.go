package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	callerHost    = "plans.example"
	requestLimit  = 3 * time.Second
	maxAttempts   = 6
	pollInterval  = 250 * time.Millisecond
	configTimeout = 30 * time.Second
)

// send makes one request; the status is 0 without a response.
func (s *site) send(client *http.Client, method, address, path, host string, body any) (int, string) {
	var text io.Reader
	if body != nil {
		encoded, err := wire.encode(body)
		if err != nil {
			return 0, err.Error()
		}
		text = bytes.NewReader(encoded)
	}
	request, err := http.NewRequest(method, "http://"+address+path, text)
	if err != nil {
		return 0, err.Error()
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	if host != "" {
		request.Header.Set("Comfreyloom-Deadline-Ms", fmt.Sprint(requestLimit.Milliseconds()))
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(answer)
}

// call makes a caller's request, at another entry VM after each failure.
func (s *site) call(method, path string, body any) (int, string) {
	client := &http.Client{Timeout: requestLimit}
	defer client.CloseIdleConnections()
	status, text := 0, ""
	for range maxAttempts {
		s.nextEntry++
		status, text = s.send(client, method, s.entry(s.nextEntry%entryCount), path, callerHost, body)
		if status != 0 && status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests && status < 502 {
			break
		}
		time.Sleep(pollInterval)
	}
	return status, text
}

// submit hands a job in and fails if it is not accepted.
func (s *site) submit(path string, job map[string]any) error {
	status, text := s.call(http.MethodPost, path, job)
	s.record.note("POST %s: %d", path, status)
	if status < 200 || status > 299 {
		return fmt.Errorf("job %s was not accepted: %d %s", path, status, text)
	}
	return nil
}

// state returns the state of a job, or the status if there is none.
func (s *site) state(path string) string {
	status, text := s.call(http.MethodGet, path, nil)
	var body struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(text), &body) != nil {
		return fmt.Sprint(status)
	}
	return body.State
}

// awaitState polls a job until it is in a state, for a time at most, and returns the last
// state.
func (s *site) awaitState(path, wanted string, limit time.Duration) string {
	last := ""
	for deadline := time.Now().Add(limit); ; time.Sleep(pollInterval) {
		state := s.state(path)
		if state != last {
			s.record.note("GET %s: %s", path, state)
			last = state
		}
		if state == wanted || time.Now().After(deadline) {
			return state
		}
	}
}

// configure has the operator send a configuration until it is acknowledged.
func (s *site) configure(config map[string]any) error {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	status, text := 0, ""
	for deadline := time.Now().Add(configTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		s.nextCore++
		if status, text = s.send(client, http.MethodPost, s.core(s.nextCore%coreCount), wire.Paths["config"], "", config); status == http.StatusOK {
			s.record.note("config acknowledged")
			return s.awaitReady()
		}
	}
	return fmt.Errorf("the config was not acknowledged: %d %s", status, text)
}

// awaitReady waits until the entry VMs are ready.
func (s *site) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for i := range entryCount {
		address := fmt.Sprintf("%s:%d", s.ip(coreCount+i), s.ports[readinessPort])
		ready := false
		for deadline := time.Now().Add(configTimeout); !ready && time.Now().Before(deadline); {
			status, _ := s.send(client, http.MethodGet, address, "/readyz", "", nil)
			if ready = status == http.StatusOK; !ready {
				time.Sleep(pollInterval)
			}
		}
		if !ready {
			return fmt.Errorf("entry VM %d is not ready", i)
		}
	}
	return nil
}

// route returns a route of a configuration.
func route(name, prefix, service string, priority, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": callerHost, "prefix": prefix, "type": "unsafe", "timeout-ms": 3000, "target-latency-ms": 600,
		"priority": priority, "service": service, "max-attempts": attempts, "target-factor": 1.6,
	}
}

// config returns a configuration with these routes and services.
func config(version int, routes []map[string]any, services ...string) map[string]any {
	var all []map[string]any
	for _, name := range services {
		all = append(all, map[string]any{
			"name": name, "health-path": "/healthz", "max-connections": 64, "protocol": "h1", "tls": false, "constraints": false, "standby": false,
		})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": all,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}

// payload returns the payload of a task.
func payload(spec taskSpec) string {
	text, err := json.Marshal(spec)
	if err != nil {
		return ""
	}
	return string(text)
}

// jobID returns a job's ID of 16 hexadecimal digits.
func jobID(n int) string { return fmt.Sprintf("5c0e7a21%08x", n) }

// taskOf reports whether a task belongs to a job.
func taskOf(task, job string) bool { return strings.HasPrefix(task, job+".") }
