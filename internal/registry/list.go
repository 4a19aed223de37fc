package registry

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// Revision returns a number that grows whenever an instance is added, removed or
// changed, but not with renewals. Readers compare it to detect whether Serving
// may return another result.
func (r *Registry) Revision() uint64 { return r.revision.Load() }

// Serving returns the instances of a service that accept new work, sorted by
// instance. The slice is shared and must not be modified; its Expires may be
// those of an earlier lease.
func (r *Registry) Serving(s model.ServiceID) []model.Upstream {
	r.mu.RLock()
	known := r.services[s]
	if known == nil || !known.stale {
		defer r.mu.RUnlock()
		if known == nil {
			return nil
		}
		return known.serving
	}
	r.mu.RUnlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	known = r.services[s]
	if known == nil {
		return nil
	}
	known.rebuild()
	return known.serving
}

// rebuild updates serving if it is stale.
func (s *service) rebuild() {
	if !s.stale {
		return
	}
	serving := make([]model.Upstream, 0, len(s.live))
	for _, e := range s.live {
		if !e.upstream.Leaving {
			serving = append(serving, e.upstream)
		}
	}
	slices.SortFunc(serving, func(a, b model.Upstream) int { return cmp.Compare(a.Instance, b.Instance) })
	s.serving = serving
	s.stale = false
}

// All returns all live instances including leaving ones, sorted by service and
// instance.
func (r *Registry) All() []model.Upstream {
	r.mu.RLock()
	defer r.mu.RUnlock()
	all := make([]model.Upstream, 0, r.live)
	for _, e := range r.entries {
		if e.live {
			all = append(all, e.upstream)
		}
	}
	slices.SortFunc(all, func(a, b model.Upstream) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Instance, b.Instance))
	})
	return all
}

// Get returns a live instance.
func (r *Registry) Get(s model.ServiceID, i model.InstanceID) (model.Upstream, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	e := r.entries[instanceKey{s, i}]
	if e == nil || !e.live {
		return model.Upstream{}, false
	}
	return e.upstream, true
}

// Stats holds counts of a registry.
type Stats struct {
	// Live counts the live records, Tombstones the removed ones that are kept so
	// that older announcements are recognized.
	Live       int
	Tombstones int
	// Lapsed counts the leases that expired without a renewal since the start.
	Lapsed uint64
}

// Stats returns the current counts.
func (r *Registry) Stats() Stats {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return Stats{Live: r.live, Tombstones: r.tombstones.Len(), Lapsed: r.lapsed}
}

// Violations returns the current violations of invariants; empty unless the program
// has a fault.
func (r *Registry) Violations() []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var violations []string
	var buckets [Buckets]uint64
	live := 0
	for key, e := range r.entries {
		if !e.live {
			continue
		}
		live++
		buckets[e.bucket] ^= hashContent(&e.upstream)
		if e.withdrawn {
			violations = append(violations, fmt.Sprintf("withdrawn instance %s/%s is listed", key.service, key.instance))
		}
	}
	if buckets != r.buckets || live != r.live {
		violations = append(violations, "digest differs from the records that it stands for")
	}
	if live > r.options.Total {
		violations = append(violations, "more instances than the bound")
	}
	for id, s := range r.services {
		for _, u := range s.serving {
			e := r.entries[instanceKey{u.Service, u.Instance}]
			if !s.stale && (e == nil || !e.live || e.upstream.Leaving) {
				violations = append(violations, fmt.Sprintf("leaving instance %s/%s is listed as serving", id, u.Instance))
			}
		}
	}
	return violations
}
