package registry

import (
	"container/list"
	"sync"
	"sync/atomic"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Options configure the bounds of a registry. Zero values select the defaults.
type Options struct {
	// PerService and Total bound the live instances of a service and of the
	// registry.
	PerService int
	Total      int
	// RenewMin and RenewMax bound the time between two announcements of an
	// instance; a lease is LeaseRenewals times as long.
	RenewMin time.Duration
	RenewMax time.Duration
	// RenewalsPerSecond is the target rate of all instances together: the more
	// instances, the longer the renewal interval, up to RenewMax.
	RenewalsPerSecond int
}

// Defaults of Options.
const (
	DefaultPerService        = 2_000
	DefaultTotal             = 10_000
	DefaultRenewMin          = 3 * time.Second
	DefaultRenewMax          = 15 * time.Second
	DefaultRenewalsPerSecond = 80
)

const (
	// LeaseRenewals is the number of renewal intervals in a lease: two renewals
	// may be lost.
	LeaseRenewals = 3
	// tombstoneLeases is how long a tombstone is kept, in leases of the largest
	// length. An older message could restore the instance.
	tombstoneLeases = 3
	// driftDivisor: 1/driftDivisor of a remaining lease is subtracted when it is
	// received, because the speeds of two clocks may differ by that much
	// (1/64 = 1.6 %).
	driftDivisor = 64
)

// Lease is the reply to an announcement.
type Lease struct {
	// RenewAfter is the time until the next announcement.
	RenewAfter time.Duration
	// Expires is when the record lapses without a renewal.
	Expires model.Instant
	// Leaving is set when the instance is treated as leaving, even if it
	// announced otherwise.
	Leaving bool
}

// Registry holds the announced upstream instances.
type Registry struct {
	options  Options
	revision atomic.Uint64

	mu        sync.RWMutex
	entries   map[instanceKey]*entry
	byContent map[uint64]*entry
	services  map[model.ServiceID]*service
	// changes lists the entries that were announced here, ordered by version.
	changes *list.List
	version uint64
	// changeVersion is the version of the last change other than a renewal.
	changeVersion uint64
	// tombstones lists the entries that are not live, oldest first.
	tombstones *list.List
	live       int
	buckets    [Buckets]uint64
	lapsed     uint64
}

// service holds the live instances of a service.
type service struct {
	live map[model.InstanceID]*entry
	// serving is the cached result of Serving; stale when live has changed.
	serving []model.Upstream
	stale   bool
}

// entry is one instance, either live or a tombstone.
type entry struct {
	upstream  model.Upstream
	withdrawn bool
	live      bool
	content   uint64 // hashContent of the live record
	bucket    int    // of the digest
	// changeVersion and announceVersion are the versions of the last change of
	// content and of the last announcement at this VM; 0 if there was none.
	changeVersion   uint64
	announceVersion uint64
	// publishedContent is the content at the last announcement here; 0 for a
	// withdrawal.
	publishedContent uint64
	changesElement   *list.Element
	removedAt        model.Instant
	tombstoneElement *list.Element
}

// New returns an empty registry.
func New(o Options) *Registry {
	o.PerService = orDefault(o.PerService, DefaultPerService)
	o.Total = orDefault(o.Total, DefaultTotal)
	o.RenewMin = orDefault(o.RenewMin, DefaultRenewMin)
	o.RenewMax = max(orDefault(o.RenewMax, DefaultRenewMax), o.RenewMin)
	o.RenewalsPerSecond = orDefault(o.RenewalsPerSecond, DefaultRenewalsPerSecond)
	return &Registry{
		options:    o,
		entries:    map[instanceKey]*entry{},
		byContent:  map[uint64]*entry{},
		services:   map[model.ServiceID]*service{},
		changes:    list.New(),
		tombstones: list.New(),
	}
}

func orDefault[T int | time.Duration](v, other T) T {
	if v <= 0 {
		return other
	}
	return v
}

// Announce applies an announcement of an instance. Expires of u is ignored.
// Errors are *InvalidError, ErrStale, ErrWithdrawn and ErrFull.
func (r *Registry) Announce(u model.Upstream, now model.Instant) (Lease, error) {
	if err := validate(u); err != nil {
		return Lease{}, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[instanceKey{u.Service, u.Instance}]
	if e == nil {
		return r.announceNew(u, now)
	}
	switch compareOrder(u, e.upstream) {
	case older:
		return r.announceLate(e, u, now)
	case same:
		// A resend after a lost reply. It must not extend the lease: a copy
		// delayed in the network would keep an unresponsive instance listed.
		return r.leaseOf(e, now), withdrawnError(e)
	}
	if u.Incarnation == e.upstream.Incarnation {
		if e.withdrawn {
			return Lease{}, ErrWithdrawn
		}
		u.Leaving = u.Leaving || e.upstream.Leaving
	}
	if !e.live && r.isFull(u.Service) {
		return Lease{}, ErrFull
	}
	u.Expires = now.Add(r.leaseDuration())
	known := e.live && hashContent(&u) == e.content
	r.replace(e, u, false, now)
	r.publish(e, known)
	return r.leaseOf(e, now), nil
}

// Withdraw removes an instance permanently within its incarnation. An
// incarnation of 0 means the known one. A withdrawal may reach an entry VM before
// any announcement of the instance; a tombstone then keeps the instance out.
func (r *Registry) Withdraw(s model.ServiceID, i model.InstanceID, incarnation uint64, now model.Instant) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[instanceKey{s, i}]
	switch {
	case e == nil:
		return r.withdrawUnknown(model.Upstream{Service: s, Instance: i, Incarnation: incarnation}, now)
	case incarnation != 0 && incarnation < e.upstream.Incarnation:
		return ErrStale
	case e.withdrawn && incarnation <= e.upstream.Incarnation:
		return nil
	}
	u := e.upstream
	u.Incarnation = max(u.Incarnation, incarnation)
	u.Leaving = true
	u.Expires = now
	r.replace(e, u, true, now)
	r.publish(e, false)
	return nil
}

func (r *Registry) withdrawUnknown(u model.Upstream, now model.Instant) error {
	if u.Incarnation == 0 {
		return ErrUnknown
	}
	if err := validateName(u); err != nil {
		return err
	}
	if r.tombstones.Len() >= r.options.Total {
		return ErrFull
	}
	u.Leaving = true
	u.Expires = now
	e := r.add(u, now)
	e.withdrawn = true
	r.publish(e, false)
	return nil
}

// Tick removes the instances whose lease has expired and drops old tombstones.
// It returns the number of removed instances.
func (r *Registry) Tick(now model.Instant) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	lapsed := 0
	for _, e := range r.entries {
		if e.live && e.upstream.Expires <= now {
			r.deactivate(e, now)
			lapsed++
		}
	}
	r.lapsed += uint64(lapsed)
	retention := tombstoneLeases * LeaseRenewals * r.options.RenewMax
	for first := r.tombstones.Front(); first != nil; first = r.tombstones.Front() {
		e := first.Value.(*entry)
		if now.Sub(e.removedAt) < retention && r.tombstones.Len() <= r.options.Total {
			break
		}
		r.dropTombstone(e)
	}
	return lapsed
}

// announceNew handles an announcement of an instance that has no entry.
func (r *Registry) announceNew(u model.Upstream, now model.Instant) (Lease, error) {
	if r.isFull(u.Service) {
		return Lease{}, ErrFull
	}
	u.Expires = now.Add(r.leaseDuration())
	e := r.add(u, now)
	r.publish(e, false)
	return r.leaseOf(e, now), nil
}

// announceLate handles an announcement older than the known one. Only its
// leaving flag counts: it is sticky, so the order of messages does not matter.
func (r *Registry) announceLate(e *entry, u model.Upstream, now model.Instant) (Lease, error) {
	if u.Incarnation == e.upstream.Incarnation && u.Leaving && !e.upstream.Leaving {
		merged := e.upstream
		merged.Leaving = true
		r.replace(e, merged, e.withdrawn, now)
		r.publish(e, false)
		return r.leaseOf(e, now), withdrawnError(e)
	}
	return Lease{}, ErrStale
}

func withdrawnError(e *entry) error {
	if e.withdrawn {
		return ErrWithdrawn
	}
	return nil
}

// isFull reports whether the registry or the service has its maximum of live
// instances.
func (r *Registry) isFull(s model.ServiceID) bool {
	if r.live >= r.options.Total {
		return true
	}
	known := r.services[s]
	return known != nil && len(known.live) >= r.options.PerService
}

func (r *Registry) leaseOf(e *entry, now model.Instant) Lease {
	remaining := max(0, e.upstream.Expires.Sub(now))
	return Lease{
		RenewAfter: min(r.renewInterval(), remaining/LeaseRenewals),
		Expires:    e.upstream.Expires,
		Leaving:    e.upstream.Leaving,
	}
}

// renewInterval grows with the number of instances, which bounds the traffic of
// renewals between the entry VMs.
func (r *Registry) renewInterval() time.Duration {
	target := time.Duration(r.live) * time.Second / time.Duration(r.options.RenewalsPerSecond)
	return min(max(target, r.options.RenewMin), r.options.RenewMax)
}

func (r *Registry) leaseDuration() time.Duration { return LeaseRenewals * r.renewInterval() }
