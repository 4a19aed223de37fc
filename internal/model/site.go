package model

import "time"

// Site is the desired state of a site: the manifest in parsed form. Slices
// are sorted by ID. A Site is immutable after validation.
type Site struct {
	// Name must equal the site name in each VM's settings.
	Name string `cbor:"1,keyasint"`
	// Revision is the number that the pipeline gives the manifest; it only grows.
	Revision uint64    `cbor:"2,keyasint"`
	Policy   Policy    `cbor:"3,keyasint"`
	Pools    []Pool    `cbor:"4,keyasint"`
	Services []Service `cbor:"5,keyasint"`
	Teams    []Team    `cbor:"6,keyasint"`
	Waves    []Wave    `cbor:"7,keyasint"`
}

// Policy holds the weights of the costs that decisions trade off; both are in
// 0..1.
type Policy struct {
	// MoveWeight is the cost of relocating a VM or job.
	MoveWeight float64 `cbor:"1,keyasint"`
	// BufferWeight is the cost of a VM held back as a spare.
	BufferWeight float64 `cbor:"2,keyasint"`
}

// Pool is a set of VMs that run the same services and jobs.
type Pool struct {
	ID PoolID `cbor:"1,keyasint"`
	// MinVMs and MaxVMs bound the pool's size.
	MinVMs int `cbor:"2,keyasint"`
	MaxVMs int `cbor:"3,keyasint"`
	// Shape is the minimum capacity of a VM of the pool.
	Shape Resources `cbor:"4,keyasint"`
	// Zones are the availability zones allowed; empty allows all.
	Zones []ZoneID `cbor:"5,keyasint,omitempty"`
	// BusyWindows are the daily peak hours in which maintenance waves should not
	// disturb the pool, such as berth windows; empty means none.
	BusyWindows []Window `cbor:"6,keyasint,omitempty"`
}

// Window is a daily span of time in UTC. It wraps around midnight when To is
// before From.
type Window struct {
	// From and To are offsets from midnight.
	From time.Duration `cbor:"1,keyasint"`
	To   time.Duration `cbor:"2,keyasint"`
}

// Service is a set of long-running instances on one pool.
type Service struct {
	ID   ServiceID `cbor:"1,keyasint"`
	Pool PoolID    `cbor:"2,keyasint"`
	// Instances is the number of instances that run when nothing fails.
	Instances int `cbor:"3,keyasint"`
	// Size is what one instance needs.
	Size Resources `cbor:"4,keyasint"`
	// Slots bounds the requests in progress at one instance, over all entry VMs.
	Slots int `cbor:"5,keyasint"`
	// Connections bounds the connections to one instance, over all entry VMs.
	Connections int `cbor:"6,keyasint"`
	// MinAvailable is the availability budget: the number of instances that must
	// stay available.
	MinAvailable int `cbor:"7,keyasint"`
	// Timeout bounds a request for which the caller names no timeout.
	Timeout time.Duration `cbor:"8,keyasint"`
	// QueueLimit bounds the requests that wait for a slot, over all priorities.
	QueueLimit int `cbor:"9,keyasint"`
	// Priority applies to requests that name none.
	Priority Priority `cbor:"10,keyasint"`
	// Routes are matched in order; the first match decides.
	Routes []Route `cbor:"11,keyasint,omitempty"`
}

// MaxSurge bounds the instances that may temporarily run beyond Instances, so
// that others can be stopped without violating the availability budget.
func (s *Service) MaxSurge() int { return s.Instances }

// Route declares whether the requests under a path are idempotent.
type Route struct {
	// Method is an HTTP method or "*".
	Method string `cbor:"1,keyasint"`
	// Prefix is a path prefix that starts with "/".
	Prefix     string `cbor:"2,keyasint"`
	Idempotent bool   `cbor:"3,keyasint"`
}

// Team is a group of callers with quotas. A quota of zero means unlimited.
type Team struct {
	ID TeamID `cbor:"1,keyasint"`
	// Quota bounds the resources of the team's running jobs.
	Quota Resources `cbor:"2,keyasint"`
	// MaxJobs bounds the team's jobs that are queued or running.
	MaxJobs int `cbor:"3,keyasint"`
	// MaxRequests bounds the team's requests in progress at one entry VM.
	MaxRequests int `cbor:"4,keyasint"`
}

// Wave is one round of maintenance: each VM of its pools is drained, rebooted
// and returned to service once.
type Wave struct {
	ID    WaveID   `cbor:"1,keyasint"`
	Pools []PoolID `cbor:"2,keyasint"`
	// Start is when the first VM may be drained.
	Start Instant `cbor:"3,keyasint"`
	// MaxParallel bounds the VMs under maintenance at the same time; with 0
	// only the availability budgets bound them.
	MaxParallel int `cbor:"4,keyasint"`
	// Soak is how long a VM must stay healthy after its reboot before it
	// counts as available.
	Soak time.Duration `cbor:"5,keyasint"`
}
