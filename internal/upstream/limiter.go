package upstream

import (
	"net/netip"
	"sync"
	"time"
)

const (
	defaultAnnouncementsPerSecond = 200
	defaultAnnouncementBurst      = 400
	defaultLimitedAddresses       = 4096
)

// RateLimits bounds the announcements of each remote IP. Zero fields take
// their defaults.
type RateLimits struct {
	// PerSecond is the steady rate.
	PerSecond float64
	// Burst is how many may arrive at once.
	Burst float64
	// Addresses bounds the table of remote IPs. When it is full, further IPs
	// share one bucket.
	Addresses int
}

func (l RateLimits) withDefaults() RateLimits {
	if l.PerSecond <= 0 {
		l.PerSecond = defaultAnnouncementsPerSecond
	}
	if l.Burst <= 0 {
		l.Burst = defaultAnnouncementBurst
	}
	if l.Addresses <= 0 {
		l.Addresses = defaultLimitedAddresses
	}
	return l
}

// bucket is a token bucket.
type bucket struct {
	tokens float64
	at     time.Time
}

func (b *bucket) refill(l RateLimits, now time.Time) {
	elapsed := now.Sub(b.at).Seconds()
	if elapsed > 0 {
		b.tokens = min(l.Burst, b.tokens+elapsed*l.PerSecond)
		b.at = now
	}
}

// rateLimiter holds one token bucket for each remote IP, in a bounded table.
type rateLimiter struct {
	limits RateLimits

	mu        sync.Mutex
	buckets   map[netip.Addr]*bucket
	overflow  bucket
	lastSweep time.Time
}

func newRateLimiter(l RateLimits) *rateLimiter {
	l = l.withDefaults()
	return &rateLimiter{limits: l, buckets: make(map[netip.Addr]*bucket), overflow: bucket{tokens: l.Burst}}
}

// allow takes one token of the remote address and reports whether there was
// one. An address that can't be parsed shares the overflow bucket.
func (l *rateLimiter) allow(remote string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucketOf(remote, now)
	b.refill(l.limits, now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (l *rateLimiter) bucketOf(remote string, now time.Time) *bucket {
	a, err := netip.ParseAddrPort(remote)
	if err != nil {
		return &l.overflow
	}
	if b, ok := l.buckets[a.Addr()]; ok {
		return b
	}
	if len(l.buckets) >= l.limits.Addresses {
		l.sweep(now)
	}
	if len(l.buckets) >= l.limits.Addresses {
		return &l.overflow
	}
	b := &bucket{tokens: l.limits.Burst, at: now}
	l.buckets[a.Addr()] = b
	return b
}

// sweep drops the buckets that are full again, as they equal a new bucket. It
// runs at most once a second, since a flood from many addresses would
// otherwise make each announcement walk the whole table.
func (l *rateLimiter) sweep(now time.Time) {
	if now.Sub(l.lastSweep) < time.Second {
		return
	}
	l.lastSweep = now
	for a, b := range l.buckets {
		b.refill(l.limits, now)
		if b.tokens >= l.limits.Burst {
			delete(l.buckets, a)
		}
	}
}
