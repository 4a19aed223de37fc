package registry

import (
	"container/list"
	"sync"
	"sync/atomic"
	"time"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Options bound a registry. Zero values take the defaults.
type Options struct {
	// PerService and Total bound the live instances.
	PerService int
	Total      int
	// RenewMin and RenewMax bound the time between two announcements of an
	// instance; a lease is LeaseRenewals times as long.
	RenewMin time.Duration
	RenewMax time.Duration
	// RenewalsPerSecond is what all instances together should not exceed: the
	// more instances, the longer the time to renew, up to RenewMax.
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
	// LeaseRenewals is how many renewals fit into a lease: two may be lost.
	LeaseRenewals = 3
	// memoryLeases is how long, in longest leases, a record that is gone is
	// remembered. A message older than that could bring an instance back.
	memoryLeases = 3
	// driftShare is the part of a remaining lease that is taken off when it
	// is received: two clocks may differ by so much in speed (1/64 = 1.6 %).
	driftShare = 64
)

// Lease answers an announcement.
type Lease struct {
	// RenewAfter is when to announce again.
	RenewAfter time.Duration
	// Expires is when the record lapses without that.
	Expires model.Instant
	// Leaving says that the instance counts as leaving, whatever it announced.
	Leaving bool
}

// Registry holds the announced upstreams.
type Registry struct {
	options  Options
	revision atomic.Uint64

	mu        sync.RWMutex
	entries   map[name]*entry
	byContent map[uint64]*entry
	services  map[model.ServiceID]*service
	// changes orders the entries that were announced here by version.
	changes *list.List
	version uint64
	// changed is the version of the last change other than a renewal.
	changed uint64
	// gone orders the entries that are remembered but not live, oldest first.
	gone    *list.List
	live    int
	buckets [Buckets]uint64
	lapsed  uint64
}

// service is what is kept for each service.
type service struct {
	live    map[model.InstanceID]*entry
	serving []model.Upstream
	stale   bool
}

// entry is one instance: live, or remembered for its order.
type entry struct {
	upstream  model.Upstream
	withdrawn bool
	live      bool
	content   uint64
	bucket    int
	// changed and renewed are the versions of the last change of content and
	// of the last announcement at this VM; 0 when learned from a peer.
	changed uint64
	renewed uint64
	// sent is the content that changed stands for; 0 for a withdrawal.
	sent      uint64
	place     *list.Element
	goneAt    model.Instant
	gonePlace *list.Element
}

// New returns an empty registry.
func New(o Options) *Registry {
	o.PerService = orDefault(o.PerService, DefaultPerService)
	o.Total = orDefault(o.Total, DefaultTotal)
	o.RenewMin = orDefault(o.RenewMin, DefaultRenewMin)
	o.RenewMax = max(orDefault(o.RenewMax, DefaultRenewMax), o.RenewMin)
	o.RenewalsPerSecond = orDefault(o.RenewalsPerSecond, DefaultRenewalsPerSecond)
	return &Registry{
		options:   o,
		entries:   map[name]*entry{},
		byContent: map[uint64]*entry{},
		services:  map[model.ServiceID]*service{},
		changes:   list.New(),
		gone:      list.New(),
	}
}

func orDefault[T int | time.Duration](v, other T) T {
	if v <= 0 {
		return other
	}
	return v
}

// Announce takes an instance's word about itself. Expires of u is ignored.
// Errors are *InvalidError, ErrStale, ErrWithdrawn and ErrFull.
func (r *Registry) Announce(u model.Upstream, now model.Instant) (Lease, error) {
	if err := validate(u); err != nil {
		return Lease{}, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[name{u.Service, u.Instance}]
	if e == nil {
		return r.enter(u, now)
	}
	switch order(u, e.upstream) {
	case older:
		return r.late(e, u, now)
	case same:
		// A resend after a lost answer. It must not extend the lease: a copy
		// held up in the network would keep a silent instance listed.
		return r.lease(e, now), withdrawnError(e)
	}
	if u.Incarnation == e.upstream.Incarnation {
		if e.withdrawn {
			return Lease{}, ErrWithdrawn
		}
		u.Leaving = u.Leaving || e.upstream.Leaving
	}
	if !e.live && r.full(u.Service) {
		return Lease{}, ErrFull
	}
	u.Expires = now.Add(r.leaseTime())
	known := e.live && contentOf(&u) == e.content
	r.replace(e, u, false, now)
	r.publish(e, known)
	return r.lease(e, now), nil
}

// Withdraw removes an instance for good within its incarnation. An incarnation
// of 0 means the one that is known. A withdrawal may come to an entry VM before
// the instance does; it is remembered then, so that the instance stays out.
func (r *Registry) Withdraw(s model.ServiceID, i model.InstanceID, incarnation uint64, now model.Instant) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[name{s, i}]
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
	if r.gone.Len() >= r.options.Total {
		return ErrFull
	}
	u.Leaving = true
	u.Expires = now
	e := r.add(u, now)
	e.withdrawn = true
	r.publish(e, false)
	return nil
}

// Tick lapses the leases that ended and forgets what is gone for long. It
// returns how many instances lapsed.
func (r *Registry) Tick(now model.Instant) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	lapsed := 0
	for _, e := range r.entries {
		if e.live && e.upstream.Expires <= now {
			r.bury(e, now)
			lapsed++
		}
	}
	r.lapsed += uint64(lapsed)
	memory := memoryLeases * LeaseRenewals * r.options.RenewMax
	for first := r.gone.Front(); first != nil; first = r.gone.Front() {
		e := first.Value.(*entry)
		if now.Sub(e.goneAt) < memory && r.gone.Len() <= r.options.Total {
			break
		}
		r.forget(e)
	}
	return lapsed
}

// enter adds an instance that is not remembered.
func (r *Registry) enter(u model.Upstream, now model.Instant) (Lease, error) {
	if r.full(u.Service) {
		return Lease{}, ErrFull
	}
	u.Expires = now.Add(r.leaseTime())
	e := r.add(u, now)
	r.publish(e, false)
	return r.lease(e, now), nil
}

// late handles an announcement that was overtaken. Only its leaving counts:
// it is sticky, so it holds in whatever order the messages come.
func (r *Registry) late(e *entry, u model.Upstream, now model.Instant) (Lease, error) {
	if u.Incarnation == e.upstream.Incarnation && u.Leaving && !e.upstream.Leaving {
		merged := e.upstream
		merged.Leaving = true
		r.replace(e, merged, e.withdrawn, now)
		r.publish(e, false)
		return r.lease(e, now), withdrawnError(e)
	}
	return Lease{}, ErrStale
}

func withdrawnError(e *entry) error {
	if e.withdrawn {
		return ErrWithdrawn
	}
	return nil
}

func (r *Registry) full(s model.ServiceID) bool {
	if r.live >= r.options.Total {
		return true
	}
	known := r.services[s]
	return known != nil && len(known.live) >= r.options.PerService
}

func (r *Registry) lease(e *entry, now model.Instant) Lease {
	left := max(0, e.upstream.Expires.Sub(now))
	return Lease{
		RenewAfter: min(r.renewTime(), left/LeaseRenewals),
		Expires:    e.upstream.Expires,
		Leaving:    e.upstream.Leaving,
	}
}

// renewTime grows with the number of instances, so that the traffic of
// renewals between the entry VMs stays within what a VM may spend on it.
func (r *Registry) renewTime() time.Duration {
	wanted := time.Duration(r.live) * time.Second / time.Duration(r.options.RenewalsPerSecond)
	return min(max(wanted, r.options.RenewMin), r.options.RenewMax)
}

func (r *Registry) leaseTime() time.Duration { return LeaseRenewals * r.renewTime() }
