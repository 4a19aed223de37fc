package intake

import "time"

// Limits bound one request and the time around it. Zero values take defaults.
type Limits struct {
	// HeaderBytes bounds the head of a request.
	HeaderBytes int64
	// HeaderTimeout bounds the arrival of a head, BodyTimeout that of a whole request.
	HeaderTimeout, BodyTimeout time.Duration
	// IdleTimeout bounds the time between two requests, and before the first.
	IdleTimeout time.Duration
	// WriteTimeout is how long a peer may accept no byte of a response.
	WriteTimeout time.Duration
}

const (
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 5 * time.Second
	defaultBodyTimeout   = 30 * time.Second
	defaultIdleTimeout   = 90 * time.Second
	defaultWriteTimeout  = 15 * time.Second
)

// headerSlack is how much longer than its limit a head may be, in bytes: the read buffer
// in which it ends may hold the start of the body as well.
const headerSlack = 4 << 10

func (l Limits) withDefaults() Limits {
	return Limits{
		HeaderBytes: orDefault(l.HeaderBytes, defaultHeaderBytes), HeaderTimeout: orDefault(l.HeaderTimeout, defaultHeaderTimeout),
		BodyTimeout: orDefault(l.BodyTimeout, defaultBodyTimeout), IdleTimeout: orDefault(l.IdleTimeout, defaultIdleTimeout),
		WriteTimeout: orDefault(l.WriteTimeout, defaultWriteTimeout),
	}
}

func orDefault[T int64 | time.Duration](v, def T) T {
	if v <= 0 {
		return def
	}
	return v
}
