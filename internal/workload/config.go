package workload

// QueueID names a queue: the host and path prefix that callers use.
type QueueID struct {
	_            struct{} `cbor:",toarray"`
	Host, Prefix string
}

// Config is the configuration in force: which queues there are, which pool of
// workers serves each, and the bounds of callers' requests.
type Config struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
	Queues  []Queue
	Pools   []Pool
	Limits  Limits
	// Text is the configuration as the operator sent it; it is read back so.
	Text []byte
}

// Queue is where callers hand in jobs.
type Queue struct {
	_    struct{} `cbor:",toarray"`
	ID   QueueID
	Name string
	// Pool is the pool whose workers run the queue's tasks.
	Pool string
	// Priority 0 comes first.
	Priority int
	// MaxAttempts is the number of failed runs of one task that fail the job.
	MaxAttempts int
	// A job is in time within TargetFactor times its longest chain of tasks
	// plus TargetLatencyMS.
	TargetFactor    float64
	TargetLatencyMS int64
	// TimeoutMS bounds one request of a caller.
	TimeoutMS int64
	// Advisor is nil where any worker of the pool may run a step.
	Advisor *Advisor
}

// Advisor says how long the advisor of a queue takes and for how long a
// permission is valid, in milliseconds.
type Advisor struct {
	_                                struct{} `cbor:",toarray"`
	DecisionMS, PerWorkerMS, ValidMS int64
}

// Pool is a set of workers.
type Pool struct {
	_    struct{} `cbor:",toarray"`
	Name string
	// Checks: the workers refuse what does not fit them.
	Checks bool
	// Standby: the VMs of the pool are off and cost nothing.
	Standby bool
}

// Limits bound callers' requests.
type Limits struct {
	_                            struct{} `cbor:",toarray"`
	HeaderBytes, BodyBytes       int64
	HeaderTimeoutMS, IdleTimeout int64
}

// Route returns the queue whose host matches and whose prefix is the longest
// that the path begins with; nil when there is none.
func (c *Config) Route(host, path string) *Queue {
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.ID.Host == host && len(q.ID.Prefix) <= len(path) && path[:len(q.ID.Prefix)] == q.ID.Prefix {
			if best == nil || len(q.ID.Prefix) > len(best.ID.Prefix) {
				best = q
			}
		}
	}
	return best
}
