package workload

// QueueID identifies a queue by the host and path prefix that callers use.
type QueueID struct {
	_            struct{} `cbor:",toarray"`
	Host, Prefix string
}

// Config is the configuration in force: the queues, the pool of workers that
// serves each, and the limits of callers' requests.
type Config struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
	Queues  []Queue
	Pools   []Pool
	Limits  Limits
	// Text is the configuration as the operator sent it, and as it is returned to
	// operators.
	Text []byte
}

// Queue accepts the jobs of callers.
type Queue struct {
	_    struct{} `cbor:",toarray"`
	ID   QueueID
	Name string
	// Pool is the pool whose workers run the queue's tasks.
	Pool string
	// Priority is the rank of the queue; 0 comes first.
	Priority int
	// MaxAttempts is the number of failed runs of one task after which the job
	// fails; 0 for no limit.
	MaxAttempts int
	// A job is on time if it takes at most TargetFactor times its critical path
	// plus TargetLatencyMS.
	TargetFactor    float64
	TargetLatencyMS int64
	// TimeoutMS limits the duration of one request of a caller.
	TimeoutMS int64
	// Advisor is nil where any worker of the pool may run a step.
	Advisor *Advisor
}

// Advisor holds how long the advisor of a queue takes for a decision, as a whole
// and for each worker, and for how long a permission is valid, in milliseconds.
type Advisor struct {
	_                                struct{} `cbor:",toarray"`
	DecisionMS, PerWorkerMS, ValidMS int64
}

// Pool is a set of workers.
type Pool struct {
	_    struct{} `cbor:",toarray"`
	Name string
	// ChecksConstraints is set when the workers refuse tasks that don't satisfy
	// the pool's constraints.
	ChecksConstraints bool
	// Standby is set when the VMs of the pool are off and cost nothing.
	Standby bool
}

// Limits are the limits of callers' requests.
type Limits struct {
	_                              struct{} `cbor:",toarray"`
	HeaderBytes, BodyBytes         int64
	HeaderTimeoutMS, IdleTimeoutMS int64
}

// Route returns the queue of the host with the longest prefix of the path, nil
// when no queue matches.
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
