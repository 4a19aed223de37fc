// Package standin simulates the platform in memory: VMs in racks and availability
// zones, workers that run tasks under leases, reboots, failures and delayed
// responses. It replaces the real platform in tests, benchmarks and the demo.
//
// It runs in virtual time (call Advance) or in real time (call Run). It is used
// directly as a platform.Client or over HTTP (see Handler).
package standin

import (
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
	"github.com/comfreyloom/comfreyloom/internal/platform"
)

// VM describes one VM and the worker on it.
type VM struct {
	ID       model.VMID
	Worker   model.WorkerID
	Zone     model.ZoneID
	Rack     model.RackID
	Capacity model.Resources
}

// Work is how a job really behaves when it runs, independent of what it declared.
type Work struct {
	// Runtime is how long the whole job runs if it starts without a checkpoint.
	Runtime time.Duration
	// Used are the resources that it really uses.
	Used model.Resources
	// Fails is true if the task ends without success on every worker.
	Fails bool
}

// TaskInfo describes a task to the hooks OnStart and OnStop.
type TaskInfo struct {
	Task    model.TaskID
	Service model.ServiceID
	Ordinal int
	Job     model.JobID
	VM      model.VMID
	Zone    model.ZoneID
	// Killed is true if the task was killed instead of stopped gracefully.
	Killed bool
}

// Config configures a Platform.
type Config struct {
	VMs []VM
	// Seed determines all random choices.
	Seed uint64
	// Start is the first instant of virtual time.
	Start model.Instant
	// Now is the clock for real time; nil selects virtual time.
	Now func() model.Instant
	// RebootTime is how long a reboot takes at least; a random duration of up to
	// half of it is added. 0 means 90 s.
	RebootTime time.Duration
	// StopGrace is how long a task takes to end after it is told to stop.
	StopGrace time.Duration
	// UsageInterval is the interval between measurements, UsageLag the delay until
	// one is listed; 0 means 15 s and 30 s.
	UsageInterval, UsageLag time.Duration
	// Retention is how long ended tasks and answers are retained; 0 means an hour.
	Retention time.Duration
	// Behaviour returns how a job's task behaves. With nil each runs for 10 s and
	// uses its declared size. Instances of services run until they are stopped.
	Behaviour func(platform.TaskSpec) Work
	// WrongVMProbability is the probability that a reboot command reboots another VM.
	WrongVMProbability float64
	// OnStart is called when a task starts, OnStop when it is told to stop or is
	// killed. No lock is held during the calls.
	OnStart, OnStop func(TaskInfo)
}

const (
	defaultRebootTime    = 90 * time.Second
	defaultUsageInterval = 15 * time.Second
	defaultUsageLag      = 30 * time.Second
	defaultRetention     = time.Hour
	defaultRuntime       = 10 * time.Second
	// faultyWorkerRuntime is how soon a task fails on a faulty worker.
	faultyWorkerRuntime = 2 * time.Second
	// advanceInterval is the time resolution in real time.
	advanceInterval = 5 * time.Millisecond
)

func (c Config) withDefaults() Config {
	if c.RebootTime <= 0 {
		c.RebootTime = defaultRebootTime
	}
	if c.UsageInterval <= 0 {
		c.UsageInterval = defaultUsageInterval
	}
	if c.UsageLag <= 0 {
		c.UsageLag = defaultUsageLag
	}
	if c.Retention <= 0 {
		c.Retention = defaultRetention
	}
	if c.Behaviour == nil {
		c.Behaviour = func(s platform.TaskSpec) Work { return Work{Runtime: defaultRuntime, Used: s.Size} }
	}
	return c
}
