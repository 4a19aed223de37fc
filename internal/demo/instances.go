package demo

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/platform/standin"
	upstreams "github.com/comfreyloom/comfreyloom/internal/upstream/standin"
)

// leaveTimeout bounds how long a stopping instance may take to finish its requests.
const leaveTimeout = 10 * time.Second

// Instances runs a stand-in upstream on loopback for each instance that the
// platform starts. It is safe for concurrent use.
type Instances struct {
	// Announce holds the base URLs at which the instances announce themselves.
	// The instances start with different ones in turn, as behind a load balancer.
	Announce []string
	// Latency is how long each request runs.
	Latency time.Duration

	mu      sync.Mutex
	started int
	active  map[model.TaskID]*upstreams.Upstream
	stopped []*upstreams.Upstream
}

// Start is the platform's hook for the start of a task.
func (h *Instances) Start(r standin.TaskInfo) {
	if r.Service == "" {
		return
	}
	u, err := upstreams.Start(upstreams.Options{
		Service: string(r.Service), Instance: string(r.Task), VM: string(r.VM), AvailabilityZone: string(r.Zone),
		Slots: slotsPerInstance, Connections: connectionsPerInstance, Latency: h.Latency,
		Announce: h.announce(), Renew: renewInterval,
	})
	if err != nil {
		log.WithError(err).WithField("task", r.Task).Error("stand-in upstream did not start")
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.active == nil {
		h.active = map[model.TaskID]*upstreams.Upstream{}
	}
	h.active[r.Task] = u
	go u.Run(context.Background()) // ends when the upstream is closed
}

// announce returns the base URLs for the next instance, rotated by one each time.
func (h *Instances) announce() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.Announce) == 0 {
		return nil
	}
	first := h.started % len(h.Announce)
	h.started++
	return slices.Concat(h.Announce[first:], h.Announce[:first])
}

// Stop is the platform's hook for a task that is stopped or killed.
func (h *Instances) Stop(r standin.TaskInfo) {
	u := h.remove(r.Task)
	switch {
	case u == nil:
	case r.Killed:
		u.Close()
	default:
		go shutdown(u)
	}
}

// Close ends all instances.
func (h *Instances) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, u := range h.active {
		u.Close()
	}
}

// Runs returns how often a request with this key ran, at running and stopped
// instances together.
func (h *Instances) Runs(key string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	runs := 0
	for _, u := range h.active {
		runs += u.Runs(key)
	}
	for _, u := range h.stopped {
		runs += u.Runs(key)
	}
	return runs
}

func (h *Instances) remove(task model.TaskID) *upstreams.Upstream {
	h.mu.Lock()
	defer h.mu.Unlock()
	u := h.active[task]
	if u != nil {
		delete(h.active, task)
		h.stopped = append(h.stopped, u)
	}
	return u
}

func shutdown(u *upstreams.Upstream) {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	_ = u.Shutdown(ctx) // a request that exceeds the timeout is cut off, as on a real VM
}
