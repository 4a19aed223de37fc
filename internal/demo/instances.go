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

// leaveTimeout bounds how long an instance that was told to stop may still
// answer the requests it has.
const leaveTimeout = 10 * time.Second

// Instances runs a stand-in upstream on loopback for each instance that the
// platform starts. It is safe for concurrent use.
type Instances struct {
	// Announce are the base URLs at which the instances announce themselves.
	// Each instance starts at another one, as behind a balancer.
	Announce []string
	// Latency is how long each request runs.
	Latency time.Duration

	mu      sync.Mutex
	started int
	running map[model.TaskID]*upstreams.Upstream
	ended   []*upstreams.Upstream
}

// Start is the platform's hook for a task that starts.
func (h *Instances) Start(r standin.TaskInfo) {
	if r.Service == "" {
		return
	}
	u, err := upstreams.Start(upstreams.Options{
		Service: string(r.Service), Instance: string(r.Task), VM: string(r.VM), AvailabilityZone: string(r.Zone),
		Slots: slotsPerInstance, Connections: connectionsPerInstance, Latency: h.Latency,
		Announce: h.announce(), Renew: renewEvery,
	})
	if err != nil {
		log.WithError(err).WithField("task", r.Task).Error("stand-in upstream did not start")
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.running == nil {
		h.running = map[model.TaskID]*upstreams.Upstream{}
	}
	h.running[r.Task] = u
	go u.Run(context.Background()) // ends when the upstream is closed
}

// announce returns the addresses of the next instance, in its own order.
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

// Stop is the platform's hook for a task that is told to stop, or is killed.
func (h *Instances) Stop(r standin.TaskInfo) {
	u := h.take(r.Task)
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
	for _, u := range h.running {
		u.Close()
	}
}

// Runs returns how often a request with this key ran, at all instances there
// ever were.
func (h *Instances) Runs(key string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	runs := 0
	for _, u := range h.running {
		runs += u.Runs(key)
	}
	for _, u := range h.ended {
		runs += u.Runs(key)
	}
	return runs
}

func (h *Instances) take(task model.TaskID) *upstreams.Upstream {
	h.mu.Lock()
	defer h.mu.Unlock()
	u := h.running[task]
	if u != nil {
		delete(h.running, task)
		h.ended = append(h.ended, u)
	}
	return u
}

func shutdown(u *upstreams.Upstream) {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	_ = u.Shutdown(ctx) // a request that outlives the timeout is cut, as on a real VM
}
