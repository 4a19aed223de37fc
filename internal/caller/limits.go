package caller

import "time"

// Limits bound what callers can make an entry VM hold; zero values take
// defaults.
type Limits struct {
	// DefaultTimeout applies to requests to a service without a timeout.
	DefaultTimeout time.Duration
	// MinTimeout and MaxTimeout bound the header Comfreyloom-Timeout.
	MinTimeout time.Duration
	MaxTimeout time.Duration
	// MaxHeaderBytes bounds a request's header.
	MaxHeaderBytes int
	// HeaderTimeout bounds the arrival of a request's header, IdleTimeout the
	// time between two requests on a connection.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	// BodyTimeout bounds the arrival of a body that is buffered for retries,
	// WriteTimeout the time in which a caller must receive one write of a
	// response.
	BodyTimeout  time.Duration
	WriteTimeout time.Duration
	// BufferedBodyBytes bounds the body that is buffered for retries; a longer
	// one is streamed and sent once.
	BufferedBodyBytes int64
	// KeyedBodyBytes bounds the body of a non-idempotent request with a key,
	// which must be read whole before the key is claimed.
	KeyedBodyBytes int64
	// BodyBytes bounds any body.
	BodyBytes int64
	// BufferedResponseBytes bounds the response that is buffered whole before it
	// is passed on; a longer one is streamed.
	BufferedResponseBytes int64
	// StoredResponseBytes bounds the response that is stored under a key.
	StoredResponseBytes int64
	// TotalBufferedBytes bounds all bodies and responses buffered at one time.
	TotalBufferedBytes int64
	// JobBytes bounds the body of POST /jobs.
	JobBytes int64
	// Requests bounds the requests in progress, Connections the open
	// connections, ConnectionsPerIP those of one remote IP.
	Requests         int64
	Connections      int64
	ConnectionsPerIP int64
	// Attempts bounds the attempts of one request.
	Attempts int
	// ClaimTimeout bounds the wait for a claim.
	ClaimTimeout time.Duration
	// OwnerGrace is how long after its deadline a claim is left to its owner
	// before another entry VM ends it as unknown.
	OwnerGrace time.Duration
}

const (
	kilobyte = 1 << 10
	megabyte = 1 << 20
)

// DefaultLimits returns the limits of a server whose configuration sets none.
func DefaultLimits() Limits { return Limits{}.withDefaults() }

func (l Limits) withDefaults() Limits {
	setDefault(&l.DefaultTimeout, 30*time.Second)
	setDefault(&l.MinTimeout, time.Millisecond)
	setDefault(&l.MaxTimeout, 10*time.Minute)
	setDefault(&l.MaxHeaderBytes, 16*kilobyte)
	setDefault(&l.HeaderTimeout, 5*time.Second)
	setDefault(&l.IdleTimeout, time.Minute)
	setDefault(&l.BodyTimeout, 10*time.Second)
	setDefault(&l.WriteTimeout, 10*time.Second)
	setDefault(&l.BufferedBodyBytes, 64*kilobyte)
	setDefault(&l.KeyedBodyBytes, megabyte)
	setDefault(&l.BodyBytes, 64*megabyte)
	setDefault(&l.BufferedResponseBytes, 64*kilobyte)
	setDefault(&l.StoredResponseBytes, 64*kilobyte)
	setDefault(&l.TotalBufferedBytes, 32*megabyte)
	setDefault(&l.JobBytes, 64*kilobyte)
	setDefault(&l.Requests, 4096)
	setDefault(&l.Connections, 4096)
	setDefault(&l.ConnectionsPerIP, 4096)
	setDefault(&l.Attempts, 3)
	setDefault(&l.ClaimTimeout, 2*time.Second)
	setDefault(&l.OwnerGrace, 2*time.Second)
	return l
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}
