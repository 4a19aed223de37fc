// Package standin is a small platform in memory: VMs in racks and zones,
// workers that run tasks under leases, reboots, failures and late answers. It
// stands in for the real platform in tests, benchmarks and the demo.
//
// It runs in virtual time (call Advance) or in real time (call Run), directly
// as a platform.Client or over HTTP (see Handler).
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

// Work is how a job behaves when it runs, whatever it declared.
type Work struct {
	// Runtime is the time that the whole job needs without a checkpoint.
	Runtime time.Duration
	// Used is what it really uses.
	Used model.Resources
	// Fails says that the task ends without success, on whichever worker.
	Fails bool
}

// Running describes a task to the hooks.
type Running struct {
	Task    model.TaskID
	Service model.ServiceID
	Ordinal int
	Job     model.JobID
	VM      model.VMID
	Zone    model.ZoneID
	// Killed says that the task was cut off rather than told to stop.
	Killed bool
}

// Config describes the platform.
type Config struct {
	VMs []VM
	// Seed fixes every random choice.
	Seed uint64
	// Start is the first instant of virtual time.
	Start model.Instant
	// Now is the clock in real time; nil runs in virtual time.
	Now func() model.Instant
	// RebootTime is how long a reboot takes, plus up to half as much again
	// at random; 0 stands for 90 s.
	RebootTime time.Duration
	// StopGrace is how long a task that is told to stop takes to end.
	StopGrace time.Duration
	// UsageEvery is the interval of measurement, UsageLag how late it shows;
	// 0 stands for 15 s and 30 s.
	UsageEvery, UsageLag time.Duration
	// Remember is how long ended tasks stay listed; 0 stands for an hour.
	Remember time.Duration
	// Behaviour tells how a job's task behaves; nil runs each for 10 s at its
	// size. Instances of services run until they are stopped.
	Behaviour func(platform.TaskSpec) Work
	// WrongVM is the probability that a reboot hits another VM instead.
	WrongVM float64
	// OnStart and OnStop are called, without a lock held, when a task starts
	// and when it is told to stop or is killed.
	OnStart, OnStop func(Running)
}

const (
	defaultRebootTime = 90 * time.Second
	defaultUsageEvery = 15 * time.Second
	defaultUsageLag   = 30 * time.Second
	defaultRemember   = time.Hour
	defaultRuntime    = 10 * time.Second
	// badWorkerRuntime is how soon a task fails on a worker that fails all.
	badWorkerRuntime = 2 * time.Second
	// advanceEvery is the resolution in real time.
	advanceEvery = 5 * time.Millisecond
)

func (c Config) withDefaults() Config {
	if c.RebootTime <= 0 {
		c.RebootTime = defaultRebootTime
	}
	if c.UsageEvery <= 0 {
		c.UsageEvery = defaultUsageEvery
	}
	if c.UsageLag <= 0 {
		c.UsageLag = defaultUsageLag
	}
	if c.Remember <= 0 {
		c.Remember = defaultRemember
	}
	if c.Behaviour == nil {
		c.Behaviour = func(s platform.TaskSpec) Work { return Work{Runtime: defaultRuntime, Used: s.Size} }
	}
	return c
}
